"""Answers that are repeated, cut off or without an end, from servers of other people.

Operators of similar systems reported these failures; docs/field-failures.md lists them.
"""

import asyncio
from unittest import IsolatedAsyncioTestCase

from balsamspool.kernel.errors import ResultError
from balsamspool.minihttp.client import HttpClient, HttpConnection
from balsamspool.plugins.backend.client import BackendClient
from balsamspool.plugins.backend.codes import BACKEND_FAILED
from tests.raw_server import answer, run_raw_server

BODY = b"0123456789"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n"
)
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n" + BODY


class SmallClientTest(IsolatedAsyncioTestCase):
    """The client with which small processes read the store and their peers."""

    async def get(self, connection, path="/x"):
        return bytes((await connection.get(path, 2.0)).body)

    async def test_a_second_copy_is_not_taken_for_the_next_answer(self):
        """Guards against a decision on an old answer of the store.

        The copy arrives with the first answer, or while the connection is idle.
        """
        old, new = answer(b"old"), answer(b"new")
        for script in ([old + old], [old, 0.02, old]):
            async with run_raw_server() as server:
                server.scripts = [script, [new]]
                connection = HttpConnection("127.0.0.1", server.port)
                self.assertEqual(await self.get(connection), b"old")
                # The server sends the copy after its pause.
                await asyncio.sleep(0.05)
                self.assertEqual(await self.get(connection), b"new", script)
                self.assertEqual(server.connections, 2)
                connection.close()

    async def test_a_cut_answer_is_never_complete(self):
        """Guards against a part of the catalog that counts as the whole."""
        for whole in (answer(BODY), CHUNKED, WITHOUT_LENGTH):
            for length in range(len(whole)):
                async with run_raw_server() as server:
                    server.scripts = [[whole[:length], None]] * 2
                    for client in (HttpConnection, HttpClient):
                        connection = client("127.0.0.1", server.port)
                        with self.assertRaises(OSError):
                            await self.get(connection)

    async def test_a_closed_idle_connection_is_opened_again(self):
        """Guards against an outage that is recorded because a server closed."""
        async with run_raw_server() as server:
            server.scripts = [[answer(b"one"), None], [answer(b"two")]]
            connection = HttpConnection("127.0.0.1", server.port)
            self.assertEqual(await self.get(connection), b"one")
            await asyncio.sleep(0.05)
            self.assertEqual(await self.get(connection), b"two")
            connection.close()

    async def test_a_connection_carries_many_requests(self):
        """Guards against a connection for each request of a follower."""
        for client, connections in ((HttpConnection, 1), (HttpClient, 3)):
            async with run_raw_server() as server:
                server.scripts = [[answer(b"a")], [answer(b"")], [CHUNKED]]
                connection = client("127.0.0.1", server.port)
                bodies = [await self.get(connection) for _ in range(3)]
                self.assertEqual(bodies, [b"a", b"", BODY])
                self.assertEqual(server.connections, connections)
                connection.close()

    async def test_octets_that_are_not_http_fail(self):
        """Guards against a malformed answer that ends the process."""
        for data in (b"\x00" * 40, b"HTTP/9.9 ???\r\n\r\n", b"\r\n\r\n\r\n" * 9):
            async with run_raw_server() as server:
                server.scripts = [[data, None]]
                connection = HttpConnection("127.0.0.1", server.port)
                with self.assertRaises(OSError):
                    await self.get(connection)


class BackendClientTest(IsolatedAsyncioTestCase):
    """The client with which the HTTP/3 front end sends requests on."""

    async def fetch(self, port):
        client = BackendClient(f"http://127.0.0.1:{port}")
        try:
            async with client.send("GET", "/x", [], None, None) as found:
                return b"".join([chunk async for chunk in found.chunks()])
        finally:
            await client.close()

    async def test_a_cut_answer_is_never_complete(self):
        """Guards against a caller that takes a part of an answer for all of it."""
        for whole in (answer(BODY), CHUNKED, WITHOUT_LENGTH):
            for length in range(len(whole)):
                async with run_raw_server() as server:
                    server.scripts = [[whole[:length], None]]
                    with self.assertRaises(ResultError) as caught:
                        await self.fetch(server.port)
                    self.assertIs(caught.exception.code, BACKEND_FAILED)

    async def test_whole_answers_arrive(self):
        """Guards against a check that refuses answers whose end is known."""
        for whole in (answer(BODY), CHUNKED):
            async with run_raw_server() as server:
                server.scripts = [[whole]]
                self.assertEqual(await self.fetch(server.port), BODY)

    async def test_a_second_copy_is_not_taken_for_the_next_answer(self):
        """Guards against a caller that gets the answer to another request."""
        async with run_raw_server() as server:
            server.scripts = [[answer(b"old") * 2], [answer(b"new")]]
            client = BackendClient(f"http://127.0.0.1:{server.port}")
            bodies = []
            for _ in range(2):
                async with client.send("GET", "/x", [], None, None) as found:
                    bodies.append(b"".join([c async for c in found.chunks()]))
            await client.close()
            self.assertEqual(bodies, [b"old", b"new"])
