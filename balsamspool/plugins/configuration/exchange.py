"""Exchange of a revised text between peers.

After a change, a process offers the revision to every peer of its sample, and each of
them does the same once it has the text. The number of holders grows by a factor in each
round, so a change reaches n processes in about log n rounds of one offer, request and
reply: 5 rounds for 4,740 processes with 6 peers each. A process that receives no offer
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

# Shortest and longest interval between periodic offers. Control traffic may use 9 KB/s.
# An offer takes about 300 bytes with its TCP overhead, so the periodic offers of two
# texts in both directions stay below 0.5 KB/s.
OFFER_INTERVAL_SECONDS = (1.5, 3.0)
# For this long after a change of its revision, a process sends an offer every half
# second, in case the first offer to a peer was lost.
RECENT_CHANGE_SECONDS = 3.0
# Longest wait for the offers of peers after a start or a pause of the process.
OFFER_WAIT_SECONDS = 0.3
# Time limit for fetching the newest text after a start or a pause of the process. It
# covers the wait for the offers of peers and then the requests for the text, which are
# sent to one peer after another.
FETCH_SECONDS = 1.0
# Time limit for the reply to a request for the text. After this time, the text is
# requested from another peer.
REPLY_SECONDS = 1.0
# Maximum rate of replies of a process, so that simultaneous requests from many peers do
# not use up its bandwidth.
REPLIES_PER_SECOND = 4.0
REPLY_BURST = 8.0

# Digest in the answer of a process that has no text to another one that has none. It
# tells an answer from a question, so that answers are not answered.
NO_TEXT = "none"

_POLL_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class TextState:
    """The text in force and the newest refused text of a process.

    Attributes:
        revision: Revision in force, 0 for none.
        digest: Digest of the text in force, empty for none.
        refused: Revision and digest of the newest refused text.
    """

    revision: int
    digest: str
    refused: tuple[int, str] = (0, "")


@dataclass(frozen=True, slots=True)
class RequestText:
    """Request the text of the peer."""


@dataclass(frozen=True, slots=True)
class OfferOwnRevision:
    """Offer the higher revision of this process to the peer."""


@dataclass(frozen=True, slots=True)
class Conflicting:
    """The peer has another text with the same revision."""


@dataclass(frozen=True, slots=True)
class NoReaction:
    """No action is needed."""


Reaction = RequestText | OfferOwnRevision | Conflicting | NoReaction


def react(state: TextState, revision: int, digest: str) -> Reaction:
    """Decide how to react to an offer.

    Args:
        state: Text in force and newest refused text of this process.
        revision: Offered revision.
        digest: Digest of the offered text.
    """
    if revision < state.revision:
        return OfferOwnRevision()
    if revision == state.revision:
        same = digest == state.digest or revision == 0
        return NoReaction() if same else Conflicting()
    # A text that this process has refused is not requested again. Otherwise, every
    # further offer of the text would cause another transfer.
    return NoReaction() if (revision, digest) == state.refused else RequestText()


class TextOwner(Protocol):
    """Owner of the text that is exchanged."""

    def text_state(self) -> TextState:
        """Return the state of the text in force and of the newest refused text."""

    def current_text(self) -> str:
        """Return the text in force."""

    def wants_text(self) -> bool:
        """Return whether a text from peers is needed now."""

    def receive(self, revision: int, text: str) -> None:
        """Process a text from a peer."""

    def record_conflict(self, revision: int, digest: str) -> None:
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
class _PendingRequest:
    revision: int
    digest: str
    deadline: Deadline


class Exchange:
    """Exchanges one text with peers.

    Args:
        mesh: Carries the messages.
        types: Message classes.
        peers: Peers to exchange with.
        owner: Owner of the text.
        rng: Random number generator.
    """

    __slots__ = (
        "_answered",
        "_budget",
        "_changed_at",
        "_gathered_offers",
        "_higher_offers",
        "_mesh",
        "_message_received",
        "_owner",
        "_peers",
        "_pending",
        "_rng",
        "_seen_pauses",
        "_types",
    )

    def __init__(
        self,
        mesh: MeshPlugin,
        types: MessageTypes,
        peers: PeerSample,
        owner: TextOwner,
        rng: random.Random,
    ) -> None:
        self._mesh = mesh
        self._types = types
        self._peers = peers
        self._owner = owner
        self._rng = rng
        self._budget = RetryBudget(0.0, REPLIES_PER_SECOND, REPLY_BURST)
        self._pending: _PendingRequest | None = None
        # For each peer, its latest offer of a revision higher than that of this
        # process, ordered from the oldest offer to the newest.
        self._higher_offers: dict[PeerAddress, Any] = {}
        self._changed_at: float | None = None
        self._seen_pauses = 0
        self._gathered_offers: list[tuple[PeerAddress, Any]] | None = None
        # Peers that answered while offers were gathered.
        self._answered: set[PeerAddress] = set()
        self._message_received = asyncio.Event()
        mesh.subscribe(types.offer, self._on_offer)
        mesh.subscribe(types.request, self._on_request)
        mesh.subscribe(types.reply, self._on_reply)

    async def fetch_newest(self, patience: float = 0.0) -> None:
        """Fetch the text of the highest revision from peers.

        Args:
            patience: Time in seconds to wait for peers if none of them answers. A peer
                that is paused or starts answers late.
        """
        if not self._peers.members:
            return
        silence = Deadline.after(patience)
        self._gathered_offers, self._answered = [], set()
        while True:
            self._offer_to_all()
            await self._wait_until(
                self._all_answered, Deadline.after(OFFER_WAIT_SECONDS)
            )
            if self._answered or silence.expired:
                break
        offers = sorted(self._gathered_offers, key=lambda item: -item[1].revision)
        self._gathered_offers = None
        deadline = Deadline.after(FETCH_SECONDS - OFFER_WAIT_SECONDS)
        for peer, offer in offers:
            if offer.revision <= self._owner.text_state().revision or deadline.expired:
                return
            self._pending = None
            self._request(peer, offer)
            attempt = Deadline.after(deadline.remaining / 2)
            await self._wait_until(lambda: self._pending is None, attempt)

    async def run(self, pauses: Callable[[], int]) -> None:
        """Offer the revision at a low rate until cancelled.

        Args:
            pauses: Returns how often the process was paused. After a pause, peers are
                queried immediately, because the text in force may be outdated.
        """
        self._seen_pauses = pauses()
        next_offer = now() + self._rng.uniform(*OFFER_INTERVAL_SECONDS)
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            count = pauses()
            if count != self._seen_pauses:
                await self.fetch_newest()
                self._seen_pauses = count
            self._retry_request()
            if now() >= next_offer or self._changed_recently():
                next_offer = now() + self._rng.uniform(*OFFER_INTERVAL_SECONDS)
                if self._peers.members:
                    self._offer_to(self._rng.choice(self._peers.members))

    def is_fresh(self, pauses: int) -> bool:
        """Return whether peers were queried since the last pause of the process.

        Args:
            pauses: How often the process was paused.
        """
        return pauses == self._seen_pauses

    def announce(self) -> None:
        """Offer a changed revision to every peer of the sample."""
        self._changed_at = now()
        self._offer_to_all()

    def _changed_recently(self) -> bool:
        changed_at = self._changed_at
        return changed_at is not None and now() - changed_at < RECENT_CHANGE_SECONDS

    def _retry_request(self) -> None:
        """Request the text from another peer if the pending request timed out."""
        pending = self._pending
        if pending is None or not pending.deadline.expired:
            return
        self._pending = None
        revision = self._owner.text_state().revision
        while self._higher_offers:
            peer, offer = self._higher_offers.popitem()
            if offer.revision > revision:
                self._request(peer, offer)
                return

    def _offer_to_all(self) -> None:
        for peer in self._peers.members:
            self._offer_to(peer)

    def _all_answered(self) -> bool:
        return self._answered >= set(self._peers.members)

    async def _wait_until(
        self, condition: Callable[[], bool], deadline: Deadline
    ) -> None:
        try:
            async with asyncio.timeout_at(deadline.at):
                while not condition():
                    self._message_received.clear()
                    await self._message_received.wait()
        except TimeoutError:
            return

    def _offer_to(self, peer: PeerAddress) -> None:
        state = self._owner.text_state()
        self._mesh.send(peer, self._types.offer(state.revision, state.digest))

    def _on_offer(self, message: Message) -> None:
        offer = message.body
        gathering = self._gathered_offers is not None
        if gathering:
            self._answered.add(message.sender)
        match react(self._owner.text_state(), offer.revision, offer.digest):
            case RequestText() if self._gathered_offers is not None:
                self._gathered_offers.append((message.sender, offer))
            case RequestText():
                if self._owner.wants_text():
                    self._request(message.sender, offer)
                    self._remember_offer(message.sender, offer)
            case OfferOwnRevision():
                self._offer_to(message.sender)
            case Conflicting():
                self._owner.record_conflict(offer.revision, offer.digest)
            case NoReaction():
                if offer == self._types.offer(0, "") and not gathering:
                    # The peer may wait for an answer before it trusts the platform.
                    self._mesh.send(message.sender, self._types.offer(0, NO_TEXT))
        self._message_received.set()

    def _remember_offer(self, peer: PeerAddress, offer: Any) -> None:
        self._higher_offers.pop(peer, None)
        self._higher_offers[peer] = offer
        if len(self._higher_offers) > FANOUT:
            del self._higher_offers[next(iter(self._higher_offers))]

    def _request(self, peer: PeerAddress, offer: Any) -> None:
        pending = self._pending
        waiting = pending is not None and not pending.deadline.expired
        # Only an offer of a higher revision replaces a pending request.
        if waiting and pending.revision >= offer.revision:
            return
        deadline = Deadline.after(REPLY_SECONDS)
        self._pending = _PendingRequest(offer.revision, offer.digest, deadline)
        self._mesh.send(peer, self._types.request())

    def _on_request(self, message: Message) -> None:
        revision = self._owner.text_state().revision
        if revision and self._budget.try_spend():
            reply = self._types.reply(revision, self._owner.current_text())
            self._mesh.send(message.sender, reply)

    def _on_reply(self, message: Message) -> None:
        pending, reply = self._pending, message.body
        if pending is None or reply.revision < pending.revision:
            return
        changed = text_digest(reply.text) != pending.digest
        if reply.revision == pending.revision and changed:
            return
        self._pending = None
        self._owner.receive(reply.revision, reply.text)
        self._message_received.set()
