"""Frozen records of the cluster's tables: requests, attempts, workers."""

import enum

import attrs

from crocuswell_core.cluster.resources import SLOTS_PER_WORKER, Resources, Shape
from crocuswell_core.runtime.errors import ErrorKind


class Outcome(enum.Enum):
    """How a request ended; every request ends in exactly one of these."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"


class RequestPhase(enum.Enum):
    """Where a request stands."""

    QUEUED = "queued"
    ACTIVE = "active"
    DONE = "done"


class AttemptPhase(enum.Enum):
    """Where an attempt stands.

    RESERVING: its room is taken and the agents are asked to confirm.
    RUNNING: the start was committed, so any member may have started.
    STOPPING: members were ordered to stop.
    """

    RESERVING = "reserving"
    RUNNING = "running"
    STOPPING = "stopping"


class MemberPhase(enum.Enum):
    """Where one member of an attempt stands."""

    ORDERED = "ordered"
    RESERVED = "reserved"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    REFUSED = "refused"
    LOST = "lost"


ENDED_MEMBER_PHASES = frozenset(
    {
        MemberPhase.FINISHED,
        MemberPhase.FAILED,
        MemberPhase.STOPPED,
        MemberPhase.REFUSED,
        MemberPhase.LOST,
    }
)


class StopReason(enum.Enum):
    """Why an attempt is being stopped."""

    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    MEMBER_LOST = "member_lost"
    MEMBER_FAILED = "member_failed"
    MEMBER_REFUSED = "member_refused"
    DRAINED = "drained"
    DEADLINE_PASSED = "deadline_passed"
    NOT_CONFIRMED = "not_confirmed"


class WorkerMode(enum.Enum):
    """Whether a worker may be given new work."""

    ACTIVE = "active"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    SUSPECT = "suspect"
    SILENT = "silent"


@attrs.frozen
class JobSpec:
    """What a caller declares about a job.

    Attributes
    ----------
    job_class : str
        Name of the class of work, for run-time correction and metrics.
    shape : Shape
        Gang size, resources per member, adjacency.
    run_time_ms : int
        Declared run time in ms; it may be far off.
    idempotent : bool
        Running it twice does no harm.
    checkpoint_ms : int or None
        Time in ms to write a checkpoint, None if it cannot.
    urgent : bool
        Goes ahead inside the workspace's own guarantee.
    deadline_ms : int or None
        Latest start in ms after acceptance.
    payload : bytes
        Opaque input for the backend server.
    """

    job_class: str = "default"
    shape: Shape = attrs.Factory(Shape)
    run_time_ms: int = 1_000
    idempotent: bool = True
    checkpoint_ms: int | None = None
    urgent: bool = False
    deadline_ms: int | None = None
    payload: bytes = b""


@attrs.frozen
class OutcomeRecord:
    """The stored end of a request.

    Attributes
    ----------
    outcome : Outcome
        One of the closed list.
    reason : ErrorKind or None
        Kind of refusal for `NOT_RUN`.
    detail : str
        One sentence for people.
    result : bytes or None
        The answer; None if there is none or its retention has ended.
    length : int
        Length of the result in bytes.
    digest : str
        SHA-256 of the result, hexadecimal.
    at_ms : int
        Cluster time in ms.
    """

    outcome: Outcome
    reason: ErrorKind | None = None
    detail: str = ""
    result: bytes | None = None
    length: int = 0
    digest: str = ""
    at_ms: int = 0


@attrs.frozen
class Request:
    """A caller's request from acceptance to outcome.

    Attributes
    ----------
    attempts_made : int
        Number of attempts so far; the next attempt's epoch is one more.
    not_before_ms : int
        Cluster time of the earliest next attempt (retry back-off).
    checkpoint : bytes or None
        Token of the newest checkpoint, from which an attempt resumes.
    failed_on : tuple of str
        Workers on which attempts failed.
    may_have_run : bool
        Whether any attempt may have run; then it never ends as `NOT_RUN`.
    """

    id: str
    workspace: str
    spec: JobSpec
    accepted_at_ms: int
    phase: RequestPhase = RequestPhase.QUEUED
    attempts_made: int = 0
    not_before_ms: int = 0
    checkpoint: bytes | None = None
    failed_on: tuple[str, ...] = ()
    may_have_run: bool = False
    started_at_ms: int | None = None
    outcome: OutcomeRecord | None = None


@attrs.frozen
class AttemptId:
    """One attempt at a request; a later attempt has a higher epoch."""

    request_id: str
    epoch: int

    def __str__(self) -> str:
        return f"{self.request_id}.{self.epoch}"


@attrs.frozen
class Member:
    """One member of an attempt.

    Attributes
    ----------
    accelerators : tuple of int
        Indices of the accelerators taken on the worker.
    incarnation : str
        Agent's incarnation when the room was taken.
    """

    rank: int
    worker: str
    incarnation: str
    accelerators: tuple[int, ...]
    phase: MemberPhase = MemberPhase.ORDERED


@attrs.frozen
class Attempt:
    """A placed try at a request.

    Attributes
    ----------
    result : bytes or None
        Result of rank 0 once it finished.
    checkpoint : bytes or None
        Token of rank 0's checkpoint taken while stopping.
    guarantee : str or None
        Key of the planned shape whose room it uses; None for a borrower.
    expected_end_ms : int
        Cluster time in ms at which it was expected to end when placed.
    """

    id: AttemptId
    workspace: str
    members: tuple[Member, ...]
    phase: AttemptPhase
    placed_at_ms: int
    started_at_ms: int | None = None
    stop_reason: StopReason | None = None
    detail: str = ""
    result: bytes | None = None
    digest: str = ""
    checkpoint: bytes | None = None
    guarantee: str | None = None
    expected_end_ms: int = 0


@attrs.frozen
class WorkerInfo:
    """What a backend server announces through its agent."""

    worker: str
    rack: str
    failure_domain: str
    capacity: Resources
    slots: int = SLOTS_PER_WORKER
    draining: bool = False


@attrs.frozen
class Worker:
    """A known worker.

    Attributes
    ----------
    incarnation : str
        Changes each time the agent starts.
    backend_incarnation : str
        Changes each time the backend server starts.
    operator_mode : WorkerMode
        ACTIVE, or what an operator ordered.
    """

    info: WorkerInfo
    incarnation: str
    backend_incarnation: str
    mode: WorkerMode = WorkerMode.ACTIVE
    operator_mode: WorkerMode = WorkerMode.ACTIVE


def takes_work(worker: Worker) -> bool:
    """Tell whether new work may be placed on the worker."""
    return (
        worker.mode is WorkerMode.ACTIVE
        and worker.operator_mode is WorkerMode.ACTIVE
        and not worker.info.draining
    )
