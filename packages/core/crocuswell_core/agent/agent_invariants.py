"""Checks of an agent's state that hold after every event."""

from crocuswell_core.agent.agent_reports import ENDED_ATTEMPTS_KEPT, all_tasks
from crocuswell_core.agent.agent_state import AgentState, AgentTask, TaskPhase
from crocuswell_core.agent.agent_tasks import HOLDING_PHASES
from crocuswell_core.cluster.commands import TaskReserved
from crocuswell_core.cluster.resources import NOTHING


class AgentInvariantError(Exception):
    """The agent's state breaks one of its rules."""


def check_agent(state: AgentState) -> None:
    """Check the state.

    Raises
    ------
    AgentInvariantError
        If a rule is broken; the message names the rule.
    """
    _check_room(state)
    _check_reports(state)
    _check_bounds(state)


def _require(holds: bool, rule: str) -> None:
    if not holds:
        raise AgentInvariantError(rule)


def _is_admitted(task: AgentTask) -> bool:
    # A task that is inherited and being stopped was not admitted here: it
    # is being fenced, or was found on the backend server and is not wanted.
    is_foreign = task.inherited and task.phase is TaskPhase.STOPPING
    return task.phase in HOLDING_PHASES and not is_foreign


def _check_room(state: AgentState) -> None:
    if state.info is None:
        _require(not state.tasks, "tasks before the announcement")
        return
    admitted = [task for task in all_tasks(state) if _is_admitted(task)]
    _require(len(admitted) <= state.info.slots, "more tasks than slots")
    held = sum((task.resources for task in admitted), NOTHING)
    _require(held.fits_in(state.info.capacity), "more resources than there are")
    indices = [index for task in admitted for index in task.accelerators]
    _require(len(indices) == len(set(indices)), "an accelerator is held twice")


def _check_reports(state: AgentState) -> None:
    last = state.first_report + len(state.reports) - 1
    _require(state.reports_sent <= last, "a report was sent that does not exist")
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
    _require(len(state.ended) <= ENDED_ATTEMPTS_KEPT, "too many ended attempts")
    _require(len(state.epochs) <= ENDED_ATTEMPTS_KEPT, "too many epochs")
    window = state.run_lease_ms // state.cfg.heartbeat_ms
    # Each stream adds the sequence of its `Hello`.
    limit = 2 * window + 2 * state.run_lease_ms // state.cfg.backoff_min_ms
    _require(len(state.sent_heartbeats) <= limit, "too many heartbeats are kept")
