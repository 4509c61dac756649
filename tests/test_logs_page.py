"""The page on log events must list exactly the events in the code."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "logs.md"
SOURCES = ("packages", "platform")
# Functions and classes whose first argument is the name of a log event.
EVENT_FUNCTIONS = frozenset(
    {"EmitLogEvent", "_worker_log_line", "log_event", "stop_run"}
)


def constants(node: ast.expr) -> Iterator[str]:
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value
    elif isinstance(node, ast.IfExp):
        yield from constants(node.body)
        yield from constants(node.orelse)


def written_events() -> set[str]:
    found: set[str] = set()
    for folder in SOURCES:
        for path in (ROOT / folder).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if not isinstance(node, ast.Call) or not node.args:
                    continue
                name = getattr(node.func, "id", getattr(node.func, "attr", ""))
                if name in EVENT_FUNCTIONS:
                    found.update(constants(node.args[0]))
    return found


def test_page_lists_exactly_the_events_that_are_written() -> None:
    """Guards against an event that operators can't look up."""
    text = PAGE.read_text(encoding="utf-8")
    listed = set(re.findall(r"^\| `([a-z_ ,]+)` \|", text, re.MULTILINE))
    assert listed == written_events() | {"log_lines_dropped", "message"}
