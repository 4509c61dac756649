"""Log lines: format, rate limit and readers that do not read."""

import io
import json
import logging
import os

import pytest

from crocuswell_core.runtime.effects import EmitLogEvent, Label, LogLevel
from crocuswell_daemon.logs import (
    BoundedHandler,
    JsonFormatter,
    LineRateLimiter,
    LogWriter,
    log_event,
)


def lines(caplog: pytest.LogCaptureFixture) -> list[dict[str, object]]:
    formatter = JsonFormatter("e1")
    found = [json.loads(formatter.format(record)) for record in caplog.records]
    for line in found:
        del line["time"]
    return found


@pytest.mark.parametrize(
    ("effect", "fields"),
    [
        (EmitLogEvent("stopping"), {}),
        (
            EmitLogEvent("worker_announced", (Label("worker", "w-1"),)),
            {"worker": "w-1"},
        ),
        (
            EmitLogEvent("c", (Label("d", 'x"}\n{"event": "forged"'),)),
            {"d": 'x"}\n{"event": "forged"'},
        ),
        (EmitLogEvent("c", (Label("d", "\ud800é"),)), {"d": "\ud800é"}),
    ],
)
def test_a_log_event_becomes_one_object(effect, fields, caplog) -> None:
    """Guards against a value that injects a field or a line."""
    with caplog.at_level(logging.INFO, "crocuswell"):
        LogWriter().write(effect)
    assert "\n" not in JsonFormatter("e1").format(caplog.records[0])
    assert lines(caplog) == [
        {"level": "info", "event": effect.event, "process": "e1", **fields}
    ]


@pytest.mark.parametrize("level", list(LogLevel))
def test_the_level_of_a_log_event_is_kept(level, caplog) -> None:
    """Guards against an error that is logged at a lower level."""
    with caplog.at_level(logging.INFO, "crocuswell"):
        LogWriter().write(EmitLogEvent("c", level=level))
    assert caplog.records[0].levelname == level.name


def test_lines_beyond_the_limit_are_counted_and_reported(caplog) -> None:
    """Guards against a flood of lines and against lines lost unnoticed."""
    now = [10.0]
    writer = LogWriter(LineRateLimiter(2, lambda: now[0]))
    with caplog.at_level(logging.INFO, "crocuswell"):
        for _ in range(5):
            writer.write(EmitLogEvent("storm"))
        writer.write(EmitLogEvent("other"))
        now[0] = 11.0
        writer.write(EmitLogEvent("storm"))
    events = [(line["event"], line.get("count")) for line in lines(caplog)]
    assert events == [
        ("storm", None),
        ("storm", None),
        ("log_lines_dropped", "3"),
        ("other", None),
        ("storm", None),
    ]


def test_a_blocked_reader_drops_lines_without_delay() -> None:
    """Guards against a process that blocks on the reader of its log."""
    reads, writes = os.pipe()
    with os.fdopen(reads), os.fdopen(writes, "w") as stream:
        handler = BoundedHandler(stream, limit=2)
        for _ in range(5):
            handler.handle(logging.LogRecord("n", logging.INFO, "", 0, "m", (), None))
    assert handler.dropped == 3


def test_a_closed_reader_only_drops_lines() -> None:
    """Guards against a process that fails when its reader has gone."""
    stream = io.StringIO()
    handler = BoundedHandler(stream)
    stream.close()
    handler.start()
    handler.handle(logging.LogRecord("n", logging.INFO, "", 0, "m", (), None))
    handler.stop()
    assert handler.dropped == 1


def test_queued_lines_are_written_at_stop() -> None:
    """Guards against lost lines at the end of a process."""
    stream = io.StringIO()
    handler = BoundedHandler(stream)
    handler.start()
    for _ in range(100):
        handler.handle(logging.LogRecord("n", logging.INFO, "", 0, "m", (), None))
    handler.stop()
    assert stream.getvalue().count("\n") == 100


def test_lines_of_listeners_have_fields_and_a_traceback(caplog) -> None:
    """Guards against an error without its traceback or fields."""
    with caplog.at_level(logging.INFO, "crocuswell"):
        try:
            raise ValueError("broken")
        except ValueError:
            log_event("call_failed", logging.ERROR, exc_info=True, path="/a")
    (line,) = lines(caplog)
    assert "ValueError: broken" in str(line.pop("traceback"))
    assert line == {
        "level": "error",
        "event": "call_failed",
        "process": "e1",
        "path": "/a",
    }


def test_messages_of_libraries_are_json_objects(caplog) -> None:
    """Guards against lines that are not JSON."""
    logging.getLogger("library").warning("lost %s", "x")
    (line,) = lines(caplog)
    assert line == {
        "level": "warning",
        "event": "message",
        "process": "e1",
        "logger": "library",
        "message": "lost x",
    }
