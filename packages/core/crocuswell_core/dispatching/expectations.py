"""How long tasks are expected to run, and how fast workers are.

All decisions of the dispatcher read expected times here. Without learned
times these are the declared ones, and every worker has the usual speed.
"""

import attrs

from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import Job, RunProgress

USUAL_SLOWDOWN = 1.0


@attrs.frozen
class RunTime:
    """Expected time at work of one task on a worker of the usual speed.

    Attributes
    ----------
    median_ms, p90_ms : int
        Quantiles in ms; `p90_ms` is never below `median_ms`.
    observations : int
        Number of finished runs that it was learned from; 0 if declared.
    """

    median_ms: int
    p90_ms: int
    observations: int = 0


@attrs.frozen
class Slowdown:
    """Time that a task takes on a worker, as a multiple of the usual time.

    Attributes
    ----------
    factor : float
        1.0 for the usual speed, more for a slow worker.
    is_known : bool
        Whether enough was observed on the worker to rely on it.
    """

    factor: float = USUAL_SLOWDOWN
    is_known: bool = False


def expected_run_time(state: EntryState, job: Job, step: int) -> RunTime:
    """Return the expected time at work of a task of a job's step."""
    declared_ms = job.steps[step].estimated_ms
    return RunTime(declared_ms, declared_ms)


def slowdown(state: EntryState, machine: str) -> Slowdown:
    """Return how slow the worker on a machine is."""
    if not state.cfg.features.worker_speeds:
        return Slowdown()
    speeds = state.dispatch.speeds
    return Slowdown(speeds.factor(machine), speeds.is_known(machine))


def expected_remaining_ms(
    state: EntryState, view: WorkerView, progress: RunProgress
) -> int:
    """Return the expected time in ms until a run on a worker is done."""
    step = state.cluster.jobs.step_of(progress.run.task)
    declared_ms = step.estimated_ms if step else 0
    return view.remaining_ms(progress, declared_ms, state.now_ms)
