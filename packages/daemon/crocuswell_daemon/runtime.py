"""Reduces events in batches, syncs their records and executes effects."""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from contextlib import AbstractContextManager
from functools import singledispatch
from types import TracebackType
from typing import Any, Protocol

from crocuswell_core.runtime.effects import (
    Count,
    Effect,
    EmitLogEvent,
    EntriesRecord,
    Halt,
    Label,
    LogLevel,
    Observe,
    Persist,
    Record,
    SetGauge,
)
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    CallReceived,
    ClockAdvanced,
    EntriesSynced,
    EntryMessageReceived,
    Event,
    WorkerReplied,
)
from crocuswell_daemon.frames import DiskFullError, StorageError
from crocuswell_daemon.snapshots import decode_event_state, encode_effect_state
from crocuswell_daemon.wire import CodecError

# Bounds how long a full queue blocks the event loop, and with it the streams.
BATCH_EVENTS = 512
# A full disk is tried again this often.
DISK_FULL_RETRY_S = 0.1

Reducer = Callable[[Any, Event], tuple[Any, list[Effect]]]


class RecordWriter(Protocol):
    """Durable storage; called on a single background thread."""

    def append(self, records: Iterable[Record]) -> None:
        """Buffer records, in order, for the next `sync`."""

    def sync(self) -> None:
        """Write all buffered records to disk or raise `StorageError`."""


class EffectInterpreter(Protocol):
    """Executes effects other than `Persist`."""

    def execute(self, effects: Iterable[Effect]) -> Halt | None:
        """Execute effects in order; stop at a `Halt` and return it."""


def clock_ms() -> int:
    """Return a monotonic time in ms.

    Unlike `time.monotonic` it includes the time the machine was suspended,
    so that leases expire during a suspension.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def read_clock() -> ClockAdvanced:
    """Return the monotonic and the wall-clock time, both in ms."""
    return ClockAdvanced(clock_ms(), time.time_ns() // 1_000_000)


class Runtime(AbstractContextManager["Runtime"]):
    """Reduces events in batches; must be created on the event loop.

    Parameters
    ----------
    reduce : callable
        The reducer.
    state : EntryState or AgentState
        The initial state; only the reducer may change it.
    storage : RecordWriter, optional
        Writes the records of `Persist` effects. A role without storage must
        not emit them.
    clock : callable, optional
        Returns the current time; called at the start of each batch.
    isolates_events : bool, optional
        Whether a message that cannot be reduced is dropped, as if it had been
        lost, instead of halting the process. Only for roles without storage,
        whose state is rebuilt from later messages.
    """

    def __init__(
        self,
        reduce: Reducer,
        state: Any,
        storage: RecordWriter | None = None,
        clock: Callable[[], ClockAdvanced] = read_clock,
        *,
        isolates_events: bool = False,
    ) -> None:
        self._isolates_events = isolates_events
        self._reduce = reduce
        self._state = state
        self._storage = storage
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._queue: deque[Event] = deque()
        self._wake = asyncio.Event()
        self._wake_requested = False
        self._writer = ThreadPoolExecutor(1, "storage") if storage else None

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Wait for a write in progress; queued events are dropped."""
        if self._writer:
            self._writer.shutdown()

    def post(self, event: Event) -> None:
        """Queue an event; thread-safe."""
        self._queue.append(event)
        if self._wake_requested:
            return
        self._wake_requested = True
        try:
            self._loop.call_soon_threadsafe(self._wake.set)
        except RuntimeError:
            # The event loop is closed because the process is stopping.
            return

    async def run(self, interpreter: EffectInterpreter) -> Halt:
        """Reduce events until the reducer or an error halts the process.

        Parameters
        ----------
        interpreter : EffectInterpreter
            Executes the effects.

        Returns
        -------
        Halt
            Why the process must stop.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            # Reset before the queue is read: an event posted from now on
            # either is part of this batch or wakes the loop again.
            self._wake_requested = False
            halt = await self._run_batch(self._take_batch(), interpreter)
            if halt is not None:
                return halt
            if self._queue:
                self._wake.set()
                # `wait` on a set event does not yield to other tasks, so
                # the streams would not run.
                await asyncio.sleep(0)

    def _take_batch(self) -> list[Event]:
        count = min(len(self._queue), BATCH_EVENTS)
        return [self._queue.popleft() for _ in range(count)]

    async def _run_batch(
        self, events: list[Event], interpreter: EffectInterpreter
    ) -> Halt | None:
        if not events:
            return None
        effects: list[Effect] = []
        for event in (self._clock(), *events):
            try:
                effects += self._reduce_one(event)
            except Exception as exc:  # the state may be half updated
                if not (self._isolates_events and _is_message(event)):
                    return _halt_for_exception(f"reducing {type(event).__name__}", exc)
                effects += _report_dropped_event(event, exc)
        records = [e.record for e in effects if isinstance(e, Persist)]
        if records:
            started_s = time.monotonic()
            try:
                await self._write(records, interpreter)
            except StorageError as exc:
                return Halt(exc.kind, str(exc))
            except Exception as exc:  # a record that can't be encoded or stored
                return _halt_for_exception("writing records", exc)
            effects.append(Observe("log_sync_seconds", time.monotonic() - started_s))
        try:
            return interpreter.execute(e for e in effects if not isinstance(e, Persist))
        except Exception as exc:  # some effects may not have been executed
            return _halt_for_exception("carrying out effects", exc)

    def _reduce_one(self, event: Event) -> list[Effect]:
        try:
            event = decode_event_state(event)
        except CodecError as exc:
            return [_snapshot_refused_event(exc)]
        self._state, effects = self._reduce(self._state, event)
        return [part for effect in effects for part in _encode_effect(effect)]

    async def _write(
        self, records: list[Record], interpreter: EffectInterpreter
    ) -> None:
        if self._writer is None or self._storage is None:
            raise TypeError("this role has no storage")
        try:
            await self._call_storage(self._storage.append, records)
            await self._call_storage(self._storage.sync)
        except DiskFullError as exc:
            await self._wait_for_room(self._storage, str(exc), interpreter)
        last_record = next(
            (r for r in reversed(records) if isinstance(r, EntriesRecord)), None
        )
        if last_record is not None and last_record.entries:
            entry = last_record.entries[-1]
            self.post(EntriesSynced(entry.index, entry.term))

    async def _call_storage(self, call: Callable[..., None], *args: object) -> None:
        await self._loop.run_in_executor(self._writer, call, *args)

    async def _wait_for_room(
        self, storage: RecordWriter, detail: str, interpreter: EffectInterpreter
    ) -> None:
        """Write the records of a batch once the disk takes them.

        Until then the host is like one whose disk stalls: it executes no
        effect, so another host is elected if it led, and it loses its lease.
        """
        started_s = time.monotonic()
        full = EmitLogEvent("disk_full", (Label("reason", detail),), LogLevel.WARNING)
        interpreter.execute([full, SetGauge("disk_full", 1.0)])
        while True:
            await asyncio.sleep(DISK_FULL_RETRY_S)
            try:
                await self._call_storage(storage.sync)
                break
            except DiskFullError:
                continue
        waited_ms = round((time.monotonic() - started_s) * 1_000)
        has_room = EmitLogEvent("disk_writable", (Label("full_ms", str(waited_ms)),))
        interpreter.execute([has_room, SetGauge("disk_full", 0.0)])


def _encode_effect(effect: Effect) -> list[Effect]:
    """Encode the state in an effect and report how long that took."""
    started_s = time.monotonic()
    encoded = encode_effect_state(effect)
    if encoded is effect:
        return [effect]
    return [encoded, Observe("snapshot_encode_seconds", time.monotonic() - started_s)]


def _halt_for_exception(action: str, exc: Exception) -> Halt:
    return Halt(ErrorKind.INTERNAL, f"fault while {action}: {exc!r}")


@singledispatch
def _is_message(event: Event) -> bool:
    """Tell whether an event is a message from outside, which may be lost.

    A timer that was lost would never fire again.
    """
    return False


@_is_message.register(AgentMessageReceived)
@_is_message.register(CallReceived)
@_is_message.register(EntryMessageReceived)
@_is_message.register(WorkerReplied)
def _(event: Event) -> bool:
    return True


def _report_dropped_event(event: Event, exc: Exception) -> list[Effect]:
    labels = (Label("type", type(event).__name__), Label("reason", repr(exc)))
    return [
        EmitLogEvent("event_dropped", labels, LogLevel.ERROR),
        Count("events_dropped_total"),
    ]


def _snapshot_refused_event(exc: CodecError) -> EmitLogEvent:
    return EmitLogEvent(
        "snapshot_refused", (Label("reason", str(exc)),), LogLevel.ERROR
    )
