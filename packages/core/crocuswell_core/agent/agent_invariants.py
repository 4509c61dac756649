"""Invariants of an agent's state that hold after every event."""

from crocuswell_core.agent.agent_reports import MAX_ENDED_ATTEMPTS, all_tasks
from crocuswell_core.agent.agent_state import AgentState, AgentTask, TaskPhase
from crocuswell_core.agent.agent_tasks import HOLDING_PHASES
from crocuswell_core.cluster.commands import TaskReserved
from crocuswell_core.cluster.resources import NO_RESOURCES


class AgentInvariantError(Exception):
    """An invariant of the agent's state is violated."""


def check_agent(state: AgentState) -> None:
    """Check all invariants of an agent's state.

    Raises
    ------
    AgentInvariantError
        If an invariant is violated; the message names the violation.
    """
    _check_capacity(state)
    _check_reports(state)
    _check_bounds(state)


def _require(condition: bool, rule: str) -> None:
    if not condition:
        raise AgentInvariantError(rule)


def _is_admitted(task: AgentTask) -> bool:
    # This incarnation did not admit an inherited task that is being stopped:
    # it is being fenced, or was found on the backend server and is not wanted.
    is_foreign = task.inherited and task.phase is TaskPhase.STOPPING
    return task.phase in HOLDING_PHASES and not is_foreign


def _check_capacity(state: AgentState) -> None:
    if state.info is None:
        _require(not state.tasks, "tasks are held before the announcement")
        return
    admitted = [task for task in all_tasks(state) if _is_admitted(task)]
    _require(
        len(admitted) <= state.info.slots, "more tasks are held than there are slots"
    )
    held = sum((task.resources for task in admitted), NO_RESOURCES)
    _require(
        held.fits_in(state.info.capacity), "more resources are held than the capacity"
    )
    indices = [index for task in admitted for index in task.accelerators]
    _require(len(indices) == len(set(indices)), "an accelerator is held twice")


def _check_reports(state: AgentState) -> None:
    last = state.first_report + len(state.reports) - 1
    _require(state.reports_sent <= last, "reports_sent is beyond the last report")
    ends = {
        (report.attempt, report.rank)
        for report in state.reports
        if not isinstance(report, TaskReserved)
    }
    for task in all_tasks(state):
        is_ended = task.phase is TaskPhase.ENDED
        has_report = (task.attempt, task.rank) in ends
        _require(has_report or not is_ended, "an ended task has no report")


def _check_bounds(state: AgentState) -> None:
    _require(
        len(state.ended) <= MAX_ENDED_ATTEMPTS,
        "more ended attempts are kept than the limit",
    )
    _require(
        len(state.epochs) <= MAX_ENDED_ATTEMPTS, "more epochs are kept than the limit"
    )
    heartbeats_per_lease = state.run_lease_ms // state.cfg.heartbeat_ms
    # Each stream adds the sequence of its `Hello`.
    limit = (
        2 * heartbeats_per_lease + 2 * state.run_lease_ms // state.cfg.backoff_min_ms
    )
    _require(
        len(state.sent_heartbeats) <= limit,
        "more sent heartbeats are kept than the lease can use",
    )
