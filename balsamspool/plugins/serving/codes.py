"""Result codes of the serving plug-in."""

from balsamspool.kernel.errors import Outcome, result_code

NO_ROUTE = result_code(
    2101,
    "no-route",
    "No route of the service matches the path.",
    Outcome.NOT_RUN,
    404,
)
DEADLINE_PASSED = result_code(
    2102,
    "deadline-passed",
    "The deadline passed before the request was dispatched.",
    Outcome.NOT_RUN,
    504,
)
