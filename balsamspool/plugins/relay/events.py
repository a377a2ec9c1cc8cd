"""Log events of the relay plug-in."""

import logging

from balsamspool.kernel.events import log_event

RELAY_TASK_FAILED = log_event(
    1850,
    "relay-task-failed",
    logging.ERROR,
    "Running a peer's request raised an unexpected exception.",
)
RELAY_PEER_SILENT = log_event(
    1851,
    "relay-peer-silent",
    logging.WARNING,
    "A peer's request was cancelled because no message arrived from the peer.",
)
