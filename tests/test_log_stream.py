"""Log handler that never blocks and whose volume is bounded."""

import json
import logging
import os
import subprocess
import sys
import time
from unittest import IsolatedAsyncioTestCase, TestCase

from balsamspool.kernel import log_stream
from balsamspool.kernel.events import PROCESS_RESUMED, PROCESS_STARTED
from balsamspool.kernel.log_stream import BoundedLogHandler
from balsamspool.kernel.logs import JsonFormatter

_PROGRAM = """
import logging, time
from balsamspool.kernel.logs import configure_logging
from balsamspool.kernel.events import PROCESS_RESUMED
configure_logging("x-1", "info")
logger = logging.getLogger("x")
start = time.monotonic()
for number in range(20000):
    PROCESS_RESUMED.log(logger, number=number, padding="x" * 100)
import sys
sys.stderr.write(str(time.monotonic() - start))
"""


class PipeTestCase(IsolatedAsyncioTestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.rest = b""
        os.set_blocking(self.reader, False)
        self.handler = BoundedLogHandler(self.writer)
        self.handler.setFormatter(JsonFormatter("x-1"))
        self.logger = logging.getLogger(f"pipe-{self.id()}")
        self.logger.propagate = False
        self.logger.setLevel(logging.INFO)
        self.logger.addHandler(self.handler)
        self.addCleanup(os.close, self.reader)

    def read(self):
        try:
            while part := os.read(self.reader, 1 << 20):
                self.rest += part
        except BlockingIOError:
            pass
        *lines, self.rest = self.rest.split(b"\n")
        return [json.loads(line) for line in lines]

    async def test_lines_arrive_whole_and_in_order(self):
        """Guards against lines that are lost, mixed or out of order."""
        for number in range(50):
            PROCESS_STARTED.log(self.logger, number=number)
        self.handler.flush()
        self.assertEqual([line["number"] for line in self.read()], list(range(50)))

    async def test_lines_are_dropped_while_nobody_reads(self):
        """Guards against a process that blocks because nobody reads its log."""
        started = time.monotonic()
        for number in range(5_000):
            PROCESS_RESUMED.log(self.logger, number=number, padding="x" * 200)
        self.assertLess(time.monotonic() - started, 5)
        self.assertGreater(self.handler.dropped, 0)
        self.assertLessEqual(len(self.handler._buffer), log_stream.MAX_BUFFER_BYTES)
        lines = []
        for _ in range(40):
            lines += self.read()
            self.handler.flush()
        lines += self.read()
        counted = sum(line.get("lines", 0) for line in lines)
        written = sum(1 for line in lines if "number" in line)
        self.assertEqual(counted + written, 5_000)

    async def test_ordinary_lines_are_limited_and_warnings_are_not(self):
        """Guards against a log whose volume grows with the load."""
        for number in range(3_000):
            PROCESS_STARTED.log(self.logger, number=number)
        self.assertLess(3_000 - self.handler.dropped, log_stream.LINE_BURST + 100)
        PROCESS_RESUMED.log(self.logger, number=-1)
        lines = []
        # The pipe holds fewer lines than the burst, so it is read and refilled several
        # times.
        for _ in range(5):
            lines += self.read()
            self.handler.flush()
        self.assertTrue(any(line.get("number") == -1 for line in lines))
        self.assertTrue(any(line["name"] == "log-lines-dropped" for line in lines))


class ProcessTest(TestCase):
    def test_a_full_pipe_does_not_stop_a_process(self):
        """Guards against forwarding that stops because standard output is not read."""
        reader, writer = os.pipe()
        try:
            done = subprocess.run(
                [sys.executable, "-c", _PROGRAM],
                stdout=writer,
                stderr=subprocess.PIPE,
                timeout=60,
                check=True,
            )
        finally:
            os.close(reader)
            os.close(writer)
        self.assertLess(float(done.stderr), 30)
