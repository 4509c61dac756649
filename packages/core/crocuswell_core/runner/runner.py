"""Handlers of a runner: worker heartbeats, orders, leases and reports.

The runner makes no scheduling decisions. It repeats each order of the leader
to the worker until it is answered, extends the worker's lease only as far
as the leader's newest grant, and reports the runs that the worker lists.
"""

from functools import singledispatch

import attrs

from crocuswell_core.jobs.job_records import RunId
from crocuswell_core.jobs.run_labels import run_labels
from crocuswell_core.links import uplink as uplink_stream
from crocuswell_core.links.link_messages import (
    LeaseGrant,
    RunOrders,
)
from crocuswell_core.runner.crash_witness import drop_recorded_crashes
from crocuswell_core.runner.run_lists import (
    apply_run_list,
    count_event,
    list_runs_if_due,
    send_report,
    worker_boot_key,
    worker_id,
)
from crocuswell_core.runner.run_orders import (
    drop_start,
    drop_unsent_starts,
    forget_late_starts,
    has_grant,
    send_due_orders,
    withdraw_start,
)
from crocuswell_core.runner.runner_state import (
    OrderPhase,
    RunnerState,
    StartOrder,
    StopOrder,
)
from crocuswell_core.runner.worker_boots import (
    confirm_candidate,
    is_foreign_clock,
    note_other_boot,
    receive_heartbeat,
    settle_candidate,
)
from crocuswell_core.runner.worker_calls import (
    ConfirmBoot,
    ListRuns,
    NoAnswer,
    NotSent,
    OrderAccepted,
    OrderRefused,
    OtherWorker,
    RunsListed,
    StartOnWorker,
    StopOnWorker,
    WorkerCall,
    WorkerCallAcknowledged,
    WorkerHeartbeat,
    WorkerLeaving,
    WorkerReply,
)
from crocuswell_core.runtime import shared_handlers  # noqa: F401  (registers them)
from crocuswell_core.runtime.call_window import is_overdue
from crocuswell_core.runtime.dispatch import (
    handle,
    handle_call_abandoned,
    handle_call_received,
    handle_stream_closed,
    handle_stream_message,
    handle_stream_opened,
    handle_timer,
    replace_seeds,
    tick_uplink,
)
from crocuswell_core.runtime.effects import (
    AnswerCall,
    Effect,
    EmitLogEvent,
    Halt,
    Label,
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
from crocuswell_core.runtime.timers import OrderTimer, RunnerTimer

RUNNER_TICK_MS = 100
LIST_RETRY_MS = 200
MAX_STOP_RETRY_MS = 1_000


@handle.register
def _(event: RunnerBooted, state: RunnerState) -> list[Effect]:
    return [
        *uplink_stream.start(state.uplink, state.now_ms),
        SetReady(True),
        StartTimer(RunnerTimer(), RUNNER_TICK_MS),
    ]


@handle.register
def _(event: RunnerStopRequested, state: RunnerState) -> list[Effect]:
    state.stopping_since_ms = state.now_ms
    return [EmitLogEvent("stopping")]


@replace_seeds.register
def _(state: RunnerState, seeds: tuple[str, ...]) -> None:
    state.uplink.seeds = seeds


@tick_uplink.register
def _(state: RunnerState) -> list[Effect]:
    return uplink_stream.tick(state.uplink, state.now_ms)


@handle_stream_opened.register
def _(state: RunnerState, event: EntryStreamOpened) -> list[Effect]:
    return uplink_stream.handle_opened(state.uplink, state.now_ms, event)


@handle_stream_closed.register
def _(state: RunnerState, event: EntryStreamClosed) -> list[Effect]:
    effects = uplink_stream.handle_closed(state.uplink, state.now_ms, event)
    if not state.uplink.is_attached:
        drop_unsent_starts(state)
    return effects


@handle_stream_message.register
def _(state: RunnerState, event: EntryMessageReceived) -> list[Effect]:
    was_attached = state.uplink.is_attached
    effects = uplink_stream.handle_message(
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
        return [*effects, *send_report(state)]
    return [*effects, *_handle_host_message(event.message, state)]


@singledispatch
def _handle_host_message(message: object, state: RunnerState) -> list[Effect]:
    return []


# --- heartbeats from the worker ------------------------------------------


@handle_call_received.register
def _(state: RunnerState, event: CallReceived) -> list[Effect]:
    return [
        AnswerCall(event.call_id, WorkerCallAcknowledged()),
        *_handle_worker_call(event.call, state),
    ]


@handle_call_abandoned.register
def _(state: RunnerState, event: CallAbandoned) -> list[Effect]:
    return []


@singledispatch
def _handle_worker_call(call: object, state: RunnerState) -> list[Effect]:
    raise NotImplementedError(type(call).__name__)


@_handle_worker_call.register
def _(call: WorkerHeartbeat, state: RunnerState) -> list[Effect]:
    return receive_heartbeat(state, call)


@_handle_worker_call.register
def _(call: WorkerLeaving, state: RunnerState) -> list[Effect]:
    if state.heartbeat is None or state.heartbeat.id != call.id:
        return []
    state.is_leaving = True
    state.heartbeat = attrs.evolve(state.heartbeat, draining=True, remaining_ms=0)
    return [
        EmitLogEvent("worker_leaving", (Label("worker", call.id),)),
        *send_report(state),
    ]


# --- grants and orders from the leader -----------------------------------


@_handle_host_message.register
def _(message: LeaseGrant, state: RunnerState) -> list[Effect]:
    sent_ms = state.reports.get(message.sequence)
    if sent_ms is None:
        return []
    for sequence in [s for s in state.reports if s <= message.sequence]:
        del state.reports[sequence]
    state.fence = max(state.fence, message.term)
    until_ms = sent_ms + message.lease_ms
    state.granted_until_ms = max(state.granted_until_ms, until_ms)
    state.contact_ms = max(state.contact_ms, sent_ms)
    drop_recorded_crashes(state, message.recorded_crash_ms)
    effects = send_due_orders(state)
    if (
        message.worker == worker_boot_key(state)
        and message.acknowledged_end > state.acknowledged_end
    ):
        state.acknowledged_end = message.acknowledged_end
        state.ended = tuple(
            end for end in state.ended if end.number > state.acknowledged_end
        )
        state.next_list_ms = state.now_ms
        effects += list_runs_if_due(state)
    return effects


@_handle_host_message.register
def _(message: RunOrders, state: RunnerState) -> list[Effect]:
    if message.worker != worker_boot_key(state):
        return []
    state.fence = max(state.fence, message.term)
    ended = {end.run for end in state.ended}
    for start in message.starts:
        if start.run in ended:
            # The leader's record of its end is on its way.
            continue
        if not has_grant(state):
            # The order was held up until after the end of the grant.
            withdraw_start(state, start.run)
        elif start.run in state.absent:
            # So is the record of an absence.
            continue
        elif start.run not in state.running and start.run not in state.stops:
            state.starts.setdefault(start.run, StartOrder(start))
    for stop in message.stops:
        drop_start(state, stop.run)
        if stop.run not in state.absent:
            state.stops.setdefault(stop.run, StopOrder())
    return send_due_orders(state)


# --- replies from the worker ---------------------------------------------


@handle.register
def _(event: WorkerReplied, state: RunnerState) -> list[Effect]:
    _note_call_ended(event.call, state)
    effects: list[Effect] = []
    if _concerns_served_boot(event.call, state):
        effects += _handle_worker_reply(event.call, state, event.reply)
    return [*effects, *send_due_orders(state)]


@singledispatch
def _note_call_ended(call: WorkerCall, state: RunnerState) -> None:
    """Make room for another order, if the call was one."""


@_note_call_ended.register(StartOnWorker)
@_note_call_ended.register(StopOnWorker)
def _(call: StartOnWorker | StopOnWorker, state: RunnerState) -> None:
    state.orders_in_flight.remove(call.made_ms)
    if is_overdue(call.made_ms, state.now_ms):
        count_event(state, "order overdue")


@singledispatch
def _concerns_served_boot(call: WorkerCall, state: RunnerState) -> bool:
    """Tell whether a call was meant for the boot that is served now."""
    return (call.worker, call.served_ms) == (worker_id(state), state.served_ms)


@_concerns_served_boot.register
def _(call: ConfirmBoot, state: RunnerState) -> bool:
    return call.served_ms == state.served_ms


@singledispatch
def _handle_worker_reply(
    call: WorkerCall, state: RunnerState, reply: WorkerReply
) -> list[Effect]:
    raise NotImplementedError(type(call).__name__)


@_handle_worker_reply.register
def _(call: ConfirmBoot, state: RunnerState, reply: WorkerReply) -> list[Effect]:
    return settle_candidate(reply, state, call.heartbeat)


@_handle_worker_reply.register
def _(call: StartOnWorker, state: RunnerState, reply: WorkerReply) -> list[Effect]:
    if _may_have_been_carried_out(reply):
        state.unanswered_ms[call.run] = state.now_ms
    start = state.starts.get(call.run)
    if start is None:
        return []
    count_event(state, f"start {_reply_kind(reply)}")
    if isinstance(reply, OrderAccepted):
        del state.starts[call.run]
        if is_foreign_clock(state, reply.clock_ms):
            return _handle_start_on_other_boot(state, call.run, reply)
        state.confirmed_ms.setdefault(call.run, state.now_ms)
        return []
    labels = (*run_labels(call.run), Label("reply", _reply_reason(reply)))
    effects: list[Effect] = [EmitLogEvent("start_not_taken", labels)]
    if isinstance(reply, OrderRefused):
        # A repeated call for the same run may still reach the worker; the stop
        # makes the worker refuse it.
        del state.starts[call.run]
        stop = StopOrder(is_after_refusal=reply.is_unable)
        state.stops.setdefault(call.run, stop)
        return effects
    start.phase = OrderPhase.WAITING
    if _may_have_been_carried_out(reply):
        start.was_sent = True
    start.retry_at_ms = state.now_ms + state.cfg.call_retry_ms
    return effects


def _handle_start_on_other_boot(
    state: RunnerState, run: RunId, reply: OrderAccepted
) -> list[Effect]:
    """Look which boot answers, after one has carried out another's start."""
    state.unanswered_ms[run] = state.now_ms
    state.next_list_ms = state.now_ms
    count_event(state, "start on other boot")
    labels = (
        *run_labels(run),
        Label("worker", worker_id(state)),
        Label("clock_ms", str(reply.clock_ms)),
        Label("expected_ms", str(state.clock.clock_ms)),
    )
    event = EmitLogEvent("start_on_other_boot", labels)
    return [event, *list_runs_if_due(state)]


@_handle_worker_reply.register
def _(call: StopOnWorker, state: RunnerState, reply: WorkerReply) -> list[Effect]:
    stop = state.stops.get(call.run)
    if stop is None:
        return []
    count_event(state, f"stop {_reply_kind(reply)}")
    if isinstance(reply, OrderAccepted):
        stop.phase = OrderPhase.ANSWERED
        stop.list_predates_reply = state.list_in_flight
        state.next_list_ms = state.now_ms
        return list_runs_if_due(state)
    # A worker that refused the stop may still carry out a start that had no
    # answer, so that the run counts as absent only once a stop was taken.
    stop.phase = OrderPhase.WAITING
    stop.retry_at_ms = state.now_ms + _retry_delay_ms(reply, state, stop)
    stop.failed_calls += 1
    if stop.failed_calls > 1:
        return []
    labels = (*run_labels(call.run), Label("reply", _reply_reason(reply)))
    return [EmitLogEvent("stop_not_taken", labels)]


@singledispatch
def _retry_delay_ms(reply: WorkerReply, state: RunnerState, stop: StopOrder) -> int:
    """Return the time in ms after which a stop is repeated."""
    return state.cfg.call_retry_ms


@_retry_delay_ms.register
def _(reply: OrderRefused, state: RunnerState, stop: StopOrder) -> int:
    # A worker that sheds load is not pressed with the stops of all its runs.
    delay_ms = state.cfg.call_retry_ms << min(stop.failed_calls, 2)
    return min(delay_ms, MAX_STOP_RETRY_MS)


@_handle_worker_reply.register
def _(call: ListRuns, state: RunnerState, reply: WorkerReply) -> list[Effect]:
    state.list_in_flight = False
    if not isinstance(reply, RunsListed):
        return _handle_missing_list(reply, call, state)
    if state.heartbeat is None or reply.born_ms not in (0, state.heartbeat.born_ms):
        # Another boot answered; its heartbeat will reset the state.
        state.next_list_ms = state.now_ms + LIST_RETRY_MS
        return note_other_boot(state, reply, call.acknowledged_end)
    if reply.born_ms:
        state.other_born_ms = 0
    state.acknowledged_to_worker = max(
        state.acknowledged_to_worker, call.acknowledged_end
    )
    return apply_run_list(state, reply)


@singledispatch
def _handle_missing_list(
    reply: WorkerReply, call: ListRuns, state: RunnerState
) -> list[Effect]:
    """Handle a call that brought no run list."""
    state.next_list_ms = state.now_ms + LIST_RETRY_MS
    had_exited = state.has_exited
    state.has_exited = state.is_leaving and _is_connection_refused(reply)
    if not state.reachable:
        return send_report(state) if state.has_exited and not had_exited else []
    state.reachable = False
    state.unreachable_since_ms = state.now_ms
    count_event(state, "worker unreachable")
    labels = (Label("worker", call.worker), Label("reply", _reply_reason(reply)))
    return [EmitLogEvent("worker_unreachable", labels), *send_report(state)]


@_handle_missing_list.register
def _(reply: NotSent, call: ListRuns, state: RunnerState) -> list[Effect]:
    state.next_list_ms = state.now_ms
    return list_runs_if_due(state)


@singledispatch
def _is_connection_refused(reply: WorkerReply) -> bool:
    """Tell whether nothing accepts connections at the worker's address."""
    return False


@_is_connection_refused.register
def _(reply: NoAnswer) -> bool:
    return reply.is_refused


@singledispatch
def _reply_reason(reply: WorkerReply) -> str:
    """Return the reason in a reply, for log lines."""
    return "ok"


@_reply_reason.register
def _(reply: OrderRefused) -> str:
    return reply.reason


@_reply_reason.register
def _(reply: NoAnswer) -> str:
    return reply.detail


@_reply_reason.register
def _(reply: OtherWorker) -> str:
    return "other_boot"


@_reply_reason.register
def _(reply: NotSent) -> str:
    return "not_sent"


@singledispatch
def _may_have_been_carried_out(reply: WorkerReply) -> bool:
    """Tell whether the worker may have carried out an order."""
    return False


@_may_have_been_carried_out.register
def _(reply: NoAnswer) -> bool:
    return reply.sent


@singledispatch
def _reply_kind(reply: WorkerReply) -> str:
    """Return the label value that counts a reply; from a bounded set."""
    return _reply_reason(reply)


@_reply_kind.register
def _(reply: NoAnswer) -> str:
    return "no_answer"


@handle_timer.register
def _(timer: OrderTimer, state: RunnerState) -> list[Effect]:
    return send_due_orders(state)


@handle_timer.register
def _(timer: RunnerTimer, state: RunnerState) -> list[Effect]:
    effects: list[Effect] = [StartTimer(timer, RUNNER_TICK_MS)]
    since_ms = state.stopping_since_ms
    if since_ms is not None and state.now_ms - since_ms >= state.cfg.stop_limit_ms:
        return [Halt()]
    forget_late_starts(state)
    effects += confirm_candidate(state)
    effects += send_due_orders(state)
    effects += list_runs_if_due(state)
    if state.now_ms - state.last_report_ms >= state.cfg.report_ms:
        effects += send_report(state)
    return effects
