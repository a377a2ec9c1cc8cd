"""Stand-ins for the platform, the fabric, backend servers and callers."""
