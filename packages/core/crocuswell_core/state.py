"""State of an entry host and of an agent; written only by the reducer."""

import enum
import random

import attrs

from crocuswell_core.backend import BackendTask
from crocuswell_core.commands import CommandReply, EntryHost, LogEntry, Proposal, Report
from crocuswell_core.configuration import Configuration, ConfigurationChange
from crocuswell_core.messages import GetRequest, ReadCall, StartTask
from crocuswell_core.policies import StandingPolicy
from crocuswell_core.records import Attempt, AttemptId, Request, Worker, WorkerInfo
from crocuswell_core.resources import Resources, Shape
from crocuswell_core.spaces import SchedulingIndex

STATE_VERSION = 1

# --- replicated ----------------------------------------------------------


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
class RetryDue:
    """A request's back-off ends."""

    request_id: str


@attrs.frozen
class DeadlineDue:
    """A request's latest start passes."""

    request_id: str


@attrs.frozen
class ResultDue:
    """The retention of a request's result ends."""

    request_id: str


@attrs.frozen
class RecordDue:
    """The retention of a request's record ends."""

    request_id: str


@attrs.frozen
class AnswerDue:
    """The retention of a command's first answer ends."""

    command_id: str


@attrs.frozen
class ReservationDue:
    """The time in which a gang's agents must confirm ends."""

    attempt: AttemptId


@attrs.frozen
class ProbeDue:
    """A quarantined worker may be probed."""

    worker: str


Due = (
    RetryDue
    | DeadlineDue
    | ResultDue
    | RecordDue
    | AnswerDue
    | ReservationDue
    | ProbeDue
)


@attrs.frozen(order=True)
class DueItem:
    """Something to do at a cluster time; ordered by time, then sequence."""

    at_ms: int
    sequence: int
    due: Due = attrs.field(order=False)


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


# --- agreement -----------------------------------------------------------


class Role(enum.Enum):
    """Role in the agreement protocol."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class Membership:
    """The control group as of the log entry at `index`."""

    index: int
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]


@attrs.define
class PeerProgress:
    """What the leader knows of one other host.

    Attributes
    ----------
    heard_ms : int
        Time of receipt of its newest reply in this term, at first the
        start of this leader.
    acknowledged_ms : int or None
        Time of sending of the newest heartbeat round it acknowledged.
    snapshot_sent_ms : int or None
        Time at which a snapshot that is not yet acknowledged was sent.
    """

    next_index: int
    match_index: int = 0
    heard_ms: int = 0
    acknowledged_round: int = 0
    acknowledged_ms: int | None = None
    snapshot_sent_ms: int | None = None


@attrs.define
class ConsensusState:
    """State of the agreement protocol on one entry host.

    Attributes
    ----------
    hosts, voters : tuple
        The newest membership in the log, committed or not.
    memberships : list of Membership
        Memberships by ascending index, from the newest committed one on;
        the earlier ones come back if the log is truncated.
    entries : list of LogEntry
        Entries after `snapshot_index`.
    snapshot_index : int
        Index before the first entry in memory. Entries that a saved
        snapshot covers may stay in memory for hosts that lag behind.
    saved_index : int
        Index of the newest saved snapshot.
    synced_index : int
        Highest index known to be on this host's disk.
    term_start_index : int
        On the leader: index of its own first entry.
    heard_leader_ms : int
        Time at which a current leader was last heard.
    election_due_ms : int
        Earliest time of the next election by this host.
    rounds : dict
        For each unacknowledged heartbeat round its time of sending in ms.
    lease_until_ms : int
        End of the leader's lease.
    transferring_to : str or None
        Voter that gets leadership once it has the whole log, until
        `transfer_until_ms`.
    """

    term: int = 0
    voted_for: str | None = None
    role: Role = Role.FOLLOWER
    leader: str | None = None
    hosts: tuple[EntryHost, ...] = ()
    voters: tuple[str, ...] = ()
    memberships: list[Membership] = attrs.Factory(list)
    entries: list[LogEntry] = attrs.Factory(list)
    snapshot_index: int = 0
    snapshot_term: int = 0
    saved_index: int = 0
    synced_index: int = 0
    commit_index: int = 0
    applied_index: int = 0
    term_start_index: int = 0
    heard_leader_ms: int = -1_000_000
    election_due_ms: int = 0
    votes: dict[str, bool] = attrs.Factory(dict)
    progress: dict[str, PeerProgress] = attrs.Factory(dict)
    round: int = 0
    rounds: dict[int, int] = attrs.Factory(dict)
    lease_until_ms: int = 0
    leader_since_ms: int = 0
    transferring_to: str | None = None
    transfer_until_ms: int = 0


# --- entry host ----------------------------------------------------------


@attrs.frozen
class EntryConfig:
    """Fixed settings of an entry host.

    Attributes
    ----------
    hosts : tuple of EntryHost
        First membership; later ones come from the log.
    initial_configuration : Configuration
        Applied as number 0 before any change.
    append_entries : int
        Most entries in one `Append`; a host that lags behind is sent the
        next ones when it acknowledges these.
    """

    host: EntryHost
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]
    seed: int = 0
    heartbeat_ms: int = 150
    leader_lease_ms: int = 500
    election_min_ms: int = 600
    election_max_ms: int = 1_200
    liveness_ms: int = 500
    retry_ms: int = 400
    agent_heartbeat_ms: int = 1_000
    agent_silence_ms: int = 2_500
    lease_margin_ms: int = 500
    admission_lease_ms: int = 5_000
    append_entries: int = 128
    snapshot_entries: int = 2_000
    replace_voter_ms: int = 30_000
    call_limit_ms: int = 30_000
    stop_limit_ms: int = 20_000


@attrs.define
class AgentSession:
    """An agent's stream on this entry host.

    Attributes
    ----------
    heard_ms : int
        Time of the last message.
    heard_sequence : int
        Newest heartbeat sequence received.
    reported_sequence : int
        Heartbeat sequence contained in the `Liveness` numbered
        `liveness_sequence`.
    confirmed_sequence : int
        Heartbeat sequence whose liveness the leader confirmed.
    confirmed : bool
        Whether the leader confirmed any heartbeat of this stream, so
        that the agent holds its leases.
    """

    stream_id: int
    worker: str
    incarnation: str
    heard_ms: int
    heard_sequence: int = 0
    reported_sequence: int = 0
    confirmed_sequence: int = 0
    number: int = 0
    confirmed: bool = False
    welcomed: bool = False
    heartbeat_sent_ms: int = 0
    info: WorkerInfo | None = None
    backend_incarnation: str = ""
    attempts: tuple[AttemptId, ...] = ()
    counters: dict[str, int] = attrs.Factory(dict)


@attrs.define
class PendingCall:
    """A call that waits for its answer.

    Attributes
    ----------
    proposal_key : str
        Key of the proposal that it waits for; empty for a read.
    sent_ms : int
        Time at which the read index was last asked for.
    read_index : int or None
        Index to apply before a read is answered; None until known.
    """

    call_id: int
    received_ms: int
    proposal_key: str = ""
    read: ReadCall | None = None
    sent_ms: int = 0
    read_index: int | None = None


@attrs.define
class PendingProposal:
    """A proposal from this host that is not yet applied here.

    Attributes
    ----------
    term : int
        Term in which this host appended it as leader; 0 if it was
        forwarded.
    """

    proposal: Proposal
    sent_ms: int
    first_sent_ms: int
    term: int = 0


@attrs.define
class HeardWorker:
    """The leader's knowledge of an agent's liveness.

    Attributes
    ----------
    number : int
        Configuration number that the agent confirmed.
    lost : bool
        Whether its stream ended and it was not heard since.
    """

    incarnation: str
    heard_ms: int
    number: int = 0
    lost: bool = False


@attrs.define
class HeardHost:
    """The leader's knowledge of another entry host."""

    heard_ms: int
    number: int


@attrs.define
class EntryState:
    """State of an entry host.

    Attributes
    ----------
    heard_workers : dict
        On the leader: when each worker was last heard.
    heard_hosts : dict
        On the leader: when each entry host was last heard and the
        configuration number it has applied.
    liveness_hurried : bool
        Whether the next `Liveness` is due at once, since an agent waits.
    lost_sessions : list of AgentSession
        Sessions whose stream ended since the last `Liveness`.
    liveness_sent : dict
        For each unconfirmed `Liveness` the heartbeat sequences that it
        covered, by stream.
    proposals : dict
        This host's proposals that are not yet applied here, by key.
    command_calls : dict
        For each proposal key the calls that wait for its reply.
    outcome_waits : dict
        Reads that wait for an outcome, by call id.
    outcome_calls : dict
        For each request id the calls that wait for its outcome.
    declared : dict
        On the leader: workers whose `DeclareSilent` was proposed, with
        the incarnation; their liveness is refused.
    """

    cfg: EntryConfig
    rng: random.Random
    now_ms: int = 0
    wall_ms: int = 0
    consensus: ConsensusState = attrs.Factory(ConsensusState)
    cluster: ClusterState = attrs.Factory(ClusterState)
    sessions: dict[str, AgentSession] = attrs.Factory(dict)
    streams: dict[int, str] = attrs.Factory(dict)
    calls: dict[int, PendingCall] = attrs.Factory(dict)
    proposals: dict[str, PendingProposal] = attrs.Factory(dict)
    heard_workers: dict[str, HeardWorker] = attrs.Factory(dict)
    heard_hosts: dict[str, HeardHost] = attrs.Factory(dict)
    declared: dict[str, str] = attrs.Factory(dict)
    command_calls: dict[str, list[int]] = attrs.Factory(dict)
    outcome_waits: dict[int, GetRequest] = attrs.Factory(dict)
    outcome_calls: dict[str, list[int]] = attrs.Factory(dict)
    lost_sessions: list[AgentSession] = attrs.Factory(list)
    liveness_hurried: bool = False
    liveness_sequence: int = 0
    liveness_sent: dict[int, dict[int, int]] = attrs.Factory(dict)
    cluster_timer_at_ms: int | None = None
    ready: bool = False
    stopping: bool = False
    stopping_since_ms: int = 0


# --- agent ---------------------------------------------------------------


@attrs.frozen
class AgentConfig:
    """Fixed settings of an agent.

    Attributes
    ----------
    entries : tuple of str
        `host:port` of the entry hosts' agent listeners.
    """

    entries: tuple[str, ...]
    incarnation: str
    seed: int = 0
    heartbeat_ms: int = 1_000
    silence_ms: int = 2_500
    tick_ms: int = 250
    poll_ms: int = 250
    admission_lease_ms: int = 5_000
    backoff_min_ms: int = 100
    backoff_max_ms: int = 3_000
    stop_limit_ms: int = 20_000


class TaskPhase(enum.Enum):
    """Where a task stands on the agent."""

    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    FETCHING = "fetching"
    ENDED = "ended"


@attrs.define
class AgentTask:
    """A task as the agent knows it.

    Attributes
    ----------
    ran : bool
        The backend server is known to have started it.
    on_backend : bool
        The backend server lists it, or may.
    in_doubt : bool
        Nobody answered the start, so it may have been carried out.
    inherited : bool
        Ordered before this incarnation, so an earlier one may have sent
        its start.
    backend_incarnation : str
        Incarnation of the backend server when the start was sent.
    checked_after : int
        Only a `Describe` with a higher sequence shows that the backend
        server does not know the task.
    checkpoint_ms : int or None
        Time in ms for the checkpoint of the newest stop.
    """

    attempt: AttemptId
    rank: int
    phase: TaskPhase
    resources: Resources
    order: StartTask | None = None
    last: BackendTask | None = None
    accelerators: tuple[int, ...] = ()
    ran: bool = False
    on_backend: bool = False
    in_doubt: bool = False
    inherited: bool = False
    backend_incarnation: str = ""
    checked_after: int = 0
    start_in_flight: bool = False
    stop_in_flight: bool = False
    fetch_in_flight: bool = False
    stop_sent_ms: int = 0
    checkpoint_ms: int | None = None
    usage_sent: Resources | None = None
    usage_sent_ms: int = 0


@attrs.define
class AgentState:
    """State of an agent.

    Attributes
    ----------
    sent_heartbeats : dict
        For each unconfirmed heartbeat sequence its time of sending.
    lease_from_ms : int
        Time from which the leases run; they end at this time plus their
        length.
    newest_start_ms : int
        Time at which the newest start was sent.
    epochs : dict
        For each request the highest epoch seen, to refuse older orders.
    reports : list of Report
        Reports not yet acknowledged; the first has number
        `first_report`.
    ended : dict
        For each attempt the ranks that ended here, and whether the rank
        provably never ran; orders for these are not carried out again.
    reports_sent : int
        Number of the last report sent on the present stream.
    opening, opened_ms : bool, int
        Whether a stream is being opened, and when that began.
    was_welcomed : bool
        This incarnation has received the full set of wanted members.
    describe_sequence : int
        Sequence of the newest `Describe`.
    described_ms : int
        Time of sending of the newest `Describe` that was answered.
    timer_at_ms : int or None
        Time for which `AgentTimer` is set.
    """

    cfg: AgentConfig
    rng: random.Random
    now_ms: int = 0
    wall_ms: int = 0
    info: WorkerInfo | None = None
    backend_incarnation: str = ""
    stream_id: int = 0
    connected: bool = False
    welcomed: bool = False
    heard_ms: int = 0
    connect_at_ms: int = 0
    failures: int = 0
    entry_index: int = 0
    sequence: int = 0
    sent_heartbeats: dict[int, int] = attrs.Factory(dict)
    heartbeat_sent_ms: int = -1_000_000
    lease_from_ms: int = -1_000_000
    run_lease_ms: int = 15_000
    number: int = 0
    tasks: dict[AttemptId, dict[int, AgentTask]] = attrs.Factory(dict)
    epochs: dict[str, int] = attrs.Factory(dict)
    reports: list[Report] = attrs.Factory(list)
    first_report: int = 1
    counters: dict[str, int] = attrs.Factory(dict)
    newest_start_ms: int = -1_000_000
    stopping: bool = False
    ended: dict[AttemptId, dict[int, bool]] = attrs.Factory(dict)
    reports_sent: int = 0
    counters_sent: dict[str, int] = attrs.Factory(dict)
    opening: bool = False
    opened_ms: int = 0
    was_welcomed: bool = False
    booted_ms: int = 0
    describe_sequence: int = 0
    describe_sent_ms: int = 0
    describe_in_flight: bool = False
    describe_again: bool = False
    described_ms: int = -1_000_000
    timer_at_ms: int | None = None
    stopping_since_ms: int = 0
