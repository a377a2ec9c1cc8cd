"""Log events of the platform plug-in."""

import logging

from balsamspool.kernel.events import log_event

WATCH_FAILED = log_event(
    2201,
    "platform-watch-failed",
    logging.WARNING,
    "A watch on the platform failed; it is repeated after a delay.",
)
WATCH_RESTORED = log_event(
    2202,
    "platform-watch-restored",
    logging.INFO,
    "A watch on the platform works again.",
)
PLATFORM_STALE = log_event(
    2203,
    "platform-stale",
    logging.WARNING,
    "The platform answered a watch with a revision that this process cannot use.",
)
