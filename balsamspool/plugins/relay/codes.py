"""Result codes of the relay plug-in."""

from balsamspool.kernel.errors import Outcome, result_code

RELAY_NOT_SENT = result_code(
    1850,
    "relay-not-sent",
    "The request was dropped before it was sent to the peer.",
    Outcome.NOT_RUN,
    503,
)
RELAY_PEER_LEAVING = result_code(
    1851,
    "relay-peer-leaving",
    "The peer is leaving and refused the request.",
    Outcome.NOT_RUN,
    503,
)
RELAY_PEER_FULL = result_code(
    1852,
    "relay-peer-full",
    "The peer refused the request because it runs too many relayed requests.",
    Outcome.NOT_RUN,
    503,
)
RELAY_TOO_LATE = result_code(
    1853,
    "relay-too-late",
    "The deadline had passed when the request reached the peer.",
    Outcome.NOT_RUN,
    503,
)
RELAY_REFUSED = result_code(
    1854,
    "relay-refused",
    "The peer refused the request with a code that this process does not know.",
    Outcome.NOT_RUN,
    503,
)
RELAY_SILENT = result_code(
    1860,
    "relay-silent",
    "No message arrived from the other process for too long.",
    Outcome.UNKNOWN,
    504,
)
RELAY_TIMEOUT = result_code(
    1861,
    "relay-timeout",
    "The deadline passed while the peer had the request.",
    Outcome.UNKNOWN,
    504,
)
RELAY_INCOMPLETE = result_code(
    1862,
    "relay-incomplete",
    "A part of a relayed stream was lost or its end is missing.",
    Outcome.UNKNOWN,
    502,
)
RELAY_MISMATCH = result_code(
    1863,
    "relay-mismatch",
    "A relayed stream breaks the protocol, such as a wrong count.",
    Outcome.UNKNOWN,
    502,
)
RELAY_PEER_FAILED = result_code(
    1864,
    "relay-peer-failed",
    "The peer reports that the request failed after it was accepted.",
    Outcome.UNKNOWN,
    502,
)
RELAY_BODY_FAILED = result_code(
    1865,
    "relay-body-failed",
    "The body of the request could not be read or sent to the peer.",
    Outcome.UNKNOWN,
    502,
)
