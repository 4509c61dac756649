"""Priority order of the steps that have tasks to start.

A job is ranked again when its tasks change, when its workspace's guarantee
begins or ceases to cover it, and when time changes its rank.
"""

import math
from collections.abc import Callable, Iterable, Iterator

from crocuswell_core.dispatching.backlog import (
    DEADLINE_INTERVAL_MS,
    BacklogRank,
    JobBacklog,
)
from crocuswell_core.dispatching.expectations import expected_run_time
from crocuswell_core.dispatching.waiting_steps import RankedStep, UrgentDemand
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.catalog import Queue
from crocuswell_core.jobs.job_records import (
    Job,
    Occurrence,
    ResourceVector,
    StepSpec,
    TaskPhase,
)

# A job that ends later than this multiple of its objective has no value.
ZERO_VALUE_FACTOR = 3
# Slack, as a share of the critical path, above which a job is deferrable.
DEFERRABLE_SLACK_SHARE = 0.5
# Work that may always be lost to preemption for urgent work, even for a small
# step that exceeds its workspace's guarantee.
MIN_PREEMPTION_LIMIT_CORE_S = 300.0
NEVER_MS = 1 << 62


def rank_jobs(state: EntryState, job_ids: Iterable[str]) -> None:
    """Rank the waiting steps of jobs, and of jobs that this affects."""
    waiting = state.dispatch.waiting
    outdated = set(job_ids)
    for job_id in tuple(outdated):
        outdated |= _update_urgent_demand(state, job_id)
    for job_id in sorted(outdated):
        job = state.cluster.jobs.jobs.get(job_id)
        _note_next_occurrence(state, job_id, job)
        steps = _rank_job(state, job) if job else []
        waiting.replace(job_id, steps)
        if state.cfg.features.admission:
            backlog = _measure_backlog(state, job) if job else None
            waiting.backlog.replace(job_id, backlog)


def _update_urgent_demand(state: EntryState, job_id: str) -> set[str]:
    """Count what a job asks of its workspace's guarantee.

    Returns
    -------
    set of str
        All urgent jobs of a workspace that the guarantee covers since, or no
        longer covers.
    """
    waiting = state.dispatch.waiting
    demand = _urgent_demand(state, job_id)
    known = waiting.urgent_demands.get(job_id)
    workspaces = {each.workspace for each in (known, demand) if each is not None}
    before = {name: is_guaranteed(state, name) for name in workspaces}
    waiting.set_urgent_demand(job_id, demand)
    affected: set[str] = set()
    for name, was_guaranteed in before.items():
        if is_guaranteed(state, name) != was_guaranteed:
            affected |= waiting.jobs_by_workspace.get(name, set())
    return affected


def _note_next_occurrence(state: EntryState, job_id: str, job: Job | None) -> None:
    next_due_ms = state.dispatch.waiting.next_due_ms
    next_due_ms.pop(job_id, None)
    if job is None or job.schedule is None or not job.is_open:
        return
    for number in range(job.schedule.count):
        due_ms = job.schedule.due_ms(number)
        if due_ms > state.wall_ms:
            next_due_ms[job_id] = due_ms
            return


def find_due_jobs(state: EntryState) -> set[str]:
    """Return the jobs of which another occurrence is due."""
    next_due_ms = state.dispatch.waiting.next_due_ms
    return {id_ for id_, due_ms in next_due_ms.items() if due_ms <= state.wall_ms}


def find_outdated_jobs(state: EntryState) -> set[str]:
    """Return the jobs whose rank depends on the time and may have changed."""
    waiting = state.dispatch.waiting
    outdated = {
        step.ranked.job.id
        for step in waiting.by_key.values()
        if state.cluster.now_ms >= step.ranked.outdated_ms
    }
    return outdated | find_due_jobs(state)


def is_guaranteed(state: EntryState, workspace: str) -> bool:
    """Tell whether a workspace's urgent jobs are within its guarantee."""
    catalog = state.cluster.jobs.catalog
    if catalog is None:
        return False
    demand = state.dispatch.waiting.demand_by_workspace.get(workspace, 0)
    return any(
        demand <= declared.guaranteed_accelerators
        for declared in catalog.workspaces
        if declared.workspace == workspace
    )


def has_borrowers(state: EntryState) -> bool:
    """Tell whether urgent jobs of any workspace exceed its guarantee."""
    demands = state.dispatch.waiting.demand_by_workspace
    return any(demands[name] and not is_guaranteed(state, name) for name in demands)


def _urgent_demand(state: EntryState, job_id: str) -> UrgentDemand | None:
    table = state.cluster.jobs
    job = table.jobs.get(job_id)
    if job is None or not job.is_open:
        return None
    queue = table.queue_of(job)
    if queue is None or queue.priority != 0:
        return None
    return UrgentDemand(
        job.owner, sum(step.count * step.demand.accelerators for step in job.steps)
    )


def _rank_job(state: EntryState, job: Job) -> list[RankedStep]:
    queue = state.cluster.jobs.queue_of(job)
    if queue is None or not job.is_open:
        return []
    guaranteed = queue.priority == 0 and is_guaranteed(state, job.owner)
    return [
        ranked
        for occurrence in due_occurrences(job, state.wall_ms)
        for ranked in _rank_steps(state, job, occurrence, queue, guaranteed)
    ]


def _measure_backlog(state: EntryState, job: Job) -> JobBacklog | None:
    """Return the work of a job's waiting tasks, with steps not yet ready."""
    queue = state.cluster.jobs.queue_of(job)
    if queue is None or not job.is_open:
        return None
    work = ResourceVector()
    first_due_ms = NEVER_MS
    for occurrence in due_occurrences(job, state.wall_ms):
        first_due_ms = min(first_due_ms, occurrence.due_ms)
        for index, step in enumerate(job.steps):
            tasks = occurrence.tasks[index]
            waiting = sum(task.phase is TaskPhase.WAITING for task in tasks)
            if waiting and not step.long_running:
                run_ms = expected_run_time(state, job, index).median_ms
                work = work + step.demand.times(waiting * run_ms)
    if work == ResourceVector():
        return None
    objective = objective_ms(job, queue)
    late = state.cluster.now_ms > first_due_ms + ZERO_VALUE_FACTOR * objective
    guaranteed = queue.priority == 0 and is_guaranteed(state, job.owner)
    rank = backlog_rank(guaranteed, queue, first_due_ms + objective, late)
    return JobBacklog(job.service, job.owner, rank, work)


def backlog_rank(
    guaranteed: bool, queue: Queue, deadline_ms: int, late: bool
) -> BacklogRank:
    """Return the rank of a job's work that is not long-running."""
    tier = _tier(guaranteed, queue.priority == 0, late)
    return tier, queue.priority, deadline_ms // DEADLINE_INTERVAL_MS


def due_occurrences(job: Job, wall_ms: int) -> Iterator[Occurrence]:
    """Yield the occurrences that are due and not done."""
    schedule = job.schedule
    count = schedule.count if schedule else 1
    for number in range(count):
        if schedule and schedule.due_ms(number) > wall_ms:
            return
        occurrence = job.occurrence(number)
        if occurrence is not None and not occurrence.is_done:
            yield occurrence


def _rank_steps(
    state: EntryState, job: Job, occurrence: Occurrence, queue: Queue, guaranteed: bool
) -> list[RankedStep]:
    ranked: list[RankedStep] = []
    now_ms = state.cluster.now_ms
    critical_ms = expected_critical_path_ms(state, job)
    objective = objective_ms(job, queue)
    deadline_ms = occurrence.due_ms + objective
    zero_value_ms = occurrence.due_ms + ZERO_VALUE_FACTOR * objective
    defer_until_ms = deadline_ms - critical_ms - critical_ms * DEFERRABLE_SLACK_SHARE
    last_start_ms = deadline_ms - critical_ms
    crossings = [
        ms for ms in (zero_value_ms, defer_until_ms, last_start_ms) if ms >= now_ms
    ]
    urgent = queue.priority == 0
    for step_index, step in enumerate(job.steps):
        tasks = occurrence.tasks[step_index]
        waiting = tuple(
            index for index, t in enumerate(tasks) if t.phase is TaskPhase.WAITING
        )
        if not waiting or (step.gang and len(waiting) < step.count):
            continue
        if not job.step_is_ready(occurrence, step_index):
            continue
        tier = _priority_tier(guaranteed, urgent, step, now_ms > zero_value_ms)
        ranked.append(
            RankedStep(
                key=(job.id, occurrence.number, step_index),
                job=job,
                occurrence=occurrence,
                step_index=step_index,
                step=step,
                service=queue.service,
                waiting=waiting,
                suspects=tuple(index for index in waiting if tasks[index].is_suspect),
                failed_on=frozenset(
                    worker for index in waiting for worker in tasks[index].failed_on
                ),
                sort_key=(tier, queue.priority, deadline_ms),
                outdated_ms=1 + int(min(crossings, default=NEVER_MS)),
                priority=queue.priority,
                may_preempt=urgent,
                preemption_limit_core_s=(
                    math.inf
                    if guaranteed
                    else _preemption_limit(step, len(waiting), now_ms <= last_start_ms)
                ),
                is_deferrable=(
                    not urgent and not step.long_running and now_ms < defer_until_ms
                ),
                limits_backfill=step.gang or urgent,
            )
        )
    return ranked


def _preemption_limit(step: StepSpec, tasks: int, in_time: bool) -> float:
    """Return how much work in core seconds may be lost for a step's tasks.

    For a step that can still meet its objective this is as much as the tasks
    do themselves.
    """
    work = step.demand.core_equivalents * tasks * step.estimated_ms / 1_000
    return max(MIN_PREEMPTION_LIMIT_CORE_S, work if in_time else 0.0)


def _priority_tier(guaranteed: bool, urgent: bool, step: StepSpec, late: bool) -> int:
    """Return the priority tier of a step; smaller comes first."""
    # Long-running steps have value while they run and are never late.
    return _tier(guaranteed, urgent, late and not step.long_running)


def _tier(guaranteed: bool, urgent: bool, late: bool) -> int:
    if guaranteed:
        return 0
    if late:
        return 3
    return 1 if urgent else 2


def objective_ms(job: Job, queue: Queue) -> int:
    """Return a job's latency objective in ms."""
    return round(queue.stretch * critical_path_ms(job)) + queue.latency_allowance_ms


def critical_path_ms(job: Job, run_ms: Callable[[int], int] | None = None) -> int:
    """Return the run time in ms of the longest chain of steps.

    Parameters
    ----------
    run_ms : callable, optional
        Returns the run time in ms of a step; by default the declared one.
    """
    ends_ms: list[int] = []
    for index, step in enumerate(job.steps):
        start_ms = max((ends_ms[earlier] for earlier in step.after), default=0)
        ends_ms.append(start_ms + (run_ms(index) if run_ms else step.estimated_ms))
    return max(ends_ms, default=0)


def expected_critical_path_ms(state: EntryState, job: Job) -> int:
    """Return the expected run time in ms of the longest chain of steps."""
    return critical_path_ms(
        job, lambda step: expected_run_time(state, job, step).median_ms
    )
