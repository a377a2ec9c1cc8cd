"""Ports for fleets on one machine, several of which may run in parallel.

A process owns a block of ports as long as it holds the lock port of the block. Without
blocks, the fleet of another process could take a port between the moment it is picked
and the moment the program that it was picked for binds it.
"""

import socket
from collections.abc import Iterator

ADDRESS = "127.0.0.1"
# Below the ports of outgoing connections (32768 and up), one of which could take the
# port of a program that starts or has been killed.
FIRST_LOCK_PORT = 9_000
FIRST_PORT = 10_000
BLOCK_PORTS = 220
BLOCKS = 100

_locks: list[socket.socket] = []


class NoPortError(Exception):
    """Every block of ports is owned by some process."""


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of this process that is free now and was not returned before.

    Args:
        kind: ``SOCK_STREAM`` or ``SOCK_DGRAM``.

    Returns:
        The port.

    Raises:
        NoPortError: If no block of ports is left.
    """
    for port in _ports:
        if _is_free(port, kind):
            return port
    raise NoPortError(f"{BLOCKS} blocks of {BLOCK_PORTS} ports are in use")


def _all_ports() -> Iterator[int]:
    for block in range(BLOCKS):
        if _lock(block):
            first = FIRST_PORT + block * BLOCK_PORTS
            yield from range(first, first + BLOCK_PORTS)


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
