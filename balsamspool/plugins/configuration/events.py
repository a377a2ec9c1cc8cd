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
    "An invalid text was refused; the last valid one stays in force.",
)
