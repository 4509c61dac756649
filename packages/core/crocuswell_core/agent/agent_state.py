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
        `host:port` of the entry hosts' agent listeners.
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
