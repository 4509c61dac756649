"""Tasks of an agent: orders, admission, stops and ends."""

from functools import singledispatch

from crocuswell_core.agent.agent_leases import (
    admission_lease_end_ms,
    backend_lease_until_ms,
    lease_end_checkpoint_ms,
    may_admit,
    stop_due_ms,
)
from crocuswell_core.agent.agent_messages import Order, ReserveTask, StartTask, StopTask
from crocuswell_core.agent.agent_reports import (
    add_report,
    add_task,
    all_tasks,
    drop_task,
    ended_without_running,
    find_task,
    increment_counter,
    is_report_pending,
    record_end,
    refuse_unheld_task,
)
from crocuswell_core.agent.agent_state import AgentState, AgentTask, TaskPhase
from crocuswell_core.agent.backend import StartOnBackend, StopOnBackend
from crocuswell_core.cluster.commands import Report, TaskLost, TaskRefused, TaskReserved
from crocuswell_core.cluster.resources import NO_RESOURCES, Resources
from crocuswell_core.runtime.effects import CallBackend, Effect, StartTimer
from crocuswell_core.runtime.timers import PollTimer

# A backend server that has been silent for this long may have started to drain
# unnoticed; nothing new may start 2 s after it announced that.
BACKEND_SILENCE_MS = 1_500
# An unanswered or ineffective stop is sent again after this time.
STOP_RETRY_MS = 500

MIN_POLL_MS = 20
# Well below `BACKEND_SILENCE_MS`, so that an idle agent can start tasks.
IDLE_POLL_MS = 500

HOLDING_PHASES = frozenset(
    {
        TaskPhase.RESERVED,
        TaskPhase.STARTING,
        TaskPhase.RUNNING,
        TaskPhase.STOPPING,
    }
)


def holding_tasks(state: AgentState) -> list[AgentTask]:
    """Return the tasks that occupy a slot."""
    return [task for task in all_tasks(state) if task.phase in HOLDING_PHASES]


def held_resources(state: AgentState) -> Resources:
    """Return the sum of the resources of the tasks that occupy a slot."""
    return sum((task.resources for task in holding_tasks(state)), NO_RESOURCES)


def admission_refusal(state: AgentState) -> str:
    """Return why no new task may start now; empty if one may."""
    if state.stopping:
        return "the agent is stopping"
    if not may_admit(state):
        return "the admission lease has ended"
    if state.info is None or state.now_ms - state.described_ms > BACKEND_SILENCE_MS:
        return "the backend server does not answer"
    if state.info.draining:
        return "the backend server is leaving"
    return ""


def capacity_refusal(state: AgentState, order: ReserveTask | StartTask) -> str:
    """Return why an order does not fit into what is free; empty if it does."""
    if state.info is None:
        return "the backend server is not known"
    holding = holding_tasks(state)
    if len(holding) >= state.info.slots:
        return "no slot is free"
    if not (held_resources(state) + order.resources).fits_in(state.info.capacity):
        return "the resources are in use"
    taken = {index for task in holding for index in task.accelerators}
    if taken.intersection(order.accelerators):
        return "an accelerator is in use"
    return ""


# --- orders --------------------------------------------------------------


def apply_order(order: Order, state: AgentState, inherited: bool) -> list[Effect]:
    """Carry out an order, unless its attempt is outdated.

    Parameters
    ----------
    inherited : bool
        Whether the order may have reached an earlier incarnation.
    """
    newest = state.epochs.get(order.attempt.request_id, 0)
    if (
        order.attempt.epoch < newest
        and find_task(state, order.attempt, order.rank) is None
    ):
        increment_counter(state, "orders_outdated")
        return []
    effects: list[Effect] = []
    if order.attempt.epoch > newest:
        effects += _stop_older_attempts(state, order)
    return effects + handle_order(order, state, inherited)


def _stop_older_attempts(state: AgentState, order: Order) -> list[Effect]:
    effects: list[Effect] = []
    for task in all_tasks(state):
        if (
            task.attempt.request_id == order.attempt.request_id
            and task.attempt.epoch < order.attempt.epoch
        ):
            effects += stop_task(state, task, None)
    return effects


@singledispatch
def handle_order(order: Order, state: AgentState, inherited: bool) -> list[Effect]:
    """Carry out one order, whose attempt is not outdated."""
    raise NotImplementedError(type(order).__name__)


@handle_order.register
def _(order: ReserveTask, state: AgentState, inherited: bool) -> list[Effect]:
    task = find_task(state, order.attempt, order.rank)
    if task is not None:
        _confirm_reservation(state, task)
        return []
    if _is_already_ended(state, order):
        return []
    detail = admission_refusal(state) or capacity_refusal(state, order)
    if detail:
        return _refuse(state, order, inherited, detail)
    task = AgentTask(
        order.attempt,
        order.rank,
        TaskPhase.RESERVED,
        order.resources,
        accelerators=order.accelerators,
        inherited=inherited,
    )
    add_task(state, task)
    _confirm_reservation(state, task)
    return []


@handle_order.register
def _(order: StartTask, state: AgentState, inherited: bool) -> list[Effect]:
    task = find_task(state, order.attempt, order.rank)
    if task is not None and task.phase is not TaskPhase.RESERVED:
        task.order = task.order or order
        increment_counter(state, "starts_repeated")
        return []
    if task is None and _is_already_ended(state, order):
        return []
    detail = admission_refusal(state)
    if task is None:
        detail = detail or capacity_refusal(state, order)
    if detail and task is not None:
        return refuse_unstarted_task(state, task, detail)
    if detail:
        return _refuse(state, order, inherited, detail)
    if task is None:
        task = AgentTask(
            order.attempt,
            order.rank,
            TaskPhase.STARTING,
            order.resources,
            accelerators=order.accelerators,
            inherited=inherited,
        )
        add_task(state, task)
    return _start(state, task, order)


@handle_order.register
def _(order: StopTask, state: AgentState, inherited: bool) -> list[Effect]:
    task = find_task(state, order.attempt, order.rank)
    if task is not None:
        return stop_task(state, task, order.checkpoint_ms)
    if _is_already_ended(state, order):
        return []
    return _refuse(state, order, inherited, "stopped before it started")


def _is_already_ended(state: AgentState, order: Order) -> bool:
    """Return whether the member ended; repeat its refusal if it never ran."""
    never_ran = ended_without_running(state, order.attempt, order.rank)
    if never_ran is None:
        return False
    increment_counter(state, "orders_after_end")
    report = TaskRefused(order.attempt, order.rank, "ended before it started")
    if never_ran and not is_report_pending(state, report):
        add_report(state, report)
    return True


def _confirm_reservation(state: AgentState, task: AgentTask) -> None:
    report = TaskReserved(task.attempt, task.rank)
    if task.phase is TaskPhase.RESERVED and not is_report_pending(state, report):
        add_report(state, report)


def _refuse(
    state: AgentState, order: Order, inherited: bool, detail: str
) -> list[Effect]:
    """Refuse a member that is not in the table.

    If an earlier incarnation may have sent its start, the backend server
    must fence it first, since a refusal means that it never runs.
    """
    if not inherited:
        refuse_unheld_task(state, order.attempt, order.rank, detail)
        return []
    task = AgentTask(
        order.attempt, order.rank, TaskPhase.STOPPING, NO_RESOURCES, inherited=True
    )
    add_task(state, task)
    return send_stop(state, task, None)


def _start(state: AgentState, task: AgentTask, order: StartTask) -> list[Effect]:
    task.phase = TaskPhase.STARTING
    task.order = order
    task.on_backend = True
    task.start_in_flight = True
    task.backend_incarnation = state.backend_incarnation
    task.checked_after = state.describe_sequence
    increment_counter(state, "starts_sent")
    call = StartOnBackend(
        order.attempt,
        order.rank,
        order.members,
        order.resources,
        order.accelerators,
        order.payload,
        order.run_time_ms,
        order.checkpoint,
        admission_lease_end_ms(state),
        backend_lease_until_ms(state),
    )
    state.last_start_ms = state.now_ms
    return [CallBackend(call), StartTimer(PollTimer(), poll_delay_ms(state))]


def poll_delay_ms(state: AgentState) -> int:
    """Return the time in ms until the next poll of the backend server.

    The delay is short after a start and grows with the time since then, so
    that the end of a short task is seen soon and long tasks cost few polls.
    """
    if not state.tasks:
        return IDLE_POLL_MS
    age_ms = state.now_ms - state.last_start_ms
    return min(state.cfg.poll_ms, max(MIN_POLL_MS, age_ms))


# --- stops and ends ------------------------------------------------------


def stop_task(
    state: AgentState, task: AgentTask, checkpoint_ms: int | None
) -> list[Effect]:
    """Stop a task, or drop its reservation."""
    if task.phase is TaskPhase.RESERVED:
        return refuse_unstarted_task(state, task, "stopped before it started")
    if task.phase in (TaskPhase.STARTING, TaskPhase.RUNNING):
        return send_stop(state, task, checkpoint_ms)
    drops_checkpoint = checkpoint_ms is None and task.checkpoint_ms is not None
    if task.phase is TaskPhase.STOPPING and drops_checkpoint:
        return send_stop(state, task, None)
    return []


def send_stop(
    state: AgentState, task: AgentTask, checkpoint_ms: int | None
) -> list[Effect]:
    """Make the backend server stop a task, or fence an unknown one."""
    task.phase = TaskPhase.STOPPING
    task.on_backend = True
    task.stop_in_flight = True
    task.stop_sent_ms = state.now_ms
    task.checkpoint_ms = checkpoint_ms
    task.backend_incarnation = task.backend_incarnation or state.backend_incarnation
    return [CallBackend(StopOnBackend(task.attempt, task.rank, checkpoint_ms))]


def retry_stop(state: AgentState, task: AgentTask) -> list[Effect]:
    """Repeat a stop that had no effect in time."""
    due_ms = task.stop_sent_ms + STOP_RETRY_MS + (task.checkpoint_ms or 0)
    if task.stop_in_flight or state.now_ms < due_ms:
        return []
    increment_counter(state, "stops_repeated")
    return send_stop(state, task, None)


def stop_for_lease(state: AgentState, task: AgentTask) -> list[Effect]:
    """Stop a task whose run lease ends, with a checkpoint if short enough."""
    declared_checkpoint_ms = task.order.checkpoint_ms if task.order else None
    return stop_task(
        state, task, lease_end_checkpoint_ms(state, declared_checkpoint_ms)
    )


def lease_stop_due_ms(state: AgentState, task: AgentTask) -> int | None:
    """Return when to stop a task for its run lease; None if never."""
    if task.phase not in HOLDING_PHASES or task.phase is TaskPhase.STOPPING:
        return None
    return stop_due_ms(state, task.order.checkpoint_ms if task.order else None)


def end_task(state: AgentState, task: AgentTask, report: Report) -> None:
    """Report the end of a task and keep it until that is acknowledged."""
    never_ran = isinstance(report, TaskRefused)
    record_end(state, task.attempt, task.rank, never_ran)
    task.phase = TaskPhase.ENDED
    add_report(state, report)
    if not task.on_backend:
        drop_task(state, task.attempt, task.rank)


def refuse_unstarted_task(
    state: AgentState, task: AgentTask, detail: str
) -> list[Effect]:
    """Refuse a held task that this incarnation did not start."""
    if task.inherited:
        return send_stop(state, task, None)
    end_task(state, task, TaskRefused(task.attempt, task.rank, detail))
    return []


def report_task_lost(state: AgentState, task: AgentTask) -> None:
    """Report a task as lost: it may have run and is unknown now."""
    end_task(state, task, TaskLost(task.attempt, task.rank))
