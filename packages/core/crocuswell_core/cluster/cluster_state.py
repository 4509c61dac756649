"""Replicated state: the result of applying the log."""

import attrs

from crocuswell_core.cluster.commands import CommandReply
from crocuswell_core.cluster.configuration import Configuration, ConfigurationChange
from crocuswell_core.cluster.due import DueItem
from crocuswell_core.cluster.evacuations import Evacuation
from crocuswell_core.cluster.records import Attempt, AttemptId, Request, Worker
from crocuswell_core.cluster.resources import Resources, Shape
from crocuswell_core.cluster.scheduling_index import SchedulingIndex
from crocuswell_core.jobs.crash_history import CrashHistory
from crocuswell_core.jobs.job_table import JobTable
from crocuswell_core.learning.run_times import RunTimes
from crocuswell_core.policy.policies import DefaultPolicy

STATE_VERSION = 1


@attrs.frozen
class CachedReply:
    """Cached first reply to a command, returned if it is resent.

    Attributes
    ----------
    digest : str
        Digest of the command's content.
    at_ms : int
        Cluster time in ms of the reply.
    """

    digest: str
    reply: CommandReply
    at_ms: int


@attrs.define
class WorkerAllocation:
    """Free and allocated capacity of one worker.

    Attributes
    ----------
    accelerators : list of int
        Indices of the free accelerators, ascending.
    attempts : dict
        Attempts with members on the worker, in order of placement; the
        value is their number of members there.
    """

    free: Resources
    free_slots: int
    accelerators: list[int]
    attempts: dict[AttemptId, int] = attrs.Factory(dict)


@attrs.frozen
class PlannedShape:
    """A guaranteed shape with the workers that the plan assigns to it.

    Attributes
    ----------
    workers : tuple of str
        Worker of each member; empty if the fleet cannot hold the shape.
    """

    workspace: str
    shape: Shape
    workers: tuple[str, ...] = ()


@attrs.frozen
class Hold:
    """Capacity kept for a claim while borrowers on it are being stopped.

    Attributes
    ----------
    guarantee : str
        Key of the planned shape that is claimed.
    amount : Resources
        Resources of each member.
    workers : tuple of str
        Worker of each member.
    since_ms : int
        Cluster time in ms at which the hold was created.
    """

    guarantee: str
    amount: Resources
    workers: tuple[str, ...]
    since_ms: int


@attrs.frozen
class Reservation:
    """A planned start that backfilled work must not delay.

    Attributes
    ----------
    amount : Resources
        Resources of each member.
    workers : tuple of str
        Worker of each member.
    start_ms : int
        Cluster time in ms at which the capacity is expected to be free.
    """

    amount: Resources
    workers: tuple[str, ...]
    start_ms: int


@attrs.frozen
class RunTimeRecord:
    """Ratio of observed to declared run times of a workspace's job class.

    Attributes
    ----------
    ratio : float
        Moving average.
    count : int
        Number of observations.
    """

    ratio: float
    count: int


@attrs.frozen
class WorkerHealth:
    """Recent job failures and successes on one worker.

    Attributes
    ----------
    failures, successes : float
        Exponentially decayed counts; a job counts once per worker.
    quarantined_at_ms : int or None
        Cluster time in ms at which the quarantine began; None outside it.
    probe_at_ms : int
        Cluster time in ms of the next probe.
    probes_passed : int
        Number of successful probes in a row.
    probe : AttemptId or None
        Attempt that is probing the quarantined worker.
    """

    failures: float = 0.0
    successes: float = 0.0
    quarantined_at_ms: int | None = None
    probe_at_ms: int = 0
    probes_passed: int = 0
    probe: AttemptId | None = None


@attrs.define
class ClusterState:
    """Replicated state; identical on every entry host.

    Attributes
    ----------
    now_ms : int
        Cluster time in ms: the leader's wall clock, made monotonic.
    history : list of ConfigurationChange
        Accepted configurations, oldest first.
    number_in_force : int
        Number of the newest configuration that every live process has.
    queues : dict
        Ids of the queued requests of each workspace, in order.
    allocations : dict
        Free and allocated capacity by worker.
    cached_replies : dict
        Cached replies by command id.
    report_sequences : dict
        Sequence number of the last report of each worker's current
        incarnation.
    due_queue : list of DueItem
        Binary heap of scheduled actions.
    retries : dict
        Number of queued requests in retry back-off, by workspace.
    needs_scheduling : bool
        Whether something changed that may allow a request to start.
    plan : dict
        The workers assigned to each guaranteed shape, by key
        `workspace/position`.
    plan_outdated : bool
        Whether the fleet or the configuration has changed since the last
        planning.
    holds : dict
        For each queued claim the capacity being freed for it, by request
        id.
    reservations : dict
        Planned starts of blocked requests by request id, oldest first.
    run_times : dict
        Not used; older versions kept observed to declared run times here.
    shapes : dict
        Recently requested shapes of more than one accelerator, newest
        last, with the cluster time in ms of the request.
    health : dict
        Recent failures and successes by worker.
    unresponsive : dict
        Workers whose agents did not confirm a reservation in time, with
        the cluster time in ms; they get no new work.
    consolidated_at_ms : int
        Cluster time in ms at which jobs were last moved to consolidate
        free capacity.
    moving_requests : dict
        Ids of requests whose attempts were stopped to be moved.
    short_jobs_checked_at_ms : int
        Cluster time in ms of the last search for waiting short jobs that
        long borrowers should be stopped for.
    jobs : JobTable
        Multi-step jobs and the catalog that they refer to.
    crash_histories : dict
        Crashes of backend servers by the open request that was there.
    evacuations : dict
        Failure domains in which no run starts, by name.
    policy : DefaultPolicy
        Scheduling policy.
    learned_times : RunTimes
        Real to declared run times of requests and jobs, by class.
    index : SchedulingIndex or None
        Derived indexes; not part of a snapshot.
    """

    version: int = STATE_VERSION
    now_ms: int = 0
    history: list[ConfigurationChange] = attrs.field(
        factory=lambda: [ConfigurationChange(0, "", 0, Configuration())]
    )
    number_in_force: int = 0
    requests: dict[str, Request] = attrs.Factory(dict)
    queues: dict[str, dict[str, None]] = attrs.Factory(dict)
    attempts: dict[AttemptId, Attempt] = attrs.Factory(dict)
    workers: dict[str, Worker] = attrs.Factory(dict)
    allocations: dict[str, WorkerAllocation] = attrs.Factory(dict)
    cached_replies: dict[str, CachedReply] = attrs.Factory(dict)
    report_sequences: dict[str, int] = attrs.Factory(dict)
    due_queue: list[DueItem] = attrs.Factory(list)
    due_sequence: int = 0
    retries: dict[str, int] = attrs.Factory(dict)
    needs_scheduling: bool = False
    plan: dict[str, PlannedShape] = attrs.Factory(dict)
    plan_outdated: bool = True
    holds: dict[str, Hold] = attrs.Factory(dict)
    reservations: dict[str, Reservation] = attrs.Factory(dict)
    run_times: dict[str, RunTimeRecord] = attrs.Factory(dict)
    shapes: dict[Shape, int] = attrs.Factory(dict)
    health: dict[str, WorkerHealth] = attrs.Factory(dict)
    unresponsive: dict[str, int] = attrs.Factory(dict)
    consolidated_at_ms: int = 0
    moving_requests: dict[str, None] = attrs.Factory(dict)
    short_jobs_checked_at_ms: int = 0
    policy: DefaultPolicy = attrs.Factory(DefaultPolicy)
    jobs: JobTable = attrs.Factory(JobTable)
    crash_histories: dict[str, CrashHistory] = attrs.Factory(dict)
    evacuations: dict[str, Evacuation] = attrs.Factory(dict)
    learned_times: RunTimes = attrs.Factory(RunTimes)
    index: SchedulingIndex | None = attrs.field(
        default=None, init=False, eq=False, repr=False
    )

    @property
    def configuration(self) -> Configuration:
        """The newest accepted configuration."""
        return self.history[-1].configuration

    @property
    def number(self) -> int:
        """Number of the newest accepted configuration."""
        return self.history[-1].number
