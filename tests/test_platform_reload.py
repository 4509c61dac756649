"""Tests of reloading the settings of a running process."""

import asyncio
import os
import signal
from pathlib import Path

import yaml

from crocuswell_core.runtime.events import Event, SeedsChanged
from crocuswell_platform import settings_reload
from crocuswell_platform.node_settings import load_node_settings
from tests.test_platform_adapter import NODE_SETTINGS

CHANGED_SETTINGS = {**NODE_SETTINGS, "seeds": ["10.9.0.1:8526"]}
EXPECTED_EVENT = SeedsChanged(("10.9.0.1:7001",))


def write(path: Path, document: object) -> None:
    path.write_text(yaml.safe_dump(document))


async def collect_events_after(
    path: Path, change, timeout_s: float = 5.0
) -> list[Event]:
    """Return the events that are posted after a change of the settings."""
    write(path, NODE_SETTINGS)
    events: list[Event] = []
    settings = load_node_settings(path)
    async with settings_reload.watch_settings(path, settings, events.append):
        change()
        async with asyncio.timeout(timeout_s):
            while not events:
                await asyncio.sleep(0.01)
    return events


def test_signal_reloads_changed_seeds(tmp_path: Path) -> None:
    """Guards against a process that exits at SIGHUP."""
    path = tmp_path / "node.yaml"

    def change() -> None:
        write(path, CHANGED_SETTINGS)
        os.kill(os.getpid(), signal.SIGHUP)

    assert asyncio.run(collect_events_after(path, change)) == [EXPECTED_EVENT]


def test_changed_file_is_reloaded_without_a_signal(tmp_path, monkeypatch) -> None:
    """Guards against the use of outdated seeds."""
    monkeypatch.setattr(settings_reload, "WATCH_INTERVAL_S", 0.05)
    path = tmp_path / "node.yaml"
    assert asyncio.run(
        collect_events_after(path, lambda: write(path, CHANGED_SETTINGS))
    ) == [EXPECTED_EVENT]


def test_unreadable_settings_are_ignored(tmp_path: Path) -> None:
    """Guards against a process that exits because of a half-written file."""
    path = tmp_path / "node.yaml"
    write(path, NODE_SETTINGS)
    events: list[Event] = []
    watch = settings_reload.SettingsWatch(path, load_node_settings(path), events.append)
    path.write_text("seeds: [")
    watch.reload()
    assert not events
    write(path, CHANGED_SETTINGS)
    watch.reload()
    assert events == [EXPECTED_EVENT]
