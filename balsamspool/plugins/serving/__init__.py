"""Serving plug-in: runs requests from classification to the answer."""

from balsamspool.plugins.serving.handler import ServingPlugin

__all__ = ["ServingPlugin"]
