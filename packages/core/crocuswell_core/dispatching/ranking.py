"""The order in which waiting steps are looked at."""

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

# A job that ends after this many times its objective earns nothing.
WORTHLESS_STRETCH = 3
# Slack, as a share of the longest chain of work, above which a job can wait.
WAITING_SLACK = 0.5
# Urgent work beyond a guarantee is not worth more lost work than this.
EVICTION_LIMIT_CORE_S = 300.0


@attrs.frozen(eq=False)
class RankedStep:
    """A step with tasks to start.

    Attributes
    ----------
    waiting : tuple of int
        Indices of the tasks to start; all of them for a gang.
    order : tuple
        Sort key; smaller comes first.
    may_preempt : bool
        Whether other runs may be stopped for it.
    eviction_limit_core_s : float
        Most core seconds of work that may be thrown away for it.
    can_wait : bool
        Whether the job meets its objective if the step starts later.
    holds_room : bool
        Whether room is kept free for it while it waits.
    """

    job: Job
    occurrence: Occurrence
    number: int
    step: StepSpec
    service: str
    waiting: tuple[int, ...]
    order: tuple[int, int, int]
    priority: int
    may_preempt: bool
    eviction_limit_core_s: float
    can_wait: bool
    holds_room: bool

    @property
    def done(self) -> int:
        """Number of tasks of the step that are done."""
        return sum(task.phase is TaskPhase.DONE for task in self.tasks)

    @property
    def needs_one_rack(self) -> bool:
        """Whether it is slowed down unless one rack holds all of it."""
        return self.step.gang and self.step.same_rack

    @property
    def tasks(self) -> list[Task]:
        """All tasks of the step."""
        return self.occurrence.tasks[self.number]

    @property
    def key(self) -> StepKey:
        """Job id and numbers of the occurrence and the step."""
        return self.job.id, self.occurrence.number, self.number

    @property
    def missing(self) -> int:
        """Number of tasks to start."""
        return len(self.waiting)


def rank_steps(state: EntryState) -> list[RankedStep]:
    """Return the steps whose turn has come, the most urgent first."""
    table = state.cluster.jobs
    catalog = table.catalog
    if catalog is None:
        return []
    ranked: list[RankedStep] = []
    guaranteed = guaranteed_owners(table, catalog)
    for job in table.jobs.values():
        if not job.is_open:
            continue
        queue = find_queue_by_name(catalog, job.queue)
        # A queue that left the catalog sends its work nowhere.
        if queue is not None:
            for occurrence in due_occurrences(job, state.wall_ms):
                ranked += _rank_steps_of(state, guaranteed, job, occurrence, queue)
    ranked.sort(key=lambda item: item.order)
    return ranked


def guaranteed_owners(table: JobTable, catalog: Catalog) -> set[str]:
    """Return the workspaces whose urgent work is within their guarantee."""
    needed: dict[str, int] = {}
    for job in table.jobs.values():
        queue = find_queue_by_name(catalog, job.queue)
        if job.is_open and queue is not None and queue.priority == 0:
            needed[job.owner] = needed.get(job.owner, 0) + _accelerators(job)
    return {
        tenancy.workspace
        for tenancy in catalog.tenancies
        if needed.get(tenancy.workspace, 0) <= tenancy.guaranteed_accelerators
    }


def _accelerators(job: Job) -> int:
    return sum(step.count * step.demand.accelerators for step in job.steps)


def due_occurrences(job: Job, wall_ms: int) -> Iterator[Occurrence]:
    """Yield the occurrences whose time has come and that are not done."""
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
    due_ms = occurrence.due_ms + objective_ms(job, queue)
    late = state.cluster.now_ms > occurrence.due_ms + (
        WORTHLESS_STRETCH * objective_ms(job, queue)
    )
    urgent = queue.priority == 0
    slack_ms = due_ms - state.cluster.now_ms - chain_ms(job)
    for number, step in enumerate(job.steps):
        tasks = occurrence.tasks[number]
        waiting = tuple(
            index for index, t in enumerate(tasks) if t.phase is TaskPhase.WAITING
        )
        if not waiting or (step.gang and len(waiting) < step.count):
            continue
        if not job.step_is_ready(occurrence, number):
            continue
        tier = _tier(urgent and job.owner in guaranteed, urgent, step, late)
        ranked.append(
            RankedStep(
                job=job,
                occurrence=occurrence,
                number=number,
                step=step,
                service=queue.service,
                waiting=waiting,
                order=(tier, queue.priority, due_ms),
                priority=queue.priority,
                may_preempt=urgent,
                eviction_limit_core_s=(
                    math.inf if job.owner in guaranteed else EVICTION_LIMIT_CORE_S
                ),
                can_wait=(
                    not urgent
                    and not step.lasting
                    and slack_ms > chain_ms(job) * WAITING_SLACK
                ),
                holds_room=step.gang or urgent,
            )
        )
    return ranked


def _tier(guaranteed: bool, urgent: bool, step: StepSpec, late: bool) -> int:
    """Return the rank of a step's kind of work; smaller comes first."""
    if guaranteed:
        return 0
    if step.lasting:
        # It earns while it runs, and has no time at which it is late.
        return 1 if urgent else 2
    if late:
        return 3
    return 1 if urgent else 2


def objective_ms(job: Job, queue: Queue) -> int:
    """Return the time in ms within which a job should be completed."""
    return round(queue.stretch * chain_ms(job)) + queue.target_ms


def chain_ms(job: Job) -> int:
    """Return the declared time in ms of the longest chain of steps."""
    ends: list[int] = []
    for step in job.steps:
        begin = max((ends[earlier] for earlier in step.after), default=0)
        ends.append(begin + step.estimated_ms)
    return max(ends, default=0)
