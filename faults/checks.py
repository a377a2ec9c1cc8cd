"""One checker for each promise. Each yields a sentence for each violation."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from faults.history import (
    Attempt,
    Cut,
    Feed,
    GaveUp,
    History,
    NotConnected,
    Rejected,
    Whole,
)

# Requests must succeed again this long after the last fault.
RECOVERY_SECONDS = 10.0

Check = Callable[[History], Iterator[str]]


def feeds_continue(history: History) -> Iterator[str]:
    """No message of a feed is lost or repeated, and no feed is cut."""
    for feed in history.feeds:
        servers = {server for server, _ in feed.messages}
        if servers & history.killed:
            continue
        numbers = [number for _, number in feed.messages]
        if len(servers) > 1:
            yield f"feed {feed.name} mixes messages of {sorted(servers)}"
        if numbers != list(range(len(numbers))):
            yield f"feed {feed.name} has gaps or repeats: {_first_gap(numbers)}"
        yield from _feed_ends(feed)


def answers_whole(history: History) -> Iterator[str]:
    """Every answer is whole and belongs to its own request."""
    for attempt in history.attempts:
        match attempt.ending:
            case Whole(status=200, body=body, expected=expected) if (
                expected is not None and body != expected
            ):
                yield f"{attempt.request_id}: wrong body of {len(body)} bytes"
            case Whole(status=200, body=body, expected=None) if (
                f"id={attempt.request_id}&".encode() not in body
            ):
                yield f"{attempt.request_id}: answer of another request {body[:200]!r}"


def not_run_holds(history: History) -> Iterator[str]:
    """A request of which a caller was told "not run" has not run and does not run.

    Only an attempt that was sent afterwards may run it. A rejected stream speaks of the
    one request that it carried (RFC 9114, 4.1.1), so an earlier attempt may have run.
    """
    runs, attempts = _runs(history), _attempts(history)
    for attempt in history.attempts:
        if not attempt.not_run:
            continue
        later = [a.sent for a in attempts[attempt.request_id] if a.sent > attempt.sent]
        allowed_from = min(later, default=float("inf"))
        for start in runs[attempt.request_id]:
            if _ran_earlier(attempt, attempts[attempt.request_id], start):
                continue
            if start < allowed_from:
                when = start - attempt.ended
                yield f"{attempt.request_id}: ran {when:+.3f} s from 'not run'"


def _ran_earlier(rejected: Attempt, attempts: list[Attempt], start: float) -> bool:
    """Return whether a run is that of an attempt before one that was rejected."""
    if not isinstance(rejected.ending, Rejected) or start >= rejected.sent:
        return False
    return any(earlier.sent <= start for earlier in attempts)


def keyed_once(history: History) -> Iterator[str]:
    """A request with a request key runs at most once."""
    keyed = {a.request_id for a in history.attempts if a.keyed}
    counts = Counter(run.request_id for run in history.runs)
    for request_id in sorted(keyed):
        if counts[request_id] > 1:
            servers = [r.server for r in history.runs if r.request_id == request_id]
            yield f"{request_id}: ran {counts[request_id]} times, at {servers}"


def stops_graceful(history: History) -> Iterator[str]:
    """A planned stop exits with 0 and cuts no request in progress."""
    for stop in history.stops:
        if stop.exit_code != 0:
            yield f"{stop.instance} stopped with exit code {stop.exit_code}"
    if not history.planned:
        return
    for attempt in history.attempts:
        if isinstance(attempt.ending, Cut | GaveUp | NotConnected):
            seconds = attempt.ended - attempt.sent
            when = f"sent {attempt.sent:.2f}, after {seconds:.3f} s"
            yield f"{attempt.request_id}: {attempt.ending}, {when}"


def service_recovers(history: History) -> Iterator[str]:
    """Requests succeed soon after the faults, and every slot is usable."""
    seconds = history.recovered_after
    if seconds is None or seconds > RECOVERY_SECONDS:
        yield f"requests succeeded after {seconds} s, not {RECOVERY_SECONDS} s"
    for host in history.hosts:
        if host.usable < host.slots:
            yield f"{host.instance}: {host.usable} of {host.slots} slots usable"


def slots_respected(history: History) -> Iterator[str]:
    """No backend server runs more requests at the same time than it has slots."""
    for host in history.hosts:
        if host.peak_busy > host.slots:
            yield f"{host.instance}: {host.peak_busy} busy of {host.slots} slots"


CHECKS: tuple[Check, ...] = (
    feeds_continue,
    answers_whole,
    not_run_holds,
    keyed_once,
    stops_graceful,
    service_recovers,
    slots_respected,
)


def violations(history: History) -> list[str]:
    """Return a sentence for each violation of a promise."""
    return [
        f"{check.__name__}: {found}" for check in CHECKS for found in check(history)
    ]


def _feed_ends(feed: Feed) -> Iterator[str]:
    if feed.cut:
        yield f"feed {feed.name} was cut after {len(feed.messages)} messages"
    elif len(feed.messages) <= feed.before_end:
        yield f"feed {feed.name} is silent after {feed.before_end} messages"


def _first_gap(numbers: list[int]) -> str:
    place = next(i for i, number in enumerate(numbers) if number != i)
    return f"{numbers[place]} instead of {place}"


def _runs(history: History) -> dict[str, list[float]]:
    found: dict[str, list[float]] = defaultdict(list)
    for run in history.runs:
        found[run.request_id].append(run.start)
    return found


def _attempts(history: History) -> dict[str, list[Attempt]]:
    found: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in history.attempts:
        found[attempt.request_id].append(attempt)
    return found
