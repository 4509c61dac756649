"""State and settings of an entry host; only the reducer changes the state."""

import random

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import EntryHost, Proposal
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.consensus.consensus_state import ConsensusState
from crocuswell_core.dispatching.dispatch_state import DispatchState
from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_core.entry.calls import GetRequest, ReadCall
from crocuswell_core.links.uplink import Uplink


@attrs.frozen
class EntryConfig:
    """Fixed settings of an entry host.

    Attributes
    ----------
    hosts : tuple of EntryHost
        Initial membership; later ones come from the log.
    task_lease_ms : int
        Longest time in ms for which a worker's runs continue without contact
        with the leader.
    seeds : tuple of str
        `host:port` of the stream listeners by which a host that is not a
        member finds the group; empty for a fixed membership.
    founds_group : bool
        Whether this host is the first member of a new group.
    voter_target : int
        Number of voters to maintain; 0 for the length of `voters`.
    forget_host_ms : int
        Time in ms after which a silent host that is not a voter is removed
        from the group; 0 for never.
    features : DispatchFeatures
        Optional parts of dispatching.
    snapshot_entries, snapshot_bytes : int
        Number of applied entries, and size in bytes of their content, after
        which a snapshot is saved.
    append_entries : int
        Maximum number of entries in one `AppendEntries`; a host that lags
        behind gets the next ones when it acknowledges these.
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
    snapshot_bytes: int = 16_000_000
    replace_voter_ms: int = 30_000
    call_limit_ms: int = 30_000
    stop_limit_ms: int = 20_000
    task_lease_ms: int = 6_000
    seeds: tuple[str, ...] = ()
    founds_group: bool = False
    features: DispatchFeatures = attrs.Factory(DispatchFeatures)


@attrs.define
class AgentSession:
    """An agent's stream on this entry host.

    Attributes
    ----------
    last_heard_ms : int
        Time in ms of the last message from the agent.
    received_sequence : int
        Newest heartbeat sequence received.
    reported_sequence : int
        Newest heartbeat sequence covered by a `LivenessReport`; 0 to
        report the newest one again.
    confirmed_sequence : int
        Newest heartbeat sequence that the leader confirmed.
    configuration_number : int
        Newest configuration number that the agent confirmed.
    confirmed : bool
        Whether the leader confirmed any heartbeat of this stream, and the
        agent therefore holds its leases.
    welcome_index : int
        Log index up to which entries must be applied before the agent is told
        which members are wanted.
    """

    stream_id: int
    worker: str
    incarnation: str
    last_heard_ms: int
    received_sequence: int = 0
    reported_sequence: int = 0
    confirmed_sequence: int = 0
    configuration_number: int = 0
    confirmed: bool = False
    welcomed: bool = False
    welcome_index: int = 0
    heartbeat_sent_ms: int = 0
    info: WorkerInfo | None = None
    backend_incarnation: str = ""
    attempts: tuple[AttemptId, ...] = ()
    counters: dict[str, int] = attrs.Factory(dict)


@attrs.define
class ClientStream:
    """The stream of a front, a runner or a joining host to this leader.

    Attributes
    ----------
    sender : str
        Name of the client.
    silent_keepalives : int
        Keepalives sent to the client since it was last heard.
    """

    sender: str
    silent_keepalives: int = 0


@attrs.define
class PendingCall:
    """A call that is not answered yet.

    Attributes
    ----------
    proposal_key : str
        Key of the proposal that the call waits for; empty for a read.
    sent_ms : int
        Time in ms of the last request for the read index.
    read_index : int or None
        Index to apply before the read is answered; None until known.
    """

    call_id: int
    received_ms: int
    proposal_key: str = ""
    read: ReadCall | None = None
    sent_ms: int = 0
    read_index: int | None = None


@attrs.define
class PendingProposal:
    """A proposal of this host that is not yet applied on it.

    Attributes
    ----------
    term : int
        Term in which this host appended the proposal as leader; 0 if it
        was forwarded.
    """

    proposal: Proposal
    sent_ms: int
    first_sent_ms: int
    term: int = 0


@attrs.define
class WorkerContact:
    """Last contact with a worker's agent, as tracked by the leader.

    Attributes
    ----------
    configuration_number : int
        Newest configuration number that the agent confirmed.
    lost : bool
        Whether its stream ended and no heartbeat was received since.
    """

    incarnation: str
    last_heard_ms: int
    configuration_number: int = 0
    lost: bool = False


@attrs.define
class HostContact:
    """Last contact with another entry host, as tracked by the leader.

    Attributes
    ----------
    configuration_number : int
        Newest configuration number that the host has applied.
    """

    last_heard_ms: int
    configuration_number: int


@attrs.define
class EntryState:
    """State of an entry host.

    Attributes
    ----------
    worker_contacts : dict
        On the leader: last contact with each worker, by name.
    host_contacts : dict
        On the leader: last contact with each other entry host, by id.
    liveness_expedited : bool
        Whether the next `LivenessReport` is already scheduled without delay
        for an agent that waits for its leases.
    closed_sessions : list of AgentSession
        Sessions whose stream ended since the last `LivenessReport`.
    unconfirmed_liveness : dict
        For each unconfirmed `LivenessReport`, the heartbeat sequences that it
        covered, by stream.
    proposals : dict
        Proposals of this host that are not yet applied on it, by key.
    calls_by_proposal : dict
        For each proposal key, the ids of the calls that wait for its reply.
    waiting_reads : dict
        Reads that wait for the outcome of a request, by call id.
    waiting_calls_by_request : dict
        For each request id, the ids of the calls that wait for its outcome.
    clients : dict
        Attached fronts, runners and joining hosts, by stream.
    relays : dict
        Addresses of the clients that relay streams, by the client's stream.
    forwarded_calls : dict
        For each forwarded call, its stream and its id on that stream.
    last_forwarded_call_id : int
        Id of the newest forwarded call; negative, to differ from ids of
        calls on this host's own listener.
    last_keepalive_ms : int
        Time in ms of the last keepalive to clients.
    last_gauges_ms : int
        Time in ms of the last update of the gauges.
    uplink : Uplink or None
        Stream to the leader while this host is not a member.
    seeds : tuple of str
        Seeds from reloaded settings; empty to use those of `cfg`.
    dispatch : DispatchState
        On the leader: reachable workers and decisions in progress.
    declared_silent : dict
        On the leader: incarnation of each worker for which `DeclareSilent`
        was proposed; reports of its liveness are refused.
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
    worker_contacts: dict[str, WorkerContact] = attrs.Factory(dict)
    host_contacts: dict[str, HostContact] = attrs.Factory(dict)
    declared_silent: dict[str, str] = attrs.Factory(dict)
    calls_by_proposal: dict[str, list[int]] = attrs.Factory(dict)
    waiting_reads: dict[int, GetRequest] = attrs.Factory(dict)
    waiting_calls_by_request: dict[str, list[int]] = attrs.Factory(dict)
    closed_sessions: list[AgentSession] = attrs.Factory(list)
    liveness_expedited: bool = False
    liveness_sequence: int = 0
    unconfirmed_liveness: dict[int, dict[int, int]] = attrs.Factory(dict)
    cluster_timer_at_ms: int | None = None
    ready: bool = False
    clients: dict[int, ClientStream] = attrs.Factory(dict)
    relays: dict[int, str] = attrs.Factory(dict)
    forwarded_calls: dict[int, tuple[int, int]] = attrs.Factory(dict)
    last_forwarded_call_id: int = 0
    last_keepalive_ms: int = 0
    last_gauges_ms: int = 0
    uplink: Uplink | None = None
    seeds: tuple[str, ...] = ()
    dispatch: DispatchState = attrs.Factory(DispatchState)
    stopping: bool = False
    stopping_since_ms: int = 0
