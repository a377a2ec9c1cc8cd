"""Allocates ports for fleets that may run in parallel on one machine.

A process owns a block of ports while it holds the lock port of the block. Without
blocks, the fleet of another process could bind a port after this process has chosen it
and before the program that is to use the port binds it.
"""

import socket
from collections.abc import Iterator

ADDRESS = "127.0.0.1"
# All ports are below those of outgoing connections (32768 and up): an outgoing
# connection could otherwise take the port of a program that is starting or was killed.
FIRST_LOCK_PORT = 9_000
FIRST_PORT = 10_000
PORTS_PER_BLOCK = 220
BLOCK_COUNT = 100

_locks: list[socket.socket] = []


class NoPortError(Exception):
    """All blocks of ports are in use."""


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a free port of this process that was not returned before.

    Args:
        kind: ``SOCK_STREAM`` or ``SOCK_DGRAM``.

    Returns:
        The port.

    Raises:
        NoPortError: If no free block of ports is left.
    """
    for port in _ports:
        if _is_free(port, kind):
            return port
    raise NoPortError(f"all {BLOCK_COUNT} blocks of {PORTS_PER_BLOCK} ports are in use")


def _all_ports() -> Iterator[int]:
    for block in range(BLOCK_COUNT):
        if _lock(block):
            first = FIRST_PORT + block * PORTS_PER_BLOCK
            yield from range(first, first + PORTS_PER_BLOCK)


def _lock(block: int) -> bool:
    lock = socket.socket()
    try:
        lock.bind((ADDRESS, FIRST_LOCK_PORT + block))
    except OSError:
        lock.close()
        return False
    _locks.append(lock)
    return True


def _is_free(port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True


_ports = _all_ports()
