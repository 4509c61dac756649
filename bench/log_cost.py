"""Measure the processor time of a log line, from effect to written text."""

import logging
import time
from pathlib import Path

from crocuswell_core.runtime.effects import EmitLogEvent, Label
from crocuswell_daemon.logs import (
    LOGGER,
    BoundedHandler,
    JsonFormatter,
    LineRateLimiter,
    LogWriter,
)

LINES = 20_000
# Batch size and pause let the writer's thread keep up: the bounded handler
# drops lines otherwise.
LINES_PER_BATCH = 1_000
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
    """Return the processor time of one line in microseconds."""
    effect = EmitLogEvent("run_ended", tuple(Label(k, v) for k, v in LABELS.items()))
    with Path("/dev/null").open("w", encoding="utf-8") as output:
        handler = BoundedHandler(output)
        handler.setFormatter(JsonFormatter("bench"))
        LOGGER.addHandler(handler)
        LOGGER.setLevel(logging.INFO)
        LOGGER.propagate = False
        handler.start()
        writer = LogWriter(LineRateLimiter(limit=LINES))
        started_s = time.process_time()
        for _ in range(LINES // LINES_PER_BATCH):
            for _ in range(LINES_PER_BATCH):
                writer.write(effect)
            time.sleep(PAUSE_S)
        handler.stop()
        elapsed_s = time.process_time() - started_s
    if handler.dropped:
        raise RuntimeError(f"{handler.dropped} lines were dropped")
    return elapsed_s / LINES * 1_000_000


if __name__ == "__main__":
    print(f"one log line: {measure_line_us():.1f} us of processor time")
