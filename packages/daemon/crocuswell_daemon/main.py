"""Entry point of `crocuswelld`: checks the settings, then runs the role."""

import argparse
import os
import sys
from collections.abc import Sequence
from functools import singledispatch
from pathlib import Path

from crocuswell_daemon import agent_main, entry_main
from crocuswell_daemon.roles import AgentSettings, EntrySettings
from crocuswell_daemon.settings import Settings, SettingsError, load_settings

EXIT_SETTINGS = 2

# An agent with 64 connections exceeds its limit of 32 MB without these: glibc
# keeps arenas per thread and returns freed memory late, and Python's own
# allocator frees only whole arenas.
LEAN_ENVIRONMENT = {
    "PYTHONMALLOC": "malloc",
    "MALLOC_ARENA_MAX": "1",
    "MALLOC_TRIM_THRESHOLD_": "65536",
    "MALLOC_MMAP_THRESHOLD_": "65536",
}
LEAN_ARGUMENTS = ("-OO", "-m", "crocuswell_daemon.lean")


def main(argv: Sequence[str] | None = None) -> int:
    """Run `crocuswelld` and return the exit status."""
    args = _parse(argv)
    try:
        settings = load_settings(args.settings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_SETTINGS
    if args.check:
        print(f"{args.settings}: valid settings for the role {settings.role}")
        return 0
    return start(settings)


def _parse(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="crocuswelld", description="Run an entry host or an agent."
    )
    parser.add_argument("settings", type=Path, help="YAML file with the settings")
    parser.add_argument("--check", action="store_true", help="only check the settings")
    return parser.parse_args(argv)


@singledispatch
def start(settings: Settings) -> int:
    """Run the role that the settings name and return the exit status."""
    raise NotImplementedError(type(settings).__name__)


@start.register
def _(settings: EntrySettings) -> int:
    return entry_main.run(settings)


@start.register
def _(settings: AgentSettings) -> int:
    # Replaces this process, under the same pid, by an interpreter that does
    # not load the libraries for reading settings.
    environment = {
        **os.environ,
        **LEAN_ENVIRONMENT,
        agent_main.SETTINGS_VARIABLE: agent_main.pack_settings(settings),
    }
    arguments = [sys.executable, *LEAN_ARGUMENTS]
    os.execve(sys.executable, arguments, environment)


if __name__ == "__main__":
    sys.exit(main())
