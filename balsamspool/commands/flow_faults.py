"""Finds flows in the logs of a run that an entry may have handled wrongly."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

from balsamspool.commands.log_lines import LogLine

# Searches that last longer are listed.
LONG_SEARCH_SECONDS = 2.0
# Lines of an agent that show that its backend server holds a flow.
_ACTIVITY = frozenset({"flow-resumed", "flow-active-after-return"})
_SEARCH_LINES = frozenset(
    {"flow-searched", "flow-found", "flow-unknown", "flow-awaits-catalog", "flow-reset"}
)


@dataclass(frozen=True, slots=True)
class SuspectedReset:
    """A reset of a flow whose backend server seems to have been sound.

    Attributes:
        line: Line of the entry that reset the flow.
        cause: ``give-up``, ``search``, ``belief`` or ``returned``.
        evidence: What the logs show, in words.
    """

    line: LogLine
    cause: str
    evidence: str


@dataclass(frozen=True, slots=True)
class LongSearch:
    """A search for a flow that lasted long.

    Attributes:
        line: Last line of the entry about the search.
        seconds: Time for which the flow had no host.
        evidence: What the logs show, in words.
    """

    line: LogLine
    seconds: float
    evidence: str


@dataclass(frozen=True, slots=True)
class SharedFlow:
    """A flow that several backend servers accepted.

    Attributes:
        line: Line of the agent whose backend server accepted it last.
        evidence: What the logs show, in words.
    """

    line: LogLine
    evidence: str


@dataclass(slots=True)
class FlowFaults:
    """Flows that an entry may have handled wrongly.

    Attributes:
        resets: Suspected wrong resets, in order of time.
        searches: Long searches, the longest first.
        shared: Flows that several backend servers accepted, in order of time.
    """

    resets: list[SuspectedReset] = field(default_factory=list)
    searches: list[LongSearch] = field(default_factory=list)
    shared: list[SharedFlow] = field(default_factory=list)


class _Run:
    """Lines of a run by flow and by instance.

    Args:
        lines: Log lines of all processes in order of time.
    """

    __slots__ = ("_accepted", "_addresses", "_reports", "_servers", "_starts", "flows")

    def __init__(self, lines: Iterable[LogLine]) -> None:
        self.flows: defaultdict[str, list[LogLine]] = defaultdict(list)
        self._addresses: dict[str, str] = {}
        # Times by instance, and backend servers with the time of their line by address.
        self._accepted: defaultdict[str, list[datetime]] = defaultdict(list)
        self._starts: defaultdict[str, list[datetime]] = defaultdict(list)
        self._servers: defaultdict[str, list[tuple[datetime, str]]] = defaultdict(list)
        self._reports: defaultdict[str, list[LogLine]] = defaultdict(list)
        for line in lines:
            self._add(line)

    def address(self, instance: str) -> str | None:
        """Return the address of an instance, None if no line names it."""
        return self._addresses.get(instance)

    def server_at(self, address: str | None, time: datetime) -> str | None:
        """Return the backend server that an address had at a time."""
        found = None
        for first_listed, server in self._servers.get(address or "", ()):
            if first_listed > time:
                break
            found = server
        return found

    def replaced(self, address: str | None, server: str | None) -> bool:
        """Return whether another backend server was listed later at an address."""
        names = [name for _, name in self._servers.get(address or "", ())]
        return server in names and names[-1] != server

    def accepted_again(self, accepted: LogLine, time: datetime) -> float | None:
        """Return the seconds until the host of a flow accepted another flow.

        Args:
            accepted: Line of its agent that says that the host accepted the flow.
            time: Time from which the seconds count.

        Returns:
            None if it did not, or only after its agent had started again.
        """
        later = _first_after(self._accepted[accepted.instance], time)
        if later is None or self.started_until(accepted, later):
            return None
        return (later - time).total_seconds()

    def started_until(self, accepted: LogLine, time: datetime) -> bool:
        """Return whether the agent of a flow has started again before a time."""
        started = _first_after(self._starts[accepted.instance], accepted.time)
        return started is not None and started <= time

    def reported_again(self, address: str | None, time: datetime) -> LogLine | None:
        """Return the line that says that a host reports after it was given up."""
        for line in self._reports.get(address or "", ()):
            if line.time > time:
                return line
        return None

    def _add(self, line: LogLine) -> None:
        fields = line.fields
        if line.flow is not None:
            self.flows[line.flow].append(line)
        match line.name:
            case "process-started":
                self._starts[line.instance].append(line.time)
                if "address" in fields:
                    self._addresses[line.instance] = str(fields["address"])
            case "flow-accepted":
                self._accepted[line.instance].append(line.time)
            case "backend-server-changed":
                listed = self._servers[str(fields.get("address"))]
                server = str(fields.get("server"))
                if server not in (name for _, name in listed):
                    listed.append((line.time, server))
            case "host-reports-again":
                self._reports[str(fields.get("address"))].append(line)


def find_flow_faults(lines: Iterable[LogLine]) -> FlowFaults:
    """Return the flows of a run that an entry may have handled wrongly.

    Args:
        lines: Log lines of all processes in order of time.
    """
    run = _Run(lines)
    faults = FlowFaults()
    for found in run.flows.values():
        for flow in _split_by_opening(found):
            for line in flow:
                if line.name == "flow-reset":
                    faults.resets.extend(_suspect(run, flow, line))
            faults.searches.extend(_long_searches(run, flow))
            faults.shared.extend(_shared(flow))
    faults.resets.sort(key=lambda suspected: suspected.line.time)
    faults.searches.sort(key=lambda search: -search.seconds)
    faults.shared.sort(key=lambda shared: shared.line.time)
    return faults


def _split_by_opening(lines: list[LogLine]) -> Iterator[list[LogLine]]:
    """Yield the lines of each of the flows that used the same port in turn."""
    flow: list[LogLine] = []
    for line in lines:
        if line.name == "flow-placed" and flow:
            yield flow
            flow = []
        flow.append(line)
    yield flow


def _suspect(
    run: _Run, flow: list[LogLine], reset: LogLine
) -> Iterator[SuspectedReset]:
    """Yield a reset if the logs show that the backend server of its flow was sound."""
    evidence = [
        f"{line.name} at {line.instance} {_seconds(reset, line):.1f} s later"
        for line in flow
        if line.name in _ACTIVITY and line.time > reset.time
    ][:1]
    accepted = _holder(flow, reset.time)
    address = run.address(accepted.instance) if accepted is not None else None
    if accepted is not None:
        evidence += _soundness(run, accepted, address, reset)
    if not evidence:
        return
    fields = reset.fields
    believed = fields.get("address")
    if believed is not None and address is not None and believed != address:
        cause = "belief"
        evidence.append(f"believed at {fields.get('host')} {believed}")
    else:
        match fields.get("reason"):
            case "host-gone":
                cause = "give-up"
                evidence.append(f"removed {fields.get('removed_seconds')} s before")
                evidence.append(f"report age {fields.get('report_age')}")
            case "held-nowhere":
                cause = "search"
                evidence += _search_evidence(run, fields, address, reset.time)
            case _:
                cause = "returned"
                evidence.append(f"report age {fields.get('report_age')}")
    yield SuspectedReset(reset, cause, "; ".join(evidence))


def _soundness(
    run: _Run, accepted: LogLine, address: str | None, reset: LogLine
) -> list[str]:
    """Return what shows that the host of a flow was sound after its reset."""
    server = run.server_at(address, accepted.time)
    if run.replaced(address, server):
        return []
    found = []
    again = run.accepted_again(accepted, reset.time)
    if again is not None:
        found.append(f"{accepted.instance} accepted a flow {again:.1f} s later")
    report = run.reported_again(address, reset.time)
    if report is not None and not run.started_until(accepted, report.time):
        flows = report.fields.get("flows")
        seconds = _seconds(reset, report)
        found.append(f"it reported {flows} flows {seconds:.1f} s later")
    return found


def _shared(flow: list[LogLine]) -> Iterator[SharedFlow]:
    """Yield a flow that several backend servers accepted."""
    accepted = [line for line in flow if line.name == "flow-accepted"]
    if len({line.instance for line in accepted}) < 2:
        return
    first, last = accepted[0], accepted[-1]
    evidence = [
        f"{line.instance} {_seconds(first, line):.3f} s after the first"
        for line in accepted[:4]
    ]
    evidence += [
        f"believed at {line.fields.get('address')}"
        for line in flow
        if line.name == "flow-found"
    ][-1:]
    refused = sum(line.name == "flow-not-held" for line in flow)
    if refused:
        evidence.append(f"{refused} lines of hosts that did not hold it")
    yield SharedFlow(last, "; ".join(evidence))


def _long_searches(run: _Run, flow: list[LogLine]) -> Iterator[LongSearch]:
    """Yield the searches of each entry for a flow that lasted long."""
    last: dict[str, LogLine] = {}
    searched: dict[str, LogLine] = {}
    for line in flow:
        if line.name not in _SEARCH_LINES or line.fields.get("seconds") is None:
            if line.name == "flow-searched":
                yield from _long_search(run, flow, last, searched, line.instance)
                searched[line.instance] = line
            continue
        last[line.instance] = line
        if line.name == "flow-searched":
            searched[line.instance] = line
        elif line.name in ("flow-found", "flow-reset"):
            yield from _long_search(run, flow, last, searched, line.instance)
    for instance in list(last):
        yield from _long_search(run, flow, last, searched, instance)


def _long_search(
    run: _Run,
    flow: list[LogLine],
    last: dict[str, LogLine],
    searched: dict[str, LogLine],
    instance: str,
) -> Iterator[LongSearch]:
    line = last.pop(instance, None)
    if line is None or float(line.fields["seconds"]) <= LONG_SEARCH_SECONDS:
        return
    evidence = [_outcome(line)]
    accepted = _holder(flow, line.time)
    address = run.address(accepted.instance) if accepted is not None else None
    if accepted is not None:
        evidence.append(f"accepted by {accepted.instance}")
    fields = line.fields
    if instance in searched:
        fields = {**searched[instance].fields, **fields}
    evidence += _search_evidence(run, fields, address, line.time)
    yield LongSearch(line, float(line.fields["seconds"]), "; ".join(evidence))


def _outcome(line: LogLine) -> str:
    match line.name:
        case "flow-found":
            return f"found at {line.fields.get('address')}"
        case "flow-reset":
            return f"reset, {line.fields.get('reason')}"
        case _:
            return f"not found, last {line.name}"


def _search_evidence(
    run: _Run, fields: dict[str, Any], address: str | None, time: datetime
) -> list[str]:
    """Return what a search covered, and what it says about the host of the flow."""
    server = run.server_at(address, time)
    evidence = [f"{fields.get('answered') or 0} of {fields.get('queried')} answered"]
    if server is not None and server in (fields.get("unanswered") or ()):
        evidence.append(f"no answer of {server}")
    if server is not None and server in (fields.get("not_queried") or ()):
        evidence.append(f"{server} not queried")
    omitted = fields.get("left_out") or fields.get("omitted")
    if omitted:
        text = ",".join(omitted) if isinstance(omitted, list) else omitted
        evidence.append(f"left out {text}")
    return evidence


def _holder(flow: list[LogLine], time: datetime) -> LogLine | None:
    """Return the last line that says that a host accepted a flow before a time."""
    found = None
    for line in flow:
        if line.name == "flow-accepted" and line.time <= time:
            found = line
    return found


def _first_after(times: list[datetime], time: datetime) -> datetime | None:
    index = bisect_right(times, time + timedelta(milliseconds=1))
    return times[index] if index < len(times) else None


def _seconds(first: LogLine, second: LogLine) -> float:
    return (second.time - first.time).total_seconds()
