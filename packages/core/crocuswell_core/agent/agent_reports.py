"""Reports of an agent: kept in order until they are acknowledged."""

from crocuswell_core.agent.agent_messages import SendReports
from crocuswell_core.agent.agent_state import AgentState, AgentTask
from crocuswell_core.cluster.commands import (
    Report,
    TaskFailed,
    TaskFinished,
    TaskLost,
    TaskRefused,
    TaskReserved,
    TaskStopped,
)
from crocuswell_core.cluster.records import AttemptId
from crocuswell_core.runtime.effects import Effect, SendEntry

# Bounds the memory for ended attempts; orders for older ones are refused
# by the backend server, which remembers attempts for longer.
ENDED_ATTEMPTS_KEPT = 1_024
# Keeps one message well below the limits of the entry host's listener.
REPORTS_PER_MESSAGE = 64
RESULT_BYTES_PER_MESSAGE = 262_144
# Messages with more than this wait for the acknowledgement of the one before,
# since they would contain its reports again.
PIPELINED_RESULT_BYTES = 8_192

COUNTER_NAMES = {
    TaskReserved: "tasks_reserved",
    TaskRefused: "tasks_refused",
    TaskFinished: "tasks_finished",
    TaskFailed: "tasks_failed",
    TaskStopped: "tasks_stopped",
    TaskLost: "tasks_lost",
}


def count(state: AgentState, counter: str) -> None:
    """Add one to a counter that travels in heartbeats."""
    state.counters[counter] = state.counters.get(counter, 0) + 1


def find_task(state: AgentState, attempt: AttemptId, rank: int) -> AgentTask | None:
    """Return the task, or None if the agent holds none."""
    return state.tasks.get(attempt, {}).get(rank)


def all_tasks(state: AgentState) -> list[AgentTask]:
    """Return all tasks, in the order in which they were added."""
    return [task for ranks in state.tasks.values() for task in ranks.values()]


def add_task(state: AgentState, task: AgentTask) -> None:
    """Put a task into the table and remember its epoch."""
    state.tasks.setdefault(task.attempt, {})[task.rank] = task
    remember_epoch(state, task.attempt)


def drop_task(state: AgentState, attempt: AttemptId, rank: int) -> None:
    """Take a task out of the table."""
    ranks = state.tasks.get(attempt, {})
    ranks.pop(rank, None)
    if not ranks:
        state.tasks.pop(attempt, None)


def remember_epoch(state: AgentState, attempt: AttemptId) -> None:
    """Remember the highest epoch seen for a request."""
    newest = max(attempt.epoch, state.epochs.pop(attempt.request_id, 0))
    state.epochs[attempt.request_id] = newest
    if len(state.epochs) > ENDED_ATTEMPTS_KEPT:
        del state.epochs[next(iter(state.epochs))]


def remember_end(
    state: AgentState, attempt: AttemptId, rank: int, never_ran: bool
) -> None:
    """Remember that orders for a member are not carried out any more."""
    ranks = state.ended.pop(attempt, {})
    ranks[rank] = never_ran
    state.ended[attempt] = ranks
    remember_epoch(state, attempt)
    if len(state.ended) > ENDED_ATTEMPTS_KEPT:
        del state.ended[next(iter(state.ended))]


def ended_unrun(state: AgentState, attempt: AttemptId, rank: int) -> bool | None:
    """Tell whether an ended member never ran; None if it has not ended."""
    return state.ended.get(attempt, {}).get(rank)


def add_report(state: AgentState, report: Report) -> None:
    """Queue a report; `flush_reports` sends it."""
    state.reports.append(report)
    count(state, COUNTER_NAMES[type(report)])


def refuse_unknown(
    state: AgentState, attempt: AttemptId, rank: int, detail: str
) -> None:
    """Report that a member, for which nothing is held, will not start."""
    remember_end(state, attempt, rank, never_ran=True)
    add_report(state, TaskRefused(attempt, rank, detail))


def is_pending(state: AgentState, report: Report) -> bool:
    """Tell whether an equal report is not yet acknowledged."""
    return report in state.reports


def flush_reports(state: AgentState) -> list[Effect]:
    """Send the reports if some were not yet sent on this stream.

    Every message starts with the oldest report that is not acknowledged.
    The entry host proposes each message on its own, and the proposals may
    be committed in another order; a message that started later would then
    leave a gap, and the reports in the gap would be lost.
    """
    if not state.welcomed:
        return []
    part = state.reports[: _part_length(state.reports)]
    last = state.first_report + len(part) - 1
    if not part or last <= state.reports_sent:
        return []
    is_waiting = state.reports_sent >= state.first_report
    if is_waiting and sum(map(_result_length, part)) > PIPELINED_RESULT_BYTES:
        return []
    state.reports_sent = last
    message = SendReports(state.first_report, tuple(part))
    return [SendEntry(state.stream_id, message)]


def _result_length(report: Report) -> int:
    return len(report.result) if isinstance(report, TaskFinished) else 0


def _part_length(reports: list[Report]) -> int:
    size = 0
    for index, report in enumerate(reports[:REPORTS_PER_MESSAGE]):
        size += _result_length(report)
        if index and size > RESULT_BYTES_PER_MESSAGE:
            return index
    return min(len(reports), REPORTS_PER_MESSAGE)


def drop_acknowledged(state: AgentState, sequence: int) -> list[Report]:
    """Take reports up to `sequence` out of the queue and return them.

    A sequence that was never sent comes from an earlier incarnation and
    is ignored, since it would drop reports that nobody has stored.
    """
    last = state.first_report + len(state.reports) - 1
    if sequence < state.first_report or sequence > last:
        return []
    length = sequence - state.first_report + 1
    dropped = state.reports[:length]
    del state.reports[:length]
    state.first_report = sequence + 1
    return dropped
