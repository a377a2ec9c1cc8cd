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
BODY_TOO_LARGE = result_code(
    2103,
    "body-too-large",
    "The request body is larger than the limit of the service.",
    Outcome.NOT_RUN,
    413,
)
BODY_LIMIT_PASSED = result_code(
    2104,
    "body-limit-passed",
    "The request body exceeded the limit of the service after the dispatch.",
    Outcome.UNKNOWN,
    413,
)
CANCELLED = result_code(
    2105,
    "cancelled",
    "The caller cancelled the request before it was dispatched.",
    Outcome.NOT_RUN,
    499,
)
INTERRUPTED = result_code(
    2106,
    "interrupted",
    "The request was interrupted after it was dispatched.",
    Outcome.UNKNOWN,
    500,
)
METHOD_NOT_ALLOWED = result_code(
    2107,
    "method-not-allowed",
    "Request keys are issued for POST only.",
    Outcome.NOT_RUN,
    405,
)
DUPLICATE_TIMEOUT = result_code(
    2108,
    "duplicate-timeout",
    "The deadline passed while the first request with the same key was running.",
    Outcome.UNKNOWN,
    504,
)
FEED_ENDED = result_code(
    2109,
    "feed-ended",
    "The host is leaving and the configured time for open feeds has passed.",
    Outcome.RAN,
    503,
)
