"""UDP sockets that are read in batches."""

import asyncio
import logging
import socket
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from balsamspool.datagram.events import DATAGRAM_FAILED, SEND_FAILED
from balsamspool.kernel.identity import Role
from balsamspool.kernel.registry import Plugin, register

if TYPE_CHECKING:
    from balsamspool.kernel.lifecycle import Kernel

_logger = logging.getLogger(__name__)

Address = tuple[str, int]
OnDatagram = Callable[[bytes, Address], None]

MAX_DATAGRAM_BYTES = 2048
# Maximum number of datagrams that are read before other tasks run.
MAX_BATCH_DATAGRAMS = 64
RECEIVE_BUFFER_BYTES = 1 << 20


class BatchSocket:
    """A bound UDP socket.

    Args:
        address: Address and port to bind.
        on_datagram: Called with each datagram and its sender.
    """

    __slots__ = ("_handler_failures", "_on_datagram", "_send_failures", "_socket")

    def __init__(self, address: Address, on_datagram: OnDatagram) -> None:
        self._on_datagram = on_datagram
        self._send_failures = 0
        self._handler_failures = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind(address)

    @property
    def address(self) -> Address:
        """Address and port to which the socket is bound."""
        return self._socket.getsockname()

    @property
    def send_failures(self) -> int:
        """Datagrams that could not be sent."""
        return self._send_failures

    def start(self) -> None:
        """Start reading."""
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def close(self) -> None:
        """Stop reading and close the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def send(self, parts: Sequence[bytes | memoryview], address: Address) -> None:
        """Send one datagram that consists of parts.

        A datagram that the operating system does not accept is lost, like one that is
        lost in transit.

        Args:
            parts: The parts, which are sent without being joined first.
            address: Address and port of the receiver.
        """
        try:
            self._socket.sendmsg(parts, (), 0, address)
        except (OSError, OverflowError) as error:  # a port that is none overflows
            self._send_failures += 1
            # A failure is logged when the number of failures is a power of two, so that
            # a lasting failure does not fill the log.
            if self._send_failures & (self._send_failures - 1) == 0:
                SEND_FAILED.log(
                    _logger,
                    address=f"{address[0]}:{address[1]}",
                    error=str(error),
                    failures=self._send_failures,
                )

    def _read(self) -> None:
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionRefusedError:
                # The error concerns an earlier datagram that was sent to a closed port.
                continue
            self._handle(data, sender)

    def _handle(self, data: bytes, sender: Address) -> None:
        try:
            self._on_datagram(data, sender)
        except Exception as error:  # one datagram must not keep others from being read
            self._handler_failures += 1
            if self._handler_failures & (self._handler_failures - 1) == 0:
                DATAGRAM_FAILED.log(
                    _logger,
                    sender=f"{sender[0]}:{sender[1]}",
                    error=repr(error),
                    failures=self._handler_failures,
                )


@register("datagram-sockets", roles=[Role.DATAGRAM_ENTRY, Role.DATAGRAM_AGENT])
class DatagramSockets(Plugin):
    """Opens the sockets of the datagram plug-ins, and closes them on stop.

    The emulator replaces this plug-in by one of its own.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    def __init__(self, kernel: "Kernel") -> None:
        super().__init__(kernel)
        self._opened: list[BatchSocket] = []

    def open(self, address: Address, on_datagram: OnDatagram) -> BatchSocket:
        """Return a bound socket that has not started to read.

        Args:
            address: Address and port to bind.
            on_datagram: Called with each datagram and its sender.

        Raises:
            OSError: If the address cannot be bound.
        """
        opened = BatchSocket(address, on_datagram)
        self._opened.append(opened)
        return opened

    async def stop(self) -> None:
        """Close all sockets."""
        while self._opened:
            self._opened.pop().close()
