"""Command ``check``: checks a configuration text without submitting it."""

from pathlib import Path

from balsamspool.commands.codes import FILE_UNREADABLE, ExitCode
from balsamspool.commands.fleet import open_fleet
from balsamspool.commands.output import print_line
from balsamspool.commands.registry import command
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.configuration.checker import check_text
from balsamspool.plugins.configuration.compare import (
    ActiveKeyChanged,
    Change,
    DependencyChanged,
    FieldChanged,
    HostDraining,
    HostReturned,
    KeyAdded,
    KeyRemoved,
    KeyReplaced,
    NetworksChanged,
    NumberReused,
    ServiceAdded,
    ServiceMoved,
    ServiceRemoved,
    compare_texts,
    refusal,
)
from balsamspool.plugins.configuration.digest import text_digest
from balsamspool.plugins.configuration.text import Text


@command("check")
async def check(text: str, against: str = "", platform: str = "") -> int:
    """Check a configuration text, print its digest and what it would change.

    Exits with 0 if the text is valid and would be accepted, otherwise with 2.

    Args:
        text: Path of the configuration text.
        against: Path of the text in force, to list the changes.
        platform: Base URL of the platform, to list the changes to what it publishes.
    """
    content = _read(text)
    document = check_text(content)
    print_line(f"{text}: valid, {len(document.services)} services")
    print_line(f"digest {text_digest(content)}")
    before = await _earlier_text(against, platform)
    if before is None:
        return ExitCode.OK
    return _print_changes(compare_texts(before, document))


async def _earlier_text(against: str, platform: str) -> Text | None:
    if against:
        return check_text(_read(against))
    if platform:
        async with open_fleet(platform) as fleet:
            return (await fleet.published()).document
    return None


def _print_changes(changes: list[Change]) -> ExitCode:
    refused = False
    for change in changes:
        reason = refusal(change)
        refused = refused or reason is not None
        suffix = "" if reason is None else f" (refused: {reason})"
        print_line(f"  {describe(change)}{suffix}")
    if not changes:
        print_line("  no changes")
    return ExitCode.INVALID if refused else ExitCode.OK


def describe(change: Change) -> str:
    """Return one line for operators about a change."""
    match change:
        case ServiceAdded(service, number):
            return f"service {service} is added with number {number}"
        case ServiceRemoved(service):
            return f"service {service} is removed; its open flows end"
        case ServiceMoved(service, before, after):
            return f"service {service} moves from number {before} to {after}"
        case NumberReused(number, before, after):
            return f"number {number} moves from service {before} to {after}"
        case FieldChanged(service, field, before, after):
            return f"services.{service}.{field}: {before} -> {after}"
        case KeyAdded(number):
            return f"key {number} is added"
        case KeyRemoved(number):
            return f"key {number} is removed; flows whose token uses it break"
        case KeyReplaced(number):
            return f"key {number} gets another secret; flows that use it break"
        case ActiveKeyChanged(before, after):
            return f"active key: {before} -> {after}"
        case HostDraining(host):
            return f"host {host} is to accept no new work"
        case HostReturned(host):
            return f"host {host} may accept new work again"
        case NetworksChanged(before, after):
            return f"host networks: {', '.join(before)} -> {', '.join(after)}"
        case DependencyChanged(dependency):
            return f"dependency {dependency} changes"


def _read(path: str) -> str:
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ResultError(FILE_UNREADABLE, f"{path}: {error}") from error
