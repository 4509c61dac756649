"""The steps that have tasks to start, in order of priority."""

import math

import attrs

from crocuswell_core.dispatching.backlog import Backlog
from crocuswell_core.jobs.job_records import (
    Job,
    Occurrence,
    StepKey,
    StepSpec,
    Task,
    TaskPhase,
)

SortKey = tuple[int, int, int]
NEVER_CONSIDERED_MS = -1_000_000


@attrs.frozen(eq=False)
class RankedStep:
    """A step with tasks to start.

    Attributes
    ----------
    key : StepKey
        Job id, number of the occurrence and index of the step.
    waiting : tuple of int
        Indices of the tasks to start; all of them for a gang.
    suspects : tuple of int
        Indices of those that may be what crashes their workers.
    failed_on : frozenset of str
        Ids of the workers on which a waiting task failed.
    sort_key : tuple
        Priority tier, queue priority and deadline in ms; smaller is first.
    outdated_ms : int
        Cluster time in ms at which another rank may apply.
    may_preempt : bool
        Whether other runs may be stopped for it.
    preemption_limit_core_s : float
        Most work in core seconds that may be lost to preemption for it.
    is_deferrable : bool
        Whether the job has enough slack for the step to start later.
    limits_backfill : bool
        Whether resources are kept free for it while it waits.
    reclaims : bool
        Whether urgent runs of workspaces beyond their guarantee may be stopped
        for it too.
    """

    key: StepKey
    job: Job
    occurrence: Occurrence
    step_index: int
    step: StepSpec
    service: str
    waiting: tuple[int, ...]
    suspects: tuple[int, ...]
    failed_on: frozenset[str]
    sort_key: SortKey
    outdated_ms: int
    priority: int
    may_preempt: bool
    preemption_limit_core_s: float
    is_deferrable: bool
    limits_backfill: bool
    reclaims: bool = False

    @property
    def is_guaranteed(self) -> bool:
        """Whether its workspace's guarantee covers it."""
        return math.isinf(self.preemption_limit_core_s)

    @property
    def done(self) -> int:
        """Number of tasks of the step that are done."""
        return sum(task.phase is TaskPhase.DONE for task in self.tasks)

    @property
    def deadline_ms(self) -> int:
        """Cluster time in ms by which its job must end to be in time."""
        return self.sort_key[2]

    @property
    def needs_one_rack(self) -> bool:
        """Whether the step is a gang that is slower when spread over racks."""
        return self.step.gang and self.step.prefers_one_rack

    @property
    def restarts_lasting_tasks(self) -> bool:
        """Whether its tasks last, and each to start has run before."""
        return self.step.long_running and all(
            self.tasks[index].run for index in self.waiting
        )

    @property
    def tasks(self) -> list[Task]:
        """All tasks of the step."""
        return self.occurrence.tasks[self.step_index]

    @property
    def waiting_count(self) -> int:
        """Number of tasks to start."""
        return len(self.waiting)


@attrs.define(eq=False)
class WaitingStep:
    """A ranked step, with what its last consideration found.

    Attributes
    ----------
    considered_ms : int
        Time in ms of that consideration.
    opened, released : int
        Counters of the fleet at that time; others mean that workers could
        hold more of its tasks since.
    fit_membership : int
        Membership of the fleet for which `fits` and `fitting_racks` hold.
    fits : bool
        Whether the workers could hold the step if they were empty.
    fitting_racks : frozenset of str
        Racks that could hold the whole step if they were empty.
    """

    ranked: RankedStep
    considered_ms: int = NEVER_CONSIDERED_MS
    opened: int = -1
    released: int = -1
    fit_membership: int = -1
    fits: bool = False
    fitting_racks: frozenset[str] = frozenset()


@attrs.frozen
class UrgentDemand:
    """What an open urgent job asks of its workspace's guarantee."""

    workspace: str
    accelerators: int


@attrs.define
class WaitingSteps:
    """All steps with tasks to start.

    Attributes
    ----------
    by_job : dict
        Waiting steps by job.
    by_key : dict
        Waiting steps by key of the step.
    in_order : list
        All of them in order of priority, unless `is_sorted` is false.
    next_due_ms : dict
        Wall-clock time in ms at which the next occurrence of a job is due,
        by job.
    urgent_demands : dict
        Open urgent jobs by id.
    demand_by_workspace, jobs_by_workspace : dict
        Accelerators that the open urgent jobs of a workspace ask for, and
        the ids of these jobs.
    backlog : Backlog
        Waiting work of all open jobs, if jobs are subject to admission.
    """

    by_job: dict[str, list[WaitingStep]] = attrs.Factory(dict)
    by_key: dict[StepKey, WaitingStep] = attrs.Factory(dict)
    in_order: list[WaitingStep] = attrs.Factory(list)
    is_sorted: bool = True
    next_due_ms: dict[str, int] = attrs.Factory(dict)
    urgent_demands: dict[str, UrgentDemand] = attrs.Factory(dict)
    demand_by_workspace: dict[str, int] = attrs.Factory(dict)
    jobs_by_workspace: dict[str, set[str]] = attrs.Factory(dict)
    backlog: Backlog = attrs.Factory(Backlog)

    @property
    def has_urgent_jobs(self) -> bool:
        """Whether an urgent job is open, with tasks at work or waiting."""
        return bool(self.urgent_demands)

    def replace(self, job_id: str, steps: list[RankedStep]) -> None:
        """Set the waiting steps of a job."""
        for waiting in self.by_job.pop(job_id, ()):
            del self.by_key[waiting.ranked.key]
            self.is_sorted = False
        if steps:
            self.is_sorted = False
            self.by_job[job_id] = [WaitingStep(ranked) for ranked in steps]
            for waiting in self.by_job[job_id]:
                self.by_key[waiting.ranked.key] = waiting

    def ordered(self) -> list[WaitingStep]:
        """Return all waiting steps, most urgent first."""
        if not self.is_sorted:
            steps = self.by_key.values()
            self.in_order = sorted(steps, key=lambda waiting: waiting.ranked.sort_key)
            self.is_sorted = True
        return self.in_order

    def set_urgent_demand(self, job_id: str, demand: UrgentDemand | None) -> None:
        """Set or remove what a job asks of its workspace's guarantee."""
        before = self.urgent_demands.pop(job_id, None)
        if before is not None:
            self.demand_by_workspace[before.workspace] -= before.accelerators
            self.jobs_by_workspace[before.workspace].discard(job_id)
        if demand is not None:
            self.urgent_demands[job_id] = demand
            total = self.demand_by_workspace.get(demand.workspace, 0)
            self.demand_by_workspace[demand.workspace] = total + demand.accelerators
            self.jobs_by_workspace.setdefault(demand.workspace, set()).add(job_id)
