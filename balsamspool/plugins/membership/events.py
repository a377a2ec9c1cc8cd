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
    "An instance list could not be read; the previous list is kept.",
)
RECORDS_LEFT_OUT = log_event(
    1203,
    "instance-records-left-out",
    logging.ERROR,
    "Some records of the instance list are invalid and were left out.",
)
LIST_CONFLICT = log_event(
    1204,
    "instance-list-conflict",
    logging.ERROR,
    "An instance list with the known revision but another text was ignored.",
)
