"""Handling of the backend server's replies."""

from functools import singledispatch

from crocuswell_core.agent.agent_leases import backend_lease_until_ms
from crocuswell_core.agent.agent_messages import DrainNotice
from crocuswell_core.agent.agent_reports import (
    add_task,
    all_tasks,
    ended_without_running,
    find_task,
    increment_counter,
)
from crocuswell_core.agent.agent_state import AgentState, AgentTask, TaskPhase
from crocuswell_core.agent.agent_stream import (
    has_stream,
    replace_stream,
    schedule_connect,
)
from crocuswell_core.agent.agent_tasks import (
    end_task,
    refuse_unstarted_task,
    report_task_lost,
    retry_stop,
    send_stop,
    stop_task,
)
from crocuswell_core.agent.backend import (
    Accepted,
    BackendCall,
    BackendReply,
    BackendTask,
    Describe,
    Described,
    FetchResult,
    ForgetOnBackend,
    Rejected,
    ResultFetched,
    StartOnBackend,
    StopOnBackend,
    ThrottleOnBackend,
    Unreachable,
)
from crocuswell_core.cluster.commands import (
    TaskFailed,
    TaskFinished,
    TaskRefused,
    TaskStopped,
)
from crocuswell_core.runtime.effects import (
    CallBackend,
    Effect,
    EmitLogEvent,
    Label,
    SendEntry,
)

RUNNING = "running"
FINISHED = "finished"
FAILED = "failed"
STOPPED = "stopped"
FENCED = "fenced"


def request_description(state: AgentState) -> list[Effect]:
    """Request the announcement and the tasks; one call at a time."""
    if state.describe_in_flight:
        state.describe_queued = True
        return []
    state.describe_in_flight = True
    state.describe_sequence += 1
    state.describe_sent_ms = state.now_ms
    call = Describe(state.describe_sequence, backend_lease_until_ms(state))
    return [CallBackend(call)]


@singledispatch
def handle_reply(
    call: BackendCall, state: AgentState, reply: BackendReply
) -> list[Effect]:
    """Handle the end of a call, dispatched on the call."""
    raise NotImplementedError(type(call).__name__)


@handle_reply.register
def _(call: Describe, state: AgentState, reply: BackendReply) -> list[Effect]:
    state.describe_in_flight = False
    effects: list[Effect] = []
    if isinstance(reply, Described):
        state.described_ms = state.describe_sent_ms
        effects += _apply_announcement(state, reply)
        effects += _reconcile(state, call, reply)
    else:
        increment_counter(state, "backend_unreachable")
    if state.describe_queued:
        state.describe_queued = False
        effects += request_description(state)
    return effects


@handle_reply.register
def _(call: StartOnBackend, state: AgentState, reply: BackendReply) -> list[Effect]:
    task = find_task(state, call.attempt, call.rank)
    if task is None:
        return []
    task.start_in_flight = False
    task.checked_after = state.describe_sequence
    return handle_start_reply(reply, state, task)


@handle_reply.register
def _(call: StopOnBackend, state: AgentState, reply: BackendReply) -> list[Effect]:
    task = find_task(state, call.attempt, call.rank)
    if task is None:
        return []
    task.stop_in_flight = False
    task.checked_after = state.describe_sequence
    if isinstance(reply, Rejected) and reply.known:
        # The task ended and was dropped there, so it may have run.
        task.ran = True
    return request_description(state) if isinstance(reply, Accepted) else []


@handle_reply.register
def _(call: FetchResult, state: AgentState, reply: BackendReply) -> list[Effect]:
    task = find_task(state, call.attempt, call.rank)
    if task is None or task.phase is not TaskPhase.FETCHING:
        return []
    task.fetch_in_flight = False
    task.checked_after = state.describe_sequence
    if isinstance(reply, ResultFetched):
        end_task(
            state,
            task,
            TaskFinished(task.attempt, task.rank, reply.result, reply.digest),
        )
    else:
        increment_counter(state, "fetches_failed")
    return []


@handle_reply.register(ForgetOnBackend)
@handle_reply.register(ThrottleOnBackend)
def _(call: BackendCall, state: AgentState, reply: BackendReply) -> list[Effect]:
    # A lost `ForgetOnBackend` is sent again when the task is next listed.
    return []


# --- the reply to a start ------------------------------------------------


@singledispatch
def handle_start_reply(
    reply: BackendReply, state: AgentState, task: AgentTask
) -> list[Effect]:
    """Handle the reply to a start, dispatched on the reply."""
    raise NotImplementedError(type(reply).__name__)


@handle_start_reply.register
def _(reply: Accepted, state: AgentState, task: AgentTask) -> list[Effect]:
    task.ran = True
    if task.phase is TaskPhase.STARTING:
        task.phase = TaskPhase.RUNNING
    return []


@handle_start_reply.register
def _(reply: Rejected, state: AgentState, task: AgentTask) -> list[Effect]:
    if reply.known:
        task.ran = task.in_doubt = True
        return request_description(state)
    if task.phase is not TaskPhase.STARTING:
        return []
    task.on_backend = False
    return refuse_unstarted_task(state, task, reply.detail)


@handle_start_reply.register
def _(reply: Unreachable, state: AgentState, task: AgentTask) -> list[Effect]:
    if task.phase is not TaskPhase.STARTING:
        return []
    if not reply.sent:
        task.on_backend = False
        return refuse_unstarted_task(state, task, reply.detail)
    task.in_doubt = True
    increment_counter(state, "starts_in_doubt")
    return request_description(state)


# --- the list of tasks ---------------------------------------------------


def _apply_announcement(state: AgentState, reply: Described) -> list[Effect]:
    before, old_incarnation = state.info, state.backend_incarnation
    state.info, state.backend_incarnation = reply.info, reply.incarnation
    if before is None:
        schedule_connect(state)
        return []
    effects: list[Effect] = []
    if old_incarnation != reply.incarnation:
        increment_counter(state, "backend_restarts")
        labels = (Label("backend_incarnation", reply.incarnation),)
        effects.append(EmitLogEvent("backend server restarted", labels))
    changed = (before.capacity, before.slots, before.rack, before.failure_domain) != (
        reply.info.capacity,
        reply.info.slots,
        reply.info.rack,
        reply.info.failure_domain,
    )
    if (changed or old_incarnation != reply.incarnation) and has_stream(state):
        # Only a `Hello`, which opens a stream, carries the announcement.
        return effects + replace_stream(state, "the backend server changed")
    if before.draining != reply.info.draining and state.connected:
        notice = DrainNotice(reply.info.draining)
        effects.append(SendEntry(state.stream_id, notice))
    return effects


def _reconcile(state: AgentState, call: Describe, reply: Described) -> list[Effect]:
    effects: list[Effect] = []
    for listed in reply.tasks:
        task = find_task(state, listed.attempt, listed.rank)
        if task is None:
            effects += _adopt_task(state, listed)
        else:
            effects += _sync_task(state, task, listed)
    listed_members = {(listed.attempt, listed.rank) for listed in reply.tasks}
    for task in all_tasks(state):
        is_listed = (task.attempt, task.rank) in listed_members
        if not is_listed and call.sequence > task.checked_after:
            effects += _handle_unlisted_task(state, task, reply.incarnation)
    return effects


def _adopt_task(state: AgentState, listed: BackendTask) -> list[Effect]:
    """Handle a listed task that is not in the agent's table."""
    never_ran = ended_without_running(state, listed.attempt, listed.rank)
    if never_ran is not None and listed.state != RUNNING:
        return [CallBackend(ForgetOnBackend(listed.attempt, listed.rank))]
    if never_ran is not None:
        increment_counter(state, "orphans_stopped")
        return [CallBackend(StopOnBackend(listed.attempt, listed.rank, None))]
    task = AgentTask(
        listed.attempt,
        listed.rank,
        TaskPhase.RUNNING,
        listed.resources,
        accelerators=listed.accelerators,
        ran=listed.state != FENCED or state.ever_welcomed,
        on_backend=True,
        inherited=True,
        backend_incarnation=state.backend_incarnation,
    )
    add_task(state, task)
    increment_counter(state, "tasks_taken_over")
    effects = _sync_task(state, task, listed)
    if state.ever_welcomed:
        # `Welcome` gave the full set of wanted members, and this is not one.
        effects += stop_task(state, task, None)
    return effects


def _sync_task(state: AgentState, task: AgentTask, listed: BackendTask) -> list[Effect]:
    """Update a task to its state on the backend server."""
    task.last_listed = listed
    task.ran = task.ran or listed.state != FENCED
    task.in_doubt = False
    if task.phase is TaskPhase.RESERVED:
        task.on_backend = True
    if task.phase is TaskPhase.ENDED:
        if listed.state == RUNNING:
            return [CallBackend(StopOnBackend(task.attempt, task.rank, None))]
        return []
    return _SYNC_BY_STATE[listed.state](state, task, listed)


def _sync_running(
    state: AgentState, task: AgentTask, listed: BackendTask
) -> list[Effect]:
    if task.phase is TaskPhase.STOPPING:
        return retry_stop(state, task)
    if task.phase in (TaskPhase.STARTING, TaskPhase.RESERVED):
        task.phase = TaskPhase.RUNNING
    return []


def _sync_finished(
    state: AgentState, task: AgentTask, listed: BackendTask
) -> list[Effect]:
    task.phase = TaskPhase.FETCHING
    if task.fetch_in_flight:
        return []
    task.fetch_in_flight = True
    return [CallBackend(FetchResult(task.attempt, task.rank))]


def _sync_failed(
    state: AgentState, task: AgentTask, listed: BackendTask
) -> list[Effect]:
    end_task(state, task, TaskFailed(task.attempt, task.rank, listed.detail))
    return []


def _sync_stopped(
    state: AgentState, task: AgentTask, listed: BackendTask
) -> list[Effect]:
    end_task(state, task, TaskStopped(task.attempt, task.rank, listed.checkpoint))
    return []


def _sync_fenced(
    state: AgentState, task: AgentTask, listed: BackendTask
) -> list[Effect]:
    # A fence shows only that the task did not run since the backend server
    # started. An earlier incarnation of it may have run the task, unless the
    # task was ordered under this one; for a fence found at boot, the first
    # `Welcome` shows whether it was.
    if task.inherited and not state.ever_welcomed:
        task.phase = TaskPhase.STOPPING
        return []
    if task.ran or task.backend_incarnation != state.backend_incarnation:
        report_task_lost(state, task)
    else:
        end_task(state, task, TaskRefused(task.attempt, task.rank, "fenced"))
    return []


_SYNC_BY_STATE = {
    RUNNING: _sync_running,
    FINISHED: _sync_finished,
    FAILED: _sync_failed,
    STOPPED: _sync_stopped,
    FENCED: _sync_fenced,
}


def _handle_unlisted_task(
    state: AgentState, task: AgentTask, incarnation: str
) -> list[Effect]:
    """Handle a task that the backend server does not list."""
    if task.phase in (TaskPhase.RESERVED, TaskPhase.ENDED) or task.start_in_flight:
        return []
    if task.ran or task.backend_incarnation != incarnation:
        report_task_lost(state, task)
        return []
    if task.phase is TaskPhase.STARTING:
        return send_stop(state, task, None)
    return retry_stop(state, task)
