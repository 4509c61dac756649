"""The leader's dispatching state, which is not replicated."""

import attrs

from crocuswell_core.jobs.job_records import (
    ResourceVector,
    RunId,
    RunProgress,
    StepKey,
    TaskId,
)
from crocuswell_core.links.link_messages import WorkerDescription


@attrs.define
class LastProgress:
    """Newest progress of a run, for the detection of stalls.

    Attributes
    ----------
    unchanged_ms : int
        Time in ms for which run lists have shown the same percentage.
    """

    percent: int
    unchanged_ms: int = 0


@attrs.define
class WorkerView:
    """A boot of a worker whose runner reports to this leader.

    Attributes
    ----------
    stream_id : int
        Stream of its runner.
    last_report_ms : int
        Time in ms of the newest report.
    lease_end_ms : int
        Time in ms after which no run of this boot continues without a new
        lease.
    last_proposed_end : int
        Highest number of a run's end that was proposed for recording.
    ordered_starts, ordered_stops : set of RunId
        Orders sent on this stream.
    absent : set of RunId
        Runs whose absence was proposed for recording.
    list_number, list_received_ms : int
        Number of the newest run list, and the time in ms of its receipt.
    last_progress : dict
        Progress of the listed runs.
    events : dict
        Counters of the runner's events on this stream.
    """

    worker: WorkerDescription
    stream_id: int
    last_report_ms: int = 0
    reachable: bool = False
    lease_end_ms: int = 0
    last_proposed_end: int = 0
    running: dict[RunId, RunProgress] = attrs.Factory(dict)
    ordered_starts: set[RunId] = attrs.Factory(set)
    ordered_stops: set[RunId] = attrs.Factory(set)
    absent: set[RunId] = attrs.Factory(set)
    list_number: int = 0
    list_received_ms: int = 0
    last_progress: dict[RunId, LastProgress] = attrs.Factory(dict)
    events: dict[str, int] = attrs.Factory(dict)


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
    """

    failed_jobs: dict[str, None] = attrs.Factory(dict)
    barred_until_ms: int = 0
    bar_count: int = 0


@attrs.frozen
class Reservation:
    """Resources reserved for a step while runs are preempted for it.

    Attributes
    ----------
    tasks_by_worker : dict
        Number of the step's tasks by the key of the worker's boot.
    created_ms : int
        Time in ms at which the preemption was ordered.
    """

    demand: ResourceVector
    tasks_by_worker: dict[str, int]
    created_ms: int


@attrs.define
class DispatchState:
    """State of the leader's dispatching in one term.

    Attributes
    ----------
    started_ms : int
        Time in ms at which dispatching started in this term.
    views : dict
        Workers that report to this leader, by the key of their boot.
    failure_histories : dict
        Recent failures by worker id.
    pending_plan : str
        Name of the plan that was proposed and is not yet applied; empty
        if there is none.
    plan_proposed_ms : int
        Time in ms at which it was proposed.
    plan_count : int
        Number of plans in this term.
    pending_losses : dict
        Time in ms at which the loss of a worker's boot was proposed, by its
        key.
    stopping : set of RunId
        Runs that the leader stops for another reason than the end of their
        job, such as a preemption or a stall.
    reservations : dict
        Reservations by key of the step.
    checkpoints_proposed_ms : int
        Time in ms at which checkpoints were last proposed.
    reserved_racks : dict
        Rack that is kept free for a waiting gang, by key of the step.
    ample_since_ms : dict
        Time in ms since which a waiting step could start on resources that
        are kept free for others or lie in other racks, by key of the step.
    """

    term: int = -1
    started_ms: int = 0
    views: dict[str, WorkerView] = attrs.Factory(dict)
    failure_histories: dict[str, FailureHistory] = attrs.Factory(dict)
    pending_plan: str = ""
    plan_proposed_ms: int = 0
    plan_count: int = 0
    pending_losses: dict[str, int] = attrs.Factory(dict)
    stopping: set[RunId] = attrs.Factory(set)
    reservations: dict[StepKey, Reservation] = attrs.Factory(dict)
    checkpoints_proposed_ms: int = 0
    reserved_racks: dict[StepKey, str] = attrs.Factory(dict)
    ample_since_ms: dict[StepKey, int] = attrs.Factory(dict)


@attrs.define
class CandidateWorker:
    """A worker that may get tasks, with its resources during planning.

    Attributes
    ----------
    free : ResourceVector
        Resources that no run uses.
    placed : dict
        Demand of the placed tasks, which is not part of `free`.
    reservations : dict
        Free resources that are reserved for a step, by its key.
    backfill_limit_ms : int or None
        Longest estimated run time in ms of a task that may backfill this
        worker before a waiting step starts here; None without such a step.
    available : ResourceVector
        Resources that the step under consideration may use.
    """

    view: WorkerView
    free: ResourceVector
    placed: dict[TaskId, ResourceVector] = attrs.Factory(dict)
    reservations: dict[StepKey, ResourceVector] = attrs.Factory(dict)
    backfill_limit_ms: int | None = None
    available: ResourceVector = attrs.field(init=False, factory=ResourceVector)

    def set_available_for(self, key: StepKey, estimated_ms: int) -> None:
        """Set `available` to the resources that a step may use."""
        backfill_limit_ms = self.backfill_limit_ms
        if (
            backfill_limit_ms is not None
            and estimated_ms > backfill_limit_ms
            and key not in self.reservations
        ):
            self.available = ResourceVector()
        else:
            self.available = self.unreserved(key)

    def unreserved(self, key: StepKey) -> ResourceVector:
        """Return the free resources that are not reserved for other steps."""
        available = self.free
        for reserving_step, reserved in self.reservations.items():
            if reserving_step != key:
                available = available - reserved
        return available
