"""Routing plug-in: decides which host a packet belongs to."""

from balsamspool.plugins.routing.flow import FlowKey, Packet
from balsamspool.plugins.routing.plugin import RoutingPlugin
from balsamspool.plugins.routing.router import Deliver, Drop, DropReason
from balsamspool.plugins.routing.token import RoutingToken

__all__ = [
    "Deliver",
    "Drop",
    "DropReason",
    "FlowKey",
    "Packet",
    "RoutingPlugin",
    "RoutingToken",
]
