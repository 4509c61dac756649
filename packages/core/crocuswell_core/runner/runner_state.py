"""State of a runner; written only by the reducer."""

import enum

import attrs

from crocuswell_core.jobs.job_records import (
    RunEnd,
    RunId,
    RunProgress,
    WorkerCrash,
)
from crocuswell_core.links.link_messages import StartRun
from crocuswell_core.links.uplink import Uplink
from crocuswell_core.runner.worker_calls import WorkerHeartbeat
from crocuswell_core.runtime.call_window import CallWindow


@attrs.frozen
class RunnerConfig:
    """Fixed settings of a runner.

    Attributes
    ----------
    name : str
        Name of the machine.
    report_ms : int
        Longest time in ms between two reports.
    list_wait_ms : int
        Time in ms for which the worker may hold a run list back until a run
        ends.
    call_retry_ms : int
        Time in ms after which an unanswered order is repeated.
    end_ack_wait_ms : int
        Time in ms to the next run list while the leader has not yet
        acknowledged all ends.
    clock_drift : float
        Largest fraction by which the worker's clock may run slow.
    may_be_evacuated : bool
        Whether operators may evacuate the worker's failure domain.
    """

    name: str
    report_ms: int = 500
    list_wait_ms: int = 500
    call_retry_ms: int = 250
    end_ack_wait_ms: int = 100
    may_be_evacuated: bool = False
    clock_drift: float = 0.02
    stop_limit_ms: int = 500


class OrderPhase(enum.Enum):
    """Progress of an order to the worker.

    `ANSWERED` is a stop that the worker carried out.
    """

    WAITING = "waiting"
    CALLING = "calling"
    ANSWERED = "answered"


@attrs.define
class StartOrder:
    """A start that the leader ordered.

    Attributes
    ----------
    was_sent : bool
        Whether an earlier call without an answer may have reached the worker.
    """

    order: StartRun
    phase: OrderPhase = OrderPhase.WAITING
    retry_at_ms: int = 0
    was_sent: bool = False


@attrs.define
class StopOrder:
    """A stop ordered by the leader, or one that settles an unsuccessful start.

    Attributes
    ----------
    list_predates_reply : bool
        Whether the run list in flight was requested before the worker
        answered the stop, so that it may not show the stop's effect.
    failed_calls : int
        Calls that the worker refused or did not answer.
    is_after_refusal : bool
        Whether it settles a start that the worker was unable to carry out.
    """

    phase: OrderPhase = OrderPhase.WAITING
    retry_at_ms: int = 0
    list_predates_reply: bool = False
    failed_calls: int = 0
    is_after_refusal: bool = False


@attrs.define
class WorkerClock:
    """A reading of the worker's clock and the runner's time at that moment."""

    clock_ms: int = 0
    read_ms: int = 0


@attrs.define
class RunnerState:
    """State of a runner.

    Attributes
    ----------
    heartbeat : WorkerHeartbeat or None
        Newest heartbeat of the newest boot that the worker confirmed.
    candidate : WorkerHeartbeat or None
        Newest heartbeat of a boot that the worker has not confirmed.
    candidate_ms : int
        Time in ms at which that heartbeat was received.
    confirm_at_ms : int
        Time in ms at which the worker is asked about it again.
    other_born_ms : int
        Start in ms since the epoch of another boot that answered the newest
        call for a run list; 0 if none did.
    is_leaving : bool
        Whether this boot announced that it is terminating.
    has_exited : bool
        Whether it did, and nothing accepts connections at its address.
    reports : dict
        Time of sending in ms of each report without a grant, by sequence.
    contact_ms : int
        Time in ms of sending of the newest report that the leader answered.
    granted_until_ms : int
        Time in ms until which the leader's newest grant lets runs go on.
    lease_until_ms : int
        Latest end in ms, on the runner's clock, of a lease that was sent
        to the worker.
    acknowledged_end, acknowledged_to_worker : int
        Number up to which the leader has acknowledged ends, and up to which
        the worker has received that.
    unreachable_since_ms : int or None
        Time in ms at which the worker ceased to answer; None while it does.
    list_in_flight : bool
        Whether a call for a run list is in flight.
    list_sent_ms : int
        Time in ms at which the newest call for a run list was made.
    list_number : int
        Number of run lists received from the worker's boots.
    confirmed_ms : dict
        Time in ms at which the worker confirmed a run, for all runs that may
        be on it.
    orders_in_flight : CallWindow
        Starts and stops sent to the worker's boots that have no reply yet.
    unanswered_ms : dict
        Time in ms of the newest call without an answer for the start of a run,
        or at which it was dropped; the worker, or a later boot, may still
        carry it out.
    lists_all_ends : bool
        Whether the newest run list left out no end that is not acknowledged.
    refused : set of RunId
        Absent runs whose start the worker was unable to carry out.
    crashes : tuple of WorkerCrash
        Crashes of earlier boots that are not known to be recorded.
    events, events_sent : dict
        Event counts, and the values last sent to the leader on this stream.
    """

    cfg: RunnerConfig
    uplink: Uplink
    now_ms: int = 0
    wall_ms: int = 0
    heartbeat: WorkerHeartbeat | None = None
    candidate: WorkerHeartbeat | None = None
    candidate_ms: int = 0
    confirm_at_ms: int = 0
    other_born_ms: int = 0
    is_leaving: bool = False
    reachable: bool = False
    has_exited: bool = False
    clock: WorkerClock = attrs.Factory(WorkerClock)
    sequence: int = 0
    reports: dict[int, int] = attrs.Factory(dict)
    last_report_ms: int = 0
    fence: int = 0
    contact_ms: int = 0
    granted_until_ms: int = 0
    lease_until_ms: int = 0
    acknowledged_end: int = 0
    acknowledged_to_worker: int = 0
    unreachable_since_ms: int | None = None
    list_in_flight: bool = False
    list_sent_ms: int = 0
    next_list_ms: int = 0
    list_number: int = 0
    running: dict[RunId, RunProgress] = attrs.Factory(dict)
    confirmed_ms: dict[RunId, int] = attrs.Factory(dict)
    crashes: tuple[WorkerCrash, ...] = ()
    ended: tuple[RunEnd, ...] = ()
    lists_all_ends: bool = False
    starts: dict[RunId, StartOrder] = attrs.Factory(dict)
    stops: dict[RunId, StopOrder] = attrs.Factory(dict)
    absent: dict[RunId, int] = attrs.Factory(dict)
    unanswered_ms: dict[RunId, int] = attrs.Factory(dict)
    orders_in_flight: CallWindow = attrs.Factory(CallWindow)
    refused: set[RunId] = attrs.Factory(set)
    events: dict[str, int] = attrs.Factory(dict)
    events_sent: dict[str, int] = attrs.Factory(dict)
    stopping_since_ms: int | None = None

    @property
    def served_ms(self) -> int:
        """Start in ms since the epoch of the served boot; 0 without one."""
        return self.heartbeat.born_ms if self.heartbeat else 0
