"""Settings of a process: one JSON object with a section for each plug-in."""

import re
import socket
from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from balsamspool.kernel.decoding import decode_json
from balsamspool.kernel.errors import (
    SETTINGS_INVALID,
    SETTINGS_UNREADABLE,
    ResultError,
)
from balsamspool.kernel.keyring import NO_KEYS, KeySet, keys_problem

Port = Annotated[int, Meta(ge=1, le=65535)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]

_decoder = msgspec.json.Decoder()
_PORT = re.compile("[1-9][0-9]{0,4}")
_MAX_PORT = 65_535
# First octet of the multicast addresses; the addresses above them are reserved.
_FIRST_MULTICAST = 224
# Characters of a wrong value that an error shows.
_SHOWN_CHARACTERS = 60


def is_ipv4(address: str) -> bool:
    """Return whether a string is an IPv4 address in dotted form."""
    try:
        # The module ipaddress is not used, because its import would take a tenth of the
        # start time of a small process.
        socket.inet_pton(socket.AF_INET, address)
    except (OSError, ValueError):
        return False
    return True


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return address and port of an endpoint in the form ``address:port``.

    Raises:
        ValueError: If the endpoint has another form, or its address or port is not
            valid.
    """
    address, _, port = endpoint.rpartition(":")
    if not is_ipv4(address):
        raise ValueError(f"{address[:_SHOWN_CHARACTERS]!r} is not an IPv4 address")
    return address, read_port(port)


def split_host_endpoint(endpoint: str) -> tuple[str, int]:
    """Return address and port of an endpoint to which packets can be sent.

    Raises:
        ValueError: If the endpoint is not valid, or its address is not that of one
            host: unspecified, multicast, reserved or broadcast.
    """
    address, port = split_endpoint(endpoint)
    # The system delivers packets to 0.0.0.0 to the sender's own machine.
    if not 0 < int(address.partition(".")[0]) < _FIRST_MULTICAST:
        raise ValueError(f"{address!r} is not the address of a host")
    return address, port


def read_port(text: str) -> int:
    """Return the port that a text names in decimal digits.

    Raises:
        ValueError: If the text has another form or the port is not valid.
    """
    # int() also accepts blanks, signs, underscores and digits of other scripts.
    if not _PORT.fullmatch(text) or int(text) > _MAX_PORT:
        raise ValueError(
            f"port {text[:_SHOWN_CHARACTERS]!r} is not between 1 and {_MAX_PORT}"
        )
    return int(text)


class Section(Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the settings of one plug-in."""

    def problem(self) -> tuple[str, str] | None:
        """Return the field and what is wrong with it, or None if all is valid."""
        return None


class BaseProcessSettings(Section, frozen=True, kw_only=True):
    """Settings of a process that shares no keys with others.

    Attributes:
        instance: Name of the instance, unique in the fleet.
        failure_domain: Failure domain in which the instance runs.
        address: IPv4 address of the instance.
        data_port: UDP port for datagrams between entries and agents.
        peer_port: TCP port for messages between processes.
        admin_port: TCP port for metrics, health and status.
        log_level: Lowest level that is logged.
    """

    instance: Name
    failure_domain: Name
    address: str
    data_port: Port
    peer_port: Port
    admin_port: Port
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"

    @property
    def shared_keys(self) -> KeySet:
        """Shared keys that are used until a configuration is in force."""
        return NO_KEYS

    def problem(self) -> tuple[str, str] | None:
        """Return the field and what is wrong with it, or None if all is valid."""
        if not is_ipv4(self.address):
            return "address", f"{self.address!r} is not an IPv4 address"
        return None


class ProcessSettings(BaseProcessSettings, frozen=True, kw_only=True):
    """Settings of a process that authenticates its messages.

    Attributes:
        keys: Shared keys that are used until a configuration is in force.
    """

    keys: KeySet

    @property
    def shared_keys(self) -> KeySet:
        """Shared keys that are used until a configuration is in force."""
        return self.keys

    def problem(self) -> tuple[str, str] | None:
        """Return the field and what is wrong with it, or None if all is valid."""
        problem = super().problem()
        if problem is not None:
            return problem
        key_problem = keys_problem(self.keys)
        return (f"keys.{key_problem[0]}", key_problem[1]) if key_problem else None


class Settings:
    """Checked settings of one process.

    Args:
        process: Settings of the process itself.
        sections: Settings of each plug-in by its name.
    """

    __slots__ = ("_process", "_sections")

    def __init__(
        self, process: BaseProcessSettings, sections: Mapping[str, Section]
    ) -> None:
        self._process = process
        self._sections = dict(sections)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Settings):
            return NotImplemented
        return self._process == other._process and self._sections == other._sections

    __hash__ = None  # type: ignore[assignment]

    @property
    def process(self) -> BaseProcessSettings:
        """Settings of the process itself."""
        return self._process

    def section(self, name: str) -> Any:
        """Return the settings of the plug-in with this name."""
        return self._sections[name]


def read_settings(
    path: str,
    types: Mapping[str, type[Section]],
    process_type: type[BaseProcessSettings] = ProcessSettings,
) -> Settings:
    """Read and check a settings file.

    Args:
        path: Path of the JSON file.
        types: Type of the section of each plug-in by its name.
        process_type: Type of the section of the process itself.

    Returns:
        The checked settings.

    Raises:
        ResultError: With code 1001 if the file cannot be read, 1002 if a field is
            unknown or not valid.
    """
    try:
        with open(path, "rb") as file:
            document = decode_json(_decoder, file.read())
    except (OSError, ValueError) as error:
        raise ResultError(SETTINGS_UNREADABLE, f"{path}: {error}") from error
    return check_settings(document, types, process_type)


def check_settings(
    document: Any,
    types: Mapping[str, type[Section]],
    process_type: type[BaseProcessSettings] = ProcessSettings,
) -> Settings:
    """Check settings that were read from JSON.

    Args:
        document: The decoded JSON document.
        types: Type of the section of each plug-in by its name.
        process_type: Type of the section of the process itself.

    Returns:
        The checked settings.

    Raises:
        ResultError: With code 1002 and the name of the field if a field is unknown or
            not valid.
    """
    if not isinstance(document, dict):
        raise ResultError(SETTINGS_INVALID, "the settings are not a JSON object")
    unknown = sorted(set(document) - set(types) - {"process"})
    if unknown:
        raise ResultError(SETTINGS_INVALID, f"field {unknown[0]!r} is unknown")
    process = _check_section("process", document.get("process", {}), process_type)
    sections = {
        name: _check_section(name, document.get(name, {}), section_type)
        for name, section_type in types.items()
    }
    return Settings(process, sections)


def _check_section(name: str, value: Any, section_type: type[Section]) -> Any:
    try:
        section = msgspec.convert(value, section_type)
    except msgspec.ValidationError as error:
        raise ResultError(SETTINGS_INVALID, f"field {name!r}: {error}") from error
    problem = section.problem()
    if problem is not None:
        field, reason = problem
        raise ResultError(SETTINGS_INVALID, f"field '{name}.{field}': {reason}")
    return section
