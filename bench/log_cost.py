"""Processor time of one log line, from the effect to the written text."""

import logging
import time
from pathlib import Path

from crocuswell_core.runtime.effects import Label, LogChange
from crocuswell_daemon.logs import (
    LOGGER,
    BoundedHandler,
    JsonFormatter,
    LineBudget,
    LogWriter,
)

LINES = 20_000
# The writer's thread must keep up, or lines would be dropped.
LINES_AT_ONCE = 1_000
PAUSE_S = 0.05
LABELS = {
    "job": "0123456789abcdef",
    "task": "0123456789abcdef.0.0.12",
    "run": "2",
    "worker": "side-1/i-0123456789@1773765695166",
    "kind": "done",
    "ran_ms": "12345",
    "log_term": "3",
    "log_index": "1234",
}


def measure_line_us() -> float:
    """Return the processor time in microseconds of one line."""
    change = LogChange("run_ended", tuple(Label(k, v) for k, v in LABELS.items()))
    with Path("/dev/null").open("w", encoding="utf-8") as sink:
        handler = BoundedHandler(sink)
        handler.setFormatter(JsonFormatter("bench"))
        LOGGER.addHandler(handler)
        LOGGER.setLevel(logging.INFO)
        LOGGER.propagate = False
        handler.start()
        writer = LogWriter(LineBudget(limit=LINES))
        begun_s = time.process_time()
        for _ in range(LINES // LINES_AT_ONCE):
            for _ in range(LINES_AT_ONCE):
                writer.write(change)
            time.sleep(PAUSE_S)
        handler.stop()
        spent_s = time.process_time() - begun_s
    if handler.dropped:
        raise RuntimeError(f"{handler.dropped} lines were dropped")
    return spent_s / LINES * 1_000_000


if __name__ == "__main__":
    print(f"one log line: {measure_line_us():.1f} us of processor time")
