"""Log events of the mesh plug-in."""

import logging

from balsamspool.kernel.events import log_event

SUBSCRIBER_FAILED = log_event(
    1801,
    "mesh-subscriber-failed",
    logging.ERROR,
    "The handler of a mesh message raised an exception; the message is lost.",
)
PEERS_EXHAUSTED = log_event(
    1802,
    "mesh-peers-exhausted",
    logging.WARNING,
    "A message was dropped because the limit on the number of peers is reached.",
)
