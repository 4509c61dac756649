"""The closed set of effects: what the interpreter does for the reducer.

In a list of effects, a `Persist` stands before everything that relies on
it. The interpreter writes and syncs all records of a batch before it
carries out any other effect of that batch.
"""

import enum

import attrs

from crocuswell_core.agent.agent_messages import AgentMessage, EntryMessage, Order
from crocuswell_core.agent.backend import BackendCall
from crocuswell_core.agreement.peer_messages import PeerMessage
from crocuswell_core.cluster.commands import CommandReply, EntryHost, LogEntry
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
    """Entries to write; they replace any from the first index on."""

    entries: tuple[LogEntry, ...]


@attrs.frozen
class SnapshotRecord:
    """An encoded snapshot; it replaces the log up to `index`.

    The runtime makes it from `SaveSnapshot`. Entries after `index` stay if
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
    """Write a record; it counts once it is synced."""

    record: Record


@attrs.frozen
class SaveSnapshot:
    """Write a snapshot and drop the log up to `index`.

    It takes its place in order among the `Persist` effects of its batch
    and is on disk before any message of that batch is sent: entries that
    follow a snapshot must not reach the disk before it.

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
    """Send to another entry host; may be lost."""

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
    """Keep links to these entry hosts and to no others."""

    hosts: tuple[EntryHost, ...]


@attrs.frozen
class SendAgent:
    """Send on an agent's stream; may be lost."""

    stream_id: int
    message: EntryMessage | HostMessage


@attrs.frozen
class CloseAgentStream:
    """Close an agent's stream."""

    stream_id: int


@attrs.frozen
class AnswerCall:
    """Answer a caller or operator."""

    call_id: int
    reply: CommandReply | ReadReply


@attrs.frozen
class OpenEntryStream:
    """Open the agent's stream to an entry host.

    Attributes
    ----------
    address : str
        `host:port` of the entry host's agent listener.
    """

    stream_id: int
    address: str


@attrs.frozen
class CloseEntryStream:
    """Close the agent's stream."""

    stream_id: int


@attrs.frozen
class SendEntry:
    """Send on the agent's stream; may be lost."""

    stream_id: int
    message: AgentMessage | ClientMessage


@attrs.frozen
class CallBackend:
    """Make a call to the backend server; ends in `BackendReplied`."""

    call: BackendCall


@attrs.frozen
class CallWorker:
    """Make a call to the worker beside a runner; ends in `WorkerReplied`."""

    call: WorkerCall


# --- timers, sight, process ----------------------------------------------


@attrs.frozen
class StartTimer:
    """Subscribe to a timer; replaces an earlier subscription to it."""

    timer: Timer
    delay_ms: int


@attrs.frozen
class CancelTimer:
    """End a subscription."""

    timer: Timer


@attrs.frozen
class Label:
    """A label of a counter; values come from bounded sets."""

    name: str
    value: str


@attrs.frozen
class Count:
    """Add to a counter."""

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
    """Set a gauge to a value that replaces the one before."""

    gauge: str
    value: float
    labels: tuple[Label, ...] = ()


class ChangeLevel(enum.Enum):
    """Weight of a change of state in the log."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen
class LogChange:
    """Write one line for a change of state."""

    change: str
    ids: tuple[Label, ...] = ()
    level: ChangeLevel = ChangeLevel.INFO


@attrs.frozen
class OrderWorker:
    """Pass an order to a worker's agent.

    A result of applying a command. It becomes a `SendAgent` on the entry
    host that holds the agent's stream and nothing on the others.
    """

    worker: str
    order: Order


@attrs.frozen
class RequestEnded:
    """A request reached its outcome; calls that wait for it are answered."""

    request_id: str


@attrs.frozen
class WorkerAnnounced:
    """A worker's announcement was applied; its agent gets a `Welcome`."""

    worker: str


@attrs.frozen
class ReportsRecorded:
    """Reports of a worker up to `sequence` were applied."""

    worker: str
    sequence: int


ClusterEffect = (
    OrderWorker
    | RequestEnded
    | WorkerAnnounced
    | ReportsRecorded
    | Count
    | Observe
    | LogChange
)


@attrs.frozen
class Applied:
    """Result of applying a command.

    Counters, observations and log lines are passed on by the leader only,
    so that each change is counted once.
    """

    reply: CommandReply
    effects: tuple[ClusterEffect, ...] = ()


@attrs.frozen
class SetReady:
    """Turn `/readyz` on or off."""

    ready: bool


@attrs.frozen
class Halt:
    """Stop the process; `kind` is None for a planned stop."""

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
    | LogChange
    | SetReady
    | Halt
)
