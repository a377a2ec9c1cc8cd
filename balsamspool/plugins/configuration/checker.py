"""Checks a configuration text."""

import ipaddress

import msgspec

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.keyring import keys_problem
from balsamspool.plugins.configuration.codes import TEXT_INVALID, TEXT_MALFORMED
from balsamspool.plugins.configuration.text import FORMAT, Text


def check_text(text: str) -> Text:
    """Parse and check a configuration text.

    Args:
        text: JSON text.

    Returns:
        The parsed text.

    Raises:
        ResultError: With code 1101 if the text is not JSON, 1102 if a field is wrong.
    """
    try:
        document = msgspec.json.decode(text, type=Text)
    except msgspec.ValidationError as error:
        raise ResultError(TEXT_INVALID, str(error)) from error
    except msgspec.DecodeError as error:
        raise ResultError(TEXT_MALFORMED, str(error)) from error
    _check_values(document)
    return document


def split_address(address: str) -> tuple[str, int]:
    """Split ``IPv4:port``.

    Args:
        address: Address with a port.

    Returns:
        The IPv4 address and the port.

    Raises:
        ValueError: If the address has another form.
    """
    host, _, port = address.rpartition(":")
    number = int(port)
    if not 0 < number < 65_536:
        raise ValueError(f"port {number} is not 1 to 65535")
    return str(ipaddress.IPv4Address(host)), number


def _check_values(document: Text) -> None:
    if document.format != FORMAT:
        raise ResultError(TEXT_INVALID, f"format {document.format} is not {FORMAT}")
    found = keys_problem(document.keys)
    if found is not None:
        raise ResultError(TEXT_INVALID, f"keys.{found[0]}: {found[1]}")
    numbers: dict[int, str] = {}
    for name, service in document.services.items():
        other = numbers.setdefault(service.number, name)
        if other != name:
            detail = f"services.{name}.number: {service.number} is taken by {other!r}"
            raise ResultError(TEXT_INVALID, detail)
        try:
            split_address(service.address)
        except ValueError as error:
            detail = f"services.{name}.address: {error}"
            raise ResultError(TEXT_INVALID, detail) from error
        for needed in service.depends_on:
            if needed not in document.services and needed not in document.dependencies:
                detail = f"services.{name}.depends_on: {needed!r} does not exist"
                raise ResultError(TEXT_INVALID, detail)
    for network in document.host_networks:
        try:
            ipaddress.IPv4Network(network)
        except ValueError as error:
            raise ResultError(TEXT_INVALID, f"host_networks: {error}") from error
