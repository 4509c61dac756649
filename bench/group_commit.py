"""Measure records per second and syncs per record of the log.

Compares one sync per record with group commit by the event loop. The folder
argument selects the disk to measure.
"""

import argparse
import asyncio
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs

from crocuswell_core.cluster.commands import (
    LogEntry,
    Proposal,
    SubmitRequest,
)
from crocuswell_core.cluster.records import JobSpec
from crocuswell_core.runtime import effects as fx
from crocuswell_core.runtime.events import CallAbandoned, Event
from crocuswell_daemon.runtime import Runtime
from crocuswell_daemon.storage import Storage, SystemDisk


@attrs.define
class CountingDisk(SystemDisk):
    """A disk that counts the syncs of the log."""

    syncs: int = 0

    def fdatasync(self, fd: int) -> None:
        """Count the call and sync."""
        self.syncs += 1
        super().fdatasync(fd)


@attrs.frozen
class Result:
    """Figures of one run."""

    records_per_second: float
    syncs_per_record: float


class HaltAfterLastRecord:
    """Effect handler that halts the runtime after the last record."""

    def __init__(self, last: int) -> None:
        self._last = last

    def execute(self, effects: Iterable[fx.Effect]) -> fx.Halt | None:
        """Return a halt once the last record's reply is among the effects."""
        for effect in effects:
            if effect == fx.CloseAgentStream(self._last):
                return fx.Halt()
        return None


def make_record(index: int) -> fx.EntriesRecord:
    command = SubmitRequest(f"request-{index}", "w", JobSpec(payload=bytes(200)))
    entry = LogEntry(1, index, index, Proposal(f"command-{index}", "0" * 64, command))
    return fx.EntriesRecord((entry,))


def reduce(state: Any, event: Event) -> tuple[Any, list[fx.Effect]]:
    if not isinstance(event, CallAbandoned):
        return state, []
    index = event.call_id
    return state, [fx.Persist(make_record(index)), fx.CloseAgentStream(index)]


async def run_loop(storage: Storage, count: int, in_flight: int) -> None:
    """Persist `count` records, at most `in_flight` at a time.

    `CallAbandoned` stands for a call that writes a record, and
    `CloseAgentStream` for its reply, which the runtime passes on only after
    the record is synced.
    """
    with Runtime(reduce, object(), storage) as runtime:
        posted = 0

        class KeepInFlight(HaltAfterLastRecord):
            def execute(self, effects: Iterable[fx.Effect]) -> fx.Halt | None:
                nonlocal posted
                batch = list(effects)
                for effect in batch:
                    if isinstance(effect, fx.CloseAgentStream) and posted < count:
                        posted += 1
                        runtime.post(CallAbandoned(posted))
                return super().execute(batch)

        while posted < min(in_flight, count):
            posted += 1
            runtime.post(CallAbandoned(posted))
        await runtime.run(KeepInFlight(count))


def measure(folder: Path, count: int, in_flight: int) -> Result:
    """Run once; `in_flight` 0 syncs each record without the event loop."""
    disk = CountingDisk()
    with (
        tempfile.TemporaryDirectory(dir=folder) as folder_name,
        Storage(Path(folder_name) / "data", disk) as storage,
    ):
        storage.load()
        disk.syncs = 0
        started = time.perf_counter()
        if in_flight:
            asyncio.run(run_loop(storage, count, in_flight))
        else:
            for index in range(1, count + 1):
                storage.append([make_record(index)])
                storage.sync()
        elapsed_s = time.perf_counter() - started
    return Result(count / elapsed_s, disk.syncs / count)


def main() -> None:
    """Print a table; the ratios matter, absolute rates vary by disk."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--records", type=int, default=4_000)
    args = parser.parse_args()
    baseline = measure(args.folder, args.records, 0)
    print("calls in flight | records/s | ratio | syncs/record")
    print(f"one sync each   | {baseline.records_per_second:9.0f} |  1.00 | 1.000")
    for in_flight in (1, 4, 16, 64, 256):
        result = measure(args.folder, args.records, in_flight)
        ratio = result.records_per_second / baseline.records_per_second
        print(
            f"{in_flight:15} | {result.records_per_second:9.0f} | {ratio:5.2f} | "
            f"{result.syncs_per_record:.3f}"
        )


if __name__ == "__main__":
    main()
