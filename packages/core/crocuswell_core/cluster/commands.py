"""Commands: everything that goes into the replicated log."""

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
    """Committed by a new leader to commit entries of earlier terms."""


@attrs.frozen
class AdvanceTime:
    """Lets deadlines, retries and retention act at the entry's time."""


@attrs.frozen
class SubmitRequest:
    """Accept or refuse a request."""

    request_id: str
    workspace: str
    spec: JobSpec


@attrs.frozen
class CancelRequests:
    """Cancel requests of a workspace.

    Attributes
    ----------
    request_ids : tuple of str
        Ids to cancel; empty selects by `job_class`.
    job_class : str
        Class to cancel; empty selects the whole workspace.
    """

    workspace: str
    request_ids: tuple[str, ...] = ()
    job_class: str = ""


@attrs.frozen
class AnnounceWorker:
    """A backend server announced itself through its agent.

    Attributes
    ----------
    attempts : tuple of AttemptId
        Attempts that the backend server knows, running or not collected.
    """

    info: WorkerInfo
    incarnation: str
    backend_incarnation: str
    attempts: tuple[AttemptId, ...] = ()


@attrs.frozen
class DeclareSilent:
    """The leader heard nothing of a worker for its run lease and a margin."""

    worker: str
    incarnation: str


@attrs.frozen
class SuspectWorker:
    """The leader missed heartbeats of a worker, or hears them again."""

    worker: str
    incarnation: str
    suspect: bool


@attrs.frozen
class SetWorkerMode:
    """An operator's order for a worker."""

    worker: str
    mode: WorkerMode
    author: str = ""


@attrs.frozen
class TaskReserved:
    """The agent holds the room for a member."""

    attempt: AttemptId
    rank: int


@attrs.frozen
class TaskRefused:
    """The agent did not and will not start the member."""

    attempt: AttemptId
    rank: int
    detail: str = ""


@attrs.frozen
class TaskFinished:
    """The member ended well; the whole result was read and checked."""

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
    """The member was stopped, with a checkpoint token if one was taken."""

    attempt: AttemptId
    rank: int
    checkpoint: bytes | None = None


@attrs.frozen
class TaskLost:
    """The backend server no longer knows a member that may have run."""

    attempt: AttemptId
    rank: int


Report = TaskReserved | TaskRefused | TaskFinished | TaskFailed | TaskStopped | TaskLost


@attrs.frozen
class RecordReports:
    """Reports of one agent, in order.

    Attributes
    ----------
    last_sequence : int
        Sequence number of the last report; acknowledged once applied.
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
    """Put another declared preset in force."""

    expected_number: int
    preset: str
    author: str


@attrs.frozen
class ConfirmInForce:
    """Every live process holds the configuration `number`."""

    number: int


@attrs.frozen
class EntryHost:
    """An entry host as a member of the control group.

    Attributes
    ----------
    address : str
        `host:port` of its peer listener.
    has_disk : bool
        Whether it may become a voter.
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
    """Replace the membership; differs by at most one voter."""

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
    | ConfirmInForce
    | ChangeMembers
    | JobCommand
)


@attrs.frozen
class Proposal:
    """A command on its way to the log.

    Attributes
    ----------
    command_id : str
        Key for dropping doubles; empty for commands that need none.
    digest : str
        Digest of the content, to detect a key used twice.
    """

    command_id: str
    digest: str
    command: Command


@attrs.frozen
class LogEntry:
    """A proposal with its place in the log and the leader's time in ms."""

    term: int
    index: int
    at_ms: int
    proposal: Proposal


@attrs.frozen
class RequestAccepted:
    """The request is stored and will end in exactly one outcome."""

    request_id: str


@attrs.frozen
class RequestsCancelled:
    """Number of requests to which the cancellation applied."""

    count: int


@attrs.frozen
class ChangeAccepted:
    """The change is committed under `number` and can no longer revert."""

    number: int


@attrs.frozen
class ModeSet:
    """The operator's order for a worker is committed."""

    worker: str
    mode: WorkerMode


@attrs.frozen
class Done:
    """A command without a reply of its own was applied."""


@attrs.frozen
class Refused:
    """A call was refused; see `errors.PROMISES` for what that promises.

    Attributes
    ----------
    retry_after_ms : int
        Suggested wait in ms before resending; 0 for none.
    current_number : int
        Current configuration number for `CONFLICT`.
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
    | Done
    | Refused
    | JobReply
)
