"""Catalog source that leaves calls unanswered for a while."""

import asyncio

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import (
    CATALOG_HISTORY_LOST,
    CATALOG_UNAVAILABLE,
)
from balsamspool.plugins.catalog.model import Changes, Snapshot
from balsamspool.plugins.catalog.source import ANSWER_SECONDS
from tests.datagram_fakes import FakeSource

STEP_SECONDS = 0.01


class SilentSource(FakeSource):
    """A source that gives some calls no answer, and answers later ones.

    Attributes:
        answer_seconds: Time that an answer takes in seconds.
        oldest_revision: Oldest revision after which changes are still known.
    """

    def __init__(self):
        super().__init__()
        self.answer_seconds = 0.0
        self.oldest_revision = 0
        self.silences = 0
        self.silent = False

    @property
    def calls(self):
        """Number of calls that have begun."""
        return self.reads + self.updates + self.watches

    async def silence_past_call(self, seconds, after):
        """Stay silent until a call has begun after `seconds`, and `after` more."""
        self.silent, self.silences = True, self.silences + 1
        await asyncio.sleep(seconds)
        calls = self.calls
        while self.calls == calls:
            await asyncio.sleep(STEP_SECONDS)
        await asyncio.sleep(after)
        self.silent = False

    async def silence(self, seconds):
        """Answer neither the calls in progress nor those that begin meanwhile."""
        self.silent, self.silences = True, self.silences + 1
        await asyncio.sleep(seconds)
        self.silent = False

    def write(self, *records):
        self.records += records
        self.revision = max(r.revision for r in records)

    async def read(self):
        self.reads += 1
        await self._answer(now(), 0.0, self._silences_at_begin())
        return Snapshot(self.revision, tuple(self.records))

    async def changes(self, after):
        self.updates += 1
        await self._answer(now(), 0.0, self._silences_at_begin())
        return self._changes(after)

    async def watch(self, after, wait):
        self.watches += 1
        begin, silences = now(), self._silences_at_begin()
        while self.revision <= after and now() < begin + wait:
            await asyncio.sleep(STEP_SECONDS)
        await self._answer(begin, wait, silences)
        return self._changes(after)

    def _changes(self, after):
        if after < self.oldest_revision:
            raise ResultError(CATALOG_HISTORY_LOST, "dropped")
        newer = tuple(r for r in self.records if r.revision > after)
        return Changes(self.revision, newer)

    def _silences_at_begin(self):
        """Return what tells later whether a call was lost, None if it is already."""
        return None if self.silent else self.silences

    async def _answer(self, begin, wait, silences):
        if self.silent or silences != self.silences:
            await asyncio.sleep(begin + wait + ANSWER_SECONDS - now())
            raise ResultError(CATALOG_UNAVAILABLE, "timed out")
        await asyncio.sleep(self.answer_seconds)
