"""Fixtures shared by several test modules."""

import platform
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from crocuswell_daemon import streams
from tests.http_fake import FakeLoop, serving

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
# A fault of one kind of machine is expected on that kind only.
RED_TEST = re.compile(r"^ +test: (tests/\S+)(?:\n +machine: (\S+))?$", re.MULTILINE)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect exactly the tests to fail that `KNOWN-RED.txt` names."""
    red = {
        test
        for test, machine in RED_TEST.findall(KNOWN_RED.read_text(encoding="utf-8"))
        if machine in ("", platform.machine())
    }
    for item in items:
        if item.nodeid in red or item.nodeid.partition("[")[0] in red:
            item.add_marker(pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that failed as `KNOWN-RED.txt` says."""
    for report in terminalreporter.stats.get("xfailed", ()):
        terminalreporter.write_line(f"known red: {report.nodeid}")


@pytest.fixture(scope="module")
def shared_loop() -> Iterator[FakeLoop]:
    with serving() as loop:
        yield loop


@pytest.fixture
def loop(shared_loop: FakeLoop) -> FakeLoop:
    shared_loop.replies.clear()
    shared_loop.calls.clear()
    return shared_loop


@pytest.fixture
def long_stream_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lengthen stream timeouts that a busy machine could exceed."""
    monkeypatch.setattr(streams, "OPEN_TIMEOUT_S", 10.0)
    monkeypatch.setattr(streams, "CLOSE_GRACE_S", 5.0)
