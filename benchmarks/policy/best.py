"""An all-knowing scheduler as the distance to the best."""

import heapq

from benchmarks.policy.fleet import DOMAIN_DELAY
from benchmarks.policy.workload import SLOTS, Arrival, Workload


def answered(workload: Workload) -> dict[int, float]:
    """Schedule a workload with one central queue and known lengths.

    Shortest work goes first, on the fastest free host; work that cannot meet its
    deadline is not begun. This is a strong heuristic, not a proven optimum. Hosts that
    churn are used at the speed that they have after the change.

    Returns:
        Seconds to the answer by number of the request, for those answered in time.
    """
    delay = 2 * (workload.service.caller_delay + DOMAIN_DELAY)
    free = [-speed for speed in workload.final_speeds for _ in range(SLOTS)]
    heapq.heapify(free)
    busy: list[tuple[float, float]] = []
    queue: list[tuple[float, int, Arrival]] = []
    result: dict[int, float] = {}

    def start(time: float) -> None:
        while free and queue:
            work, _, arrival = heapq.heappop(queue)
            speed = -free[0]
            end = time + work / speed
            seconds = end + delay - arrival.time
            patience = arrival.route.deadline
            if arrival.leaves is not None:
                patience = arrival.leaves
            if seconds > patience:
                continue
            heapq.heappop(free)
            heapq.heappush(busy, (end, speed))
            result[arrival.number] = seconds

    def finish(until: float) -> None:
        while busy and busy[0][0] <= until:
            time, speed = heapq.heappop(busy)
            heapq.heappush(free, -speed)
            start(time)

    for arrival in workload.arrivals:
        finish(arrival.time)
        heapq.heappush(queue, (arrival.work, arrival.number, arrival))
        start(arrival.time)
    finish(float("inf"))
    return result
