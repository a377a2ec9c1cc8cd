"""Messages of the mesh and the numbers that identify their classes on the wire."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

M = TypeVar("M")

DEFAULT_LIFETIME_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address at which the mesh socket of a process listens.

    Attributes:
        address: IPv4 address.
        peer_port: TCP port.
    """

    address: str
    peer_port: int


@dataclass(frozen=True, slots=True)
class Message:
    """A received message with the identity of its sender.

    Attributes:
        sender: Address at which the sender's mesh socket listens.
        instance: Name of the sender's instance.
        incarnation: Incarnation of the sender.
        message_id: Number that grows with each message of that incarnation.
        body: The message itself.
        age: Estimated seconds since the message was queued, minus the least observed
            delay.
    """

    sender: PeerAddress
    instance: str
    incarnation: bytes
    message_id: int
    body: Any
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class Sent:
    """The socket accepted the message. It may still be lost."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """The message was dropped before the socket accepted it; no peer receives it.

    Attributes:
        reason: Why it was dropped.
    """

    reason: str


SendResult = Sent | NotSent


@dataclass(frozen=True, slots=True)
class _Registration:
    number: int
    lifetime: float


_classes: dict[int, type] = {}
_registrations: dict[type, _Registration] = {}


def mesh_message(
    number: int, lifetime: float = DEFAULT_LIFETIME_SECONDS
) -> Callable[[type[M]], type[M]]:
    """Register a data class as a message of the mesh.

    Args:
        number: Number that identifies the class on the wire.
        lifetime: Seconds after which a message is dropped instead of processed.

    Returns:
        A class decorator.
    """

    def decorate(cls: type[M]) -> type[M]:
        if _classes.setdefault(number, cls) is not cls:
            raise ValueError(f"message number {number} is already taken")
        _registrations[cls] = _Registration(number, lifetime)
        return cls

    return decorate


def number_of(cls: type) -> int:
    """Return the number of a message class."""
    return _registrations[cls].number


def lifetime_of(cls: type) -> float:
    """Return the time to live of a message class in seconds."""
    return _registrations[cls].lifetime


def type_of(number: int) -> type | None:
    """Return the message class of a number, or None if it is unknown here."""
    return _classes.get(number)
