"""Plug-ins. Each package here registers its plug-in class on import."""
