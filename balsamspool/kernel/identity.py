"""Identity of a process."""

import os
from enum import Enum

from msgspec import Struct

from balsamspool.kernel.settings import BaseProcessSettings

INCARNATION_BYTES = 8


class Role(Enum):
    """What a process does. The datagram roles run the front end for opaque flows."""

    ENTRY = "entry"
    AGENT = "agent"
    DATAGRAM_ENTRY = "datagram-entry"
    DATAGRAM_AGENT = "datagram-agent"


class Identity(Struct, frozen=True):
    """Name, location, ports and incarnation of a process.

    Attributes:
        role: What the process does.
        instance: Name of the instance, unique in the fleet.
        failure_domain: Failure domain from the settings.
        address: IPv4 address from the settings.
        data_port: UDP port for datagrams between entries and agents.
        peer_port: TCP port for messages between processes.
        admin_port: TCP port for metrics, health and status.
        incarnation: Random bytes that differ for each start of the process.
    """

    role: Role
    instance: str
    failure_domain: str
    address: str
    data_port: int
    peer_port: int
    admin_port: int
    incarnation: bytes

    @classmethod
    def from_settings(cls, role: Role, settings: BaseProcessSettings) -> "Identity":
        """Return the identity of a process that starts now."""
        return cls(
            role=role,
            instance=settings.instance,
            failure_domain=settings.failure_domain,
            address=settings.address,
            data_port=settings.data_port,
            peer_port=settings.peer_port,
            admin_port=settings.admin_port,
            incarnation=os.urandom(INCARNATION_BYTES),
        )
