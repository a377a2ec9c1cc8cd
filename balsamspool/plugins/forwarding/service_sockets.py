"""Sockets of the entry at the service addresses."""

import asyncio
import logging
import socket
from asyncio import BaseTransport, DatagramProtocol, DatagramTransport
from collections.abc import Callable, Mapping
from typing import cast

from balsamspool.kernel.backoff import Backoff
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.plugins.forwarding.events import (
    ADDRESS_CLOSED,
    ADDRESS_OPENED,
    ADDRESS_UNAVAILABLE,
)

_logger = logging.getLogger(__name__)

FIRST_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 2.0

Address = tuple[str, int]
OnDatagram = Callable[[int, bytes, Address], None]
OnError = Callable[[Exception], None]


class _ServiceSocket(DatagramProtocol):
    """The socket of one service at one address, until the address is withdrawn."""

    __slots__ = (
        "address",
        "closed",
        "error",
        "on_datagram",
        "on_error",
        "service",
        "task",
        "transport",
    )

    def __init__(
        self,
        service: int,
        address: Address,
        on_datagram: OnDatagram,
        on_error: OnError,
    ) -> None:
        self.service = service
        self.address = address
        self.on_datagram = on_datagram
        self.on_error = on_error
        self.transport: DatagramTransport | None = None
        self.task: asyncio.Task[None] | None = None
        self.error: str | None = None
        self.closed = False

    async def run(self) -> None:
        """Open the socket, and retry until it is open or the address is withdrawn."""
        backoff = Backoff(FIRST_RETRY_SECONDS, MAX_RETRY_SECONDS)
        while True:
            try:
                await self._open()
            except OSError as error:
                self.error = str(error)
                ADDRESS_UNAVAILABLE.log(
                    _logger,
                    service=self.service,
                    address=self.address,
                    error=str(error),
                )
                await asyncio.sleep(backoff.next_delay())
            else:
                self.error = None
                ADDRESS_OPENED.log(_logger, service=self.service, address=self.address)
                return

    def close(self) -> None:
        """Withdraw the address at any stage."""
        self.closed = True
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
            ADDRESS_CLOSED.log(_logger, service=self.service, address=self.address)

    def connection_made(self, transport: BaseTransport) -> None:
        """Keep the transport, or close it if the address was withdrawn meanwhile."""
        if self.closed:
            transport.close()
        else:
            self.transport = cast(DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on a datagram of a caller."""
        self.on_datagram(self.service, data, addr)

    def error_received(self, exc: Exception) -> None:
        """Report a datagram that could not be sent."""
        self.on_error(exc)

    async def _open(self) -> None:
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            bound.setblocking(False)
            bound.bind(self.address)
        except OSError:
            bound.close()
            raise
        # From here on, the transport owns the socket, even after a cancellation.
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=bound)


class ServiceSockets:
    """Keeps one socket open for each service address of the configuration.

    Args:
        kernel: Kernel that runs the tasks.
        on_datagram: Called with service number, datagram and sender.
        on_error: Called with the error of a datagram that could not be sent.
    """

    __slots__ = ("_kernel", "_on_datagram", "_on_error", "_sockets")

    def __init__(
        self, kernel: Kernel, on_datagram: OnDatagram, on_error: OnError
    ) -> None:
        self._kernel = kernel
        self._on_datagram = on_datagram
        self._on_error = on_error
        self._sockets: dict[int, _ServiceSocket] = {}

    def update(self, wanted: Mapping[int, Address]) -> None:
        """Open and close sockets until they match the configuration.

        Args:
            wanted: Local address by number of the service.
        """
        for number, opened in list(self._sockets.items()):
            if wanted.get(number) != opened.address:
                opened.close()
                del self._sockets[number]
        for number, address in wanted.items():
            if number not in self._sockets:
                added = _ServiceSocket(
                    number, address, self._on_datagram, self._on_error
                )
                self._sockets[number] = added
                added.task = self._kernel.spawn(added.run(), f"open service {number}")

    def transport(self, service: int) -> DatagramTransport | None:
        """Return the open socket of a service, or None."""
        found = self._sockets.get(service)
        return None if found is None else found.transport

    def close(self) -> None:
        """Close all sockets."""
        self.update({})

    def status(self) -> dict[str, str]:
        """Return address and state by number of the service."""
        return {
            str(number): _describe(opened) for number, opened in self._sockets.items()
        }


def _describe(opened: _ServiceSocket) -> str:
    host, port = opened.address
    if opened.transport is not None:
        return f"{host}:{port}"
    return f"{host}:{port} not open: {opened.error or 'opening'}"
