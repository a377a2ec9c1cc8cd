"""Interface between serving and relay for running requests at peers."""

from dataclasses import dataclass
from typing import Protocol

from balsamspool.kernel.errors import ResultCode
from balsamspool.plugins.mesh.message import PeerAddress
from balsamspool.requests.answer import ResponseWriter
from balsamspool.requests.request import Request


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer of the peer was written."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The peer did not and will not run the request.

    Attributes:
        code: Why the peer did not run it.
        detail: What happened, with the names and values involved.
        retry_after: Seconds after which a caller may try again, if known.
    """

    code: ResultCode
    detail: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the peer ran the request is not known.

    Attributes:
        code: What went wrong.
        detail: What happened, with the names and values involved.
    """

    code: ResultCode
    detail: str


RelayResult = Answered | NotRun | Unknown


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Latest known load of an agent of the same service.

    Attributes:
        instance: Name of the instance.
        address: Where its mesh socket listens.
        accepting: Whether it accepts new requests.
        load: Use of slots and queue, 0 to 255; 128 means that all slots are busy.
        expected_wait: Predicted wait for a slot in seconds.
        reported_at: Event loop time of the load report in seconds, None if the
            instance is listed but has sent no report.
    """

    instance: str
    address: PeerAddress
    accepting: bool
    load: int
    expected_wait: float
    reported_at: float | None = None


class Relay(Protocol):
    """Runs requests at peers."""

    async def run_at(
        self,
        peer: PeerAddress,
        request: Request,
        writer: ResponseWriter,
        incarnation: bytes | None,
    ) -> RelayResult:
        """Run a request at a peer and write its answer.

        Args:
            peer: Where the peer's mesh socket listens.
            request: The request.
            writer: Where the answer goes; untouched if the result is ``NotRun``.
            incarnation: The only incarnation that may run the request, None for any.

        Returns:
            The result, ``Unknown`` if the peer may or may not have run the request.
        """
        ...

    def peers(self) -> list[PeerLoad]:
        """Return the peers of this service whose load is known now."""
        ...
