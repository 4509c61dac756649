"""Calls that an agent makes to its backend server, and the replies."""

import attrs

from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.cluster.resources import NO_RESOURCES, Resources


@attrs.frozen
class Describe:
    """Request the announcement and the list of tasks; renew their leases.

    Attributes
    ----------
    sequence : int
        Number of this call, to order it relative to starts and stops.
    lease_until_ms : int
        End of the tasks' leases in ms on the worker's monotonic clock, which
        the agent and the backend server share; 0 leaves them unchanged.
    """

    sequence: int = 0
    lease_until_ms: int = 0


@attrs.frozen
class StartOnBackend:
    """Start a task; the backend server refuses an attempt it knows.

    Attributes
    ----------
    start_by_ms : int
        Time in ms on the worker's monotonic clock from which the start is
        refused.
    lease_until_ms : int
        End of the task's lease in ms on the worker's monotonic clock.
    """

    attempt: AttemptId
    rank: int
    members: int
    resources: Resources
    accelerators: tuple[int, ...]
    payload: bytes
    run_time_ms: int
    checkpoint: bytes | None
    start_by_ms: int = 0
    lease_until_ms: int = 0


@attrs.frozen
class StopOnBackend:
    """Stop a task, writing a checkpoint first if a time is given.

    The backend server fences an attempt that it does not know: it lists
    the task as `fenced` and refuses to start it later.
    """

    attempt: AttemptId
    rank: int
    checkpoint_ms: int | None


@attrs.frozen
class ThrottleOnBackend:
    """Limit a task to a share of its processors, in percent."""

    attempt: AttemptId
    rank: int
    percent: int


@attrs.frozen
class FetchResult:
    """Read the whole result of a finished task."""

    attempt: AttemptId
    rank: int


@attrs.frozen
class ForgetOnBackend:
    """Allow the backend server to drop an ended task."""

    attempt: AttemptId
    rank: int


BackendCall = (
    Describe
    | StartOnBackend
    | StopOnBackend
    | ThrottleOnBackend
    | FetchResult
    | ForgetOnBackend
)


@attrs.frozen
class BackendTask:
    """State of one task on the backend server.

    Attributes
    ----------
    state : str
        `running`, `finished`, `failed`, `stopped`, or `fenced` for a task
        that was stopped before it was started.
    resources : Resources
        Resources requested by the start.
    """

    attempt: AttemptId
    rank: int
    state: str
    used: Resources
    detail: str = ""
    checkpoint: bytes | None = None
    resources: Resources = NO_RESOURCES
    accelerators: tuple[int, ...] = ()


@attrs.frozen
class Described:
    """The announcement of the backend server and all its tasks."""

    info: WorkerInfo
    incarnation: str
    tasks: tuple[BackendTask, ...]


@attrs.frozen
class Accepted:
    """The call was carried out."""


@attrs.frozen
class Rejected:
    """The backend server refused the call and did nothing.

    Attributes
    ----------
    known : bool
        Whether it already knew the attempt, so that the task may have run.
    """

    detail: str
    known: bool = False


@attrs.frozen
class ResultFetched:
    """A complete result whose length and digest were verified."""

    result: bytes
    digest: str


@attrs.frozen
class Unreachable:
    """No complete answer; the call may have been carried out if `sent`.

    Attributes
    ----------
    sent : bool
        False if no connection was made, so that nothing was carried out.
    """

    detail: str
    sent: bool


BackendReply = Described | Accepted | Rejected | ResultFetched | Unreachable
