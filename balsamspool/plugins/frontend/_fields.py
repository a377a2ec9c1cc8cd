"""Reads the header fields of an HTTP/3 request."""

import re
from dataclasses import dataclass

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.frontend.codes import (
    EXPECTATION_UNKNOWN,
    METHOD_UNSUPPORTED,
    REQUEST_MALFORMED,
)
from balsamspool.requests.request import Headers

_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Visible ASCII without "#", which starts a fragment; all other characters must be
# percent-encoded.
_PATH = re.compile(r"/[!-\"$-~]*")
# A backend server may resolve dot segments. It would then serve a different route from
# the one for which the request was admitted.
_DOT_SEGMENT = re.compile(r"/(\.|%2e){1,2}(/|$)", re.IGNORECASE)
_REQUIRED_PSEUDO_FIELDS = (":method", ":scheme", ":authority", ":path")
# Fields that are not passed on, because they apply to this connection only or are set
# again for the next hop.
_OMITTED_FIELDS = frozenset(
    ("host", "expect", "te", "trailer", "content-length", "cookie")
)


@dataclass(frozen=True, slots=True)
class ValidFields:
    """Header fields of a request that can be run.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: Header fields to pass on.
        content_length: Announced length of the body in bytes, None if not announced.
        expects_continue: Whether the caller waits for the status 100.
    """

    method: str
    path: str
    headers: Headers
    content_length: int | None
    expects_continue: bool

    def header(self, name: str) -> str | None:
        """Return the first header field with a name in lower case, or None."""
        return next((value for key, value in self.headers if key == name), None)


@dataclass(frozen=True, slots=True)
class InvalidFields:
    """Header fields of a request that is refused.

    Attributes:
        error: Why it is refused.
    """

    error: ResultError


def read_fields(fields: list[tuple[bytes, bytes]]) -> ValidFields | InvalidFields:
    """Check the header fields of a request and split off the pseudo-header fields.

    Names, values and duplicates have been checked by the HTTP/3 library.

    Args:
        fields: Header fields with pseudo-header fields.

    Returns:
        The fields of a valid request, or why it is refused.
    """
    decoded = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in fields]
    pseudo = {name: value for name, value in decoded if name.startswith(":")}
    regular = [pair for pair in decoded if not pair[0].startswith(":")]
    try:
        _check_pseudo(pseudo)
        length = _content_length(regular)
        expects = _expects_continue(regular)
        _check_host(regular, pseudo[":authority"])
    except ResultError as error:
        return InvalidFields(error)
    headers = [pair for pair in regular if pair[0] not in _OMITTED_FIELDS]
    headers.append(("host", pseudo[":authority"]))
    if length is not None:
        headers.append(("content-length", str(length)))
    cookies = [value for name, value in regular if name == "cookie"]
    if cookies:
        # HTTP/3 may split this field; the next hop accepts only one (RFC 9114, 4.2.1).
        headers.append(("cookie", "; ".join(cookies)))
    return ValidFields(pseudo[":method"], pseudo[":path"], headers, length, expects)


def _check_pseudo(pseudo: dict[str, str]) -> None:
    method = pseudo.get(":method", "")
    if method == "CONNECT" or ":protocol" in pseudo:
        raise ResultError(METHOD_UNSUPPORTED, f"method {method!r} opens a tunnel")
    for name in _REQUIRED_PSEUDO_FIELDS:
        if not pseudo.get(name):
            raise ResultError(REQUEST_MALFORMED, f"field {name!r} is missing")
    if not _TOKEN.fullmatch(method):
        raise ResultError(REQUEST_MALFORMED, f"method {method!r} is not a token")
    path = pseudo[":path"]
    if _DOT_SEGMENT.search(path.partition("?")[0]):
        raise ResultError(REQUEST_MALFORMED, f"path {path!r} has a dot segment")
    if not _PATH.fullmatch(path) and (method, path) != ("OPTIONS", "*"):
        raise ResultError(REQUEST_MALFORMED, f"path {path!r} is not valid")


def _content_length(fields: Headers) -> int | None:
    values = {value for name, value in fields if name == "content-length"}
    if not values:
        return None
    value = values.pop()
    if values or not (value.isascii() and value.isdigit()):
        raise ResultError(REQUEST_MALFORMED, "content-length is not a single number")
    return int(value)


def _expects_continue(fields: Headers) -> bool:
    values = [value for name, value in fields if name == "expect"]
    for value in values:
        if value.lower() != "100-continue":
            raise ResultError(
                EXPECTATION_UNKNOWN, f"expectation {value!r} is not supported"
            )
    return bool(values)


def _check_host(fields: Headers, authority: str) -> None:
    for name, value in fields:
        if name == "host" and value != authority:
            detail = f"host {value!r} differs from the authority {authority!r}"
            raise ResultError(REQUEST_MALFORMED, detail)
