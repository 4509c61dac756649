"""The order in which waiting steps are looked at."""

import math

import attrs

from crocuswell_core.dispatching.dispatch_state import StepKey
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.catalog import Catalog, Queue, queue_named
from crocuswell_core.jobs.job_records import Job, StepSpec, TaskPhase
from crocuswell_core.jobs.job_table import JobTable, step_is_due

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
        tasks = self.job.tasks[self.number]
        return sum(task.phase is TaskPhase.DONE for task in tasks)

    @property
    def key(self) -> StepKey:
        """Job id and number of the step."""
        return self.job.id, self.number

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
        queue = queue_named(catalog, job.queue)
        # A queue that left the catalog sends its work nowhere.
        if queue is not None:
            ranked += _rank_job(state, guaranteed, job, queue)
    ranked.sort(key=lambda item: item.order)
    return ranked


def guaranteed_owners(table: JobTable, catalog: Catalog) -> set[str]:
    """Return the workspaces whose urgent work is within their guarantee."""
    needed: dict[str, int] = {}
    for job in table.jobs.values():
        queue = queue_named(catalog, job.queue)
        if job.is_open and queue is not None and queue.priority == 0:
            needed[job.owner] = needed.get(job.owner, 0) + _accelerators(job)
    return {
        tenancy.workspace
        for tenancy in catalog.tenancies
        if needed.get(tenancy.workspace, 0) <= tenancy.guaranteed_accelerators
    }


def _accelerators(job: Job) -> int:
    return sum(step.count * step.demand.accelerators for step in job.steps)


def _rank_job(
    state: EntryState, guaranteed: set[str], job: Job, queue: Queue
) -> list[RankedStep]:
    ranked: list[RankedStep] = []
    due_ms = job.accepted_ms + objective_ms(job, queue)
    late = state.cluster.now_ms > job.accepted_ms + (
        WORTHLESS_STRETCH * objective_ms(job, queue)
    )
    urgent = queue.priority == 0
    slack_ms = due_ms - state.cluster.now_ms - chain_ms(job)
    tier = 0 if urgent and job.owner in guaranteed else 3 if late else 1 + (not urgent)
    for number, step in enumerate(job.steps):
        tasks = job.tasks[number]
        waiting = tuple(
            index for index, t in enumerate(tasks) if t.phase is TaskPhase.WAITING
        )
        if not waiting or (step.gang and len(waiting) < step.count):
            continue
        if not step_is_due(job, number):
            continue
        ranked.append(
            RankedStep(
                job=job,
                number=number,
                step=step,
                service=queue.service,
                waiting=waiting,
                order=(tier, due_ms, job.accepted_ms),
                priority=queue.priority,
                may_preempt=urgent,
                eviction_limit_core_s=(
                    math.inf if job.owner in guaranteed else EVICTION_LIMIT_CORE_S
                ),
                can_wait=not urgent and slack_ms > chain_ms(job) * WAITING_SLACK,
                holds_room=step.gang or urgent,
            )
        )
    return ranked


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
