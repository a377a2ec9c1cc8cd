"""Failure domains that the operator has taken out of service."""

import logging
from collections.abc import Collection

from msgspec import Struct

from balsamspool.kernel.counters import CounterFamily, CounterSet
from balsamspool.plugins.catalog.events import (
    CORDON_IGNORED,
    DOMAIN_CORDONED,
    DOMAIN_UNCORDON_DELAYED,
    DOMAIN_UNCORDONED,
    DOMAIN_UNKNOWN,
)
from balsamspool.plugins.catalog.revision import NO_REVISION, Revision

_logger = logging.getLogger(__name__)

# Maximum number of failure domains whose records are kept.
MAX_DOMAINS = 256

CHANGES = "balsamspool_catalog_cordons"
CHANGES_HELP = "Changes of failure domains that are out of service, by what was done"
ADDED, ENDED, DELAYED, IGNORED = "added", "ended", "delayed", "ignored"


class Cordon(Struct, frozen=True):
    """A failure domain that is out of service.

    Attributes:
        revision: Revision of the record.
        since: Event loop time in seconds at which this process learned of it.
        until: Event loop time in seconds at which it ends, None while it is listed.
    """

    revision: Revision
    since: float
    until: float | None = None


class Cordons:
    """Failure domains out of service, each at its newest known revision.

    Args:
        counters: Counters of the process.
    """

    __slots__ = ("_changes", "_cordons", "_ended", "_revisions")

    def __init__(self, counters: CounterSet) -> None:
        kinds = (ADDED, ENDED, DELAYED, IGNORED)
        self._changes = CounterFamily(counters, CHANGES, CHANGES_HELP, kinds)
        self._cordons: dict[str, Cordon] = {}
        # Event loop time in seconds at which a failure domain last came back.
        self._ended: dict[str, float] = {}
        self._revisions: dict[str, Revision] = {}

    def __contains__(self, failure_domain: str) -> bool:
        """Return whether a failure domain is out of service."""
        return failure_domain in self._cordons

    @property
    def domains(self) -> dict[str, Cordon]:
        """The failure domains out of service, by name."""
        return dict(self._cordons)

    @property
    def any_ended(self) -> bool:
        """Whether this process has seen a failure domain come back."""
        return bool(self._ended)

    def ended(self, failure_domain: str) -> float | None:
        """Return the event loop time in seconds at which a domain last came back."""
        return self._ended.get(failure_domain)

    def add(
        self, domain: str, revision: Revision, known: Collection[str], time: float
    ) -> bool:
        """Take a failure domain out of service, unless a newer record is known.

        Args:
            domain: Name of the failure domain.
            revision: Revision of the record.
            known: Failure domains that have backend servers.
            time: Event loop time in seconds.

        Returns:
            Whether the set of failure domains out of service has changed.
        """
        if not self._advance(domain, revision):
            return False
        before = self._cordons.get(domain)
        self._cordons[domain] = Cordon(revision, before.since if before else time)
        if before is not None:
            return False
        self._changes.add(ADDED)
        DOMAIN_CORDONED.log(_logger, failure_domain=domain, revision=revision)
        if domain not in known:
            DOMAIN_UNKNOWN.log(_logger, failure_domain=domain, revision=revision)
        return True

    def remove(self, domain: str, revision: Revision, time: float) -> bool:
        """Take a failure domain back, unless a newer record is known.

        Args:
            domain: Name of the failure domain.
            revision: Revision of the removal of its record.
            time: Event loop time in seconds.

        Returns:
            Whether the set of failure domains out of service has changed.
        """
        return self._advance(domain, revision) and self._end(domain, time)

    def retain(
        self, listed: Collection[str], revision: Revision, time: float, delay: float
    ) -> bool:
        """Take back the failure domains that a full read does not list.

        A restored catalog may lack a record until it is written again, so such a
        failure domain stays out of service for a while.

        Args:
            listed: Failure domains that are listed as out of service.
            revision: Revision of the full read.
            time: Event loop time in seconds.
            delay: Seconds until a record that a restored catalog lacks is listed again.

        Returns:
            Whether the set of failure domains out of service has changed.
        """
        changed = False
        for domain, cordon in self.domains.items():
            known = self._revisions[domain]
            if domain in listed or known > revision or cordon.until is not None:
                continue
            if known.era != Revision(revision).era:
                self._cordons[domain] = Cordon(known, cordon.since, time + delay)
                self._changes.add(DELAYED)
                DOMAIN_UNCORDON_DELAYED.log(
                    _logger, failure_domain=domain, revision=revision
                )
            else:
                changed |= self.remove(domain, revision, time)
        return changed

    def expire(self, time: float) -> bool:
        """End the cordons whose delay is over, and return whether there were any."""
        due = [
            domain
            for domain, cordon in self._cordons.items()
            if cordon.until is not None and time >= cordon.until
        ]
        for domain in due:
            self._end(domain, time)
        return bool(due)

    def _advance(self, domain: str, revision: Revision) -> bool:
        """Record the newest revision of a domain and return whether it is newer."""
        if revision <= self._revisions.get(domain, NO_REVISION):
            return False
        if domain not in self._revisions and not self._make_room():
            self._changes.add(IGNORED)
            CORDON_IGNORED.log(_logger, failure_domain=domain, revision=revision)
            return False
        self._revisions[domain] = Revision(revision)
        return True

    def _make_room(self) -> bool:
        """Forget a failure domain in service if there are too many."""
        if len(self._revisions) < MAX_DOMAINS:
            return True
        in_service = (d for d in self._revisions if d not in self._cordons)
        oldest = next(in_service, None)
        if oldest is None:
            return False
        del self._revisions[oldest]
        self._ended.pop(oldest, None)
        return True

    def _end(self, domain: str, time: float) -> bool:
        if self._cordons.pop(domain, None) is None:
            return False
        self._ended[domain] = time
        self._changes.add(ENDED)
        DOMAIN_UNCORDONED.log(
            _logger, failure_domain=domain, revision=self._revisions[domain]
        )
        return True
