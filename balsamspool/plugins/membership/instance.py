"""An instance of the fleet as the platform lists it."""

from enum import Enum

from msgspec import Struct

from balsamspool.kernel.identity import Role


class ListedState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(Struct, frozen=True):
    """One listed instance.

    Attributes:
        instance: Name of the instance.
        role: What the process does.
        state: State in the list, which lags.
        failure_domain: Failure domain of the instance.
        address: IPv4 address.
        data_port: UDP port for datagrams between entries and agents.
        peer_port: TCP port for messages between processes.
        admin_port: TCP port for metrics, health and status.
        service: Name of the service, agents only.
    """

    instance: str
    role: Role
    state: ListedState
    failure_domain: str
    address: str
    data_port: int
    peer_port: int
    admin_port: int
    service: str | None = None
