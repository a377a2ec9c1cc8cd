"""Result codes of the platform plug-in."""

from balsamspool.kernel.errors import result_code

PLATFORM_UNAVAILABLE = result_code(
    2201, "platform-unavailable", "No platform address answered a read."
)
PLATFORM_MALFORMED = result_code(
    2202, "platform-malformed", "The platform sent an answer that cannot be decoded."
)
