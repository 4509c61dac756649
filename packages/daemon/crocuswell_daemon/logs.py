"""Structured log: one JSON object per line for each decision or state change.

A separate thread writes the lines from a bounded queue. If the reader of
standard output is slow or has closed it, lines are dropped and the process is
not delayed.
"""

import json
import logging
import queue
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TextIO

from crocuswell_core.runtime.effects import EmitLogEvent, LogLevel

LOGGER = logging.getLogger("crocuswell")
LEVELS = {
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}
# Limit of the queue of unwritten lines; about 1 MB.
MAX_QUEUED_LINES = 4_096
# Lines per event name and second; ten times the rate of the busiest days.
MAX_LINES_PER_EVENT_PER_S = 200
# A reader that does not read must not delay the end of the process.
STOP_TIMEOUT_S = 0.5
DROPPED_EVENT = "log_lines_dropped"


class LineRateLimiter:
    """Limits the lines per second of each event name.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in s.
    """

    def __init__(
        self,
        limit: int = MAX_LINES_PER_EVENT_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._second = 0
        self._counts: dict[str, int] = {}
        self._reported_dropped = 0
        self.dropped = 0

    def permits(self, event: str) -> bool:
        """Count a line and return whether it may be written."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count > self._limit:
            self.dropped += 1
            return False
        return True

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call."""
        newly_dropped = self.dropped - self._reported_dropped
        self._reported_dropped = self.dropped
        return newly_dropped


# Shared by all threads without a lock: a race can only let an additional line
# through.
_rate_limiter = LineRateLimiter()


def log_event(
    event: str, level: int = logging.WARNING, *, exc_info: bool = False, **fields: str
) -> None:
    """Write a log line for an event outside of the reducer.

    Parameters
    ----------
    event : str
        Name of the event.
    level : int, optional
        Level of the `logging` module.
    exc_info : bool, optional
        Whether to add the traceback of the current exception.
    **fields : str
        Further fields of the line.
    """
    if LOGGER.isEnabledFor(level) and _rate_limiter.permits(event):
        _emit(level, event, fields, exc_info=exc_info)


def _emit(
    level: int, event: str, fields: dict[str, str], *, exc_info: bool = False
) -> None:
    extra = {"event": event, "fields": fields}
    LOGGER.log(level, "%s", event, extra=extra, exc_info=exc_info)


class LogWriter:
    """Writes the log events that the reducer emits."""

    def __init__(self, rate_limiter: LineRateLimiter = _rate_limiter) -> None:
        self._rate_limiter = rate_limiter

    def count_dropped(self) -> int:
        """Return the number of dropped lines; thread-safe."""
        handlers = logging.getLogger().handlers
        queue_dropped = sum(
            h.dropped for h in handlers if isinstance(h, BoundedHandler)
        )
        return self._rate_limiter.dropped + queue_dropped

    def write(self, effect: EmitLogEvent) -> None:
        """Write one line, unless the event is over its limit."""
        level = LEVELS[effect.level]
        if not LOGGER.isEnabledFor(level) or not self._rate_limiter.permits(
            effect.event
        ):
            return
        dropped = self._rate_limiter.take_dropped()
        if dropped:
            _emit(logging.WARNING, DROPPED_EVENT, {"count": str(dropped)})
        fields = {label.name: label.value for label in effect.ids}
        _emit(level, effect.event, fields)


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object.

    Parameters
    ----------
    process : str
        Id of the process; part of each line.
    """

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record, without a newline."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "event": getattr(record, "event", "message"),
            "process": self._process,
        }
        if hasattr(record, "fields"):
            line.update(record.fields)
        else:
            line["logger"] = record.name
            line["message"] = record.getMessage()
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, ensure_ascii=True)


class BoundedHandler(logging.Handler):
    """Writes records on a thread; drops and counts them if its queue is full.

    The queue handlers of the standard library import modules that do not fit
    into the memory limit of an agent.
    """

    def __init__(self, stream: TextIO, limit: int = MAX_QUEUED_LINES) -> None:
        super().__init__()
        self._stream = stream
        self._lines: queue.Queue[logging.LogRecord | None] = queue.Queue(limit)
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.dropped = 0

    def start(self) -> None:
        """Start the writing thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write the queued records, within `STOP_TIMEOUT_S`."""
        try:
            self._lines.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(STOP_TIMEOUT_S)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        try:
            self._lines.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def _run(self) -> None:
        while (record := self._lines.get()) is not None:
            try:
                self._stream.write(self.format(record) + "\n")
                if self._lines.empty():
                    self._stream.flush()
            except (OSError, ValueError):  # the stream is closed
                self.dropped += 1


@contextmanager
def write_to_stdout(process: str) -> Iterator[None]:
    """Write log lines to standard output until the block ends.

    Parameters
    ----------
    process : str
        Id of the process; part of each line.
    """
    handler = BoundedHandler(sys.stdout)
    handler.setFormatter(JsonFormatter(process))
    # Messages of libraries are logged from WARNING, own events from INFO on.
    logging.basicConfig(handlers=[handler], level=logging.WARNING)
    LOGGER.setLevel(logging.INFO)
    handler.start()
    try:
        yield
    finally:
        handler.stop()
