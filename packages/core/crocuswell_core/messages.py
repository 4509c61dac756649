"""Messages between entry hosts, and between an agent and an entry host."""

import attrs

from crocuswell_core.commands import (
    EntryHost,
    LogEntry,
    Proposal,
    Report,
)
from crocuswell_core.records import AttemptId, WorkerInfo
from crocuswell_core.resources import Resources

# --- entry host to entry host -------------------------------------------


@attrs.frozen
class VoteRequest:
    """Ask for a vote; with `pre_vote` only whether it would be granted."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


@attrs.frozen
class VoteReply:
    """Answer to a `VoteRequest`."""

    term: int
    granted: bool
    pre_vote: bool


@attrs.frozen
class Append:
    """Entries after `previous_index`; empty as a heartbeat.

    Attributes
    ----------
    round : int
        Number of the heartbeat round, for the leader's lease and for
        read index.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int


@attrs.frozen
class AppendReply:
    """Answer to `Append`.

    Attributes
    ----------
    match_index : int
        Highest index known equal to the leader's log if `success`, else
        the index from which the leader should send.
    """

    term: int
    success: bool
    match_index: int
    round: int


@attrs.frozen
class InstallSnapshot:
    """The whole replicated state at `index`.

    Attributes
    ----------
    state : bytes
        Encoded `ClusterState`; the runtime encodes and decodes it.
    """

    term: int
    index: int
    entry_term: int
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]
    state: bytes
    round: int = 0


@attrs.frozen
class TimeoutNow:
    """Hand leadership over: the receiver starts an election at once."""

    term: int


@attrs.frozen
class Forward:
    """A proposal for the leader."""

    proposal: Proposal


@attrs.frozen
class ReadIndexRequest:
    """Ask the leader up to which index a read must wait."""

    read_id: int


@attrs.frozen
class ReadIndexReply:
    """The commit index, sent only under the leader's lease."""

    read_id: int
    index: int


@attrs.frozen
class WorkerLiveness:
    """An agent heard by the sending entry host since its last report.

    Attributes
    ----------
    number : int
        Configuration number that the agent confirmed.
    """

    worker: str
    incarnation: str
    number: int


@attrs.frozen
class Liveness:
    """Agents heard by an entry host since its last `Liveness`.

    Attributes
    ----------
    number : int
        Configuration number that the entry host itself has applied.
    lost : tuple of WorkerLiveness
        Agents whose stream ended since.
    """

    sequence: int
    number: int
    workers: tuple[WorkerLiveness, ...]
    lost: tuple[WorkerLiveness, ...] = ()


@attrs.frozen
class LivenessReply:
    """Sent only under the leader's lease; permits lease extensions.

    Attributes
    ----------
    number : int
        The leader's newest configuration number.
    refused : tuple of str
        Workers that must announce themselves again; no extension.
    """

    sequence: int
    number: int = 0
    refused: tuple[str, ...] = ()


PeerMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | TimeoutNow
    | Forward
    | ReadIndexRequest
    | ReadIndexReply
    | Liveness
    | LivenessReply
)

# --- agent to entry host -------------------------------------------------


@attrs.frozen
class Hello:
    """First message on a stream.

    Attributes
    ----------
    sequence : int
        Counts as a heartbeat; `Welcome.confirmed` may echo it.
    """

    info: WorkerInfo
    incarnation: str
    backend_incarnation: str
    attempts: tuple[AttemptId, ...]
    sequence: int = 0


@attrs.frozen
class TaskUsage:
    """Resources that the backend server reports for a task, with a lag."""

    attempt: AttemptId
    rank: int
    used: Resources


@attrs.frozen
class CounterValue:
    """Value of one of the agent's counters."""

    name: str
    value: int


@attrs.frozen
class AgentHeartbeat:
    """Sent each second; `sequence` is echoed to extend the leases.

    Attributes
    ----------
    number : int
        Configuration number that the agent holds.
    """

    sequence: int
    number: int
    usage: tuple[TaskUsage, ...] = ()
    counters: tuple[CounterValue, ...] = ()


@attrs.frozen
class SendReports:
    """Reports not yet acknowledged, oldest first.

    Attributes
    ----------
    first_sequence : int
        Sequence number of the first report in `reports`.
    """

    first_sequence: int
    reports: tuple[Report, ...]


@attrs.frozen
class DrainNotice:
    """The backend server changed whether it is leaving."""

    draining: bool


AgentMessage = Hello | AgentHeartbeat | SendReports | DrainNotice

# --- entry host to agent -------------------------------------------------


@attrs.frozen
class ReserveTask:
    """Hold room for a gang member until started, stopped or fenced."""

    attempt: AttemptId
    rank: int
    resources: Resources
    accelerators: tuple[int, ...]


@attrs.frozen
class StartTask:
    """Start a member; refused if its epoch is old or it was started.

    Attributes
    ----------
    checkpoint : bytes or None
        Token of the checkpoint to resume from.
    checkpoint_ms : int or None
        Time in ms to write a checkpoint, None if the task cannot.
    """

    attempt: AttemptId
    rank: int
    members: int
    resources: Resources
    accelerators: tuple[int, ...]
    payload: bytes
    idempotent: bool
    run_time_ms: int
    checkpoint: bytes | None = None
    checkpoint_ms: int | None = None


@attrs.frozen
class StopTask:
    """Stop a member; with `checkpoint_ms` set, write a checkpoint first."""

    attempt: AttemptId
    rank: int
    checkpoint_ms: int | None


Order = ReserveTask | StartTask | StopTask


@attrs.frozen
class Welcome:
    """Answer to `Hello`: the full set of wanted members.

    Attributes
    ----------
    run_lease_ms : int
        Run lease in ms, counted from the sending of the heartbeat that
        is being answered.
    acknowledged : int
        Highest report sequence of this incarnation that is committed.
    confirmed : int
        As in `EntryHeartbeat`; 0 extends no lease.
    """

    orders: tuple[Order, ...]
    number: int
    run_lease_ms: int
    acknowledged: int
    confirmed: int = 0


@attrs.frozen
class EntryHeartbeat:
    """Sent each second and in answer to heartbeats.

    Attributes
    ----------
    confirmed : int
        Highest agent sequence for which the leader confirmed liveness;
        the agent's leases run from the time it sent that heartbeat.
    """

    confirmed: int
    number: int
    run_lease_ms: int


@attrs.frozen
class Orders:
    """Changes to the wanted set of members."""

    orders: tuple[Order, ...]


@attrs.frozen
class ReportAck:
    """Reports up to `sequence` are committed."""

    sequence: int


@attrs.frozen
class Goodbye:
    """The entry host is stopping; connect to another one."""


EntryMessage = Welcome | EntryHeartbeat | Orders | ReportAck | Goodbye

# --- calls on an entry host ----------------------------------------------


@attrs.frozen
class CommandCall:
    """A call that changes state; answered once it is applied here."""

    proposal: Proposal


@attrs.frozen
class GetRequest:
    """Read a request, waiting up to `wait_ms` for its outcome.

    Attributes
    ----------
    workspace : str
        Workspace of the caller; empty for an operator.
    """

    request_id: str
    workspace: str = ""
    wait_ms: int = 0


@attrs.frozen
class ListRequests:
    """Read the requests of a workspace, newest first."""

    workspace: str
    limit: int = 100


@attrs.frozen
class GetConfiguration:
    """Read the newest accepted configuration."""


@attrs.frozen
class GetHistory:
    """Read the newest configuration changes."""

    limit: int = 20


@attrs.frozen
class GetWorkers:
    """Read all workers with what they hold."""


@attrs.frozen
class GetMembers:
    """Read the control group as this host sees it."""


@attrs.frozen
class ExplainRequest:
    """Ask why a request waits or why it was placed where it is."""

    request_id: str
    workspace: str = ""


ReadCall = (
    GetRequest
    | ListRequests
    | GetConfiguration
    | GetHistory
    | GetWorkers
    | GetMembers
    | ExplainRequest
)
Call = CommandCall | ReadCall
