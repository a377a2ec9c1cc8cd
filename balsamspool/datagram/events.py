"""Log events of the datagram plug-ins."""

import logging

from balsamspool.kernel.events import log_event

FLOW_PLACED = log_event(
    2401, "flow-placed", logging.INFO, "An opening packet was sent to a host."
)
FLOW_MOVED = log_event(
    2402,
    "flow-moved",
    logging.INFO,
    "A copy of an opening packet was sent to another host.",
)
FLOW_REJECTED = log_event(
    2403, "flow-rejected", logging.INFO, "An opening packet was answered by a reset."
)
FLOW_IGNORED = log_event(
    2404,
    "flow-ignored",
    logging.INFO,
    "An opening packet was dropped because the catalog is not recent enough to rule "
    "out its route.",
)
FLOW_SEARCHED = log_event(
    2405,
    "flow-searched",
    logging.INFO,
    "A packet of an unknown flow was sent along the hosts that may hold the flow.",
)
FLOW_FOUND = log_event(
    2406, "flow-found", logging.INFO, "An agent confirmed that it holds a flow."
)
FLOW_LOST = log_event(
    2407,
    "flow-lost",
    logging.WARNING,
    "A backend server no longer holds a flow that it held; the caller got a reset.",
)
FLOW_UNKNOWN = log_event(
    2408,
    "flow-unknown",
    logging.INFO,
    "No queried host holds the flow of a packet; the packet was dropped.",
)
OPENING_PASSED_ON = log_event(
    2409,
    "opening-passed-on",
    logging.INFO,
    "An agent passed an opening packet on to another host.",
)
OPENING_DROPPED = log_event(
    2410,
    "opening-dropped",
    logging.WARNING,
    "No host was left to which an opening packet could be passed on.",
)
SERVER_SILENT = log_event(
    2411,
    "backend-server-silent",
    logging.WARNING,
    "The backend server does not answer opening packets.",
)
SERVER_ANSWERS = log_event(
    2412, "backend-server-answers", logging.INFO, "The backend server answers again."
)
HOST_AVOIDED = log_event(
    2413,
    "host-avoided",
    logging.WARNING,
    "An agent reported that its backend server started or stopped answering.",
)
SUBSCRIBER_ADDED = log_event(
    2414,
    "load-subscriber-added",
    logging.INFO,
    "An entry subscribed to load reports.",
)
SUBSCRIBER_EXPIRED = log_event(
    2415,
    "load-subscriber-expired",
    logging.INFO,
    "An entry did not renew its subscription to load reports.",
)
SEND_FAILED = log_event(
    2416, "datagram-send-failed", logging.WARNING, "A datagram could not be sent."
)
FLOW_ACCEPTED = log_event(
    2417, "flow-accepted", logging.INFO, "The backend server accepted a flow."
)
FLOW_RESET = log_event(
    2418,
    "flow-reset",
    logging.INFO,
    "A flow that its host no longer holds was reset.",
)
DATAGRAM_FAILED = log_event(
    2419,
    "datagram-handling-failed",
    logging.ERROR,
    "Handling a datagram failed with an unexpected error; later ones are handled.",
)
FLOW_RELEASED = log_event(
    2420,
    "flow-released",
    logging.INFO,
    "An agent says that its backend server no longer holds a flow; the entry forgets "
    "the host of the flow.",
)
FLOW_AWAITS_CATALOG = log_event(
    2421,
    "flow-awaits-catalog",
    logging.INFO,
    "No queried host holds a flow; its packets wait until the catalog has been read.",
)
HOST_REPORTS_AGAIN = log_event(
    2422,
    "host-reports-again",
    logging.WARNING,
    "A host reports whose flows this entry reset because the host seemed to be gone.",
)
FLOW_RESUMED = log_event(
    2423,
    "flow-resumed",
    logging.INFO,
    "An entry that searches sent a packet of a flow that the backend server holds, "
    "after a pause or after one side had ended the flow.",
)
FLOW_ACTIVE_AFTER_RETURN = log_event(
    2424,
    "flow-active-after-return",
    logging.INFO,
    "The backend server sent a packet of a flow that the agent had passed on, returned "
    "or reset.",
)
FLOW_NOT_HELD = log_event(
    2425,
    "flow-not-held",
    logging.INFO,
    "A packet of a flow was passed on or returned although its entry believes that the "
    "flow is held here, or its search goes on for longer than a second.",
)
FLOW_SEARCH_EXTENDED = log_event(
    2426,
    "flow-search-extended",
    logging.INFO,
    "No host of a route's known services holds a flow; hosts of other services are "
    "queried, because the flow may have opened under an unknown route table.",
)
BACKEND_SERVER_COLD = log_event(
    2427,
    "backend-server-cold",
    logging.INFO,
    "An entry told the agent that its backend server warms up and bears a limited "
    "number of new flows.",
)
OPENINGS_KEPT_OUT = log_event(
    2428,
    "openings-kept-out",
    logging.INFO,
    "Opening packets were not delivered because the backend server warms up and has "
    "reached its limit; at most one line a second.",
)
REQUESTS_WAIT = log_event(
    2429,
    "requests-wait",
    logging.INFO,
    "Requests wait at the agent because all slots of the backend server are in use; at "
    "most one line a second.",
)
REQUEST_EXPIRED = log_event(
    2430,
    "request-expired",
    logging.WARNING,
    "A request that waited was not sent to the backend server, because its caller no "
    "longer waits for the answer.",
)
