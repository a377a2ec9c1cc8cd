"""Mesh plug-in: authenticated messages between the processes of balsamspool."""

from balsamspool.plugins.mesh.message import (
    Message,
    NotSent,
    PeerAddress,
    SendResult,
    Sent,
    mesh_message,
)
from balsamspool.plugins.mesh.plugin import MeshPlugin

__all__ = [
    "MeshPlugin",
    "Message",
    "NotSent",
    "PeerAddress",
    "SendResult",
    "Sent",
    "mesh_message",
]
