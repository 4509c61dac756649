"""Effects: the side effects that the interpreter runs for the reducer.

In a list of effects, a `Persist` precedes everything that relies on it. The
interpreter writes and syncs all records of a batch before it runs any other
effect of that batch.
"""

import enum

import attrs

from crocuswell_core.agent.agent_messages import AgentMessage, EntryMessage, Order
from crocuswell_core.agent.backend import BackendCall
from crocuswell_core.cluster.commands import CommandReply, EntryHost, LogEntry
from crocuswell_core.consensus.peer_messages import PeerMessage
from crocuswell_core.entry.replies import ReadReply
from crocuswell_core.links.link_messages import ClientMessage, HostMessage
from crocuswell_core.runner.worker_calls import WorkerCall
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.timers import Timer

# --- durable state -------------------------------------------------------


@attrs.frozen
class TermRecord:
    """Current term and vote."""

    term: int
    voted_for: str | None


@attrs.frozen
class EntriesRecord:
    """Entries to write; they replace all from the first one's index on."""

    entries: tuple[LogEntry, ...]


@attrs.frozen
class SnapshotRecord:
    """An encoded snapshot; it replaces the log up to `index`.

    The interpreter makes it from `SaveSnapshot`. Entries after `index` stay if
    the log holds the entry at `index` with the same term; otherwise the
    whole log is dropped.
    """

    index: int
    term: int
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]
    state: bytes


Record = TermRecord | EntriesRecord | SnapshotRecord


@attrs.frozen
class Persist:
    """Write a record to disk; it is durable once it is synced."""

    record: Record


@attrs.frozen
class SaveSnapshot:
    """Write a snapshot and drop the log up to `index`.

    It is written in order with the `Persist` effects of its batch and is on
    disk before any message of that batch is sent. Entries that follow a
    snapshot must not reach the disk before it.

    Attributes
    ----------
    state : object
        The `ClusterState`; encoded before the next event is reduced.
    """

    index: int
    term: int
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]
    state: object


# --- messages ------------------------------------------------------------


@attrs.frozen
class SendPeer:
    """Send a message to another entry host; it may be lost."""

    to: str
    message: PeerMessage


@attrs.frozen
class SendSnapshot:
    """Send the replicated state to another entry host as a snapshot.

    The interpreter encodes `state` before the next event is reduced.
    """

    to: str
    term: int
    index: int
    entry_term: int
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]
    state: object
    round: int


@attrs.frozen
class SetPeers:
    """Keep connections to exactly these entry hosts."""

    hosts: tuple[EntryHost, ...]


@attrs.frozen
class SendAgent:
    """Send a message on a stream of an agent or client; it may be lost."""

    stream_id: int
    message: EntryMessage | HostMessage


@attrs.frozen
class CloseAgentStream:
    """Close a stream that an agent or client opened, on the host or front."""

    stream_id: int


@attrs.frozen
class AnswerCall:
    """Answer a call of a caller, operator or worker."""

    call_id: int
    reply: CommandReply | ReadReply


@attrs.frozen
class OpenEntryStream:
    """Open a stream to an entry host, or to a front that relays it.

    Attributes
    ----------
    address : str
        `host:port` of the listener that accepts the stream.
    """

    stream_id: int
    address: str


@attrs.frozen
class CloseEntryStream:
    """Close a stream to an entry host."""

    stream_id: int


@attrs.frozen
class SendEntry:
    """Send a message on a stream to an entry host; it may be lost."""

    stream_id: int
    message: AgentMessage | ClientMessage


@attrs.frozen
class CallBackend:
    """Call the backend server; the reply arrives as `BackendReplied`."""

    call: BackendCall


@attrs.frozen
class CallWorker:
    """Call the worker of a runner; the reply arrives as `WorkerReplied`."""

    call: WorkerCall


# --- timers, observability, process --------------------------------------


@attrs.frozen
class StartTimer:
    """Start a timer; replaces a running one that is equal."""

    timer: Timer
    delay_ms: int


@attrs.frozen
class CancelTimer:
    """Cancel a running timer."""

    timer: Timer


@attrs.frozen
class Label:
    """A label of a metric or log line; metric labels have bounded values."""

    name: str
    value: str


@attrs.frozen
class Count:
    """Increase a counter."""

    counter: str
    amount: int = 1
    labels: tuple[Label, ...] = ()


@attrs.frozen
class Observe:
    """Record a value in a histogram."""

    histogram: str
    value: float
    labels: tuple[Label, ...] = ()


@attrs.frozen
class SetGauge:
    """Set a gauge to a value."""

    gauge: str
    value: float
    labels: tuple[Label, ...] = ()


class LogLevel(enum.Enum):
    """Level of a log event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen
class EmitLogEvent:
    """Log one line for an event."""

    event: str
    ids: tuple[Label, ...] = ()
    level: LogLevel = LogLevel.INFO


@attrs.frozen
class OrderWorker:
    """Send an order to a worker's agent.

    Applying a command returns it on every entry host. It becomes a
    `SendAgent` on the one that holds the agent's stream; the others ignore
    it.
    """

    worker: str
    order: Order


@attrs.frozen
class RequestEnded:
    """A request reached its outcome; calls waiting for it are answered."""

    request_id: str


@attrs.frozen
class WorkerAnnounced:
    """A worker's announcement was applied; its agent is sent a `Welcome`."""

    worker: str


@attrs.frozen
class ReportsRecorded:
    """Reports of a worker up to `sequence` were applied."""

    worker: str
    sequence: int


@attrs.frozen
class PlacementsChanged:
    """Jobs or workers changed in a way that is relevant to dispatching.

    Attributes
    ----------
    jobs : tuple of str
        Jobs that were accepted or have ended, or whose tasks changed.
    workers : tuple of str
        Keys of boots whose placed runs changed.
    everything : bool
        Whether any job may be affected.
    """

    jobs: tuple[str, ...] = ()
    workers: tuple[str, ...] = ()
    everything: bool = False


@attrs.frozen
class EvacuationChanged:
    """A failure domain is evacuated from now on, or not any more."""

    failure_domain: str


ClusterEffect = (
    PlacementsChanged
    | EvacuationChanged
    | OrderWorker
    | RequestEnded
    | WorkerAnnounced
    | ReportsRecorded
    | Count
    | Observe
    | EmitLogEvent
)


@attrs.frozen
class ApplyResult:
    """Result of applying a command.

    Only the leader emits its counters, observations and log lines, so that
    each change is counted once.
    """

    reply: CommandReply
    effects: tuple[ClusterEffect, ...] = ()


@attrs.frozen
class SetReady:
    """Set whether `/readyz` reports the process as ready."""

    ready: bool


@attrs.frozen
class Halt:
    """Stop the process.

    Attributes
    ----------
    kind : ErrorKind or None
        Fault that stops it; None for a planned stop.
    detail : str
        Description of the fault.
    """

    kind: ErrorKind | None = None
    detail: str = ""


Effect = (
    Persist
    | SaveSnapshot
    | SendPeer
    | SendSnapshot
    | SetPeers
    | SendAgent
    | CloseAgentStream
    | AnswerCall
    | OpenEntryStream
    | CloseEntryStream
    | SendEntry
    | CallBackend
    | CallWorker
    | StartTimer
    | CancelTimer
    | Count
    | Observe
    | SetGauge
    | EmitLogEvent
    | SetReady
    | Halt
)
