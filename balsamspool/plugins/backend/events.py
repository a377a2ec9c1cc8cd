"""Log events of the backend plug-in."""

import logging

from balsamspool.kernel.events import log_event

BACKEND_SUSPENDED = log_event(
    1701,
    "backend-suspended",
    logging.WARNING,
    "The backend server failed repeatedly and gets no requests for now.",
)
BACKEND_TRIAL = log_event(
    1702,
    "backend-trial",
    logging.INFO,
    "The backend server gets requests again, on trial.",
)
BACKEND_HEALTHY = log_event(
    1703, "backend-healthy", logging.INFO, "The backend server has passed its trial."
)
BACKEND_DRAINING = log_event(
    1704,
    "backend-draining",
    logging.INFO,
    "The backend server started or stopped draining.",
)
