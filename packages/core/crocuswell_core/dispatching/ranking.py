"""Priority order of the steps that have tasks to start."""

import math
from collections.abc import Iterator

import attrs

from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.catalog import Catalog, Queue, find_queue_by_name
from crocuswell_core.jobs.job_records import (
    Job,
    Occurrence,
    StepKey,
    StepSpec,
    Task,
    TaskPhase,
)
from crocuswell_core.jobs.job_table import JobTable

# A job that ends later than this multiple of its objective has no value.
ZERO_VALUE_FACTOR = 3
# Slack, as a share of the critical path, above which a job is deferrable.
DEFERRABLE_SLACK_SHARE = 0.5
# Most work that may be lost to preemption for urgent work that exceeds its
# workspace's guarantee.
PREEMPTION_LIMIT_CORE_S = 300.0


@attrs.frozen(eq=False)
class RankedStep:
    """A step with tasks to start.

    Attributes
    ----------
    waiting : tuple of int
        Indices of the tasks to start; all of them for a gang.
    sort_key : tuple
        Priority tier, queue priority and deadline in ms; smaller is first.
    may_preempt : bool
        Whether other runs may be stopped for it.
    preemption_limit_core_s : float
        Most work in core seconds that may be lost to preemption for it.
    is_deferrable : bool
        Whether the job has enough slack for the step to start later.
    limits_backfill : bool
        Whether resources are kept free for it while it waits.
    """

    job: Job
    occurrence: Occurrence
    step_index: int
    step: StepSpec
    service: str
    waiting: tuple[int, ...]
    sort_key: tuple[int, int, int]
    priority: int
    may_preempt: bool
    preemption_limit_core_s: float
    is_deferrable: bool
    limits_backfill: bool

    @property
    def done(self) -> int:
        """Number of tasks of the step that are done."""
        return sum(task.phase is TaskPhase.DONE for task in self.tasks)

    @property
    def needs_one_rack(self) -> bool:
        """Whether the step is a gang that is slower when spread over racks."""
        return self.step.gang and self.step.prefers_one_rack

    @property
    def tasks(self) -> list[Task]:
        """All tasks of the step."""
        return self.occurrence.tasks[self.step_index]

    @property
    def key(self) -> StepKey:
        """Job id, number of the occurrence and index of the step."""
        return self.job.id, self.occurrence.number, self.step_index

    @property
    def waiting_count(self) -> int:
        """Number of tasks to start."""
        return len(self.waiting)


def rank_steps(state: EntryState) -> list[RankedStep]:
    """Return the steps that are ready to start, most urgent first."""
    table = state.cluster.jobs
    catalog = table.catalog
    if catalog is None:
        return []
    ranked: list[RankedStep] = []
    guaranteed = guaranteed_workspaces(table, catalog)
    for job in table.jobs.values():
        if not job.is_open:
            continue
        queue = find_queue_by_name(catalog, job.queue)
        # Jobs of a queue that is no longer in the catalog are not dispatched.
        if queue is not None:
            for occurrence in due_occurrences(job, state.wall_ms):
                ranked += _rank_steps_of(state, guaranteed, job, occurrence, queue)
    ranked.sort(key=lambda item: item.sort_key)
    return ranked


def guaranteed_workspaces(table: JobTable, catalog: Catalog) -> set[str]:
    """Return the workspaces whose urgent jobs are within their guarantee."""
    demands: dict[str, int] = {}
    for job in table.jobs.values():
        queue = find_queue_by_name(catalog, job.queue)
        if job.is_open and queue is not None and queue.priority == 0:
            demands[job.owner] = demands.get(job.owner, 0) + _total_accelerators(job)
    return {
        declared.workspace
        for declared in catalog.workspaces
        if demands.get(declared.workspace, 0) <= declared.guaranteed_accelerators
    }


def _total_accelerators(job: Job) -> int:
    return sum(step.count * step.demand.accelerators for step in job.steps)


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


def _rank_steps_of(
    state: EntryState,
    guaranteed: set[str],
    job: Job,
    occurrence: Occurrence,
    queue: Queue,
) -> list[RankedStep]:
    ranked: list[RankedStep] = []
    deadline_ms = occurrence.due_ms + objective_ms(job, queue)
    late = state.cluster.now_ms > occurrence.due_ms + (
        ZERO_VALUE_FACTOR * objective_ms(job, queue)
    )
    urgent = queue.priority == 0
    slack_ms = deadline_ms - state.cluster.now_ms - critical_path_ms(job)
    for step_index, step in enumerate(job.steps):
        tasks = occurrence.tasks[step_index]
        waiting = tuple(
            index for index, t in enumerate(tasks) if t.phase is TaskPhase.WAITING
        )
        if not waiting or (step.gang and len(waiting) < step.count):
            continue
        if not job.step_is_ready(occurrence, step_index):
            continue
        tier = _priority_tier(urgent and job.owner in guaranteed, urgent, step, late)
        ranked.append(
            RankedStep(
                job=job,
                occurrence=occurrence,
                step_index=step_index,
                step=step,
                service=queue.service,
                waiting=waiting,
                sort_key=(tier, queue.priority, deadline_ms),
                priority=queue.priority,
                may_preempt=urgent,
                preemption_limit_core_s=(
                    math.inf if job.owner in guaranteed else PREEMPTION_LIMIT_CORE_S
                ),
                is_deferrable=(
                    not urgent
                    and not step.long_running
                    and slack_ms > critical_path_ms(job) * DEFERRABLE_SLACK_SHARE
                ),
                limits_backfill=step.gang or urgent,
            )
        )
    return ranked


def _priority_tier(guaranteed: bool, urgent: bool, step: StepSpec, late: bool) -> int:
    """Return the priority tier of a step; smaller comes first."""
    if guaranteed:
        return 0
    if step.long_running:
        # Long-running steps have value while they run and are never late.
        return 1 if urgent else 2
    if late:
        return 3
    return 1 if urgent else 2


def objective_ms(job: Job, queue: Queue) -> int:
    """Return a job's latency objective in ms."""
    return round(queue.stretch * critical_path_ms(job)) + queue.latency_allowance_ms


def critical_path_ms(job: Job) -> int:
    """Return the declared run time in ms of the longest chain of steps."""
    ends_ms: list[int] = []
    for step in job.steps:
        start_ms = max((ends_ms[earlier] for earlier in step.after), default=0)
        ends_ms.append(start_ms + step.estimated_ms)
    return max(ends_ms, default=0)
