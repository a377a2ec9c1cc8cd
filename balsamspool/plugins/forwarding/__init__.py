"""Forwarding plug-ins: datagrams between callers, entries and agents."""

from balsamspool.plugins.forwarding.entry import EntryPlugin
from balsamspool.plugins.forwarding.probe import ReturnRoute
from balsamspool.plugins.forwarding.return_path import ReturnPathPlugin

__all__ = ["EntryPlugin", "ReturnPathPlugin", "ReturnRoute"]
