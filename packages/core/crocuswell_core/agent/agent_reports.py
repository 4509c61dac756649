"""Tasks, ended attempts and the queue of unacknowledged reports."""

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

# Bounds the memory for ended attempts. The backend server remembers attempts
# for longer, and refuses orders for those that were dropped here.
MAX_ENDED_ATTEMPTS = 1_024
# Keep a message well below the size limits of the entry host's listener.
MAX_REPORTS_PER_MESSAGE = 64
MAX_RESULT_BYTES_PER_MESSAGE = 262_144
# A message repeats all unacknowledged reports, so one with more result bytes
# than this waits for the acknowledgement of the previous message.
MAX_PIPELINED_RESULT_BYTES = 8_192

COUNTER_NAMES = {
    TaskReserved: "tasks_reserved",
    TaskRefused: "tasks_refused",
    TaskFinished: "tasks_finished",
    TaskFailed: "tasks_failed",
    TaskStopped: "tasks_stopped",
    TaskLost: "tasks_lost",
}


def increment_counter(state: AgentState, counter: str) -> None:
    """Add one to a counter that heartbeats carry to the entry host."""
    state.counters[counter] = state.counters.get(counter, 0) + 1


def find_task(state: AgentState, attempt: AttemptId, rank: int) -> AgentTask | None:
    """Return the task, or None if the agent holds none."""
    return state.tasks.get(attempt, {}).get(rank)


def all_tasks(state: AgentState) -> list[AgentTask]:
    """Return all tasks, in the order in which they were added."""
    return [task for ranks in state.tasks.values() for task in ranks.values()]


def add_task(state: AgentState, task: AgentTask) -> None:
    """Add a task to the table and record its epoch."""
    state.tasks.setdefault(task.attempt, {})[task.rank] = task
    record_epoch(state, task.attempt)


def drop_task(state: AgentState, attempt: AttemptId, rank: int) -> None:
    """Remove a task from the table."""
    ranks = state.tasks.get(attempt, {})
    ranks.pop(rank, None)
    if not ranks:
        state.tasks.pop(attempt, None)


def record_epoch(state: AgentState, attempt: AttemptId) -> None:
    """Record the highest epoch seen for a request."""
    newest = max(attempt.epoch, state.epochs.pop(attempt.request_id, 0))
    state.epochs[attempt.request_id] = newest
    if len(state.epochs) > MAX_ENDED_ATTEMPTS:
        del state.epochs[next(iter(state.epochs))]


def record_end(
    state: AgentState, attempt: AttemptId, rank: int, never_ran: bool
) -> None:
    """Record that a member ended; later orders for it are not followed."""
    ranks = state.ended.pop(attempt, {})
    ranks[rank] = never_ran
    state.ended[attempt] = ranks
    record_epoch(state, attempt)
    if len(state.ended) > MAX_ENDED_ATTEMPTS:
        del state.ended[next(iter(state.ended))]


def ended_without_running(
    state: AgentState, attempt: AttemptId, rank: int
) -> bool | None:
    """Return whether an ended member never ran; None if it has not ended."""
    return state.ended.get(attempt, {}).get(rank)


def add_report(state: AgentState, report: Report) -> None:
    """Queue a report; `flush_reports` sends it."""
    state.reports.append(report)
    increment_counter(state, COUNTER_NAMES[type(report)])


def refuse_unheld_task(
    state: AgentState, attempt: AttemptId, rank: int, detail: str
) -> None:
    """Report that a member which is not in the table will not start."""
    record_end(state, attempt, rank, never_ran=True)
    add_report(state, TaskRefused(attempt, rank, detail))


def is_report_pending(state: AgentState, report: Report) -> bool:
    """Return whether an equal report is not yet acknowledged."""
    return report in state.reports


def flush_reports(state: AgentState) -> list[Effect]:
    """Send the queued reports if some are new to this stream.

    Every message starts with the oldest unacknowledged report. The entry
    host proposes each message separately, and the proposals may commit in
    another order. A message with a later start could commit first; the
    reports before it would then be lost.
    """
    if not state.welcomed:
        return []
    batch = state.reports[: _batch_length(state.reports)]
    last = state.first_report + len(batch) - 1
    if not batch or last <= state.reports_sent:
        return []
    awaits_ack = state.reports_sent >= state.first_report
    if awaits_ack and sum(map(_result_length, batch)) > MAX_PIPELINED_RESULT_BYTES:
        return []
    state.reports_sent = last
    message = SendReports(state.first_report, tuple(batch))
    return [SendEntry(state.stream_id, message)]


def _result_length(report: Report) -> int:
    return len(report.result) if isinstance(report, TaskFinished) else 0


def _batch_length(reports: list[Report]) -> int:
    size = 0
    for index, report in enumerate(reports[:MAX_REPORTS_PER_MESSAGE]):
        size += _result_length(report)
        if index and size > MAX_RESULT_BYTES_PER_MESSAGE:
            return index
    return min(len(reports), MAX_REPORTS_PER_MESSAGE)


def drop_acknowledged(state: AgentState, sequence: int) -> list[Report]:
    """Remove the reports up to `sequence` from the queue; return them.

    A sequence that was never sent belongs to an earlier incarnation. It
    is ignored, because it would drop reports that are not yet committed.
    """
    last = state.first_report + len(state.reports) - 1
    if sequence < state.first_report or sequence > last:
        return []
    length = sequence - state.first_report + 1
    dropped = state.reports[:length]
    del state.reports[:length]
    state.first_report = sequence + 1
    return dropped
