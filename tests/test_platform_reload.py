"""Changed settings of a process on the platform."""

import asyncio
import os
import signal
from pathlib import Path

import yaml

from crocuswell_core.runtime.events import Event, SeedsChanged
from crocuswell_platform import reloading
from crocuswell_platform.boot import load_node_settings
from tests.test_platform_adapter import BOOT

OTHER = {**BOOT, "seeds": ["10.9.0.1:8526"]}
EXPECTED = SeedsChanged(("10.9.0.1:7001",))


def write(path: Path, document: object) -> None:
    path.write_text(yaml.safe_dump(document))


async def events_after(path: Path, change, post_limit_s: float = 5.0) -> list[Event]:
    """Return the events that a change of the settings leads to."""
    write(path, BOOT)
    events: list[Event] = []
    settings = load_node_settings(path)
    async with reloading.watch_settings(path, settings, events.append):
        change()
        async with asyncio.timeout(post_limit_s):
            while not events:
                await asyncio.sleep(0.01)
    return events


def test_signal_takes_changed_seeds_up(tmp_path: Path) -> None:
    """Guards against a process that ends at SIGHUP."""
    path = tmp_path / "node.yaml"

    def change() -> None:
        write(path, OTHER)
        os.kill(os.getpid(), signal.SIGHUP)

    assert asyncio.run(events_after(path, change)) == [EXPECTED]


def test_changed_file_is_taken_up_without_a_signal(tmp_path, monkeypatch) -> None:
    """Guards against seeds that no longer exist."""
    monkeypatch.setattr(reloading, "WATCH_INTERVAL_S", 0.05)
    path = tmp_path / "node.yaml"
    assert asyncio.run(events_after(path, lambda: write(path, OTHER))) == [EXPECTED]


def test_unreadable_settings_change_nothing(tmp_path: Path) -> None:
    """Guards against a process that stops because of a half-written file."""
    path = tmp_path / "node.yaml"
    write(path, BOOT)
    events: list[Event] = []
    watch = reloading.SettingsWatch(path, load_node_settings(path), events.append)
    path.write_text("seeds: [")
    watch.reload()
    assert not events
    write(path, OTHER)
    watch.reload()
    assert events == [EXPECTED]
