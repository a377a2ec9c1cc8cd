"""Relay plug-in: sends requests to peers and runs the requests that peers send."""

from balsamspool.plugins.relay.plugin import RelayPlugin

__all__ = ["RelayPlugin"]
