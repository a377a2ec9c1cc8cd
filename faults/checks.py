"""One check for each guarantee. A check yields one line for each violation."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from faults.history import (
    Attempt,
    CompleteAnswer,
    Feed,
    History,
    Interrupted,
    NotConnected,
    Rejected,
    TimedOut,
)

# Longest time after the last fault until requests succeed again.
RECOVERY_LIMIT_SECONDS = 10.0

Check = Callable[[History], Iterator[str]]


def feeds_continue(history: History) -> Iterator[str]:
    """No message of a feed is lost or repeated, and no feed is interrupted."""
    for feed in history.feeds:
        servers = {server for server, _ in feed.messages}
        if servers & history.killed:
            continue
        numbers = [number for _, number in feed.messages]
        if len(servers) > 1:
            yield f"feed {feed.name} has messages of several servers: {sorted(servers)}"
        if numbers != list(range(len(numbers))):
            yield f"feed {feed.name} lost or repeated: {_first_mismatch(numbers)}"
        yield from _check_feed_end(feed)


def answers_whole(history: History) -> Iterator[str]:
    """Every answer has the full body and belongs to its request."""
    for attempt in history.attempts:
        match attempt.final_state:
            case CompleteAnswer(status=200, body=body, expected=expected) if (
                expected is not None and body != expected
            ):
                yield f"{attempt.request_id}: wrong body of {len(body)} bytes"
            case CompleteAnswer(status=200, body=body, expected=None) if (
                f"id={attempt.request_id}&".encode() not in body
            ):
                yield f"{attempt.request_id}: answer to another request: {body[:200]!r}"


def not_run_holds(history: History) -> Iterator[str]:
    """A request that was reported to its caller as "not run" never runs.

    Only a later attempt with the same ID may run. A rejected stream applies only to the
    one request that it carried (RFC 9114, 4.1.1), so an earlier attempt may have run.
    """
    runs, attempts = _run_starts_by_request(history), _attempts_by_request(history)
    for attempt in history.attempts:
        if not attempt.not_run:
            continue
        later = [
            a.sent_at
            for a in attempts[attempt.request_id]
            if a.sent_at > attempt.sent_at
        ]
        allowed_from = min(later, default=float("inf"))
        for start in runs[attempt.request_id]:
            if _is_run_of_earlier_attempt(attempt, attempts[attempt.request_id], start):
                continue
            if start < allowed_from:
                when = start - attempt.ended_at
                yield f"{attempt.request_id}: ran {when:+.3f} s relative to 'not run'"


def _is_run_of_earlier_attempt(
    rejected: Attempt, attempts: list[Attempt], start: float
) -> bool:
    """Return whether an attempt before the rejected one caused the run."""
    if not isinstance(rejected.final_state, Rejected) or start >= rejected.sent_at:
        return False
    return any(earlier.sent_at <= start for earlier in attempts)


def keyed_once(history: History) -> Iterator[str]:
    """A request with a request key runs at most once."""
    keyed = {a.request_id for a in history.attempts if a.keyed}
    counts = Counter(run.request_id for run in history.runs)
    for request_id in sorted(keyed):
        if counts[request_id] > 1:
            servers = [r.server for r in history.runs if r.request_id == request_id]
            yield f"{request_id}: ran {counts[request_id]} times, at {servers}"


def stops_graceful(history: History) -> Iterator[str]:
    """A planned stop exits with 0 and interrupts no request in progress."""
    for stop in history.stops:
        if stop.exit_code != 0:
            yield f"{stop.instance} stopped with exit code {stop.exit_code}"
    if not history.planned:
        return
    for attempt in history.attempts:
        if isinstance(attempt.final_state, Interrupted | TimedOut | NotConnected):
            seconds = attempt.ended_at - attempt.sent_at
            when = f"sent {attempt.sent_at:.2f}, after {seconds:.3f} s"
            yield f"{attempt.request_id}: {attempt.final_state}, {when}"


def service_recovers(history: History) -> Iterator[str]:
    """Requests succeed soon after the faults, and every slot is usable again."""
    seconds = history.recovery_seconds
    if seconds is None or seconds > RECOVERY_LIMIT_SECONDS:
        yield f"requests succeeded after {seconds} s; limit {RECOVERY_LIMIT_SECONDS} s"
    for host in history.hosts:
        if host.usable < host.slots:
            yield f"{host.instance}: {host.usable} of {host.slots} slots usable"


def slots_respected(history: History) -> Iterator[str]:
    """No backend server runs more requests at the same time than it has slots."""
    for host in history.hosts:
        if host.peak_busy > host.slots:
            yield f"{host.instance}: peak {host.peak_busy} requests, {host.slots} slots"


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
    """Return one line for each violation of a guarantee."""
    return [
        f"{check.__name__}: {found}" for check in CHECKS for found in check(history)
    ]


def _check_feed_end(feed: Feed) -> Iterator[str]:
    if feed.interrupted:
        yield f"feed {feed.name} was interrupted after {len(feed.messages)} messages"
    elif len(feed.messages) <= feed.count_at_fault_end:
        yield f"feed {feed.name} stopped after {feed.count_at_fault_end} messages"


def _first_mismatch(numbers: list[int]) -> str:
    position = next(i for i, number in enumerate(numbers) if number != i)
    return f"message {numbers[position]} instead of {position}"


def _run_starts_by_request(history: History) -> dict[str, list[float]]:
    found: dict[str, list[float]] = defaultdict(list)
    for run in history.runs:
        found[run.request_id].append(run.start)
    return found


def _attempts_by_request(history: History) -> dict[str, list[Attempt]]:
    found: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in history.attempts:
        found[attempt.request_id].append(attempt)
    return found
