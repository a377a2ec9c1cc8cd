"""Decisions on opening packets."""

from dataclasses import dataclass
from enum import Enum


class RefusalReason(Enum):
    """Why an opening packet is dropped."""

    LEAVING = "leaving"
    CONNECTION_LIMIT = "connection-limit"
    HANDSHAKE_LIMIT = "handshake-limit"
    TOO_SMALL = "small-opening"
    UNKNOWN_CONNECTION = "unknown-connection"
    OLD_VIEW = "old-view"


@dataclass(frozen=True, slots=True)
class AcceptOpening:
    """Open a connection.

    Attributes:
        original_id: Destination connection ID of the caller's first packet.
        retry_id: Source connection ID of the Retry that the caller answers, None if no
            Retry was sent.
    """

    original_id: bytes
    retry_id: bytes | None


@dataclass(frozen=True, slots=True)
class ValidateAddress:
    """Answer with a Retry, for which the agent keeps no state."""


@dataclass(frozen=True, slots=True)
class RefuseOpening:
    """Drop the packet and count it.

    Attributes:
        reason: Why the packet is dropped.
    """

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class HandOverOpening:
    """Pass the packet on to a peer.

    Attributes:
        peer: Address of the peer's data port.
    """

    peer: tuple[str, int]


OpeningDecision = AcceptOpening | ValidateAddress | HandOverOpening | RefuseOpening
