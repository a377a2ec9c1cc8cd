"""TCP proxy between a process and a service that can delay, drop or reset traffic."""

import asyncio
import socket
import struct
from dataclasses import dataclass

from standins.packets import Endpoint

_BLOCK_BYTES = 65_536
# With a linger time of 0, closing the socket sends a reset to the peer.
_LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class PassThrough:
    """Data is forwarded without delay."""


@dataclass(frozen=True, slots=True)
class Delayed:
    """Data is forwarded after a delay.

    Attributes:
        seconds: Delay of each block of data in seconds.
    """

    seconds: float


@dataclass(frozen=True, slots=True)
class Silenced:
    """Connections stay open, and their data is dropped.

    Attributes:
        requests: Whether data to the service is dropped.
        answers: Whether data from the service is dropped.
    """

    requests: bool = True
    answers: bool = True


@dataclass(frozen=True, slots=True)
class Resetting:
    """Open connections and all new ones are reset."""


Condition = PassThrough | Delayed | Silenced | Resetting


class TcpProxy:
    """Forwards connections to a service.

    Args:
        listen: Address and port at which the proxy accepts connections.
        service: Address and port of the service.
    """

    def __init__(self, listen: Endpoint, service: Endpoint) -> None:
        self._listen = listen
        self._service = service
        self._condition: Condition = PassThrough()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> Endpoint:
        """Address and port at which the proxy accepts connections."""
        return self._listen

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def set_condition(self, condition: Condition) -> None:
        """Change the condition of all connections, open and new.

        Data that was dropped under ``Silenced`` is not sent later.
        """
        previous, self._condition = self._condition, condition
        match condition, previous:
            case (Resetting(), _):
                self._reset_all()
            case (PassThrough(), Silenced()):
                # Octets of the open connections were dropped under ``Silenced``, so
                # these connections cannot continue.
                self._reset_all()

    async def close(self) -> None:
        """Stop accepting connections and reset all open ones."""
        if self._server is not None:
            self._server.close()
        self._reset_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        if isinstance(self._condition, Resetting):
            self._reset(writer)
            return
        try:
            service_reader, service_writer = await asyncio.open_connection(
                *self._service
            )
            self._writers.add(service_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, service_writer, to_service=True))
                group.create_task(self._pump(service_reader, writer, to_service=False))
        except* (OSError, asyncio.IncompleteReadError):
            # One side closed its connection. The statement below resets the connection
            # to the process.
            pass
        finally:
            self._reset(writer)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, to_service: bool
    ) -> None:
        while data := await source.read(_BLOCK_BYTES):
            match self._condition:
                case Silenced(requests, answers) if requests if to_service else answers:
                    continue
                case Delayed(seconds):
                    await asyncio.sleep(seconds)
            sink.write(data)
            await sink.drain()
        raise ConnectionResetError("one side closed the connection")

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            self._reset(writer)

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        sock: socket.socket | None = writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        writer.transport.abort()
