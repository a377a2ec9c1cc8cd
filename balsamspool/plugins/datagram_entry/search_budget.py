"""Limits the part of an entry's link that searches for lost flows may use.

After a failure of many hosts, each packet of a lost flow is sent to all hosts that may
hold the flow. Without a limit, these copies fill the link of a small instance. Then the
packets of sound flows and the searches themselves are lost, and callers repeat both, so
the link stays full after the failure has ended.
"""

from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.token_bucket import TokenBucket
from balsamspool.plugins.datagram_entry.forwarder import PACKETS, PACKETS_HELP

# Part of the link that copies of searched packets may use.
LINK_SHARE = 0.25
# Time for which copies may use that part of the link at once.
BURST_SECONDS = 0.2
# Octets of the headers below a datagram and of a message before its packet.
HEADER_OCTETS = 41
_OCTETS_PER_MEGABIT = 125_000


class SearchBudget:
    """Decides which copies of searched packets may be sent.

    Args:
        link_mbps: Rate of the link in Mbit/s, None without a limit.
        counters: Counters of the process.
    """

    __slots__ = ("_bucket", "_burst", "_postponed")

    def __init__(self, link_mbps: float | None, counters: CounterSet) -> None:
        self._bucket: TokenBucket | None = None
        self._burst = 0.0
        if link_mbps is not None:
            rate = LINK_SHARE * link_mbps * _OCTETS_PER_MEGABIT
            self._burst = rate * BURST_SECONDS
            self._bucket = TokenBucket(rate, self._burst, now())
        self._postponed = counters.counter(PACKETS, PACKETS_HELP, "search-postponed")

    def allows(self, octets: int, alternatives: int) -> bool:
        """Return whether a copy of a packet may be sent now.

        Otherwise the next packet of its flow may try again. Copies larger than a burst
        take all of it, because they could never be sent otherwise.

        Args:
            octets: Size of the packet.
            alternatives: Number of agents to which it may be passed on.
        """
        size = HEADER_OCTETS + octets + 4 * alternatives
        if self._bucket is None or self._bucket.take(min(size, self._burst), now()):
            return True
        self._postponed.value += 1
        return False
