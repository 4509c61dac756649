"""Immutable records of requests, attempts and workers."""

import enum

import attrs

from crocuswell_core.cluster.resources import SLOTS_PER_WORKER, Resources, Shape
from crocuswell_core.runtime.errors import ErrorKind


class Outcome(enum.Enum):
    """How a request ended; every request has exactly one outcome."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"


class RequestPhase(enum.Enum):
    """Life-cycle phase of a request."""

    QUEUED = "queued"
    ACTIVE = "active"
    DONE = "done"


class AttemptPhase(enum.Enum):
    """Life-cycle phase of an attempt.

    RESERVING: capacity is allocated and the agents are asked to confirm.
    RUNNING: the start is committed, so any member may have started.
    STOPPING: all members are ordered to stop.
    """

    RESERVING = "reserving"
    RUNNING = "running"
    STOPPING = "stopping"


class MemberPhase(enum.Enum):
    """Life-cycle phase of one member of an attempt."""

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
    """Availability of a worker; only `ACTIVE` permits new work."""

    ACTIVE = "active"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    SUSPECT = "suspect"
    SILENT = "silent"


@attrs.frozen
class JobSpec:
    """A job as declared by the caller.

    Attributes
    ----------
    job_class : str
        Name of the job class, for run-time prediction and metrics.
    shape : Shape
        Gang size, resources per member, adjacency.
    run_time_ms : int
        Declared run time in ms; an estimate that may be far off.
    idempotent : bool
        Whether the job may safely run more than once.
    checkpoint_ms : int or None
        Time in ms to write a checkpoint; None if the job has none.
    urgent : bool
        Whether it precedes other jobs of its workspace and may preempt
        their claims on the workspace's guarantees.
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
    """The recorded outcome of a request.

    Attributes
    ----------
    outcome : Outcome
        How the request ended.
    reason : ErrorKind or None
        Why it did not run, for `NOT_RUN`; otherwise None.
    detail : str
        Human-readable explanation.
    result : bytes or None
        The result; None if there is none or its retention has ended.
    length : int
        Length of the result in bytes.
    digest : str
        SHA-256 of the result, hexadecimal.
    at_ms : int
        Cluster time in ms at which the request ended.
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
        Number of attempts so far, which is the epoch of the newest one.
    not_before_ms : int
        Cluster time in ms of the earliest next attempt (retry back-off);
        0 if there is no back-off.
    checkpoint : bytes or None
        Token of the newest checkpoint, from which the next attempt resumes.
    failed_on : tuple of str
        Workers on which members failed, in order; may repeat.
    may_have_run : bool
        Whether any attempt may have run; if so, the outcome is never
        `NOT_RUN`.
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
    """Identifies an attempt at a request; later ones have higher epochs."""

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
        Indices of the accelerators allocated on the worker.
    incarnation : str
        Incarnation of the agent that is responsible for the member.
    """

    rank: int
    worker: str
    incarnation: str
    accelerators: tuple[int, ...]
    phase: MemberPhase = MemberPhase.ORDERED


@attrs.frozen
class Attempt:
    """A placed execution of a request.

    Attributes
    ----------
    result : bytes or None
        Result of rank 0, once it has finished.
    checkpoint : bytes or None
        Token of the checkpoint that rank 0 took while stopping.
    guarantee : str or None
        Key of the planned shape whose capacity it claims; None for a
        borrower, which runs outside the workspace's guarantees.
    expected_end_ms : int
        Expected end in cluster time in ms, as predicted at placement.
    crashed_on : str
        Worker whose backend server crashed under a member; empty if none did.
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
    crashed_on: str = ""


@attrs.frozen
class WorkerInfo:
    """Description of a worker that its backend server announces."""

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
        Identifies the run of the agent; changes on each start.
    backend_incarnation : str
        Identifies the run of the backend server; changes on each start.
    operator_mode : WorkerMode
        Mode set by an operator; `ACTIVE` by default.
    """

    info: WorkerInfo
    incarnation: str
    backend_incarnation: str
    mode: WorkerMode = WorkerMode.ACTIVE
    operator_mode: WorkerMode = WorkerMode.ACTIVE


def accepts_work(worker: Worker) -> bool:
    """Return whether the worker's modes permit new work."""
    return (
        worker.mode is WorkerMode.ACTIVE
        and worker.operator_mode is WorkerMode.ACTIVE
        and not worker.info.draining
    )
