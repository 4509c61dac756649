"""Commands of the replicated log, and the replies to them."""

import attrs

from crocuswell_core.cluster.configuration import Configuration
from crocuswell_core.cluster.records import (
    AttemptId,
    JobSpec,
    WorkerInfo,
    WorkerMode,
)
from crocuswell_core.jobs.job_commands import JobCommand, JobReply
from crocuswell_core.runtime.errors import ErrorKind


@attrs.frozen
class NoOperation:
    """Appended by a new leader to commit entries of earlier terms."""


@attrs.frozen
class AdvanceTime:
    """Run the deadlines, retries and expiries due at the entry's time."""


@attrs.frozen
class SubmitRequest:
    """Submit a request; it is accepted or refused."""

    request_id: str
    workspace: str
    spec: JobSpec


@attrs.frozen
class CancelRequests:
    """Cancel requests of a workspace.

    Attributes
    ----------
    request_ids : tuple of str
        Ids of the requests to cancel; if empty, `job_class` selects them.
    job_class : str
        Job class to cancel; if empty, all requests of the workspace.
    """

    workspace: str
    request_ids: tuple[str, ...] = ()
    job_class: str = ""


@attrs.frozen
class AnnounceWorker:
    """Register or update a worker whose agent announced its backend server.

    Attributes
    ----------
    attempts : tuple of AttemptId
        Attempts that the backend server is running or whose results have
        not been collected.
    """

    info: WorkerInfo
    incarnation: str
    backend_incarnation: str
    attempts: tuple[AttemptId, ...] = ()


@attrs.frozen
class DeclareSilent:
    """Mark a worker as silent.

    The leader received nothing from it for its run lease and a margin.
    """

    worker: str
    incarnation: str


@attrs.frozen
class SuspectWorker:
    """Mark a worker as suspect after missed heartbeats, or clear the mark."""

    worker: str
    incarnation: str
    suspect: bool


@attrs.frozen
class SetWorkerMode:
    """Set the operator mode of a worker."""

    worker: str
    mode: WorkerMode
    author: str = ""


@attrs.frozen
class TaskReserved:
    """The agent has reserved the capacity for a member."""

    attempt: AttemptId
    rank: int


@attrs.frozen
class TaskRefused:
    """The agent has not started the member and will not start it."""

    attempt: AttemptId
    rank: int
    detail: str = ""


@attrs.frozen
class TaskFinished:
    """The member succeeded; its result was read in full and verified."""

    attempt: AttemptId
    rank: int
    result: bytes
    digest: str


@attrs.frozen
class TaskFailed:
    """The backend server ran the member and it failed."""

    attempt: AttemptId
    rank: int
    detail: str = ""


@attrs.frozen
class TaskStopped:
    """The member was stopped; has a checkpoint token if one was taken."""

    attempt: AttemptId
    rank: int
    checkpoint: bytes | None = None


@attrs.frozen
class TaskLost:
    """The backend server has no record of a member that may have run."""

    attempt: AttemptId
    rank: int


Report = TaskReserved | TaskRefused | TaskFinished | TaskFailed | TaskStopped | TaskLost


@attrs.frozen
class RecordReports:
    """Record reports of one agent, in order.

    Attributes
    ----------
    last_sequence : int
        Sequence number of the last report; it is acknowledged to the
        agent once the command is applied.
    """

    worker: str
    incarnation: str
    last_sequence: int
    reports: tuple[Report, ...]


@attrs.frozen
class ChangeConfiguration:
    """Replace the configuration if its number is still `expected_number`."""

    expected_number: int
    configuration: Configuration
    author: str
    note: str = ""


@attrs.frozen
class SwitchPreset:
    """Activate another declared preset."""

    expected_number: int
    preset: str
    author: str


@attrs.frozen
class StartEvacuation:
    """Start no more runs in a failure domain, until this is withdrawn."""

    failure_domain: str
    author: str = ""


@attrs.frozen
class EndEvacuation:
    """Withdraw the evacuation of a failure domain, if there is one."""

    failure_domain: str
    author: str = ""


@attrs.frozen
class ConfirmInForce:
    """Record that every live process has the configuration `number`."""

    number: int


@attrs.frozen
class EntryHost:
    """An entry host as a member of the control group.

    Attributes
    ----------
    address : str
        `host:port` of its peer listener.
    has_disk : bool
        Whether it has persistent storage, so that it may become a voter.
    stream_address : str
        `host:port` of its listener for clients of the group.
    """

    id: str
    address: str
    failure_domain: str
    has_disk: bool = True
    stream_address: str = ""


@attrs.frozen
class ChangeMembers:
    """Replace the membership; the voters may change by at most one."""

    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]


Command = (
    NoOperation
    | AdvanceTime
    | SubmitRequest
    | CancelRequests
    | AnnounceWorker
    | DeclareSilent
    | SuspectWorker
    | SetWorkerMode
    | RecordReports
    | ChangeConfiguration
    | SwitchPreset
    | StartEvacuation
    | EndEvacuation
    | ConfirmInForce
    | ChangeMembers
    | JobCommand
)


@attrs.frozen
class Proposal:
    """A command with the data to recognise duplicates of it.

    Attributes
    ----------
    command_id : str
        Idempotency key; empty for commands that need none.
    digest : str
        Digest of the content, to detect a key reused for other content.
    """

    command_id: str
    digest: str
    command: Command


@attrs.frozen
class LogEntry:
    """A proposal with its log position and the leader's time in ms."""

    term: int
    index: int
    at_ms: int
    proposal: Proposal


@attrs.frozen
class RequestAccepted:
    """The request is stored and will end with exactly one outcome."""

    request_id: str


@attrs.frozen
class RequestsCancelled:
    """The cancellation applied to `count` requests."""

    count: int


@attrs.frozen
class ChangeAccepted:
    """The configuration change is committed as `number`."""

    number: int


@attrs.frozen
class ModeSet:
    """The operator mode of a worker is committed."""

    worker: str
    mode: WorkerMode


@attrs.frozen
class EvacuationSet:
    """Whether a failure domain is evacuated from now on is committed."""

    failure_domain: str
    is_evacuated: bool


@attrs.frozen
class Done:
    """The command was applied; it has no result."""


@attrs.frozen
class Refused:
    """The call was refused.

    `errors.ERROR_CONTRACTS` lists what each error kind guarantees.

    Attributes
    ----------
    retry_after_ms : int
        Suggested delay in ms before a retry; 0 for none.
    current_number : int
        Current configuration number, for `CONFLICT` only.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_ms: int = 0
    current_number: int = 0


CommandReply = (
    RequestAccepted
    | RequestsCancelled
    | ChangeAccepted
    | ModeSet
    | EvacuationSet
    | Done
    | Refused
    | JobReply
)
