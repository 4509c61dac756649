"""Workers and their runs in a simulation of the dispatcher."""

import attrs

from crocuswell_core.jobs.job_records import RunEnd, RunId, StepSpec
from crocuswell_core.links.link_messages import WorkerDescription

NEVER_MS = 1 << 60


@attrs.define
class SimulatedRun:
    """A run on a simulated worker.

    Attributes
    ----------
    work_ms : float
        Time in ms that the run needs on a sound worker.
    done_ms : float
        Part of `work_ms` that is done.
    """

    run: RunId
    step: StepSpec
    work_ms: float
    done_ms: float = 0.0
    updated_ms: int = 0
    at_work: bool = False
    stop_ms: int = NEVER_MS

    @property
    def is_at_work(self) -> bool:
        """Whether it has not done its share of the work."""
        return self.done_ms < self.work_ms - 2

    @property
    def percent(self) -> int:
        """Completed share of the work in percent."""
        if not self.is_at_work:
            return 100
        return min(99, int(100 * self.done_ms / max(self.work_ms, 1.0)))


@attrs.define
class SimulatedWorker:
    """A worker with its runner, as the leader sees them.

    Attributes
    ----------
    speed : float
        Multiple of the usual speed.
    sound_speed : float
        The same without faults.
    silent_until_ms : int
        Time in ms before which no message passes in either direction.
    leaves_ms : int
        Time in ms at which it ends after it has said so.
    lost : bool
        Whether the worker ended for good.
    """

    stream_id: int
    description: WorkerDescription
    runs: dict[RunId, SimulatedRun] = attrs.Factory(dict)
    ended: list[RunEnd] = attrs.Factory(list)
    ends: int = 0
    speed: float = 1.0
    sound_speed: float = 1.0
    fails_all: bool = False
    silent_until_ms: int = 0
    lease_end_ms: int = NEVER_MS
    leaves_ms: int = NEVER_MS
    lost: bool = False
    refused: set[RunId] = attrs.Factory(set)
