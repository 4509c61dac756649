"""Commands on jobs and the catalog, with their replies."""

import attrs

from crocuswell_core.jobs.catalog import Catalog
from crocuswell_core.jobs.job_records import (
    JobPhase,
    RunEnd,
    RunPlacement,
    SavedCheckpoint,
    Schedule,
    StepSpec,
    WorkerCrash,
)


@attrs.frozen
class QueueAddress:
    """Host, path and key with which a caller addresses a queue."""

    host: str
    path: str
    key: str = ""


@attrs.frozen
class PutCatalog:
    """Replace the catalog by one with a higher version."""

    catalog: Catalog


@attrs.frozen
class SubmitJob:
    """Accept a job; repeated submissions with the same id have no effect.

    Attributes
    ----------
    known_index : int
        Index of a log entry that was committed before the call was received;
        0 if none is known. A copy of a call that was declined afterwards is
        told from a later call by it.
    """

    job_id: str
    address: QueueAddress
    payload: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule | None = None
    known_index: int = 0


@attrs.frozen
class DeclineJob:
    """Refuse a job that cannot be served in time, unless it was accepted.

    The leader proposes it in the place of `SubmitJob`, so that both are
    ordered by the log.

    Attributes
    ----------
    reason : str
        What cannot be kept, for logs and metrics.
    expected_ms, limit_ms : int
        Time in ms until the job's expected end, and the most that is allowed;
        0 if it fits nowhere.
    """

    job_id: str
    address: QueueAddress
    retry_after_ms: int
    reason: str
    expected_ms: int = 0
    limit_ms: int = 0


@attrs.frozen
class CancelJob:
    """Cancel a job and stop its runs."""

    job_id: str
    address: QueueAddress


@attrs.frozen
class PlaceRuns:
    """Place runs on workers as the leader planned.

    The leader orders the starts only after this command is committed.

    Attributes
    ----------
    plan : str
        Name of the plan; tells the leader that the plan was applied.
    """

    placements: tuple[RunPlacement, ...]
    plan: str = ""


@attrs.frozen
class RecordRunEnds:
    """Record the ends of runs that a worker's boot reported.

    Attributes
    ----------
    acknowledged_end : int
        Highest reported number that is covered. It is acknowledged to the
        worker once this command is applied.
    counts_lost_runs : bool
        Whether a run that was given up, and whose task waits, may still have
        done it. Earlier versions of the program propose it as False.
    """

    worker: str
    ends: tuple[RunEnd, ...]
    acknowledged_end: int
    counts_lost_runs: bool = False


@attrs.frozen
class MarkWorkerLost:
    """Mark a worker's boot as lost; all of its runs have ended.

    Attributes
    ----------
    checkpoints : tuple of SavedCheckpoint
        Newest checkpoints that were reported to the leader.
    crash : WorkerCrash or None
        How the boot crashed; None if nobody witnessed a crash. It may become
        known only after the boot was marked as lost.
    coincident : bool
        Whether other workers failed at the same time without a cause of their
        own, so that the cause lies outside of the runs.
    """

    worker: str
    checkpoints: tuple[SavedCheckpoint, ...] = ()
    crash: WorkerCrash | None = None
    coincident: bool = False


@attrs.frozen
class RecordCheckpoints:
    """Record checkpoints of running tasks, so that they survive the leader."""

    checkpoints: tuple[SavedCheckpoint, ...]


@attrs.frozen
class JobAccepted:
    """The job is durably stored."""

    job_id: str


@attrs.frozen
class JobCancelled:
    """The job is cancelled or had already ended."""

    job_id: str


@attrs.frozen
class CatalogInForce:
    """The catalog in force, which is at least as new as the one sent."""

    version: int


@attrs.frozen
class JobView:
    """Phase of a job, and why it failed."""

    job_id: str
    phase: JobPhase
    reason: str = ""


@attrs.frozen
class PendingJobs:
    """Number of a queue's accepted jobs of which no task was placed yet."""

    count: int


@attrs.frozen
class CatalogView:
    """The current catalog as the operator sent it."""

    version: int
    document: str


@attrs.frozen
class GetJob:
    """Read the phase of a job."""

    job_id: str
    address: QueueAddress


@attrs.frozen
class CountPending:
    """Read the number of a queue's jobs that have not started."""

    address: QueueAddress


@attrs.frozen
class GetCatalog:
    """Read the current catalog."""


JobCommand = (
    PutCatalog
    | SubmitJob
    | DeclineJob
    | CancelJob
    | PlaceRuns
    | RecordRunEnds
    | MarkWorkerLost
    | RecordCheckpoints
)
JobReply = JobAccepted | JobCancelled | CatalogInForce
JobRead = GetJob | CountPending | GetCatalog
JobReadReply = JobView | PendingJobs | CatalogView
