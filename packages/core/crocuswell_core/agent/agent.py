"""Handlers of an agent: events, timers and messages from the entry host."""

from crocuswell_core.agent import agent_leases, agent_stream
from crocuswell_core.agent.agent_backend import handle_reply, request_description
from crocuswell_core.agent.agent_messages import (
    EntryHeartbeat,
    Goodbye,
    Orders,
    ReportAck,
    StopTask,
    Welcome,
)
from crocuswell_core.agent.agent_reports import (
    all_tasks,
    drop_acknowledged,
    drop_task,
    find_task,
    flush_reports,
    increment_counter,
)
from crocuswell_core.agent.agent_state import AgentState, AgentTask, TaskPhase
from crocuswell_core.agent.agent_tasks import (
    apply_order,
    lease_stop_due_ms,
    poll_delay_ms,
    refuse_unstarted_task,
    stop_for_lease,
    stop_task,
)
from crocuswell_core.agent.backend import ForgetOnBackend
from crocuswell_core.cluster.commands import TaskReserved
from crocuswell_core.runtime import shared_handlers  # noqa: F401  (registers them)
from crocuswell_core.runtime.dispatch import (
    handle,
    handle_entry_message,
    handle_stream_closed,
    handle_stream_message,
    handle_stream_opened,
    handle_timer,
)
from crocuswell_core.runtime.effects import (
    CallBackend,
    CloseEntryStream,
    Effect,
    EmitLogEvent,
    Halt,
    Label,
    LogLevel,
    StartTimer,
)
from crocuswell_core.runtime.events import (
    AgentBooted,
    AgentStopRequested,
    BackendReplied,
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
)
from crocuswell_core.runtime.timers import AgentTimer, PollTimer

# --- events --------------------------------------------------------------


@handle.register
def _(event: AgentBooted, state: AgentState) -> list[Effect]:
    state.booted_ms = state.now_ms
    poll = StartTimer(PollTimer(), state.cfg.poll_ms)
    return _finish_event(state, [*request_description(state), poll])


@handle_stream_opened.register
def _(state: AgentState, event: EntryStreamOpened) -> list[Effect]:
    if event.stream_id != state.stream_id or not state.opening:
        return [CloseEntryStream(event.stream_id)]
    return _finish_event(state, agent_stream.send_hello(state))


@handle_stream_closed.register
def _(state: AgentState, event: EntryStreamClosed) -> list[Effect]:
    if event.stream_id != state.stream_id or not agent_stream.has_stream(state):
        return []
    return _finish_event(state, agent_stream.mark_stream_lost(state, event.detail))


@handle_stream_message.register
def _(state: AgentState, event: EntryMessageReceived) -> list[Effect]:
    if event.stream_id != state.stream_id or not state.connected:
        increment_counter(state, "stale_messages")
        return []
    state.last_received_ms = state.now_ms
    return _finish_event(state, handle_entry_message(event.message, state))


@handle.register
def _(event: BackendReplied, state: AgentState) -> list[Effect]:
    return _finish_event(state, handle_reply(event.call, state, event.reply))


@handle.register
def _(event: AgentStopRequested, state: AgentState) -> list[Effect]:
    if state.stopping:
        return []
    state.stopping = True
    state.stopping_since_ms = state.now_ms
    effects: list[Effect] = [EmitLogEvent("agent stopping")]
    for task in all_tasks(state):
        if task.phase is TaskPhase.RESERVED:
            effects += refuse_unstarted_task(state, task, "the agent is stopping")
    return _finish_event(state, effects)


def _finish_event(state: AgentState, effects: list[Effect]) -> list[Effect]:
    """Add the effects that may follow any event: reports, halt, timer."""
    effects += flush_reports(state)
    if state.stopping and _can_halt(state):
        if agent_stream.has_stream(state):
            effects.append(CloseEntryStream(state.stream_id))
        return [*effects, Halt()]
    due_ms = _next_due_ms(state)
    if due_ms != state.timer_at_ms:
        state.timer_at_ms = due_ms
        effects.append(StartTimer(AgentTimer(), max(0, due_ms - state.now_ms)))
    return effects


def _can_halt(state: AgentState) -> bool:
    """Return whether a planned stop may end.

    It waits for calls in flight, and for reports while an entry host is
    connected. The next incarnation finds all else on the backend server.
    """
    if state.now_ms >= _stop_deadline_ms(state):
        return True
    is_calling = any(
        task.start_in_flight or task.stop_in_flight or task.phase is TaskPhase.FETCHING
        for task in all_tasks(state)
    )
    return not is_calling and (not state.reports or not state.connected)


def _stop_deadline_ms(state: AgentState) -> int:
    return state.stopping_since_ms + state.cfg.stop_limit_ms


# --- timers --------------------------------------------------------------


@handle_timer.register
def _(timer: AgentTimer, state: AgentState) -> list[Effect]:
    state.timer_at_ms = None
    effects = _stop_before_lease_ends(state)
    if not agent_stream.has_stream(state):
        if state.info is not None and _is_connect_due(state):
            effects += agent_stream.open_stream(state)
    elif state.now_ms - state.last_received_ms >= state.cfg.silence_ms:
        effects += agent_stream.replace_stream(state, "silent")
    elif agent_stream.is_welcome_overdue(state):
        effects += agent_stream.replace_stream(state, "no welcome")
    elif state.connected and _heartbeat_due_ms(state) <= state.now_ms:
        effects += agent_stream.send_heartbeat(state)
    return _finish_event(state, effects)


@handle_timer.register
def _(timer: PollTimer, state: AgentState) -> list[Effect]:
    poll = StartTimer(PollTimer(), poll_delay_ms(state))
    return _finish_event(state, [*request_description(state), poll])


def _stop_before_lease_ends(state: AgentState) -> list[Effect]:
    effects: list[Effect] = []
    for task in all_tasks(state):
        due_ms = lease_stop_due_ms(state, task)
        if due_ms is not None and due_ms <= state.now_ms:
            increment_counter(state, "lease_stops")
            effects += stop_for_lease(state, task)
    if effects:
        level = LogLevel.WARNING
        effects.append(EmitLogEvent("run lease ends, tasks stopped", level=level))
    return effects


def _is_connect_due(state: AgentState) -> bool:
    return not state.stopping and state.connect_at_ms <= state.now_ms


def _heartbeat_due_ms(state: AgentState) -> int:
    return state.heartbeat_sent_ms + state.cfg.heartbeat_ms


def _next_due_ms(state: AgentState) -> int:
    """Return when the timer must fire, at most one heartbeat from now."""
    due = [state.now_ms + state.cfg.heartbeat_ms]
    if state.timer_at_ms is not None and state.timer_at_ms > state.now_ms:
        due = [state.timer_at_ms]
    if state.stopping:
        due.append(_stop_deadline_ms(state))
    if agent_stream.has_stream(state):
        due.append(state.last_received_ms + state.cfg.silence_ms)
    elif state.info is not None and not state.stopping:
        due.append(state.connect_at_ms)
    if state.connected:
        due.append(_heartbeat_due_ms(state))
    due += [
        due_ms
        for task in all_tasks(state)
        if (due_ms := lease_stop_due_ms(state, task)) is not None
    ]
    return min(due)


# --- messages from the entry host ----------------------------------------


@handle_entry_message.register
def _(message: Welcome, state: AgentState) -> list[Effect]:
    inherited = not state.ever_welcomed
    state.welcomed = state.ever_welcomed = True
    state.configuration_number = message.configuration_number
    state.run_lease_ms = message.run_lease_ms
    agent_leases.extend_leases(state, message.confirmed)
    effects: list[Effect] = [
        EmitLogEvent(
            "entry stream ready", (Label("number", str(message.configuration_number)),)
        )
    ]
    effects += _acknowledge(state, message.acknowledged)
    wanted = {(order.attempt, order.rank) for order in message.orders}
    for task in all_tasks(state):
        if (task.attempt, task.rank) not in wanted:
            effects += _stop_unwanted_task(state, task)
    stops = [order for order in message.orders if isinstance(order, StopTask)]
    others = [order for order in message.orders if not isinstance(order, StopTask)]
    for order in stops + others:
        effects += apply_order(order, state, inherited)
    return effects


@handle_entry_message.register
def _(message: Orders, state: AgentState) -> list[Effect]:
    if not state.welcomed:
        increment_counter(state, "orders_before_welcome")
        return []
    effects: list[Effect] = []
    for order in message.orders:
        effects += apply_order(order, state, inherited=False)
    return effects


@handle_entry_message.register
def _(message: EntryHeartbeat, state: AgentState) -> list[Effect]:
    state.configuration_number = message.configuration_number
    state.run_lease_ms = message.run_lease_ms
    agent_leases.extend_leases(state, message.confirmed)
    return []


@handle_entry_message.register
def _(message: ReportAck, state: AgentState) -> list[Effect]:
    return _acknowledge(state, message.sequence)


@handle_entry_message.register
def _(message: Goodbye, state: AgentState) -> list[Effect]:
    return agent_stream.replace_stream(state, "the entry host is stopping")


def _acknowledge(state: AgentState, sequence: int) -> list[Effect]:
    effects: list[Effect] = []
    for report in drop_acknowledged(state, sequence):
        if isinstance(report, TaskReserved):
            continue
        task = find_task(state, report.attempt, report.rank)
        if task is not None and task.phase is TaskPhase.ENDED:
            drop_task(state, report.attempt, report.rank)
            call = ForgetOnBackend(report.attempt, report.rank)
            effects.append(CallBackend(call))
    return effects


def _stop_unwanted_task(state: AgentState, task: AgentTask) -> list[Effect]:
    increment_counter(state, "unwanted_stopped")
    # The entry host may have given the task up together with an earlier
    # incarnation of the backend server, so a fence does not prove that it
    # never ran.
    task.ran = task.ran or task.inherited
    return stop_task(state, task, None)
