"""A runner: heartbeats of its worker, orders of the leader, leases, reports.

The runner decides nothing about tasks. It carries orders to the worker
until each has an answer, extends the worker's lease only as far as the
leader's newest grant, and reports what the worker lists.
"""

from functools import singledispatch

import attrs

from crocuswell_core.jobs.run_labels import run_labels
from crocuswell_core.links import uplink as links
from crocuswell_core.links.link_messages import (
    EventCount,
    LeaseGrant,
    RunOrders,
    WorkerDescription,
    WorkerReport,
)
from crocuswell_core.runner.runner_state import (
    OrderPhase,
    RunnerState,
    StartOrder,
    StopOrder,
    WorkerClock,
)
from crocuswell_core.runner.worker_calls import (
    BeatTaken,
    BeginRun,
    EndRun,
    ListRuns,
    NoAnswer,
    OtherBoot,
    RunRefused,
    RunsListed,
    RunTaken,
    WorkerBeat,
    WorkerCall,
    WorkerLeaving,
    WorkerReply,
)
from crocuswell_core.runtime import clock  # noqa: F401  (shared handlers)
from crocuswell_core.runtime.dispatch import (
    abandon_call,
    close_stream,
    handle,
    handle_timer,
    open_stream,
    receive_call,
    receive_message,
    take_seeds,
    tick_uplink,
)
from crocuswell_core.runtime.effects import (
    AnswerCall,
    CallWorker,
    Effect,
    Halt,
    Label,
    LogChange,
    SetReady,
    StartTimer,
)
from crocuswell_core.runtime.events import (
    CallAbandoned,
    CallReceived,
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
    RunnerBooted,
    RunnerStopRequested,
    WorkerReplied,
)
from crocuswell_core.runtime.timers import RunnerTimer

RUNNER_TICK_MS = 100
# A start is not begun with less than this left of the grant.
LEAST_GRANT_MS = 500
# Absent runs are reported this often; the leader's record may be lost once.
ABSENT_REPORTS_MS = 10_000
LIST_RETRY_MS = 200


@handle.register
def _(event: RunnerBooted, state: RunnerState) -> list[Effect]:
    return [
        *links.begin(state.uplink, state.now_ms),
        SetReady(True),
        StartTimer(RunnerTimer(), RUNNER_TICK_MS),
    ]


@handle.register
def _(event: RunnerStopRequested, state: RunnerState) -> list[Effect]:
    state.stopping_since_ms = state.now_ms
    return [LogChange("stopping")]


@take_seeds.register
def _(state: RunnerState, seeds: tuple[str, ...]) -> None:
    state.uplink.seeds = seeds


@tick_uplink.register
def _(state: RunnerState) -> list[Effect]:
    return links.tick(state.uplink, state.now_ms)


@open_stream.register
def _(state: RunnerState, event: EntryStreamOpened) -> list[Effect]:
    return links.take_opened(state.uplink, state.now_ms, event)


@close_stream.register
def _(state: RunnerState, event: EntryStreamClosed) -> list[Effect]:
    effects = links.take_closed(state.uplink, state.now_ms, event)
    if not state.uplink.is_attached:
        _drop_unsent_starts(state)
    return effects


@receive_message.register
def _(state: RunnerState, event: EntryMessageReceived) -> list[Effect]:
    was_attached = state.uplink.is_attached
    effects = links.take_message(
        state.uplink,
        state.now_ms,
        event.stream_id,
        event.message,  # type: ignore[arg-type]
    )
    if event.stream_id != state.uplink.stream_id:
        return effects
    if state.uplink.is_attached and not was_attached:
        state.fence = max(state.fence, state.uplink.term)
        state.events_sent = {}
        _drop_unsent_starts(state)
        return [*effects, *_report(state)]
    return [*effects, *_take_host_message(event.message, state)]


@singledispatch
def _take_host_message(message: object, state: RunnerState) -> list[Effect]:
    return []


# --- the worker's heartbeats ---------------------------------------------


@receive_call.register
def _(state: RunnerState, event: CallReceived) -> list[Effect]:
    return [AnswerCall(event.call_id, BeatTaken()), *_take_beat(event.call, state)]


@abandon_call.register
def _(state: RunnerState, event: CallAbandoned) -> list[Effect]:
    return []


@singledispatch
def _take_beat(call: object, state: RunnerState) -> list[Effect]:
    raise NotImplementedError(type(call).__name__)


@_take_beat.register
def _(call: WorkerBeat, state: RunnerState) -> list[Effect]:
    known = state.beat
    if known is not None and call.born_ms < known.born_ms:
        return []
    same = known is not None and (known.id, known.born_ms) == (call.id, call.born_ms)
    if same and known is not None:
        if call.sequence <= known.sequence:
            return []
        urgent = known.draining != call.draining
        state.beat = call
        return _report(state) if urgent else []
    state.beat = call
    _forget_boot(state)
    labels = (
        Label("worker", call.id),
        Label("born_ms", str(call.born_ms)),
        Label("service", call.service),
        Label("rack", call.rack),
    )
    return [LogChange("worker_registered", labels), *_list_runs(state)]


@_take_beat.register
def _(call: WorkerLeaving, state: RunnerState) -> list[Effect]:
    if state.beat is None or state.beat.id != call.id:
        return []
    state.left = True
    state.beat = attrs.evolve(state.beat, draining=True, remaining_ms=0)
    return [LogChange("worker_leaving", (Label("worker", call.id),)), *_report(state)]


def _forget_boot(state: RunnerState) -> None:
    """Start anew for another boot: it runs and remembers nothing."""
    state.reachable = False
    state.left = False
    state.clock = WorkerClock()
    state.lease_until_ms = 0
    state.seen = 0
    state.listing = False
    state.list_at_ms = state.now_ms
    state.running.clear()
    state.ended = ()
    state.starts.clear()
    state.stops.clear()
    state.absent.clear()


def _worker_id(state: RunnerState) -> str:
    return state.beat.id if state.beat else ""


# --- the leader's orders -------------------------------------------------


@_take_host_message.register
def _(message: LeaseGrant, state: RunnerState) -> list[Effect]:
    sent_ms = state.reports.get(message.sequence)
    if sent_ms is None:
        return []
    for sequence in [s for s in state.reports if s <= message.sequence]:
        del state.reports[sequence]
    state.fence = max(state.fence, message.term)
    until_ms = sent_ms + message.lease_ms
    state.granted_until_ms = max(state.granted_until_ms, until_ms)
    effects = _begin_waiting(state)
    if message.worker == _key(state) and message.seen > state.seen:
        state.seen = message.seen
        state.ended = tuple(end for end in state.ended if end.number > state.seen)
        state.list_at_ms = state.now_ms
        effects += _list_if_due(state)
    return effects


@_take_host_message.register
def _(message: RunOrders, state: RunnerState) -> list[Effect]:
    if message.worker != _key(state):
        return []
    state.fence = max(state.fence, message.term)
    for start in message.starts:
        if start.run not in state.running and start.run not in state.stops:
            state.starts.setdefault(start.run, StartOrder(start))
    for stop in message.stops:
        state.stops.setdefault(stop.run, StopOrder())
        state.starts.pop(stop.run, None)
    return [*_begin_waiting(state), *_end_waiting(state)]


def _key(state: RunnerState) -> str:
    return _describe(state, state.beat).key if state.beat else ""


def _describe(state: RunnerState, beat: WorkerBeat) -> WorkerDescription:
    return WorkerDescription(
        machine=state.cfg.name,
        id=beat.id,
        born_ms=beat.born_ms,
        service=beat.service,
        zone=beat.zone,
        rack=beat.rack,
        labels=beat.labels,
        capacity=beat.capacity,
        draining=beat.draining,
        remaining_ms=beat.remaining_ms,
        cold_ms=beat.cold_ms,
    )


def _drop_unsent_starts(state: RunnerState) -> None:
    """Forget starts of a leader that is out of reach.

    A start that was sent may have been carried out; the next leader sees
    the run in the worker's list, or orders it again.
    """
    state.starts = {
        run: start
        for run, start in state.starts.items()
        if start.phase is OrderPhase.CALLING
    }


def _begin_waiting(state: RunnerState) -> list[Effect]:
    """Call the worker for the starts whose time has come."""
    if state.beat is None or not state.uplink.is_attached:
        return []
    if (
        state.granted_until_ms - state.now_ms < LEAST_GRANT_MS
        or not state.clock.read_ms
    ):
        return []
    effects: list[Effect] = []
    for run, start in list(state.starts.items()):
        if start.phase is not OrderPhase.WAITING or state.now_ms < start.retry_at_ms:
            continue
        if state.beat.draining:
            # It must not begin anything new; the stop settles the order.
            del state.starts[run]
            state.stops.setdefault(run, StopOrder())
            continue
        start.phase = OrderPhase.CALLING
        call = BeginRun(
            worker=state.beat.id,
            run=run,
            payload=start.order.payload,
            lease_end_ms=_lease_end_ms(state),
            fence=state.fence,
            checkpoint=start.order.checkpoint,
        )
        effects.append(CallWorker(call))
    return effects


def _end_waiting(state: RunnerState) -> list[Effect]:
    """Call the worker for the stops whose time has come."""
    if state.beat is None:
        return []
    effects: list[Effect] = []
    for run, stop in state.stops.items():
        if stop.phase is OrderPhase.WAITING and state.now_ms >= stop.retry_at_ms:
            stop.phase = OrderPhase.CALLING
            effects.append(CallWorker(EndRun(state.beat.id, run, state.fence)))
    return effects


def _lease_end_ms(state: RunnerState) -> int:
    """Return the end of the grant on the worker's clock, and note it.

    The worker's clock may run slow, so that the same number of its
    milliseconds takes longer.
    """
    pace = 1 - state.cfg.clock_drift
    left_ms = state.granted_until_ms - state.clock.read_ms
    state.lease_until_ms = max(state.lease_until_ms, state.granted_until_ms)
    return state.clock.clock_ms + int(left_ms * pace)


# --- the worker's replies ------------------------------------------------


@handle.register
def _(event: WorkerReplied, state: RunnerState) -> list[Effect]:
    if event.call.worker != _worker_id(state):
        return []
    return _take_reply(event.call, state, event.reply)


@singledispatch
def _take_reply(
    call: WorkerCall, state: RunnerState, reply: WorkerReply
) -> list[Effect]:
    raise NotImplementedError(type(call).__name__)


@_take_reply.register
def _(call: BeginRun, state: RunnerState, reply: WorkerReply) -> list[Effect]:
    start = state.starts.get(call.run)
    if start is None:
        return []
    _count_event(state, f"start {_kind(reply)}")
    if isinstance(reply, RunTaken):
        del state.starts[call.run]
        return []
    labels = (*run_labels(call.run), Label("reply", _reason(reply)))
    effects: list[Effect] = [LogChange("start_not_taken", labels)]
    if isinstance(reply, RunRefused):
        # An earlier copy of the order may still arrive; the stop makes the
        # worker refuse it.
        del state.starts[call.run]
        state.stops.setdefault(call.run, StopOrder())
        return [*effects, *_end_waiting(state)]
    start.phase = OrderPhase.WAITING
    start.retry_at_ms = state.now_ms + state.cfg.call_retry_ms
    return effects


@_take_reply.register
def _(call: EndRun, state: RunnerState, reply: WorkerReply) -> list[Effect]:
    stop = state.stops.get(call.run)
    if stop is None:
        return []
    _count_event(state, f"stop {_kind(reply)}")
    if isinstance(reply, (RunTaken, RunRefused)):
        stop.phase = OrderPhase.ANSWERED
        stop.stale_list = state.listing
        state.list_at_ms = state.now_ms
        return _list_if_due(state)
    stop.phase = OrderPhase.WAITING
    stop.retry_at_ms = state.now_ms + state.cfg.call_retry_ms
    return []


@_take_reply.register
def _(call: ListRuns, state: RunnerState, reply: WorkerReply) -> list[Effect]:
    state.listing = False
    if not isinstance(reply, RunsListed):
        state.list_at_ms = state.now_ms + LIST_RETRY_MS
        if not state.reachable:
            return []
        state.reachable = False
        _count_event(state, "worker unreachable")
        labels = (Label("worker", call.worker), Label("reply", _reason(reply)))
        return [LogChange("worker_unreachable", labels), *_report(state)]
    if state.beat is None or reply.born_ms not in (0, state.beat.born_ms):
        # Another boot answers; its heartbeat will follow.
        state.list_at_ms = state.now_ms + LIST_RETRY_MS
        return []
    return _take_list(state, reply)


def _take_list(state: RunnerState, reply: RunsListed) -> list[Effect]:
    effects: list[Effect] = []
    if not state.reachable:
        labels = (Label("worker", _worker_id(state)),)
        effects.append(LogChange("worker_reached", labels))
    first = not state.clock.read_ms
    state.reachable = True
    state.lists += 1
    state.clock = WorkerClock(reply.clock_ms, state.now_ms)
    before = set(state.running)
    state.running = {progress.run: progress for progress in reply.running}
    state.ended = tuple(end for end in reply.ended if end.number > state.seen)
    _note_absent(state)
    changed = before != set(state.running) or bool(state.ended) or first
    state.list_at_ms = state.now_ms
    if state.ended:
        # The worker answers at once while ends are not yet acknowledged.
        state.list_at_ms += state.cfg.ends_wait_ms
    effects += _begin_waiting(state)
    if changed or state.absent:
        effects += _report(state)
    return [*effects, *_list_if_due(state)]


def _note_absent(state: RunnerState) -> None:
    """Find stopped runs that are neither running nor ended."""
    ended = {end.run for end in state.ended}
    for run, stop in list(state.stops.items()):
        if stop.phase is not OrderPhase.ANSWERED:
            continue
        if stop.stale_list or run in state.running:
            stop.stale_list = False
            continue
        del state.stops[run]
        if run not in ended:
            state.absent[run] = state.now_ms
    for run, since_ms in list(state.absent.items()):
        if state.now_ms - since_ms > ABSENT_REPORTS_MS:
            del state.absent[run]


@singledispatch
def _reason(reply: WorkerReply) -> str:
    """Return what a reply says, in a word or two."""
    return "ok"


@_reason.register
def _(reply: RunRefused) -> str:
    return reply.reason


@_reason.register
def _(reply: NoAnswer) -> str:
    return reply.detail


@_reason.register
def _(reply: OtherBoot) -> str:
    return "other_boot"


@singledispatch
def _kind(reply: WorkerReply) -> str:
    """Return the name of a reply in the counts; from a bounded set."""
    return _reason(reply)


@_kind.register
def _(reply: NoAnswer) -> str:
    return "no_answer"


# --- lists and reports ---------------------------------------------------


def _list_if_due(state: RunnerState) -> list[Effect]:
    if state.beat is None or state.listing or state.now_ms < state.list_at_ms:
        return []
    return _list_runs(state)


def _list_runs(state: RunnerState) -> list[Effect]:
    if state.beat is None or state.listing:
        return []
    state.listing = True
    granted = state.granted_until_ms > state.now_ms and state.clock.read_ms > 0
    # Something is expected soon while orders are under way.
    quick = not state.clock.read_ms or bool(state.stops)
    call = ListRuns(
        worker=state.beat.id,
        fence=state.fence,
        seen=state.seen,
        lease_end_ms=_lease_end_ms(state) if granted else 0,
        wait_ms=0 if quick else state.cfg.list_wait_ms,
    )
    if quick and state.clock.read_ms:
        state.list_at_ms = state.now_ms + state.cfg.ends_wait_ms
    return [CallWorker(call)]


@handle_timer.register
def _(timer: RunnerTimer, state: RunnerState) -> list[Effect]:
    effects: list[Effect] = [StartTimer(timer, RUNNER_TICK_MS)]
    since_ms = state.stopping_since_ms
    if since_ms is not None and state.now_ms - since_ms >= state.cfg.stop_limit_ms:
        return [Halt()]
    effects += _begin_waiting(state)
    effects += _end_waiting(state)
    effects += _list_if_due(state)
    if state.now_ms - state.reported_ms >= state.cfg.report_ms:
        effects += _report(state)
    return effects


def _count_event(state: RunnerState, event: str) -> None:
    state.events[event] = state.events.get(event, 0) + 1


def _changed_events(state: RunnerState) -> tuple[EventCount, ...]:
    changed = tuple(
        EventCount(event, count)
        for event, count in state.events.items()
        if state.events_sent.get(event) != count
    )
    state.events_sent.update((item.event, item.count) for item in changed)
    return changed


def _report(state: RunnerState) -> list[Effect]:
    if not state.uplink.is_attached:
        return []
    state.sequence += 1
    state.reported_ms = state.now_ms
    state.reports[state.sequence] = state.now_ms
    listed = state.clock.read_ms > 0
    worker = _describe(state, state.beat) if state.beat and listed else None
    report = WorkerReport(
        sequence=state.sequence,
        worker=worker,
        reachable=state.reachable,
        lease_left_ms=max(0, state.lease_until_ms - state.now_ms),
        running=tuple(state.running.values()),
        ended=state.ended,
        absent=tuple(state.absent),
        gone=state.left and not state.reachable,
        lists=state.lists,
        events=_changed_events(state),
    )
    return links.send(state.uplink, state.now_ms, report)
