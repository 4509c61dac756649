"""State that the replicated log makes; equal on every entry host."""

import attrs

from crocuswell_core.cluster.commands import CommandReply
from crocuswell_core.cluster.configuration import Configuration, ConfigurationChange
from crocuswell_core.cluster.due import DueItem
from crocuswell_core.cluster.records import Attempt, AttemptId, Request, Worker
from crocuswell_core.cluster.resources import Resources, Shape
from crocuswell_core.cluster.spaces import SchedulingIndex
from crocuswell_core.jobs.job_table import JobTable
from crocuswell_core.policy.policies import StandingPolicy

STATE_VERSION = 1


@attrs.frozen
class AnsweredCommand:
    """First answer to a command, for commands that are sent again."""

    digest: str
    reply: CommandReply
    at_ms: int


@attrs.define
class WorkerRoom:
    """What is free on one worker.

    Attributes
    ----------
    accelerators : list of int
        Indices of free accelerators, ascending.
    attempts : dict
        Attempts with a member here, in order of placement; the value is
        the number of members.
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
        Worker of each member; empty if the fleet has no room for it.
    """

    workspace: str
    shape: Shape
    workers: tuple[str, ...] = ()


@attrs.frozen
class Hold:
    """Room kept for a claim while borrowers leave it.

    Attributes
    ----------
    guarantee : str
        Key of the planned shape.
    amount : Resources
        Resources of each member.
    """

    guarantee: str
    amount: Resources
    workers: tuple[str, ...]
    since_ms: int


@attrs.frozen
class Reservation:
    """A later start that backfilled work must not delay.

    Attributes
    ----------
    start_ms : int
        Cluster time in ms at which the room is expected to be free.
    """

    amount: Resources
    workers: tuple[str, ...]
    start_ms: int


@attrs.frozen
class RunTimeRecord:
    """Observed over declared run time of one class of work.

    Attributes
    ----------
    ratio : float
        Moving average of the ratio.
    count : int
        Number of observations.
    """

    ratio: float
    count: int


@attrs.frozen
class WorkerHealth:
    """Recent ends of work on one worker.

    Attributes
    ----------
    failures, successes : float
        Decayed counts; a job counts once per worker.
    probe : AttemptId or None
        Attempt that probes it while it is in quarantine.
    """

    failures: float = 0.0
    successes: float = 0.0
    quarantined_at_ms: int | None = None
    probe_at_ms: int = 0
    probes_passed: int = 0
    probe: AttemptId | None = None


@attrs.define
class ClusterState:
    """Result of applying the log; equal on every entry host.

    Attributes
    ----------
    now_ms : int
        Cluster time: the leader's wall clock in ms, never going back.
    queues : dict
        For each workspace the ids of queued requests, in order.
    rooms : dict
        For each worker what is free on it.
    report_sequences : dict
        For each worker the last report of its current incarnation.
    agenda : list of DueItem
        Binary heap of what falls due.
    retries : dict
        For each workspace the number of queued requests that wait for a
        retry after a failure.
    needs_scheduling : bool
        Whether something changed that may let a request start.
    plan : dict
        The standing plan: for each guaranteed shape, by
        `workspace/position`, where it can be claimed.
    plan_outdated : bool
        Whether the fleet or the configuration changed since planning.
    holds : dict
        For each queued claim the room that is being vacated for it.
    reservations : dict
        For each blocked request its reserved start, oldest first.
    run_times : dict
        Observed run times by `workspace/class`.
    shapes : dict
        Shapes of more than one accelerator that were asked for lately,
        the newest last, with the cluster time in ms.
    health : dict
        Ends of work by worker.
    unresponsive : dict
        Workers whose agents did not confirm in time, with the time.
    moved_at_ms : int
        Cluster time in ms of the last move of small jobs.
    moved : dict
        Requests whose attempts were stopped for a move.
    made_way_at_ms : int
        Cluster time in ms of the last look for short work that waits.
    jobs : JobTable
        Jobs of steps, and the catalog that they are submitted under.
    policy : StandingPolicy
        How starts are chosen.
    index : SchedulingIndex or None
        Derived sums; not part of a snapshot.
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
    rooms: dict[str, WorkerRoom] = attrs.Factory(dict)
    answered: dict[str, AnsweredCommand] = attrs.Factory(dict)
    report_sequences: dict[str, int] = attrs.Factory(dict)
    agenda: list[DueItem] = attrs.Factory(list)
    agenda_sequence: int = 0
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
    moved_at_ms: int = 0
    moved: dict[str, None] = attrs.Factory(dict)
    made_way_at_ms: int = 0
    policy: StandingPolicy = attrs.Factory(StandingPolicy)
    jobs: JobTable = attrs.Factory(JobTable)
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
