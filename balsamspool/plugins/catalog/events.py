"""Log events of the catalog plug-in."""

import logging

from balsamspool.kernel.events import log_event

CATALOG_READ = log_event(
    2301, "catalog-read", logging.INFO, "The whole published catalog was read."
)
CATALOG_LOST = log_event(
    2302,
    "catalog-lost",
    logging.WARNING,
    "The published catalog cannot be reached; the last known one stays in use.",
)
CATALOG_REGAINED = log_event(
    2303, "catalog-regained", logging.INFO, "The published catalog answers again."
)
HISTORY_LOST = log_event(
    2304,
    "catalog-history-lost",
    logging.WARNING,
    "Changes are no longer available; the whole catalog is read again.",
)
ROUTES_IN_FORCE = log_event(
    2305, "routes-in-force", logging.INFO, "A newer route table is in force."
)
ROUTES_IGNORED = log_event(
    2306,
    "routes-ignored",
    logging.WARNING,
    "A route table was ignored because its version is not newer.",
)
SERVER_CHANGED = log_event(
    2307,
    "backend-server-changed",
    logging.INFO,
    "A backend server appeared or changed.",
)
SERVER_REMOVED = log_event(
    2308, "backend-server-removed", logging.INFO, "A backend server was removed."
)
SERVER_REMOVAL_DELAYED = log_event(
    2309,
    "backend-server-removal-delayed",
    logging.WARNING,
    "A backend server is no longer listed, maybe after an outage of the catalog; it is "
    "kept for about 2 s because its entry may be listed again.",
)
RECORD_IGNORED = log_event(
    2310, "catalog-record-ignored", logging.WARNING, "A record could not be used."
)
SNAPSHOT_TAKEN = log_event(
    2311,
    "catalog-from-peer",
    logging.INFO,
    "Newer records of a peer were applied.",
)
PEER_LOST = log_event(
    2312,
    "catalog-peer-unreachable",
    logging.WARNING,
    "A peer did not answer a request for its catalog.",
)
REFRESH_FAILED = log_event(
    2313,
    "catalog-refresh-failed",
    logging.WARNING,
    "The catalog could not be updated to decide on unknown flows.",
)
HISTORY_READ = log_event(
    2314,
    "catalog-history-read",
    logging.INFO,
    "The changes before the start were read to find entries that may have expired.",
)
CATALOG_UPDATED = log_event(
    2315,
    "catalog-updated",
    logging.INFO,
    "The latest changes of the catalog were read to decide on unknown flows.",
)
PEER_REGAINED = log_event(
    2316,
    "catalog-peer-regained",
    logging.INFO,
    "A peer answers requests for its catalog again.",
)
UPSTREAM_CHANGED = log_event(
    2317,
    "catalog-upstream-changed",
    logging.INFO,
    "The catalog is now read from the publishing service, or from a peer.",
)
CATALOG_RESTORED = log_event(
    2318,
    "catalog-restored",
    logging.WARNING,
    "The published catalog was restored from an older copy; all of it is read again.",
)
SERVER_REPORT_OUTDATED = log_event(
    2319,
    "backend-server-report-outdated",
    logging.INFO,
    "A record of the restored catalog is not used because a later report of the same "
    "backend server is known; it is looked at again if the server is not listed.",
)
ROUTES_LEFT_OUT = log_event(
    2320,
    "routes-left-out",
    logging.WARNING,
    "Routes that cannot be used were left out of their table; the others are used.",
)
ADDRESS_SHARED = log_event(
    2321,
    "backend-server-address-shared",
    logging.WARNING,
    "Two backend servers are listed at one address. Flows are searched for at both, "
    "but the one that is succeeded gets no new flows.",
)
SERVICES_FORGOTTEN = log_event(
    2322,
    "route-services-forgotten",
    logging.WARNING,
    "Too many earlier services of a route, or of too many routes, to remember; until "
    "their flows have ended, unknown flows are searched for at the hosts of all "
    "services.",
)
DOMAIN_CORDONED = log_event(
    2323,
    "failure-domain-cordoned",
    logging.WARNING,
    "A failure domain was taken out of service; its hosts get no new flows.",
)
DOMAIN_UNCORDONED = log_event(
    2324,
    "failure-domain-uncordoned",
    logging.WARNING,
    "A failure domain is back in service.",
)
DOMAIN_UNCORDON_DELAYED = log_event(
    2325,
    "failure-domain-uncordon-delayed",
    logging.WARNING,
    "The restored catalog no longer lists a failure domain as out of service; it stays "
    "out for about 2 s because its record may be written again.",
)
DOMAIN_UNKNOWN = log_event(
    2326,
    "failure-domain-unknown",
    logging.WARNING,
    "A failure domain without a backend server was taken out of service.",
)
CORDON_IGNORED = log_event(
    2327,
    "cordon-ignored",
    logging.ERROR,
    "Too many failure domains are out of service; another one is ignored.",
)
SERVICE_LEFT_OUT = log_event(
    2328,
    "service-left-out",
    logging.WARNING,
    "The warm-up of a service cannot be read; its backend servers have no limit.",
)
FLEET_RESTARTED = log_event(
    2329,
    "fleet-restarted",
    logging.WARNING,
    "All backend servers have just started, so none that is not listed holds a flow; "
    "unknown flows are reset without waiting for entries that may be listed again.",
)
FLEET_RESTART_UNPROVEN = log_event(
    2330,
    "fleet-restart-unproven",
    logging.INFO,
    "Entries were removed without a known reason, and it is not certain that all "
    "backend servers have just started; unknown flows wait until entries are listed "
    "again.",
)
ANSWER_SLOW = log_event(
    2331,
    "catalog-answer-slow",
    logging.WARNING,
    "Reading the records of one answer took long; the process did nothing else "
    "meanwhile.",
)
SERVER_REPORT_CONFIRMED = log_event(
    2332,
    "backend-server-report-confirmed",
    logging.INFO,
    "The entry of a backend server that was removed before a restore still stands, so "
    "the server is listed again.",
)
