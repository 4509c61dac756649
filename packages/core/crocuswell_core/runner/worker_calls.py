"""Calls between a runner and the worker beside it, with their replies."""

import attrs

from crocuswell_core.jobs.job_records import Room, RunId, RunProgress, TaskEnd

# --- the runner's calls --------------------------------------------------


@attrs.frozen
class BeginRun:
    """Start a run unless it is there already.

    Attributes
    ----------
    worker : str
        Id of the worker that is meant.
    lease_end_ms : int
        On the worker's clock; never shortens its lease.
    fence : int
        The worker refuses a lower one than it has seen.
    """

    worker: str
    run: RunId
    payload: str
    lease_end_ms: int
    fence: int
    checkpoint: str = ""


@attrs.frozen
class EndRun:
    """Stop a run; one that is not there is refused from now on."""

    worker: str
    run: RunId
    fence: int


@attrs.frozen
class ListRuns:
    """Extend the lease and list runs and ends.

    Attributes
    ----------
    lease_end_ms : int
        On the worker's clock; 0 leaves the lease as it is.
    seen : int
        Ends up to this number may be forgotten.
    wait_ms : int
        How long the answer may wait for an end.
    """

    worker: str
    fence: int
    seen: int
    lease_end_ms: int = 0
    wait_ms: int = 0


WorkerCall = BeginRun | EndRun | ListRuns

# --- the worker's replies ------------------------------------------------


@attrs.frozen
class RunTaken:
    """The order was carried out."""

    clock_ms: int


@attrs.frozen
class RunRefused:
    """The worker refused the order and did nothing."""

    clock_ms: int
    reason: str


@attrs.frozen
class RunsListed:
    """What runs on the worker and what ended there.

    Attributes
    ----------
    born_ms : int
        Start of the boot that answers; 0 if it does not tell.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunProgress, ...]
    ended: tuple[TaskEnd, ...]


@attrs.frozen
class OtherBoot:
    """Another worker answers at this address."""


@attrs.frozen
class NoAnswer:
    """No usable answer; an order may have been carried out if `sent`."""

    detail: str
    sent: bool


WorkerReply = RunTaken | RunRefused | RunsListed | OtherBoot | NoAnswer

# --- the worker's calls --------------------------------------------------


@attrs.frozen
class WorkerBeat:
    """A worker's heartbeat.

    Attributes
    ----------
    address : str
        `host:port` at which it takes calls.
    sequence : int
        Grows with each heartbeat of a boot.
    """

    id: str
    born_ms: int
    sequence: int
    address: str
    service: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: Room
    clock_ms: int
    draining: bool = False
    remaining_ms: int = 0
    cold_ms: int = 0


@attrs.frozen
class WorkerLeaving:
    """A worker says that it ends now."""

    id: str


@attrs.frozen
class BeatTaken:
    """The heartbeat was noted."""


RunnerCall = WorkerBeat | WorkerLeaving
