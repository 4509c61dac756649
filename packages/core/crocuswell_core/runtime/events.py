"""Events: the inputs of the reducer."""

import attrs

from crocuswell_core.agent.agent_messages import AgentMessage, EntryMessage
from crocuswell_core.agent.backend import BackendCall, BackendReply
from crocuswell_core.cluster.commands import EntryHost, LogEntry
from crocuswell_core.consensus.peer_messages import PeerMessage
from crocuswell_core.entry.calls import Call
from crocuswell_core.links.link_messages import ClientMessage, HostMessage
from crocuswell_core.runner.worker_calls import WorkerCall, WorkerReply
from crocuswell_core.runtime.timers import Timer


@attrs.frozen
class ClockAdvanced:
    """The clocks advanced.

    Attributes
    ----------
    now_ms : int
        Monotonic time in ms, for leases and timeouts.
    wall_ms : int
        Wall clock time since the Unix epoch in ms, for stored timestamps.
    """

    now_ms: int
    wall_ms: int


@attrs.frozen
class TimerFired:
    """A timer expired."""

    timer: Timer


@attrs.frozen
class EntryBooted:
    """An entry host started and loaded its data folder.

    Attributes
    ----------
    snapshot_state : object or None
        Decoded `ClusterState` of the newest snapshot.
    entries : tuple of LogEntry
        Entries after the snapshot.
    """

    term: int = 0
    voted_for: str | None = None
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_state: object | None = None
    hosts: tuple[EntryHost, ...] = ()
    voters: tuple[str, ...] = ()
    entries: tuple[LogEntry, ...] = ()


@attrs.frozen
class PeerMessageReceived:
    """A message from another entry host arrived."""

    sender: str
    message: PeerMessage


@attrs.frozen
class SnapshotReceived:
    """An `InstallSnapshot` message arrived and its state was decoded."""

    sender: str
    term: int
    index: int
    entry_term: int
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]
    state: object
    round: int


@attrs.frozen
class EntriesSynced:
    """The log is synced to disk up to `index`, an entry of term `term`."""

    index: int
    term: int


@attrs.frozen
class CallReceived:
    """A caller, operator or worker made a call."""

    call_id: int
    call: Call


@attrs.frozen
class CallAbandoned:
    """The caller no longer waits for the answer."""

    call_id: int


@attrs.frozen
class AgentMessageReceived:
    """A message arrived on a stream that another process opened."""

    stream_id: int
    message: AgentMessage | ClientMessage


@attrs.frozen
class AgentStreamClosed:
    """A stream that another process opened was closed or failed."""

    stream_id: int


@attrs.frozen
class EntryStopRequested:
    """An entry host received SIGTERM."""


@attrs.frozen
class AgentBooted:
    """An agent started."""


@attrs.frozen
class EntryStreamOpened:
    """A stream to an entry host opened."""

    stream_id: int


@attrs.frozen
class EntryStreamClosed:
    """A stream to an entry host was closed, failed or could not be opened."""

    stream_id: int
    detail: str


@attrs.frozen
class EntryMessageReceived:
    """A message arrived on a stream to an entry host."""

    stream_id: int
    message: EntryMessage | HostMessage


@attrs.frozen
class BackendReplied:
    """A call to the backend server returned or failed."""

    call: BackendCall
    reply: BackendReply


@attrs.frozen
class AgentStopRequested:
    """An agent received SIGTERM."""


@attrs.frozen
class FrontBooted:
    """A front started."""


@attrs.frozen
class FrontStopRequested:
    """A front received SIGTERM."""


@attrs.frozen
class RunnerBooted:
    """A runner started."""


@attrs.frozen
class RunnerStopRequested:
    """A runner received SIGTERM."""


@attrs.frozen
class WorkerReplied:
    """A call to the worker returned or failed."""

    call: WorkerCall
    reply: WorkerReply


@attrs.frozen
class SeedsChanged:
    """The settings were reloaded with other seed hosts."""

    seeds: tuple[str, ...]


Event = (
    ClockAdvanced
    | TimerFired
    | EntryBooted
    | PeerMessageReceived
    | SnapshotReceived
    | EntriesSynced
    | CallReceived
    | CallAbandoned
    | AgentMessageReceived
    | AgentStreamClosed
    | EntryStopRequested
    | AgentBooted
    | EntryStreamOpened
    | EntryStreamClosed
    | EntryMessageReceived
    | BackendReplied
    | AgentStopRequested
    | FrontBooted
    | FrontStopRequested
    | RunnerBooted
    | RunnerStopRequested
    | WorkerReplied
    | SeedsChanged
)
