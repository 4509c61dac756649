"""State of an agent; written only by the reducer."""

import enum
import random

import attrs

from crocuswell_core.agent.agent_messages import StartTask
from crocuswell_core.agent.backend import BackendTask
from crocuswell_core.cluster.commands import Report
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.cluster.resources import Resources


@attrs.frozen
class AgentConfig:
    """Fixed settings of an agent.

    Attributes
    ----------
    entries : tuple of str
        `host:port` of the agent listeners of the entry hosts.
    """

    entries: tuple[str, ...]
    incarnation: str
    seed: int = 0
    heartbeat_ms: int = 1_000
    silence_ms: int = 2_500
    poll_ms: int = 250
    admission_lease_ms: int = 5_000
    backoff_min_ms: int = 100
    backoff_max_ms: int = 3_000
    stop_limit_ms: int = 20_000


class TaskPhase(enum.Enum):
    """Phase of a task on the agent."""

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
        Whether the backend server is known to have started it, or must be
        assumed to have.
    on_backend : bool
        Whether the backend server lists it or may list it.
    in_doubt : bool
        Whether the start may have been carried out without an answer.
    inherited : bool
        Whether it was ordered before this incarnation, so that an earlier
        one may have sent its start.
    backend_incarnation : str
        Incarnation of the backend server when the start was sent.
    checked_after : int
        Only a `Describe` with a higher sequence proves that the backend
        server does not know the task.
    checkpoint_ms : int or None
        Time in ms that the newest stop allows for a checkpoint.
    """

    attempt: AttemptId
    rank: int
    phase: TaskPhase
    resources: Resources
    order: StartTask | None = None
    last_listed: BackendTask | None = None
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
        Time of sending in ms of each unconfirmed heartbeat, by sequence.
    lease_from_ms : int
        Time in ms from which the admission and run leases are counted.
    last_start_ms : int
        Time in ms at which a start was last sent.
    epochs : dict
        Highest epoch seen for each request, to ignore outdated orders.
    reports : list of Report
        Unacknowledged reports; the first has sequence `first_report`.
    ended : dict
        For each attempt and ended rank, whether it provably never ran;
        orders for these are not carried out again.
    reports_sent : int
        Sequence of the last report sent on the current stream.
    opening, opened_ms : bool, int
        Whether a stream is being opened, and the time in ms of the start.
    ever_welcomed : bool
        Whether this incarnation has received any `Welcome`, and so the full
        set of wanted members.
    describe_sequence : int
        Sequence of the newest `Describe`.
    described_ms : int
        Time of sending in ms of the newest answered `Describe`.
    timer_at_ms : int or None
        Time in ms for which `AgentTimer` is set.
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
    last_received_ms: int = 0
    connect_at_ms: int = 0
    connect_failures: int = 0
    entry_index: int = 0
    sequence: int = 0
    sent_heartbeats: dict[int, int] = attrs.Factory(dict)
    heartbeat_sent_ms: int = -1_000_000
    lease_from_ms: int = -1_000_000
    run_lease_ms: int = 15_000
    configuration_number: int = 0
    tasks: dict[AttemptId, dict[int, AgentTask]] = attrs.Factory(dict)
    epochs: dict[str, int] = attrs.Factory(dict)
    reports: list[Report] = attrs.Factory(list)
    first_report: int = 1
    counters: dict[str, int] = attrs.Factory(dict)
    last_start_ms: int = -1_000_000
    stopping: bool = False
    ended: dict[AttemptId, dict[int, bool]] = attrs.Factory(dict)
    reports_sent: int = 0
    counters_sent: dict[str, int] = attrs.Factory(dict)
    opening: bool = False
    opened_ms: int = 0
    ever_welcomed: bool = False
    booted_ms: int = 0
    describe_sequence: int = 0
    describe_sent_ms: int = 0
    describe_in_flight: bool = False
    describe_queued: bool = False
    described_ms: int = -1_000_000
    timer_at_ms: int | None = None
    stopping_since_ms: int = 0
