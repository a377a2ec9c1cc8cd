"""Program ``balsamspool-agent``."""

from fire import Fire

from balsamspool.kernel.identity import Role
from balsamspool.programs._runner import Program, run_program


def run(settings: str, check: bool = False) -> None:
    """Run the agent.

    Args:
        settings: Path of the JSON settings file.
        check: Only check the settings, then exit with 0 or 2.
    """
    run_program(Program(Role.AGENT), settings, check)


def main() -> None:
    """Read the command line and run."""
    Fire(run)


if __name__ == "__main__":
    main()
