"""What clients and workers have seen, in the order in which they saw it."""

import json
import threading
import time
from pathlib import Path
from typing import Any

import attrs


@attrs.define
class Record:
    """Events with the time in s since the start, also written to a file."""

    path: Path
    started_s: float = attrs.Factory(time.monotonic)
    events: list[dict[str, Any]] = attrs.Factory(list)
    _lock: threading.Lock = attrs.Factory(threading.Lock)

    def now_s(self) -> float:
        """Return the time in s since the start."""
        return time.monotonic() - self.started_s

    def add(self, event: str, **fields: Any) -> float:
        """Note an event and return its time in s."""
        with self._lock:
            at_s = self.now_s()
            self.events.append({"at_s": at_s, "event": event, **fields})
        return at_s

    def of(self, event: str) -> list[dict[str, Any]]:
        """Return the events of one kind."""
        with self._lock:
            return [each for each in self.events if each["event"] == event]

    def write(self) -> None:
        """Write all events to the file, one a line."""
        with self._lock:
            lines = [_line(each) for each in self.events]
        self.path.write_text("".join(lines), encoding="utf-8")


def _line(event: dict[str, Any]) -> str:
    fields = {k: v for k, v in event.items() if k not in ("at_s", "event")}
    return f"{event['at_s']:8.3f} {event['event']} {json.dumps(fields)}\n"
