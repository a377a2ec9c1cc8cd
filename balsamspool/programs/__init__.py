"""Programs. Each of them starts the kernel in one role or runs commands."""
