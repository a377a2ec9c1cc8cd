"""Log events of the frontend plug-in."""

import logging

from balsamspool.kernel.events import log_event

CONNECTION_OPENED = log_event(
    1501, "connection-opened", logging.DEBUG, "A caller's connection was accepted."
)
CONNECTION_CLOSED = log_event(
    1502, "connection-closed", logging.DEBUG, "A caller's connection has ended."
)
CONNECTION_FAILED = log_event(
    1503,
    "connection-failed",
    logging.ERROR,
    "A caller's connection was ended by an internal error.",
)
REQUEST_TASK_FAILED = log_event(
    1504,
    "request-task-failed",
    logging.ERROR,
    "A request was ended by an internal error.",
)
DRAIN_STARTED = log_event(
    1505,
    "frontend-drain-started",
    logging.INFO,
    "The front end refuses new connections and closes open ones when idle.",
)
DRAIN_ENDED = log_event(
    1506,
    "frontend-drain-ended",
    logging.INFO,
    "The front end accepts new connections again.",
)
DATAGRAM_FAILED = log_event(
    1507,
    "datagram-failed",
    logging.ERROR,
    "A datagram was dropped because of an internal error.",
)
