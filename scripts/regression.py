"""Scores and hunts the users' deployments that are played before each landing.

The users' bench is not part of this repository; its path is an argument.
"""

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from fire import Fire

ROOT = Path(__file__).resolve().parent.parent
HUNT_DAYS = 40
# Hunted days of a deployment with 60 machines or more.
LARGE_HUNT_DAYS = 8


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment of the users.

    Attributes:
        site: Path of its site file below the folder of sites, without the suffix.
        days: Number of days to hunt.
    """

    site: str
    days: int


DEPLOYMENTS = (
    Deployment("sites/kloofrand-lb", HUNT_DAYS),
    Deployment("sites/kmrhs-booking", HUNT_DAYS),
    Deployment("grown/kloofrand-lb-grown", LARGE_HUNT_DAYS),
    Deployment("grown/kmrhs-booking-grown", LARGE_HUNT_DAYS),
    Deployment("large/kloofrand-lb-large", LARGE_HUNT_DAYS),
    Deployment("demands/okv-lagos-grown", LARGE_HUNT_DAYS),
    Deployment("demands/tvh-channel-grown", LARGE_HUNT_DAYS),
)


class Commands:
    """Regression runs on the users' bench."""

    def list(self) -> None:
        """Print the deployments and the number of hunted days."""
        for deployment in DEPLOYMENTS:
            sys.stdout.write(f"{deployment.site} {deployment.days}\n")

    def play(self, bench: str, sites: str, out: str, jobs: int = 3) -> None:
        """Score and hunt each deployment, one after the other.

        Args:
            bench: Path of the bench program.
            sites: Folder of the site files.
            out: Folder for the output of each run.
            jobs: Days that are played at the same time.
        """
        folder = Path(out)
        folder.mkdir(parents=True, exist_ok=True)
        failed = False
        for deployment in DEPLOYMENTS:
            site = f"{Path(sites) / deployment.site}.toml"
            name = Path(deployment.site).name
            for verb, options in (
                ("score", []),
                ("hunt", ["--days", str(deployment.days)]),
            ):
                command = [bench, verb, site, *options, "--jobs", str(jobs)]
                command += ["--why", f"regression run: {verb} of {name}"]
                with (folder / f"{verb}-{name}.txt").open("w") as output:
                    completed = subprocess.run(
                        command, cwd=ROOT, stdout=output, stderr=output, check=False
                    )
                failed = failed or completed.returncode != 0
                sys.stdout.write(f"{verb} {name}: exit code {completed.returncode}\n")
        sys.exit(1 if failed else 0)


if __name__ == "__main__":
    Fire(Commands)
