"""Result codes of the admission plug-in."""

from balsamspool.kernel.errors import Outcome, result_code

QUEUE_FULL = result_code(
    1601,
    "queue-full",
    "The queue for the slots of the backend server is full.",
    Outcome.NOT_RUN,
    503,
)
DEADLINE_UNREACHABLE = result_code(
    1602,
    "deadline-unreachable",
    "The predicted wait for a slot exceeds the deadline.",
    Outcome.NOT_RUN,
    503,
)
FEEDS_FULL = result_code(
    1603,
    "feeds-full",
    "The host has reached its limit of open feeds.",
    Outcome.NOT_RUN,
    503,
)
NO_HOST = result_code(
    1604,
    "no-host",
    "Neither this host nor any other host of the service accepts new requests.",
    Outcome.NOT_RUN,
    503,
)
KEY_INVALID = result_code(
    1610,
    "key-invalid",
    "The request key is malformed, forged or issued for another service.",
    Outcome.NOT_RUN,
    400,
)
KEY_REUSED = result_code(
    1611,
    "key-reused",
    "The request key belongs to a request with another method, path or body.",
    Outcome.NOT_RUN,
    422,
)
KEY_MISSING = result_code(
    1612,
    "key-missing",
    "The route runs requests at most once and needs a request key.",
    Outcome.NOT_RUN,
    428,
)
KEYS_FULL = result_code(
    1613,
    "keys-full",
    "The table of request keys is full.",
    Outcome.NOT_RUN,
    503,
)
KEY_OUTCOME_UNKNOWN = result_code(
    1614,
    "key-outcome-unknown",
    "The outcome of the request with this key is unknown; it is not run again.",
    Outcome.UNKNOWN,
    409,
)
KEY_ALREADY_RUN = result_code(
    1615,
    "key-already-run",
    "The request with this key has run; its answer was too large to store.",
    Outcome.RAN,
    409,
)
