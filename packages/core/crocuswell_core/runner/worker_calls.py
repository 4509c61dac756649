"""Calls between a runner and its local worker, with their replies."""

import attrs

from crocuswell_core.jobs.job_records import ResourceVector, RunEnd, RunId, RunProgress

# --- calls from the worker -----------------------------------------------


@attrs.frozen
class WorkerHeartbeat:
    """A worker's heartbeat.

    Attributes
    ----------
    address : str
        `host:port` at which the worker accepts calls.
    sequence : int
        Increases with each heartbeat of a boot.
    """

    id: str
    born_ms: int
    sequence: int
    address: str
    service: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: ResourceVector
    clock_ms: int
    draining: bool = False
    remaining_ms: int = 0
    warm_up_ms: int = 0

    def is_of_same_boot(self, other: "WorkerHeartbeat") -> bool:
        """Tell whether two heartbeats describe the same boot."""
        return (self.id, self.born_ms) == (other.id, other.born_ms)


@attrs.frozen
class WorkerLeaving:
    """A worker announces that it is terminating."""

    id: str


@attrs.frozen
class WorkerCallAcknowledged:
    """The call of the worker was received."""


RunnerCall = WorkerHeartbeat | WorkerLeaving

# --- calls to the worker -------------------------------------------------


@attrs.frozen
class StartOnWorker:
    """Start a run on the worker unless it already has it.

    Attributes
    ----------
    worker : str
        Id of the addressed worker; any other one refuses the call.
    lease_end_ms : int
        End of the lease in ms on the worker's clock; never shortens it.
    fence : int
        Fencing token; the worker refuses one lower than it has seen.
    served_ms : int
        Start in ms since the epoch of the boot that is served at the time of
        the call; another boot of the same id takes the call too.
    send_by_ms : int or None
        Time in ms on the machine's steady clock after which the call must not
        be sent.
    made_ms : int
        Time in ms at which the call was decided.
    """

    worker: str
    run: RunId
    payload: str
    lease_end_ms: int
    fence: int
    checkpoint: str = ""
    served_ms: int = 0
    send_by_ms: int | None = None
    made_ms: int = 0


@attrs.frozen
class StopOnWorker:
    """Stop a run on the worker, or make it refuse the run from now on.

    Attributes
    ----------
    served_ms : int
        As in `StartOnWorker`; the answer proves nothing of another boot.
    send_by_ms, made_ms : int or None, int
        As in `StartOnWorker`.
    """

    worker: str
    run: RunId
    fence: int
    served_ms: int = 0
    send_by_ms: int | None = None
    made_ms: int = 0


@attrs.frozen
class ListRuns:
    """Extend the worker's lease and list its running and ended runs.

    Attributes
    ----------
    lease_end_ms : int
        End of the lease in ms on the worker's clock; 0 leaves it unchanged.
    acknowledged_end : int
        The worker may forget ends up to this number.
    wait_ms : int
        Time in ms for which the worker may hold the answer back until a run
        ends.
    served_ms, send_by_ms : int, int or None
        As in `StartOnWorker`.
    """

    worker: str
    fence: int
    acknowledged_end: int
    lease_end_ms: int = 0
    wait_ms: int = 0
    served_ms: int = 0
    send_by_ms: int | None = None


@attrs.frozen
class ConfirmBoot:
    """List the runs of a boot of which only a heartbeat is known.

    Any process can send a heartbeat; only the boot itself answers this call.

    Attributes
    ----------
    served_ms : int
        As in `StartOnWorker`; 0 if no boot was served.
    send_by_ms : int or None
        As in `StartOnWorker`.
    """

    heartbeat: WorkerHeartbeat
    fence: int
    served_ms: int = 0
    send_by_ms: int | None = None

    @property
    def worker(self) -> str:
        """Id of the addressed worker."""
        return self.heartbeat.id


WorkerCall = StartOnWorker | StopOnWorker | ListRuns | ConfirmBoot

# --- replies from the worker ---------------------------------------------


@attrs.frozen
class OrderAccepted:
    """The worker carried out the order."""

    clock_ms: int


@attrs.frozen
class OrderRefused:
    """The worker refused the order and did nothing.

    Attributes
    ----------
    is_unable : bool
        Whether the worker cannot carry it out now, being unwell or full;
        otherwise the order itself is outdated or invalid.
    """

    clock_ms: int
    reason: str
    is_unable: bool = False


@attrs.frozen
class RunsListed:
    """The running and ended runs of a worker.

    Attributes
    ----------
    born_ms : int
        Start of the answering boot in ms since the epoch; 0 if not given.
    unread_rows : int
        Number of rows that name no run and were left out.
    lists_all_ends : bool
        Whether `ended` has every end that is not acknowledged; a worker lists
        a limited number at a time.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunProgress, ...]
    ended: tuple[RunEnd, ...]
    unread_rows: int = 0
    lists_all_ends: bool = True


@attrs.frozen
class OtherWorker:
    """A worker with another id answered at this address."""


@attrs.frozen
class NoAnswer:
    """No usable answer; the order may have been carried out if `sent`.

    Attributes
    ----------
    is_refused : bool
        Whether nothing accepts connections at the worker's address.
    """

    detail: str
    sent: bool
    is_refused: bool = False


@attrs.frozen
class NotSent:
    """The call was held up on this machine past its time and was not sent.

    It says nothing about the worker.
    """


WorkerReply = (
    OrderAccepted | OrderRefused | RunsListed | OtherWorker | NoAnswer | NotSent
)
