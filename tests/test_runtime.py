"""The runtime: effects that are lost, executed early or reordered."""

import asyncio
import threading
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import pytest

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import AdvanceTime, LogEntry, Proposal
from crocuswell_core.consensus.peer_messages import InstallSnapshot, TimeoutNow
from crocuswell_core.jobs.job_commands import GetCatalog
from crocuswell_core.links.link_messages import LinkKeepalive
from crocuswell_core.runtime import effects as fx
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import (
    AgentStreamClosed,
    CallAbandoned,
    CallReceived,
    ClockAdvanced,
    EntriesSynced,
    EntryMessageReceived,
    EntryStopRequested,
    Event,
    PeerMessageReceived,
    SnapshotReceived,
    TimerFired,
)
from crocuswell_core.runtime.timers import FrontTimer
from crocuswell_daemon import wire
from crocuswell_daemon.frames import DiskFullError, StorageError
from crocuswell_daemon.runtime import BATCH_EVENTS, Runtime

# Time limit of a test that hangs.
HANG_LIMIT_S = 30


def persist_entries(*indices: int) -> fx.Persist:
    proposal = Proposal("", "", AdvanceTime())
    return fx.Persist(
        fx.EntriesRecord(tuple(LogEntry(2, i, 0, proposal) for i in indices))
    )


def send(name: str) -> fx.SendPeer:
    return fx.SendPeer(name, TimeoutNow(1))


@attrs.define
class FakeStorage:
    """Records what is written; a sync can fail or block."""

    trace: list[Any]
    failure: Exception | None = None
    sync_started: threading.Event = attrs.Factory(threading.Event)
    sync_allowed: threading.Event | None = None

    def append(self, records: Iterable[fx.Record]) -> None:
        self.trace += records

    def sync(self) -> None:
        self.sync_started.set()
        if self.sync_allowed:
            self.sync_allowed.wait(HANG_LIMIT_S)
        if self.failure:
            raise self.failure
        self.trace.append("synced")


@attrs.define
class FakeInterpreter:
    """Records effects; can fail on one of them."""

    trace: list[Any]
    failing: fx.Effect | None = None

    def execute(self, effects: Iterable[fx.Effect]) -> fx.Halt | None:
        for effect in effects:
            if effect == self.failing:
                raise OSError("broken adapter")
            if isinstance(effect, fx.Halt):
                return effect
            self.trace.append(without_time(effect))
        return None


def without_time(effect: fx.Effect) -> fx.Effect | str:
    """Return the effect, or the metric's name if it is a measured time."""
    return effect.histogram if isinstance(effect, fx.Observe) else effect


def make_scripted_reducer(
    script: dict[Event, list[fx.Effect]], trace: list[Any]
) -> Callable[[Any, Event], tuple[Any, list[fx.Effect]]]:
    """Return a reducer that records events and returns scripted effects."""

    def reduce(state: Any, event: Event) -> tuple[Any, list[fx.Effect]]:
        trace.append(event)
        return state, list(script.get(event, []))

    return reduce


STOP = EntryStopRequested()
TICK = ClockAdvanced(5, 7)
ONE, TWO, THREE = AgentStreamClosed(1), AgentStreamClosed(2), AgentStreamClosed(3)


def run(
    script: dict[Event, list[fx.Effect]],
    events: Iterable[Event],
    *,
    storage: FakeStorage | None = None,
    interpreter: FakeInterpreter | None = None,
    trace: list[Any] | None = None,
    reduce: Any = None,
) -> tuple[fx.Halt, list[Any]]:
    """Run the events as one batch until the runtime halts."""
    trace = [] if trace is None else trace
    storage = storage or FakeStorage(trace)
    interpreter = interpreter or FakeInterpreter(trace)
    script = {STOP: [fx.Halt()], **script}

    async def main() -> fx.Halt:
        reducer = reduce or make_scripted_reducer(script, trace)
        with Runtime(reducer, object(), storage, clock=lambda: TICK) as runtime:
            for event in events:
                runtime.post(event)
            async with asyncio.timeout(HANG_LIMIT_S):
                return await runtime.run(interpreter)

    return asyncio.run(main()), trace


def test_a_batch_is_reduced_then_synced_once_then_carried_out() -> None:
    """Guards against a message that is sent before its record is synced."""
    trace: list[Any] = []
    halt, _ = run(
        {
            ONE: [send("a"), persist_entries(1), send("b")],
            TWO: [persist_entries(2, 3), fx.Persist(fx.TermRecord(1, None)), send("c")],
        },
        [ONE, TWO],
        interpreter=StopAfter(trace, 4),
        trace=trace,
    )
    assert halt == fx.Halt()
    assert trace == [
        TICK,
        ONE,
        TWO,
        persist_entries(1).record,
        persist_entries(2, 3).record,
        fx.TermRecord(1, None),
        "synced",
        send("a"),
        send("b"),
        send("c"),
        "log_sync_seconds",
    ]


class StopAfter(FakeInterpreter):
    """Halts after a number of effects."""

    def __init__(self, trace: list[Any], count: int) -> None:
        super().__init__(trace)
        self.count = count

    def execute(self, effects: Iterable[fx.Effect]) -> fx.Halt | None:
        for effect in effects:
            self.trace.append(without_time(effect))
            self.count -= 1
        return None if self.count else fx.Halt()


def test_the_last_synced_entry_is_reported_after_the_sync() -> None:
    """Guards against a commit that counts an entry not yet on disk."""
    halt, trace = run(
        {
            ONE: [persist_entries(1, 2)],
            TWO: [persist_entries(2), fx.Persist(fx.TermRecord(3, "a"))],
            EntriesSynced(2, 2): [fx.Halt()],
        },
        [ONE, TWO],
    )
    assert halt == fx.Halt()
    assert trace.index("synced") < trace.index(EntriesSynced(2, 2))
    assert trace.count(TICK) == 2


def test_a_full_disk_is_waited_for() -> None:
    """Guards against a host that ends, or answers early, with a full disk."""
    trace: list[Any] = []
    storage = FillingStorage(trace)
    script: dict[Event, list[fx.Effect]] = {
        ONE: [persist_entries(1), send("a")],
        EntriesSynced(1, 2): [fx.Halt()],
    }
    halt, _ = run(script, [ONE], storage=storage, trace=trace)
    assert halt == fx.Halt()
    events = [item.event for item in trace if isinstance(item, fx.EmitLogEvent)]
    assert events == ["disk_full", "disk_writable"]
    assert trace.index("synced") < trace.index(send("a"))


@attrs.define
class FillingStorage(FakeStorage):
    """Takes no bytes for some calls."""

    full_calls: int = 3

    def sync(self) -> None:
        if self.full_calls:
            self.full_calls -= 1
            raise DiskFullError(ErrorKind.STORAGE_FAILED, "no space")
        super().sync()


@pytest.mark.parametrize("isolates_events", [True, False])
@pytest.mark.parametrize(
    ("event", "may_be_lost"),
    [
        (CallReceived(1, GetCatalog()), True),
        (EntryMessageReceived(1, LinkKeepalive()), True),
        (TimerFired(FrontTimer()), False),
        (ONE, False),
    ],
)
def test_a_message_that_cannot_be_reduced_is_dropped(
    event: Event, may_be_lost: bool, isolates_events: bool
) -> None:
    """Guards against a message that ends a process without storage.

    A timer's event must not be dropped, since it would never fire again.
    """
    trace: list[Any] = []

    def reduce(state: Any, each: Event) -> tuple[Any, list[fx.Effect]]:
        if each == event:
            raise KeyError("unexpected")
        effects: dict[Event, fx.Effect] = {TWO: send("a"), STOP: fx.Halt()}
        return state, [effects[each]] if each in effects else []

    async def main() -> fx.Halt:
        with Runtime(
            reduce, object(), clock=lambda: TICK, isolates_events=isolates_events
        ) as runtime:
            for each in (event, TWO, STOP):
                runtime.post(each)
            async with asyncio.timeout(HANG_LIMIT_S):
                return await runtime.run(FakeInterpreter(trace))

    halt = asyncio.run(main())
    goes_on = isolates_events and may_be_lost
    assert (halt == fx.Halt()) is goes_on
    assert (send("a") in trace) is goes_on
    logged = [e.event for e in trace if isinstance(e, fx.EmitLogEvent)]
    assert logged == ["event_dropped"] * goes_on


def test_no_entries_synced_without_entries() -> None:
    """Guards against a synced vote that is reported as a synced log entry."""
    halt, trace = run({ONE: [fx.Persist(fx.TermRecord(3, "a"))]}, [ONE, STOP])
    assert halt == fx.Halt()
    assert not [item for item in trace if isinstance(item, EntriesSynced)]


def test_events_that_arrive_during_a_sync_form_the_next_batch() -> None:
    """Guards against events that are reduced, or lost, during a sync."""
    trace: list[Any] = []
    storage = FakeStorage(trace, sync_allowed=threading.Event())
    script = {
        ONE: [persist_entries(1), send("a")],
        TWO: [persist_entries(2)],
        THREE: [persist_entries(3)],
    }
    script[EntriesSynced(3, 2)] = [fx.Halt()]

    async def main() -> fx.Halt:
        with Runtime(
            make_scripted_reducer(script, trace), object(), storage, clock=lambda: TICK
        ) as runtime:
            runtime.post(ONE)
            run_task = asyncio.create_task(runtime.run(FakeInterpreter(trace)))
            await asyncio.to_thread(storage.sync_started.wait, HANG_LIMIT_S)
            poster = threading.Thread(target=lambda: list(map(runtime.post, late)))
            poster.start()
            await asyncio.to_thread(poster.join)
            # The sync does not block the event loop, but the runtime reduces
            # nothing before it ends.
            assert trace == [TICK, ONE, persist_entries(1).record]
            storage.sync_allowed.set()  # type: ignore[union-attr]
            async with asyncio.timeout(HANG_LIMIT_S):
                return await run_task

    late = [TWO, THREE]
    assert asyncio.run(main()) == fx.Halt()
    assert trace == [
        *(
            TICK,
            ONE,
            persist_entries(1).record,
            "synced",
            send("a"),
            "log_sync_seconds",
        ),
        *(TICK, TWO, THREE, EntriesSynced(1, 2)),
        *(
            persist_entries(2).record,
            persist_entries(3).record,
            "synced",
            "log_sync_seconds",
        ),
        *(TICK, EntriesSynced(3, 2)),
    ]


@pytest.mark.parametrize(
    ("failure", "kind"),
    [
        (StorageError(ErrorKind.STORAGE_FAILED, "disk"), ErrorKind.STORAGE_FAILED),
        (ValueError("a gap"), ErrorKind.INTERNAL),
    ],
)
def test_a_failed_sync_halts_and_nothing_is_sent(
    failure: Exception, kind: ErrorKind
) -> None:
    """Guards against a message that is sent although its record is lost."""
    trace: list[Any] = []
    halt, _ = run(
        {ONE: [send("a"), persist_entries(1), send("b")]},
        [ONE],
        storage=FakeStorage(trace, failure),
        trace=trace,
    )
    assert halt.kind is kind
    assert str(failure) in halt.detail
    assert trace == [TICK, ONE, persist_entries(1).record]


def test_an_error_in_the_reducer_halts_and_nothing_is_written_or_sent() -> None:
    """Guards against continuing with a partially updated state."""
    trace: list[Any] = []

    def reduce(state: Any, event: Event) -> tuple[Any, list[fx.Effect]]:
        if event == TWO:
            raise KeyError("missing")
        return state, [persist_entries(1), send("a")]

    halt, _ = run({}, [ONE, TWO, THREE], reduce=reduce, trace=trace)
    assert halt.kind is ErrorKind.INTERNAL
    assert "AgentStreamClosed" in halt.detail
    assert "KeyError('missing')" in halt.detail
    assert trace == []


def test_a_failing_effect_halts_the_process() -> None:
    """Guards against continuing after some effects were not executed."""
    trace: list[Any] = []
    interpreter = FakeInterpreter(trace, failing=send("b"))
    halt, _ = run(
        {ONE: [send("a"), send("b"), send("c")]},
        [ONE],
        interpreter=interpreter,
        trace=trace,
    )
    assert halt.kind is ErrorKind.INTERNAL
    assert trace == [TICK, ONE, send("a")]


def test_effects_after_a_halt_are_not_carried_out() -> None:
    """Guards against a host that sends messages after it has halted."""
    halt, trace = run({ONE: [send("a"), fx.Halt(), send("b")]}, [ONE, TWO])
    assert halt == fx.Halt()
    assert send("a") in trace
    assert send("b") not in trace


def test_records_before_a_halt_are_written() -> None:
    """Guards against a planned stop that loses the last vote."""
    _, trace = run({ONE: [fx.Persist(fx.TermRecord(4, "b")), fx.Halt()]}, [ONE])
    assert trace[-2:] == [fx.TermRecord(4, "b"), "synced"]


def test_a_persist_without_storage_halts() -> None:
    """Guards against records that a role without storage silently drops."""

    async def main() -> fx.Halt:
        reduce = make_scripted_reducer({ONE: [persist_entries(1)]}, [])
        with Runtime(reduce, object(), clock=lambda: TICK) as runtime:
            runtime.post(ONE)
            return await runtime.run(FakeInterpreter([]))

    assert asyncio.run(main()).kind is ErrorKind.INTERNAL


def test_a_long_queue_does_not_starve_the_streams() -> None:
    """Guards against a flood of events that starves the streams."""
    reduced_at_turn: list[int] = []
    count = 3 * BATCH_EVENTS

    async def main() -> None:
        reduced = 0

        def reduce(state: Any, event: Event) -> tuple[Any, list[fx.Effect]]:
            nonlocal reduced
            reduced += isinstance(event, CallAbandoned)
            return state, [fx.Halt()] if event == STOP else []

        async def stream() -> None:
            while not reduced_at_turn or reduced_at_turn[-1] < count:
                reduced_at_turn.append(reduced)
                await asyncio.sleep(0)

        with Runtime(reduce, object(), clock=lambda: TICK) as runtime:
            for number in range(count):
                runtime.post(CallAbandoned(number))
            runtime.post(STOP)
            task = asyncio.create_task(stream())
            await runtime.run(FakeInterpreter([]))
            await task

    asyncio.run(main())
    assert {BATCH_EVENTS, 2 * BATCH_EVENTS} <= set(reduced_at_turn)


def test_events_from_many_threads_all_arrive() -> None:
    """Guards against a lost wake-up between reading and clearing the flag."""
    threads, per_thread = 8, 2_000
    seen: list[int] = []

    async def main() -> fx.Halt:
        def reduce(state: Any, event: Event) -> tuple[Any, list[fx.Effect]]:
            if isinstance(event, CallAbandoned):
                seen.append(event.call_id)
            done = len(seen) == threads * per_thread
            return state, [fx.Halt()] if done else []

        with Runtime(reduce, object(), clock=lambda: TICK) as runtime:

            def post_all(first: int) -> None:
                for number in range(first, first + per_thread):
                    runtime.post(CallAbandoned(number))

            posters = [
                threading.Thread(target=post_all, args=(index * per_thread,))
                for index in range(threads)
            ]
            for poster in posters:
                poster.start()
            async with asyncio.timeout(HANG_LIMIT_S):
                return await runtime.run(FakeInterpreter([]))

    assert asyncio.run(main()) == fx.Halt()
    assert sorted(seen) == list(range(threads * per_thread))


def test_posting_after_the_end_is_harmless() -> None:
    """Guards against an error in a thread that posts to a closed loop."""

    async def main() -> Runtime:
        with Runtime(
            make_scripted_reducer({STOP: [fx.Halt()]}, []), object()
        ) as runtime:
            runtime.post(STOP)
            await runtime.run(FakeInterpreter([]))
        return runtime

    runtime = asyncio.run(main())
    runtime.post(ONE)


def emit_or_change_state(
    state: ClusterState, event: Event
) -> tuple[Any, list[fx.Effect]]:
    """Emit the state on the first event and change it on the second."""
    if event == ONE:
        save = fx.SaveSnapshot(7, 2, (), (), state)
        install = fx.SendSnapshot("b", 3, 7, 2, (), (), state, 9)
        return state, [save, install]
    if event == TWO:
        state.now_ms = 99
    return state, [fx.Halt()] if event == STOP else []


def test_a_snapshot_holds_the_state_of_its_own_event() -> None:
    """Guards against a snapshot that contains changes of later events."""
    trace: list[Any] = []
    state = ClusterState(now_ms=1)

    async def main() -> fx.Halt:
        with Runtime(
            emit_or_change_state, state, FakeStorage(trace), clock=lambda: TICK
        ) as runtime:
            for event in (ONE, TWO, STOP):
                runtime.post(event)
            return await runtime.run(FakeInterpreter(trace))

    asyncio.run(main())
    encoded = wire.encode(ClusterState(now_ms=1))
    assert trace == [
        fx.SnapshotRecord(7, 2, (), (), encoded),
        "synced",
        "snapshot_encode_seconds",
        fx.SendPeer("b", InstallSnapshot(3, 7, 2, (), (), encoded, 9)),
        "snapshot_encode_seconds",
    ]
    assert state.now_ms == 99


def test_a_received_snapshot_is_decoded_before_it_is_reduced() -> None:
    """Guards against encoded state that reaches the reducer."""
    encoded = wire.encode(ClusterState(now_ms=4))
    message = InstallSnapshot(3, 7, 2, (), ("a",), encoded, 9)
    expected = SnapshotReceived(
        "b", 3, 7, 2, (), ("a",), ClusterState(now_ms=4), round=9
    )
    trace: list[Any] = []

    def reduce(state: Any, event: Event) -> tuple[Any, list[fx.Effect]]:
        trace.append(event)
        return state, [fx.Halt()] if event == STOP else []

    run({}, [PeerMessageReceived("b", message), STOP], reduce=reduce)
    assert trace == [TICK, expected, STOP]


def test_a_damaged_snapshot_is_refused_and_logged() -> None:
    """Guards against a host that halts because of a peer's message."""
    message = InstallSnapshot(3, 7, 2, (), (), b"damaged", 9)
    halt, trace = run({}, [PeerMessageReceived("b", message), STOP])
    assert halt == fx.Halt()
    assert trace[:2] == [TICK, STOP]
    assert isinstance(trace[2], fx.EmitLogEvent)
    assert trace[2].event == "snapshot_refused"
