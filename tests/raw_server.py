"""A TCP server that answers HTTP requests with octets that a test chooses."""

import asyncio
from contextlib import asynccontextmanager


class RawServer:
    """Answers the n-th request on all connections with the n-th script.

    A script is a list of octets to send and of pauses in seconds. The connection is
    closed after a script that ends with None.
    """

    def __init__(self):
        self.scripts = []
        self.connections = 0
        self.port = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while self.scripts:
                await reader.readuntil(b"\r\n\r\n")
                if not await self.play(self.scripts.pop(0), writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def play(self, script, writer):
        for step in script:
            match step:
                case None:
                    return False
                case bytes():
                    writer.write(step)
                    await writer.drain()
                case seconds:
                    await asyncio.sleep(seconds)
        return True


@asynccontextmanager
async def run_raw_server():
    raw = RawServer()
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    raw.port = server.sockets[0].getsockname()[1]
    try:
        yield raw
    finally:
        server.close()


def answer(body, *fields):
    """Return an HTTP answer with a length."""
    head = "".join(f"{field}\r\n" for field in fields)
    length = f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 200 OK\r\n{length}{head}\r\n".encode() + body
