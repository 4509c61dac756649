"""The leader's dispatching state, which is not replicated."""

import attrs

from crocuswell_core.dispatching.fleet import Fleet
from crocuswell_core.dispatching.waiting_steps import WaitingSteps
from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.jobs.job_records import (
    ResourceVector,
    RunId,
    SavedCheckpoint,
    StepKey,
    WorkerCrash,
    parse_boot_key,
)
from crocuswell_core.learning.expected_ratios import ExpectedRatio
from crocuswell_core.learning.worker_speeds import WorkerSpeeds


@attrs.define
class FailureHistory:
    """Recent failures on one worker, identified by its id.

    Attributes
    ----------
    failed_jobs : dict
        Jobs that failed there since the last success, as an ordered set.
    barred_until_ms : int
        Time in ms before which no new task is placed there.
    bar_count : int
        How often the worker was barred since the last success.
    refused_starts : int
        Starts in a row that the worker did not carry out.
    """

    failed_jobs: dict[str, None] = attrs.Factory(dict)
    barred_until_ms: int = 0
    bar_count: int = 0
    refused_starts: int = 0


@attrs.frozen
class Reservation:
    """Resources reserved for a step while runs are preempted for it.

    Attributes
    ----------
    tasks_by_worker : dict
        Number of the step's tasks by the key of the worker's boot.
    expires_ms : int
        Time in ms after which the step is considered anew.
    """

    demand: ResourceVector
    tasks_by_worker: dict[str, int]
    expires_ms: int


@attrs.frozen
class Outage:
    """A worker ceased to answer its runner.

    Attributes
    ----------
    explained : bool
        Whether one of its runs may be the cause.
    """

    since_ms: int
    explained: bool


@attrs.frozen
class ReplacedBoot:
    """A boot whose machine reports another boot of the same worker id.

    The other boot may carry out starts that were ordered for this one, until
    it has refused them.

    Attributes
    ----------
    successor : str
        Key of the other boot.
    view : WorkerView or None
        What was last known of the replaced boot.
    crash : WorkerCrash or None
        Its crash, if the runner has witnessed one.
    """

    successor: str
    view: WorkerView | None
    crash: WorkerCrash | None


@attrs.define
class DispatchChanges:
    """What changed since the last plan, and is looked at again by the next.

    Attributes
    ----------
    everything : bool
        Whether all indexes must be built anew.
    jobs : set of str
        Jobs whose waiting tasks may have changed.
    workers : set of str
        Keys of boots whose free resources or readiness may have changed.
    orders : set of str
        Keys of boots that may be owed an order.
    """

    everything: bool = True
    jobs: set[str] = attrs.Factory(set)
    workers: set[str] = attrs.Factory(set)
    orders: set[str] = attrs.Factory(set)

    @property
    def affect_plan(self) -> bool:
        """Whether a plan may find other starts than the last one."""
        return self.everything or bool(self.jobs) or bool(self.workers)


@attrs.define
class DispatchState:
    """State of the leader's dispatching in one term.

    Attributes
    ----------
    started_ms : int
        Time in ms at which dispatching started in this term.
    views : dict
        Workers that report to this leader, by the key of their boot, in the
        order of their newest reports.
    lost_contact : set of str
        Boots with runs that do not report to this leader, or whose runner
        cannot reach them.
    boots_by_machine : dict
        Keys of the boots of each machine that report or have runs.
    changes : DispatchChanges
        What the next plan must look at again.
    fleet : Fleet
        Workers that may get tasks, with their free resources.
    waiting : WaitingSteps
        Steps with tasks to start, in order of priority.
    last_plan_ms : int
        Time in ms of the last plan.
    failure_histories : dict
        Recent failures by worker id.
    pending_plan : str
        Name of the plan that was proposed and is not yet applied; empty
        if there is none.
    plan_proposed_ms : int
        Time in ms at which it was proposed.
    plan_count : int
        Number of plans in this term.
    planned_workers : set of str
        Boots that get runs by the pending plan.
    pending_losses : set of str
        Boots whose loss was proposed in this term and is not yet applied.
    runner_streams : dict
        Newest stream on which a runner has reported, by its machine.
    replaced : dict
        Boots that were replaced and whose runs are not settled, by their key.
    outages : dict
        Newest outage of workers' boots, by their key.
    trials : dict
        End in ms of the time during which a run has its worker to itself.
    trials_checked_ms : int
        Time in ms at which trials were last looked at.
    last_trial_ms : int
        Time in ms at which a trial last began.
    trial_waits : dict
        Time in ms since which a step waits for a worker for a trial, by key
        of the step.
    stopping : set of RunId
        Runs that the leader stops for another reason than the end of their
        job, such as a preemption or a stall.
    reservations : dict
        Reservations by key of the step.
    awaited_ends : set of StepKey
        Waiting steps that have counted on runs to end by themselves.
    withheld : dict
        Why no runs are stopped for a waiting step, by its key.
    unsaved_checkpoints : dict
        Checkpoints that are not in the log yet, by step and index of the
        task; -1 stands for all members of a gang.
    checkpoints_proposed_ms : int
        Time in ms at which checkpoints were last proposed.
    held_workers : dict
        Boots that are kept free for a waiting step except for backfill, by
        key of the step.
    reserved_racks : dict
        Rack that is kept free for a waiting gang, by key of the step.
    empty_domains : set of str
        Evacuated failure domains in which no run is left.
    unfit_claims : set of StepKey
        Waiting urgent steps that the fleet could not hold, even without runs.
    ample_since_ms : dict
        Time in ms since which a waiting step could start on resources that
        are kept free for others or lie in other racks, by key of the step.
    speeds : WorkerSpeeds
        Slowdowns of the workers, learned from the progress and ends of runs.
    expected_ratios : dict
        Ratios of real to declared times that were read lately, by the keys of
        their classes.
    active_workspaces : dict
        Time in ms of the newest submission of each workspace, the oldest
        first, by service.
    unfit_shapes : dict
        Membership of the fleet for which no workers could hold a step, by its
        service, label, demand and number of tasks that start at once.
    """

    term: int = -1
    started_ms: int = 0
    views: dict[str, WorkerView] = attrs.Factory(dict)
    lost_contact: set[str] = attrs.Factory(set)
    boots_by_machine: dict[str, set[str]] = attrs.Factory(dict)
    changes: DispatchChanges = attrs.Factory(DispatchChanges)
    fleet: Fleet = attrs.Factory(Fleet)
    waiting: WaitingSteps = attrs.Factory(WaitingSteps)
    last_plan_ms: int = 0
    failure_histories: dict[str, FailureHistory] = attrs.Factory(dict)
    pending_plan: str = ""
    plan_proposed_ms: int = 0
    plan_count: int = 0
    planned_workers: set[str] = attrs.Factory(set)
    pending_losses: set[str] = attrs.Factory(set)
    runner_streams: dict[str, int] = attrs.Factory(dict)
    replaced: dict[str, ReplacedBoot] = attrs.Factory(dict)
    outages: dict[str, Outage] = attrs.Factory(dict)
    trials: dict[RunId, int] = attrs.Factory(dict)
    trials_checked_ms: int = 0
    last_trial_ms: int = 0
    trial_waits: dict[StepKey, int] = attrs.Factory(dict)
    stopping: set[RunId] = attrs.Factory(set)
    reservations: dict[StepKey, Reservation] = attrs.Factory(dict)
    awaited_ends: set[StepKey] = attrs.Factory(set)
    withheld: dict[StepKey, str] = attrs.Factory(dict)
    unsaved_checkpoints: dict[tuple[StepKey, int], SavedCheckpoint] = attrs.Factory(
        dict
    )
    checkpoints_proposed_ms: int = 0
    held_workers: dict[StepKey, tuple[str, ...]] = attrs.Factory(dict)
    reserved_racks: dict[StepKey, str] = attrs.Factory(dict)
    ample_since_ms: dict[StepKey, int] = attrs.Factory(dict)
    speeds: WorkerSpeeds = attrs.Factory(WorkerSpeeds)
    empty_domains: set[str] = attrs.Factory(set)
    unfit_claims: set[StepKey] = attrs.Factory(set)
    expected_ratios: dict[tuple[str, ...], ExpectedRatio] = attrs.Factory(dict)
    active_workspaces: dict[str, dict[str, int]] = attrs.Factory(dict)
    unfit_shapes: dict[tuple[str, str, ResourceVector, int], int] = attrs.Factory(dict)

    def add_boot(self, key: str) -> None:
        """Note a boot that reports or has runs."""
        machine, _ = parse_boot_key(key)
        self.boots_by_machine.setdefault(machine, set()).add(key)
