"""Seed, signal handlers, log lines and exit status of every process."""

import asyncio
import os
import signal
from collections.abc import Callable

from crocuswell_core.runtime.effects import EmitLogEvent, Halt, Label, LogLevel
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import Event
from crocuswell_daemon.logs import LogWriter

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

Post = Callable[[Event], None]


def choose_seed(seed: int | None) -> int:
    """Return the configured seed, or a random one if there is none."""
    if seed is not None:
        return seed
    return int.from_bytes(os.urandom(8), "big")


def post_on_stop_signals(post: Post, event: Event) -> None:
    """Post an event on SIGTERM or SIGINT; needs a running event loop."""
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, post, event)


def log_process_started(log: LogWriter, role: str) -> None:
    """Log that the process has started."""
    labels = (Label("role", role), Label("pid", str(os.getpid())))
    log.write(EmitLogEvent("process_started", labels))


def log_process_stopped(log: LogWriter, halt: Halt) -> int:
    """Log that the process stops, and why, and return its exit status."""
    if halt.kind is None:
        log.write(EmitLogEvent("process_stopped"))
        return EXIT_SUCCESS
    labels = (Label("kind", halt.kind.value), Label("detail", halt.detail))
    log.write(EmitLogEvent("process_halted", labels, LogLevel.ERROR))
    return EXIT_FAILURE


def startup_failure(exc: OSError) -> Halt:
    """Return the halt for a component that could not be started."""
    return Halt(ErrorKind.INTERNAL, f"start: {exc}")
