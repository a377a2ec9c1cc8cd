"""Writes the tables of result codes and log events from the code."""

import importlib
import logging
import pkgutil
import sys
from pathlib import Path

import balsamspool
from balsamspool.commands.codes import ExitCode
from balsamspool.kernel.errors import registered_codes
from balsamspool.kernel.events import registered_events

ROOT = Path(__file__).resolve().parent.parent

_EXIT_SUMMARIES = {
    ExitCode.OK: "The command succeeded and what it checks holds.",
    ExitCode.NOT_MET: "The command succeeded, but what it checks does not hold.",
    ExitCode.INVALID: "An argument, a text or settings are not valid.",
    ExitCode.TIMED_OUT: "The time was over before what it waits for held.",
    ExitCode.UNREACHABLE: "The platform could not be read.",
}


def import_all() -> None:
    """Import every module of the package, so that all codes are registered."""
    prefix = f"{balsamspool.__name__}."
    for module in pkgutil.walk_packages(balsamspool.__path__, prefix):
        importlib.import_module(module.name)


def errors_page() -> str:
    """Return the page of result codes."""
    lines = [
        "# Result codes",
        "",
        "Written by `scripts/write_tables.py` from the code; a test compares them.",
        "",
        "An answer that balsamspool makes itself carries the number in the header",
        "`balsamspool-result`, and number, name, detail and outcome in a JSON body.",
        "The outcome says what is known of the request: `not-run` (it did not and will",
        "not run), `unknown` (it may have run), `ran`. A dash means that the code does",
        "not concern a request.",
        "",
        "| Number | Name | Status | Outcome | Meaning |",
        "|---|---|---|---|---|",
    ]
    for code in registered_codes():
        outcome = "-" if code.outcome.value == "none" else code.outcome.value
        status = code.status or "-"
        row = (code.number, code.name, status, outcome, code.summary)
        lines.append("| " + " | ".join(map(str, row)) + " |")
    lines += ["", "## Exit codes of balsamspool-ctl", ""]
    lines += ["| Exit code | Meaning |", "|---|---|"]
    lines += [f"| {code.value} | {_EXIT_SUMMARIES[code]} |" for code in ExitCode]
    lines += [
        "",
        "`balsamspool-entry` and `balsamspool-agent` exit with 0 after a graceful",
        "stop, 1 after a failure and 2 if their settings are not valid.",
    ]
    return "\n".join(lines) + "\n"


def events_page() -> str:
    """Return the page of log events."""
    lines = [
        "# Log events",
        "",
        "Written by `scripts/write_tables.py` from the code; a test compares them.",
        "",
        "Logs are JSON objects, one a line, on standard output. Each has `time`,",
        "`level`, `instance`, `logger` and `message`; a numbered event has `event` and",
        "`name` besides, and the values of the occurrence.",
        "",
        "| Number | Name | Level | Meaning |",
        "|---|---|---|---|",
    ]
    for event in registered_events():
        level = logging.getLevelName(event.level).lower()
        row = (event.number, event.name, level, event.summary)
        lines.append("| " + " | ".join(map(str, row)) + " |")
    return "\n".join(lines) + "\n"


def pages() -> dict[Path, str]:
    """Return the text of each page by its path."""
    import_all()
    return {
        ROOT / "docs" / "errors.md": errors_page(),
        ROOT / "docs" / "events.md": events_page(),
    }


if __name__ == "__main__":
    for path, text in pages().items():
        path.write_text(text)
        sys.stdout.write(f"{path} written\n")
