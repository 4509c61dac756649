"""Commands on jobs and the catalog, with their replies."""

import attrs

from crocuswell_core.jobs.catalog import Catalog
from crocuswell_core.jobs.job_records import (
    JobPhase,
    SavedCheckpoint,
    Schedule,
    StepSpec,
    TaskEnd,
    TaskStart,
)


@attrs.frozen
class QueueAddress:
    """Where and with which key a caller calls a queue."""

    host: str
    path: str
    key: str = ""


@attrs.frozen
class PutCatalog:
    """Replace the catalog if its version is higher than the held one."""

    catalog: Catalog


@attrs.frozen
class SubmitJob:
    """Accept a job once, however often it is submitted."""

    job_id: str
    address: QueueAddress
    payload: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule | None = None


@attrs.frozen
class CancelJob:
    """Cancel a job; its runs are stopped."""

    job_id: str
    address: QueueAddress


@attrs.frozen
class StartTasks:
    """The leader's decision to start runs; orders follow its commit.

    Attributes
    ----------
    plan : str
        Name of the plan, by which the leader sees that it was applied.
    """

    starts: tuple[TaskStart, ...]
    plan: str = ""


@attrs.frozen
class RecordEnds:
    """Ends of runs that a worker's boot listed.

    Attributes
    ----------
    seen : int
        Highest listed number that is covered; acknowledged to the worker
        once this command is applied.
    """

    worker: str
    ends: tuple[TaskEnd, ...]
    seen: int


@attrs.frozen
class LoseWorker:
    """All runs on a worker's boot are over.

    Attributes
    ----------
    checkpoints : tuple of SavedCheckpoint
        Newest checkpoints that the leader heard of.
    """

    worker: str
    checkpoints: tuple[SavedCheckpoint, ...] = ()


@attrs.frozen
class RecordCheckpoints:
    """Checkpoints of running tasks, so that they outlast the leader."""

    checkpoints: tuple[SavedCheckpoint, ...]


@attrs.frozen
class JobAccepted:
    """The job is stored."""

    job_id: str


@attrs.frozen
class JobCancelled:
    """The job is cancelled or had ended before."""

    job_id: str


@attrs.frozen
class CatalogHeld:
    """A catalog of this version or a higher one is in force."""

    version: int


@attrs.frozen
class JobView:
    """State of a job."""

    job_id: str
    phase: JobPhase


@attrs.frozen
class PendingJobs:
    """Number of a queue's accepted jobs of which no task has started."""

    count: int


@attrs.frozen
class CatalogView:
    """The newest catalog as it was sent."""

    version: int
    document: str


@attrs.frozen
class GetJob:
    """Read the state of a job."""

    job_id: str
    address: QueueAddress


@attrs.frozen
class CountPending:
    """Read the number of a queue's jobs that have not begun."""

    address: QueueAddress


@attrs.frozen
class GetCatalog:
    """Read the newest catalog."""


JobCommand = (
    PutCatalog
    | SubmitJob
    | CancelJob
    | StartTasks
    | RecordEnds
    | LoseWorker
    | RecordCheckpoints
)
JobReply = JobAccepted | JobCancelled | CatalogHeld
JobRead = GetJob | CountPending | GetCatalog
JobReadReply = JobView | PendingJobs | CatalogView
