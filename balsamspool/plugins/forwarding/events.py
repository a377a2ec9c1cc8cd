"""Log events of the forwarding plug-ins."""

import logging

from balsamspool.kernel.events import log_event

ADDRESS_OPENED = log_event(
    1401, "service-address-opened", logging.INFO, "A service address is open."
)
ADDRESS_CLOSED = log_event(
    1402, "service-address-closed", logging.INFO, "A service address was closed."
)
ADDRESS_UNAVAILABLE = log_event(
    1403,
    "service-address-unavailable",
    logging.ERROR,
    "A service address could not be opened; it is tried again.",
)
