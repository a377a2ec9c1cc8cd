"""An instance of the fleet as the platform lists it."""

import socket
from enum import Enum

from msgspec import Struct

from balsamspool.kernel.identity import Role
from balsamspool.kernel.settings import Name, Port

# Roles of the processes that exchange messages over the mesh.
LISTED_ROLES = frozenset({Role.ENTRY, Role.AGENT})


class ListedState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(Struct, frozen=True):
    """One listed instance.

    Attributes:
        instance: Name of the instance.
        role: What the process does.
        state: State in the platform's list, which may be outdated.
        failure_domain: Failure domain of the instance.
        address: IPv4 address.
        data_port: UDP port for datagrams between entries and agents.
        peer_port: TCP port for messages between processes.
        admin_port: TCP port for metrics, health and status.
        service: Name of the service, agents only.
    """

    instance: Name
    role: Role
    state: ListedState
    failure_domain: Name
    address: str
    data_port: Port
    peer_port: Port
    admin_port: Port
    service: Name | None = None

    @property
    def endpoint(self) -> tuple[str, int]:
        """Address and port for datagrams."""
        return self.address, self.data_port

    def problem(self) -> str | None:
        """Return what is wrong with the record, or None."""
        try:
            # `inet_pton` is used because the ipaddress module takes 10 times as long,
            # and a list has 4,740 records.
            socket.inet_pton(socket.AF_INET, self.address)
        except (OSError, ValueError):
            return f"address {self.address!r} is not an IPv4 address"
        if self.role not in LISTED_ROLES:
            return f"role {self.role.value!r} is not allowed in an instance list"
        if self.role is Role.AGENT and self.service is None:
            return "the agent has no service"
        return None
