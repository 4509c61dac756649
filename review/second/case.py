"""Runs a case: its exit status, its limit of time and its record."""

import os
import signal
import sys
import threading
import traceback
from collections.abc import Callable
from pathlib import Path

from review.second.deployment import Deployment, Record, make_config

BROKEN, HELD, FAILED_TO_RUN = 1, 0, 2
LIMIT_S = 115
SETTLING_S = 3.0


class CannotRunError(Exception):
    """The case could not be set up."""


def run(folder: Path, play: Callable[[Record, bool], list[str]]) -> None:
    """Play a case and exit with its status.

    Parameters
    ----------
    play : callable
        Takes the record and whether the disruption is played; returns how the
        rule was broken.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.add(f"disruption: {with_trouble}")
    # An exception in the main thread ends the processes on the way out.
    signal.signal(signal.SIGALRM, _give_up)
    signal.signal(signal.SIGTERM, _give_up)
    signal.alarm(LIMIT_S)
    try:
        broken = play(record, with_trouble)
    except BaseException:
        record.add(traceback.format_exc())
        traceback.print_exc()
        status = FAILED_TO_RUN
    else:
        for line in broken:
            record.add(f"BROKEN: {line}")
            print(f"BROKEN: {line}")
        if not broken:
            record.add("the rule held")
            print("the rule held")
        status = BROKEN if broken else HELD
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


def _give_up(number: int, frame: object) -> None:
    raise CannotRunError(f"signal {number}")


def set_up(place: Deployment, version: int = 7) -> None:
    """Send the first configuration and wait until the workers are known."""
    if not place.put_config(make_config(version)):
        raise CannotRunError("no configuration was acknowledged")
    threading.Event().wait(SETTLING_S)
    place.set_bootstrapped()
