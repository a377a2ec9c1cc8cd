"""Log events of the frontend plug-in."""

import logging

from balsamspool.kernel.events import log_event

CONNECTION_OPENED = log_event(
    1501, "connection-opened", logging.DEBUG, "A caller's connection was accepted."
)
CONNECTION_CLOSED = log_event(
    1502, "connection-closed", logging.DEBUG, "A caller's connection has ended."
)
