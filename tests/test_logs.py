"""Guards against log lines that can't be parsed or are forged."""

import logging

import pytest

from crocuswell_core.runtime.effects import ChangeLevel, Label, LogChange
from crocuswell_daemon.logs import LogWriter


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (LogChange("stopping"), "change=stopping process=e1"),
        (
            LogChange("worker announced", (Label("worker", "w-1"),)),
            'change="worker announced" process=e1 worker=w-1',
        ),
        (LogChange("c", (Label("d", ""),)), 'change=c process=e1 d=""'),
        (LogChange("c", (Label("d", "a=b"),)), 'change=c process=e1 d="a=b"'),
        (
            LogChange("c", (Label("d", 'x" level=ERROR\nchange=forged'),)),
            'change=c process=e1 d="x\' level=ERROR\\nchange=forged"',
        ),
        (LogChange("c", (Label("d", "\ud800é"),)), 'change=c process=e1 d="\\ud800é"'),
    ],
)
def test_a_change_becomes_one_line_of_pairs(
    change: LogChange, expected: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a value that ends its pair or its line."""
    with caplog.at_level(logging.INFO, "crocuswell"):
        LogWriter("e1").write(change)
    assert [record.getMessage() for record in caplog.records] == [expected]


@pytest.mark.parametrize("level", list(ChangeLevel))
def test_the_level_of_a_change_is_kept(
    level: ChangeLevel, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a fault that looks like news."""
    with caplog.at_level(logging.INFO, "crocuswell"):
        LogWriter("e1").write(LogChange("c", level=level))
    assert caplog.records[0].levelname == level.name
