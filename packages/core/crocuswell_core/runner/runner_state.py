"""State of a runner; written only by the reducer."""

import enum

import attrs

from crocuswell_core.jobs.job_records import RunId, RunProgress, TaskEnd
from crocuswell_core.links.link_messages import StartRun
from crocuswell_core.links.uplink import Uplink
from crocuswell_core.runner.worker_calls import WorkerBeat


@attrs.frozen
class RunnerConfig:
    """Fixed settings of a runner.

    Attributes
    ----------
    name : str
        Name of the machine.
    report_ms : int
        Time in ms between reports when nothing changes.
    list_wait_ms : int
        How long the worker may hold back a list until a run ends.
    call_retry_ms : int
        Time in ms after which an order without an answer is repeated.
    clock_drift : float
        Share by which the worker's clock may run slow.
    """

    name: str
    report_ms: int = 500
    list_wait_ms: int = 500
    call_retry_ms: int = 250
    ends_wait_ms: int = 100
    clock_drift: float = 0.02
    stop_limit_ms: int = 500


class OrderPhase(enum.Enum):
    """How far an order is."""

    WAITING = "waiting"
    CALLING = "calling"
    ANSWERED = "answered"


@attrs.define
class StartOrder:
    """A start that the leader ordered."""

    order: StartRun
    phase: OrderPhase = OrderPhase.WAITING
    retry_at_ms: int = 0


@attrs.define
class StopOrder:
    """A stop that the leader ordered or that follows a refused start.

    Attributes
    ----------
    stale_list : bool
        Whether the list under way was asked for before the answer, so that
        it may not show what the stop did.
    """

    phase: OrderPhase = OrderPhase.WAITING
    retry_at_ms: int = 0
    stale_list: bool = False


@attrs.define
class WorkerClock:
    """A reading of the worker's clock with the runner's time of it."""

    clock_ms: int = 0
    read_ms: int = 0


@attrs.define
class RunnerState:
    """State of a runner.

    Attributes
    ----------
    beat : WorkerBeat or None
        Newest heartbeat of the newest boot.
    left : bool
        Whether this boot said that it ends.
    reports : dict
        Times in ms of the reports that were sent, by sequence.
    granted_until_ms : int
        Time in ms until which runs may go on, by the leader's grant.
    lease_until_ms : int
        Latest time in ms at which the worker's lease ends, by the orders
        that it was sent.
    listing : bool
        Whether a list is under way.
    lists : int
        Number of lists that the worker gave.
    events, events_sent : dict
        Counts of events, and those that the leader was sent on this stream.
    """

    cfg: RunnerConfig
    uplink: Uplink
    now_ms: int = 0
    wall_ms: int = 0
    beat: WorkerBeat | None = None
    left: bool = False
    reachable: bool = False
    clock: WorkerClock = attrs.Factory(WorkerClock)
    sequence: int = 0
    reports: dict[int, int] = attrs.Factory(dict)
    reported_ms: int = 0
    fence: int = 0
    granted_until_ms: int = 0
    lease_until_ms: int = 0
    seen: int = 0
    listing: bool = False
    list_at_ms: int = 0
    lists: int = 0
    running: dict[RunId, RunProgress] = attrs.Factory(dict)
    ended: tuple[TaskEnd, ...] = ()
    starts: dict[RunId, StartOrder] = attrs.Factory(dict)
    stops: dict[RunId, StopOrder] = attrs.Factory(dict)
    absent: dict[RunId, int] = attrs.Factory(dict)
    events: dict[str, int] = attrs.Factory(dict)
    events_sent: dict[str, int] = attrs.Factory(dict)
    stopping_since_ms: int | None = None
