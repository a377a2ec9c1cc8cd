"""Result codes of the catalog plug-in."""

from balsamspool.kernel.errors import result_code

CATALOG_UNAVAILABLE = result_code(
    2301, "catalog-unavailable", "The published catalog could not be read."
)
CATALOG_HISTORY_LOST = result_code(
    2302,
    "catalog-history-lost",
    "The changes since the known revision are no longer available.",
)
CATALOG_MALFORMED = result_code(
    2303, "catalog-malformed", "An answer of the catalog service cannot be decoded."
)
CATALOG_PEER_UNAVAILABLE = result_code(
    2304, "catalog-peer-unavailable", "A peer did not answer a request for its catalog."
)
CATALOG_OUTDATED = result_code(
    2305,
    "catalog-outdated",
    "An answer is from before the catalog was restored from an older copy.",
)
