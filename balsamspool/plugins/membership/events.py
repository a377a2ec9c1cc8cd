"""Log events of the membership plug-in."""

import logging

from balsamspool.kernel.events import log_event

LIST_STALE = log_event(
    1201,
    "instance-list-stale",
    logging.WARNING,
    "An instance list older than the known one was ignored.",
)
LIST_INVALID = log_event(
    1202,
    "instance-list-invalid",
    logging.ERROR,
    "An instance list could not be read; the last one is kept.",
)
