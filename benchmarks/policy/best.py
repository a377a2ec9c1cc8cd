"""An all-knowing scheduler, the reference for the best possible result."""

import heapq

from benchmarks.policy.fleet import DOMAIN_DELAY_SECONDS
from benchmarks.policy.workload import SLOTS_PER_HOST, Arrival, Workload


def answer_times(workload: Workload) -> dict[int, float]:
    """Schedule a workload with one central queue and known durations.

    The shortest request runs first, on the fastest free host; a request that can't
    meet its deadline is dropped. This is a strong heuristic, not a proven optimum. A
    host that turns slow has its final speed throughout; one that drains is not used.

    Returns:
        Seconds to the answer of each request answered in time, by request number.
    """
    delay = 2 * (workload.service.caller_delay + DOMAIN_DELAY_SECONDS)
    free_slots = [
        -speed for speed in workload.final_speeds for _ in range(SLOTS_PER_HOST)
    ]
    heapq.heapify(free_slots)
    busy_slots: list[tuple[float, float]] = []
    queue: list[tuple[float, int, Arrival]] = []
    result: dict[int, float] = {}

    def start_queued(time: float) -> None:
        while free_slots and queue:
            work, _, arrival = heapq.heappop(queue)
            speed = -free_slots[0]
            end = time + work / speed
            seconds = end + delay - arrival.time
            time_limit = arrival.route.deadline
            if arrival.leaves_after is not None:
                time_limit = arrival.leaves_after
            if seconds > time_limit:
                continue
            heapq.heappop(free_slots)
            heapq.heappush(busy_slots, (end, speed))
            result[arrival.number] = seconds

    def finish(until: float) -> None:
        while busy_slots and busy_slots[0][0] <= until:
            time, speed = heapq.heappop(busy_slots)
            heapq.heappush(free_slots, -speed)
            start_queued(time)

    for arrival in workload.arrivals:
        finish(arrival.time)
        heapq.heappush(queue, (arrival.work, arrival.number, arrival))
        start_queued(arrival.time)
    finish(float("inf"))
    return result
