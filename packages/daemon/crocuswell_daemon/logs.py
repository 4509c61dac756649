"""Log lines: one JSON object for each decision or change of state.

Lines leave through a bounded queue and a thread of their own, so that a slow
or closed reader of standard output loses lines and delays nothing.
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

from crocuswell_core.runtime.effects import ChangeLevel, LogChange

LOGGER = logging.getLogger("crocuswell")
LEVELS = {
    ChangeLevel.INFO: logging.INFO,
    ChangeLevel.WARNING: logging.WARNING,
    ChangeLevel.ERROR: logging.ERROR,
}
# Lines that wait for the reader; about 1 MB.
QUEUE_LINES = 4_096
# Lines of one event in one second; the busiest days write a tenth of it.
EVENT_BUDGET = 200
# A reader that does not read must not hold up the end of the process.
STOP_TIME_S = 0.5
DROPPED = "log_lines_dropped"


class LineBudget:
    """Bounds the lines of each event in each second.

    Parameters
    ----------
    clock : callable
        Monotonic time in s.
    """

    def __init__(
        self, limit: int = EVENT_BUDGET, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._second = 0
        self._counts: dict[str, int] = {}
        self._reported = 0
        self.dropped = 0

    def permits(self, event: str) -> bool:
        """Count a line and tell whether it may be written."""
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
        fresh = self.dropped - self._reported
        self._reported = self.dropped
        return fresh


# One budget for all threads of a process; a count lost to a race lets a line
# more through.
_budget = LineBudget()


def log_event(
    event: str, level: int = logging.WARNING, *, exc_info: bool = False, **fields: str
) -> None:
    """Write one line for what a listener or a link has seen."""
    if LOGGER.isEnabledFor(level) and _budget.permits(event):
        _emit(level, event, fields, exc_info=exc_info)


def _emit(
    level: int, event: str, fields: dict[str, str], *, exc_info: bool = False
) -> None:
    extra = {"event": event, "fields": fields}
    LOGGER.log(level, "%s", event, extra=extra, exc_info=exc_info)


class LogWriter:
    """Writes changes of state that the reducer reports."""

    def __init__(self, budget: LineBudget = _budget) -> None:
        self._budget = budget

    def count_dropped(self) -> int:
        """Return the number of lines that were not written; for any thread."""
        handlers = logging.getLogger().handlers
        unread = sum(h.dropped for h in handlers if isinstance(h, BoundedHandler))
        return self._budget.dropped + unread

    def write(self, change: LogChange) -> None:
        """Write one line, unless the event has used up its budget."""
        level = LEVELS[change.level]
        if not LOGGER.isEnabledFor(level) or not self._budget.permits(change.change):
            return
        dropped = self._budget.take_dropped()
        if dropped:
            _emit(logging.WARNING, DROPPED, {"count": str(dropped)})
        fields = {label.name: label.value for label in change.ids}
        _emit(level, change.change, fields)


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object.

    Parameters
    ----------
    process : str
        Id of the process, in each line.
    """

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record, without its end."""
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
    """Writes records on a thread; drops and counts them while it is behind.

    The handlers of the standard library would bring modules that do not fit
    into an agent's memory.
    """

    def __init__(self, stream: TextIO, limit: int = QUEUE_LINES) -> None:
        super().__init__()
        self._stream = stream
        self._lines: queue.Queue[logging.LogRecord | None] = queue.Queue(limit)
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.dropped = 0

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def stop(self) -> None:
        """Write what waits, unless the reader takes too long."""
        try:
            self._lines.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(STOP_TIME_S)

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
            except (OSError, ValueError):  # the reader is gone
                self.dropped += 1


@contextmanager
def writing(process: str) -> Iterator[None]:
    """Write log lines to standard output until the block ends.

    Parameters
    ----------
    process : str
        Id of the process, in each line.
    """
    handler = BoundedHandler(sys.stdout)
    handler.setFormatter(JsonFormatter(process))
    # Libraries and parts appear from warnings up, changes of state from info.
    logging.basicConfig(handlers=[handler], level=logging.WARNING)
    LOGGER.setLevel(logging.INFO)
    handler.start()
    try:
        yield
    finally:
        handler.stop()
