"""State of an entry host; written only by the reducer."""

import random

import attrs

from crocuswell_core.agreement.consensus_state import ConsensusState
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import EntryHost, Proposal
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.dispatching.dispatch_state import DispatchState
from crocuswell_core.entry.calls import GetRequest, ReadCall
from crocuswell_core.links.uplink import Uplink


@attrs.frozen
class EntryConfig:
    """Fixed settings of an entry host.

    Attributes
    ----------
    hosts : tuple of EntryHost
        First membership; later ones come from the log.
    initial_configuration : Configuration
        Applied as number 0 before any change.
    task_lease_ms : int
        Longest time in ms for which a worker's runs go on by themselves.
    seeds : tuple of str
        `host:port` of stream listeners through which a host that is not
        a member finds the group; empty for a fixed membership.
    founds_group : bool
        Whether this host is the first member of a new group.
    voter_target : int
        Number of voters to keep; 0 keeps as many as `voters` names.
    forget_host_ms : int
        Time in ms after which a silent host that is no voter leaves the
        group; 0 for never.
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
    voter_target: int = 0
    forget_host_ms: int = 0
    snapshot_entries: int = 2_000
    replace_voter_ms: int = 30_000
    call_limit_ms: int = 30_000
    stop_limit_ms: int = 20_000
    task_lease_ms: int = 6_000
    seeds: tuple[str, ...] = ()
    founds_group: bool = False


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
    clients : dict
        Names of the attached fronts, runners and joining hosts by stream.
    relays : dict
        Addresses of the clients that relay streams, by their own stream.
    relayed_calls : dict
        For each forwarded call its stream and its id there.
    relayed_count : int
        Id of the newest forwarded call; negative, unlike the listener's.
    kept_alive_ms : int
        Time in ms of the newest keepalive to clients.
    gauges_ms : int
        Time in ms at which the gauges were set last.
    uplink : Uplink or None
        Stream to the leader while this host is not a member.
    seeds : tuple of str
        Seeds of changed settings; empty for those of `cfg`.
    dispatch : DispatchState
        On the leader: workers in reach and decisions under way.
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
    clients: dict[int, str] = attrs.Factory(dict)
    relays: dict[int, str] = attrs.Factory(dict)
    relayed_calls: dict[int, tuple[int, int]] = attrs.Factory(dict)
    relayed_count: int = 0
    kept_alive_ms: int = 0
    gauges_ms: int = 0
    uplink: Uplink | None = None
    seeds: tuple[str, ...] = ()
    dispatch: DispatchState = attrs.Factory(DispatchState)
    stopping: bool = False
    stopping_since_ms: int = 0
