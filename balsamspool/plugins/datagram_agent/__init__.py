"""Datagram agent: passes packets of opaque flows to and from its backend server."""

from balsamspool.plugins.datagram_agent.plugin import DatagramAgentPlugin

__all__ = ["DatagramAgentPlugin"]
