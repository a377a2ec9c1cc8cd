"""Relay plug-in: runs requests at peers and requests of peers here."""

from balsamspool.plugins.relay.plugin import RelayPlugin

__all__ = ["RelayPlugin"]
