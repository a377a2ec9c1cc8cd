"""Serving plug-in: runs a request from classification to its answer."""

from balsamspool.plugins.serving.handler import ServingPlugin

__all__ = ["ServingPlugin"]
