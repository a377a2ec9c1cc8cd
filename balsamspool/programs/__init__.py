"""Programs: they name a role and start the kernel."""
