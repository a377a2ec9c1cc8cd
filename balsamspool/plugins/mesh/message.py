"""Messages of the mesh and the numbers that stand for their classes on the wire."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

M = TypeVar("M")


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where the mesh socket of a process listens.

    Attributes:
        address: IPv4 address.
        peer_port: TCP port.
    """

    address: str
    peer_port: int


@dataclass(frozen=True, slots=True)
class Message:
    """A received message with what is known of its sender.

    Attributes:
        sender: Where the sender's mesh socket listens.
        instance: Name of the sender's instance.
        incarnation: Incarnation of the sender.
        message_id: Number that grows with each message of that incarnation.
        body: The message itself.
    """

    sender: PeerAddress
    instance: str
    incarnation: bytes
    message_id: int
    body: Any


_types: dict[int, type] = {}
_numbers: dict[type, int] = {}


def mesh_message(number: int) -> Callable[[type[M]], type[M]]:
    """Register a data class as a message of the mesh.

    Args:
        number: Number that stands for the class on the wire.

    Returns:
        A class decorator.
    """

    def decorate(cls: type[M]) -> type[M]:
        if _types.setdefault(number, cls) is not cls:
            raise ValueError(f"message number {number} is already taken")
        _numbers[cls] = number
        return cls

    return decorate


def number_of(cls: type) -> int:
    """Return the number of a message class."""
    return _numbers[cls]


def type_of(number: int) -> type | None:
    """Return the message class of a number, or None if it is unknown here."""
    return _types.get(number)
