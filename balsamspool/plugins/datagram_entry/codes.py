"""Result codes of the plug-in of the entry for opaque flows."""

from balsamspool.kernel.errors import result_code

EXPLANATION_INVALID = result_code(
    2401,
    "explanation-invalid",
    "A request to explain a placement lacks a caller or a route, or has a wrong one.",
)
