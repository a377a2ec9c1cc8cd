"""Checks that ``requirements.lock`` satisfies ``pyproject.toml`` and is installed."""

import re
import sys
import tomllib
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).resolve().parent.parent
PIN = re.compile(r"^([A-Za-z0-9._-]+)==(\S+) \\$", re.MULTILINE)


def problems() -> list[str]:
    """Return what is wrong with the lock file, one sentence each."""
    lock = (ROOT / "requirements.lock").read_text()
    pins = {canonicalize_name(name): pin for name, pin in PIN.findall(lock)}
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    required = project["dependencies"] + project["optional-dependencies"]["dev"]
    found = []
    for requirement in map(Requirement, required):
        pin = pins.get(canonicalize_name(requirement.name))
        if pin is None:
            found.append(f"{requirement.name} is not locked")
        elif not requirement.specifier.contains(pin):
            found.append(f"{requirement} does not allow the locked version {pin}")
    deployed = (ROOT / "deploy" / "requirements.txt").read_text()
    for name, pin in PIN.findall(deployed):
        if pins.get(canonicalize_name(name)) != pin:
            found.append(
                f"deploy/requirements.txt: {name} {pin} is not the locked version"
            )
    for name, pin in pins.items():
        try:
            installed = version(name)
        except PackageNotFoundError:
            found.append(f"{name} {pin} is not installed")
            continue
        if installed != pin:
            found.append(f"{name} {installed} is installed, but {pin} is locked")
    return found


def main() -> None:
    """Print all problems and exit with 1 if there are any."""
    found = problems()
    for problem in found:
        sys.stdout.write(f"requirements.lock: {problem}\n")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
