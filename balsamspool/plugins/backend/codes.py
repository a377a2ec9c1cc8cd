"""Result codes of the backend plug-in."""

from balsamspool.kernel.errors import Outcome, result_code

BACKEND_UNREACHABLE = result_code(
    1701,
    "backend-unreachable",
    "No connection to the backend server could be opened.",
    Outcome.NOT_RUN,
    503,
)
BACKEND_FAILED = result_code(
    1702,
    "backend-failed",
    "The connection to the backend server failed after the request was dispatched.",
    Outcome.UNKNOWN,
    502,
)
BACKEND_TIMEOUT = result_code(
    1703,
    "backend-timeout",
    "The deadline passed after the request was dispatched.",
    Outcome.UNKNOWN,
    504,
)
