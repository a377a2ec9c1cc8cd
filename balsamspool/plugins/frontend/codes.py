"""Result codes of the frontend plug-in."""

from balsamspool.kernel.errors import Outcome, result_code

REQUEST_MALFORMED = result_code(
    1501,
    "request-malformed",
    "The header fields or the length of the request do not follow HTTP/3.",
    Outcome.NOT_RUN,
    400,
)
BODY_TOO_LARGE = result_code(
    1502,
    "body-too-large",
    "The request body is larger than the service allows.",
    Outcome.NOT_RUN,
    413,
)
BODY_EXCEEDED = result_code(
    1503,
    "body-exceeded",
    "The request body grew larger than the service allows while the request ran.",
    Outcome.UNKNOWN,
    413,
)
EXPECTATION_UNKNOWN = result_code(
    1504,
    "expectation-unknown",
    "The request expects something other than 100-continue.",
    Outcome.NOT_RUN,
    417,
)
METHOD_UNSUPPORTED = result_code(
    1505,
    "method-unsupported",
    "The request opens a tunnel, which the agent does not support.",
    Outcome.NOT_RUN,
    501,
)
REQUEST_FAILED = result_code(
    1506,
    "request-failed",
    "An internal error occurred in the agent while the request ran.",
    Outcome.UNKNOWN,
    500,
)
