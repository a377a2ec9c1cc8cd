"""Byte counters of other processes' TCP sockets, from the kernel's sock_diag."""

import os
import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

_SOCK_DIAG_BY_FAMILY = 20
_NETLINK_SOCK_DIAG = 4
_NLM_F_REQUEST_DUMP = 0x301
_NLMSG_ERROR, _NLMSG_DONE = 2, 3
_INET_DIAG_INFO = 2
_TCP_ESTABLISHED = 1
_DIAG_BYTES = 72
# IPv4 and TCP headers of a segment, with the timestamps option.
HEADER_BYTES = 52


@dataclass(frozen=True, slots=True)
class SocketBytes:
    """Counters of one established TCP socket since it was opened.

    Attributes:
        inode: Inode of the socket.
        local_port: Local port.
        remote_port: Remote port.
        sent: Payload bytes that the remote side has acknowledged.
        received: Payload bytes received.
        segments_sent: TCP segments sent.
        segments_received: TCP segments received.
    """

    inode: int
    local_port: int
    remote_port: int
    sent: int
    received: int
    segments_sent: int
    segments_received: int


def tcp_sockets() -> list[SocketBytes]:
    """Return the established IPv4 TCP sockets of this machine."""
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as netlink:
        extensions = 1 << (_INET_DIAG_INFO - 1)
        body = struct.pack(
            "=BBBxI48x",
            socket.AF_INET,
            socket.IPPROTO_TCP,
            extensions,
            1 << _TCP_ESTABLISHED,
        )
        kind = _SOCK_DIAG_BY_FAMILY
        header = struct.pack("=IHHII", 16 + len(body), kind, _NLM_F_REQUEST_DUMP, 1, 0)
        netlink.sendall(header + body)
        return list(_responses(netlink))


def inodes_of(pid: int) -> set[int]:
    """Return the inodes of the sockets that a process has open."""
    inodes = set()
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(descriptor)
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(int(target[8:-1]))
    return inodes


def _responses(netlink: socket.socket) -> Iterator[SocketBytes]:
    while True:
        data = netlink.recv(1 << 20)
        position = 0
        while position < len(data):
            length, kind = struct.unpack_from("=IH", data, position)
            if kind == _NLMSG_DONE:
                return
            if kind == _NLMSG_ERROR:
                raise OSError("the kernel refused the socket diagnosis")
            socket_bytes = _parse(data[position + 16 : position + length])
            if socket_bytes is not None:
                yield socket_bytes
            position += (length + 3) & ~3


def _parse(message: bytes) -> SocketBytes | None:
    local, remote = struct.unpack_from("!HH", message, 4)
    (inode,) = struct.unpack_from("=I", message, 68)
    position = _DIAG_BYTES
    while position + 4 <= len(message):
        length, kind = struct.unpack_from("=HH", message, position)
        if kind == _INET_DIAG_INFO:
            counters = struct.unpack_from("=QQII", message, position + 4 + 120)
            return SocketBytes(inode, local, remote, *counters)
        position += (length + 3) & ~3
    return None
