"""Runs a case: its exit status tells whether the rule was broken."""

import os
import sys
import time
from collections.abc import Callable
from pathlib import Path

from review.third.deployment import CannotRunError, Deployment
from review.third.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Plays the case, with or without its disruption, and returns what broke.
Play = Callable[[Deployment, Record, bool], list[str]]


def main(folder: Path, play: Play) -> int:
    """Play a case, write its record and return the exit status."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with Deployment(record) as deployment:
            broken = play(deployment, record, has_trouble)
    except CannotRunError as exc:
        record.add("cannot_run", reason=str(exc))
        print(f"the case could not run: {exc}", file=sys.stderr)
        return NOT_RUN
    finally:
        record.write()
    for line in broken:
        record.add("broken", what=line)
        print(line)
    record.write()
    if not broken:
        print("the rule held")
    return BROKEN if broken else HELD


def wait_for(condition: Callable[[], bool], limit_s: float) -> bool:
    """Wait until a condition holds; tell whether it did within the limit."""
    until_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until_s:
            return False
        time.sleep(0.1)
    return True
