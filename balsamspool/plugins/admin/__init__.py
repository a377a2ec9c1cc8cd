"""Admin plug-in: readiness, metrics and status without a web framework."""

from balsamspool.plugins.admin.plugin import AdminPlugin

__all__ = ["AdminPlugin"]
