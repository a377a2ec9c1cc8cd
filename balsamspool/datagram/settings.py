"""Settings of the datagram plug-ins."""

from typing import Annotated

from msgspec import Meta

from balsamspool.kernel.settings import Section, split_endpoint

# Callers use a flow for at most one minute.
FLOW_LIFE_SECONDS = 60.0


class DatagramSettings(Section, frozen=True):
    """Settings of both datagram plug-ins.

    Attributes:
        address: IPv4 address and port at which datagrams of callers arrive. Callers
            receive their datagrams at the same port.
    """

    address: str

    def problem(self) -> tuple[str, str] | None:
        """Return the field and what is wrong with it, or None if all is valid."""
        return endpoint_problem("address", self.address)


class DatagramEntrySettings(DatagramSettings, frozen=True, kw_only=True):
    """Settings of the datagram entry.

    Attributes:
        link_mbps: Rate of the link of the instance in Mbit/s, None for no limit.
    """

    link_mbps: Annotated[float, Meta(gt=0, le=1_000_000)] | None = None


class DatagramAgentSettings(DatagramSettings, frozen=True, kw_only=True):
    """Settings of the datagram agent.

    Attributes:
        service: Name of the service of the backend server.
        backend: IPv4 address and port of the backend server.
        outbound: IPv4 address and port at which the packets of the backend server
            arrive.
        flow_seconds: Longest life of a flow in seconds.
        warmup_excess: Factor by which the openings in one second may exceed the
            published limit of a backend server that warms up.
        warmup_slack: Number of openings in one second by which they may exceed it
            besides.
    """

    service: str
    backend: str
    outbound: str
    flow_seconds: Annotated[float, Meta(gt=0, le=86_400)] = FLOW_LIFE_SECONDS
    warmup_excess: Annotated[float, Meta(ge=0, le=100)] = 1.0
    warmup_slack: Annotated[float, Meta(ge=0, le=10_000)] = 0.0

    def problem(self) -> tuple[str, str] | None:
        """Return the field and what is wrong with it, or None if all is valid."""
        return (
            endpoint_problem("address", self.address)
            or endpoint_problem("backend", self.backend)
            or endpoint_problem("outbound", self.outbound)
        )


def endpoint_problem(field: str, endpoint: str) -> tuple[str, str] | None:
    """Return the field and what is wrong with its endpoint, or None."""
    try:
        split_endpoint(endpoint)
    except ValueError as error:
        return field, str(error)
    return None
