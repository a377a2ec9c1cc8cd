"""Routing plug-in: decides which host a packet belongs to."""

from balsamspool.plugins.routing.flow import FlowKey, Packet
from balsamspool.plugins.routing.plugin import RoutingPlugin
from balsamspool.plugins.routing.router import Decision, Deliver, Drop, DropReason
from balsamspool.plugins.routing.token import RoutingToken
from balsamspool.plugins.routing.token_check import (
    ForeignToken,
    NoToken,
    OwnToken,
    TokenCheck,
)

__all__ = [
    "Decision",
    "Deliver",
    "Drop",
    "DropReason",
    "FlowKey",
    "ForeignToken",
    "NoToken",
    "OwnToken",
    "Packet",
    "RoutingPlugin",
    "RoutingToken",
    "TokenCheck",
]
