"""Log events of the configuration plug-in."""

import logging

from balsamspool.kernel.events import log_event

CONFIGURATION_IN_FORCE = log_event(
    1101, "configuration-in-force", logging.INFO, "A configuration is in force."
)
CONFIGURATION_STALE = log_event(
    1102,
    "configuration-stale",
    logging.WARNING,
    "A revision lower than the one in force was ignored.",
)
CONFIGURATION_INVALID = log_event(
    1103,
    "configuration-invalid",
    logging.ERROR,
    "An invalid text was refused; the last valid text stays in force.",
)
CONFIGURATION_CONFLICT = log_event(
    1104,
    "configuration-conflict",
    logging.ERROR,
    "A different text with the revision in force was ignored.",
)
CONFIGURATION_REVERTED = log_event(
    1105,
    "configuration-reverted",
    logging.ERROR,
    "A part of the process could not apply a text; the previous one is in force again.",
)
RESTORE_FAILED = log_event(
    1106,
    "configuration-restore-failed",
    logging.ERROR,
    "A part of the process could not return to the previous text.",
)
