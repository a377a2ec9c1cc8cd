"""Backend plug-in: HTTP client of the backend server beside the agent."""

from balsamspool.plugins.backend.client import BackendAnswer
from balsamspool.plugins.backend.plugin import BackendPlugin

__all__ = ["BackendAnswer", "BackendPlugin"]
