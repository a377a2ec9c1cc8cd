"""Result codes of the configuration plug-in."""

from balsamspool.kernel.errors import result_code

TEXT_MALFORMED = result_code(
    1101, "text-malformed", "The configuration text is not valid JSON."
)
TEXT_INVALID = result_code(
    1102, "text-invalid", "A field of the configuration text is unknown or wrong."
)
NO_CONFIGURATION = result_code(
    1103, "no-configuration", "No configuration is in force yet."
)
TEXT_TOO_LARGE = result_code(
    1104, "text-too-large", "The configuration text is larger than one megabyte."
)
NUMBER_REUSED = result_code(
    1105,
    "number-reused",
    "The text changes which service a number belongs to.",
)
SUBSCRIBER_FAILED = result_code(
    1106,
    "subscriber-failed",
    "A part of the process could not apply the text; the previous text stays in force.",
)
