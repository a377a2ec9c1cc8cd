"""Datagram entry: chooses a host for each opaque flow and forwards its packets."""

from balsamspool.plugins.datagram_entry.plugin import DatagramEntryPlugin

__all__ = ["DatagramEntryPlugin"]
