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
    LeaseGrant,
    RunOrders,
)
from crocuswell_core.runner.run_lists import (
    boot_key_of,
    count_event,
    list_if_due,
    list_runs,
    report,
    take_list,
    worker_id,
)
from crocuswell_core.runner.run_orders import (
    begin_waiting,
    drop_unsent_starts,
    end_waiting,
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
from crocuswell_core.runtime import shared_handlers  # noqa: F401  (registers them)
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
        drop_unsent_starts(state)
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
        drop_unsent_starts(state)
        return [*effects, *report(state)]
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
        return report(state) if urgent else []
    state.beat = call
    _forget_boot(state)
    labels = (
        Label("worker", call.id),
        Label("born_ms", str(call.born_ms)),
        Label("service", call.service),
        Label("rack", call.rack),
    )
    return [LogChange("worker_registered", labels), *list_runs(state)]


@_take_beat.register
def _(call: WorkerLeaving, state: RunnerState) -> list[Effect]:
    if state.beat is None or state.beat.id != call.id:
        return []
    state.left = True
    state.beat = attrs.evolve(state.beat, draining=True, remaining_ms=0)
    return [LogChange("worker_leaving", (Label("worker", call.id),)), *report(state)]


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
    effects = begin_waiting(state)
    if message.worker == boot_key_of(state) and message.seen > state.seen:
        state.seen = message.seen
        state.ended = tuple(end for end in state.ended if end.number > state.seen)
        state.list_at_ms = state.now_ms
        effects += list_if_due(state)
    return effects


@_take_host_message.register
def _(message: RunOrders, state: RunnerState) -> list[Effect]:
    if message.worker != boot_key_of(state):
        return []
    state.fence = max(state.fence, message.term)
    for start in message.starts:
        if start.run not in state.running and start.run not in state.stops:
            state.starts.setdefault(start.run, StartOrder(start))
    for stop in message.stops:
        state.stops.setdefault(stop.run, StopOrder())
        state.starts.pop(stop.run, None)
    return [*begin_waiting(state), *end_waiting(state)]


# --- the worker's replies ------------------------------------------------


@handle.register
def _(event: WorkerReplied, state: RunnerState) -> list[Effect]:
    if event.call.worker != worker_id(state):
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
    count_event(state, f"start {_kind(reply)}")
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
        return [*effects, *end_waiting(state)]
    start.phase = OrderPhase.WAITING
    start.retry_at_ms = state.now_ms + state.cfg.call_retry_ms
    return effects


@_take_reply.register
def _(call: EndRun, state: RunnerState, reply: WorkerReply) -> list[Effect]:
    stop = state.stops.get(call.run)
    if stop is None:
        return []
    count_event(state, f"stop {_kind(reply)}")
    if isinstance(reply, (RunTaken, RunRefused)):
        stop.phase = OrderPhase.ANSWERED
        stop.stale_list = state.listing
        state.list_at_ms = state.now_ms
        return list_if_due(state)
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
        count_event(state, "worker unreachable")
        labels = (Label("worker", call.worker), Label("reply", _reason(reply)))
        return [LogChange("worker_unreachable", labels), *report(state)]
    if state.beat is None or reply.born_ms not in (0, state.beat.born_ms):
        # Another boot answers; its heartbeat will follow.
        state.list_at_ms = state.now_ms + LIST_RETRY_MS
        return []
    return take_list(state, reply)


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


@handle_timer.register
def _(timer: RunnerTimer, state: RunnerState) -> list[Effect]:
    effects: list[Effect] = [StartTimer(timer, RUNNER_TICK_MS)]
    since_ms = state.stopping_since_ms
    if since_ms is not None and state.now_ms - since_ms >= state.cfg.stop_limit_ms:
        return [Halt()]
    effects += begin_waiting(state)
    effects += end_waiting(state)
    effects += list_if_due(state)
    if state.now_ms - state.reported_ms >= state.cfg.report_ms:
        effects += report(state)
    return effects
