"""A proxy between a process and a TCP service that delays, silences, cuts or resets."""

import asyncio
import socket
import struct
from dataclasses import dataclass

from standins.packets import Endpoint

_BLOCK_BYTES = 65_536
# Closes at once, so that the peer gets a reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Passing:
    """Everything passes."""


@dataclass(frozen=True, slots=True)
class Delayed:
    """Everything passes later.

    Attributes:
        seconds: How much later.
    """

    seconds: float


@dataclass(frozen=True, slots=True)
class Silenced:
    """Connections stay open, and nothing passes.

    Attributes:
        requests: Whether nothing passes to the service.
        answers: Whether nothing passes from the service.
    """

    requests: bool = True
    answers: bool = True


@dataclass(frozen=True, slots=True)
class Resetting:
    """Connections are reset, and so are new ones."""


Condition = Passing | Delayed | Silenced | Resetting


class TcpProxy:
    """Passes connections on to a service.

    Args:
        listen: Address and port at which connections are taken.
        service: Address and port of the service.
    """

    def __init__(self, listen: Endpoint, service: Endpoint) -> None:
        self._listen = listen
        self._service = service
        self._condition: Condition = Passing()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> Endpoint:
        """Address and port at which connections are taken."""
        return self._listen

    async def start(self) -> None:
        """Begin to take connections."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def set(self, condition: Condition) -> None:
        """Change what happens to data from now on.

        What was silenced is lost for good on the connections of that time.
        """
        before, self._condition = self._condition, condition
        match condition, before:
            case (Resetting(), _):
                self._reset_all()
            case (Passing(), Silenced()):
                # Octets were lost, so the connections cannot go on.
                self._reset_all()

    async def close(self) -> None:
        """End all connections."""
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
            there, back = await asyncio.open_connection(*self._service)
            self._writers.add(back)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, back, inward=True))
                group.create_task(self._pump(there, writer, inward=False))
        except* (OSError, asyncio.IncompleteReadError):
            # The connection ended on one side; both are closed below.
            pass
        finally:
            self._reset(writer)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, inward: bool
    ) -> None:
        while data := await source.read(_BLOCK_BYTES):
            match self._condition:
                case Silenced(requests, answers) if requests if inward else answers:
                    continue
                case Delayed(seconds):
                    await asyncio.sleep(seconds)
            sink.write(data)
            await sink.drain()
        raise ConnectionResetError("one side has closed")

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            self._reset(writer)

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        opened: socket.socket | None = writer.get_extra_info("socket")
        if opened is not None and opened.fileno() >= 0:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        writer.transport.abort()
