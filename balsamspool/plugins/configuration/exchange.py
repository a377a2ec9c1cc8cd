"""Exchange of a revised text between peers.

After a change, a process offers the revision to every peer of its sample, and each of
them does the same once it has the text. The number of holders grows by a factor in each
round, so a change reaches n processes in about log n rounds of one offer, request and
reply: 5 rounds for 4,740 processes with 6 peers each. A process that nobody offers to
learns of the change from the answer to its own next periodic offer.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from balsamspool.kernel.backoff import RetryBudget
from balsamspool.kernel.clock import Deadline, now
from balsamspool.plugins.configuration.digest import text_digest
from balsamspool.plugins.configuration.peers import FANOUT, PeerSample
from balsamspool.plugins.mesh import MeshPlugin, Message, PeerAddress

# An offer with its TCP overhead takes about 300 bytes, so both directions of the
# periodic offers of two texts stay below 0.5 KB/s of the 9 KB/s for control.
OFFER_SECONDS = (1.5, 3.0)
# For this long after a change, a process offers every half second, in case that the
# first offer to a peer was lost.
CHANGED_SECONDS = 3.0
# A starting process waits this long for offers, then for the text.
GATHER_SECONDS = 0.3
ASK_SECONDS = 1.0
REPLY_SECONDS = 1.0
# A process that many peers ask at once must not spend its whole line on replies.
REPLIES_PER_SECOND = 4.0
REPLY_BURST = 8.0

_POLL_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Holding:
    """What a process has of a text.

    Attributes:
        revision: Revision in force, 0 for none.
        digest: Digest of the text in force, empty for none.
        refused: Revision and digest of the newest refused text.
    """

    revision: int
    digest: str
    refused: tuple[int, str] = (0, "")


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask the peer for its text."""


@dataclass(frozen=True, slots=True)
class OfferBack:
    """Tell the peer of the higher revision."""


@dataclass(frozen=True, slots=True)
class Differs:
    """The peer has another text with the same revision."""


@dataclass(frozen=True, slots=True)
class Nothing:
    """There is nothing to do."""


Reaction = Ask | OfferBack | Differs | Nothing


def react(holding: Holding, revision: int, digest: str) -> Reaction:
    """Decide what to do about an offer.

    Args:
        holding: What this process has.
        revision: Offered revision.
        digest: Digest of the offered text.
    """
    if revision < holding.revision:
        return OfferBack()
    if revision == holding.revision:
        same = digest == holding.digest or revision == 0
        return Nothing() if same else Differs()
    # A refused text would otherwise be transferred again with every offer.
    return Nothing() if (revision, digest) == holding.refused else Ask()


class Source(Protocol):
    """Owner of the text that is exchanged."""

    def holding(self) -> Holding:
        """Return what this process has."""

    def held_text(self) -> str:
        """Return the text in force."""

    def wants_text(self) -> bool:
        """Return whether a text from peers is needed now."""

    def receive(self, revision: int, text: str) -> None:
        """Take a text from a peer."""

    def note_conflict(self, revision: int, digest: str) -> None:
        """Record that a peer has another text with the revision in force."""


@dataclass(frozen=True, slots=True)
class MessageTypes:
    """Message classes of one exchange.

    Attributes:
        offer: Class with ``revision`` and ``digest``.
        request: Class without fields.
        reply: Class with ``revision`` and ``text``.
    """

    offer: type
    request: type
    reply: type


@dataclass(frozen=True, slots=True)
class _Pending:
    revision: int
    digest: str
    deadline: Deadline


class Exchange:
    """Exchanges one text with peers.

    Args:
        mesh: Carries the messages.
        types: Message classes.
        peers: Peers to exchange with.
        source: Owner of the text.
        rng: Source of randomness.
    """

    __slots__ = (
        "_budget",
        "_changed_at",
        "_gathered",
        "_heard",
        "_higher",
        "_mesh",
        "_peers",
        "_pending",
        "_rng",
        "_seen_pauses",
        "_source",
        "_types",
    )

    def __init__(
        self,
        mesh: MeshPlugin,
        types: MessageTypes,
        peers: PeerSample,
        source: Source,
        rng: random.Random,
    ) -> None:
        self._mesh = mesh
        self._types = types
        self._peers = peers
        self._source = source
        self._rng = rng
        self._budget = RetryBudget(0.0, REPLIES_PER_SECOND, REPLY_BURST)
        self._pending: _Pending | None = None
        # Peers that offered a higher revision, newest offer last.
        self._higher: dict[PeerAddress, Any] = {}
        self._changed_at: float | None = None
        self._seen_pauses = 0
        self._gathered: list[tuple[PeerAddress, Any]] | None = None
        self._heard = asyncio.Event()
        mesh.subscribe(types.offer, self._on_offer)
        mesh.subscribe(types.request, self._on_request)
        mesh.subscribe(types.reply, self._on_reply)

    async def ask(self) -> None:
        """Ask peers and take the highest revision; give up after a second."""
        peers = self._peers.members
        if not peers:
            return
        deadline = Deadline.after(ASK_SECONDS)
        self._gathered = []
        self._offer_to_all()
        await self._wait_until(self._all_answered, Deadline.after(GATHER_SECONDS))
        offers = sorted(self._gathered, key=lambda item: -item[1].revision)
        self._gathered = None
        for peer, offer in offers:
            if offer.revision <= self._source.holding().revision or deadline.expired:
                return
            self._pending = None
            self._request(peer, offer)
            attempt = Deadline.after(deadline.remaining / 2)
            await self._wait_until(lambda: self._pending is None, attempt)

    async def run(self, pauses: Callable[[], int]) -> None:
        """Offer the revision at a low rate until cancelled.

        Args:
            pauses: Returns how often the process was paused. After a pause, peers are
                asked at once, because the text in force may be outdated.
        """
        self._seen_pauses = pauses()
        next_offer = now() + self._rng.uniform(*OFFER_SECONDS)
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            count = pauses()
            if count != self._seen_pauses:
                await self.ask()
                self._seen_pauses = count
            self._request_again()
            if now() >= next_offer or self._is_recent():
                next_offer = now() + self._rng.uniform(*OFFER_SECONDS)
                if self._peers.members:
                    self._offer_to(self._rng.choice(self._peers.members))

    def is_fresh(self, pauses: int) -> bool:
        """Return whether peers were asked since the last pause of the process.

        Args:
            pauses: How often the process was paused.
        """
        return pauses == self._seen_pauses

    def announce(self) -> None:
        """Offer a changed revision to every peer of the sample."""
        self._changed_at = now()
        self._offer_to_all()

    def _is_recent(self) -> bool:
        changed_at = self._changed_at
        return changed_at is not None and now() - changed_at < CHANGED_SECONDS

    def _request_again(self) -> None:
        """Ask another peer if the one that was asked did not reply."""
        pending = self._pending
        if pending is None or not pending.deadline.expired:
            return
        self._pending = None
        revision = self._source.holding().revision
        while self._higher:
            peer, offer = self._higher.popitem()
            if offer.revision > revision:
                self._request(peer, offer)
                return

    def _offer_to_all(self) -> None:
        for peer in self._peers.members:
            self._offer_to(peer)

    def _all_answered(self) -> bool:
        answers = self._gathered or []
        return {peer for peer, _ in answers} >= set(self._peers.members)

    async def _wait_until(
        self, condition: Callable[[], bool], deadline: Deadline
    ) -> None:
        try:
            async with asyncio.timeout_at(deadline.at):
                while not condition():
                    self._heard.clear()
                    await self._heard.wait()
        except TimeoutError:
            return

    def _offer_to(self, peer: PeerAddress) -> None:
        holding = self._source.holding()
        self._mesh.send(peer, self._types.offer(holding.revision, holding.digest))

    def _on_offer(self, message: Message) -> None:
        offer = message.body
        match react(self._source.holding(), offer.revision, offer.digest):
            case Ask() if self._gathered is not None:
                self._gathered.append((message.sender, offer))
            case Ask():
                if self._source.wants_text():
                    self._request(message.sender, offer)
                    self._remember(message.sender, offer)
            case OfferBack():
                self._offer_to(message.sender)
            case Differs():
                self._source.note_conflict(offer.revision, offer.digest)
            case Nothing():
                pass
        self._heard.set()

    def _remember(self, peer: PeerAddress, offer: Any) -> None:
        self._higher.pop(peer, None)
        self._higher[peer] = offer
        if len(self._higher) > FANOUT:
            del self._higher[next(iter(self._higher))]

    def _request(self, peer: PeerAddress, offer: Any) -> None:
        pending = self._pending
        waiting = pending is not None and not pending.deadline.expired
        # The text of a higher revision makes the pending one needless.
        if waiting and pending.revision >= offer.revision:
            return
        deadline = Deadline.after(REPLY_SECONDS)
        self._pending = _Pending(offer.revision, offer.digest, deadline)
        self._mesh.send(peer, self._types.request())

    def _on_request(self, message: Message) -> None:
        revision = self._source.holding().revision
        if revision and self._budget.try_spend():
            reply = self._types.reply(revision, self._source.held_text())
            self._mesh.send(message.sender, reply)

    def _on_reply(self, message: Message) -> None:
        pending, reply = self._pending, message.body
        if pending is None or reply.revision < pending.revision:
            return
        changed = text_digest(reply.text) != pending.digest
        if reply.revision == pending.revision and changed:
            return
        self._pending = None
        self._source.receive(reply.revision, reply.text)
        self._heard.set()
