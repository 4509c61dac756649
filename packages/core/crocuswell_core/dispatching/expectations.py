"""How long tasks are expected to run, and how fast workers are.

All decisions of the dispatcher read expected times here. Without learned
times these are the declared ones, and every worker has the usual speed.
"""

import math

import attrs

from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import Job, RunProgress
from crocuswell_core.jobs.run_time_records import run_classes
from crocuswell_core.learning.expected_ratios import ExpectedRatio, expected_ratios
from crocuswell_core.learning.worker_speeds import keep_newest

USUAL_SLOWDOWN = 1.0
# Standard deviations between the median and p90 of a normal distribution.
P90_DEVIATIONS = 1.28
# Expectations are read far more often than they change.
RATIO_VALID_MS = 1_000
RATIO_LIMIT = 1_024


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
    """Return the expected time at work of a task of a job's step.

    What the runs of the step itself have shown goes before what its class
    has shown.
    """
    spec = job.steps[step]
    declared_ms = spec.estimated_ms
    if not state.cfg.features.learned_times or declared_ms <= 0:
        return RunTime(declared_ms, declared_ms)
    key = (job.id, max(job.occurrences, default=0), step)
    own = state.dispatch.speeds.step_log_ms(key)
    learned = _expected_ratio(state, job, step)
    runs = learned.distribution.runs
    if own is not None:
        median_ms = round(math.exp(own.mean))
        p90_ms = round(math.exp(own.mean + P90_DEVIATIONS * math.sqrt(own.variance)))
        return RunTime(median_ms, p90_ms, runs)
    if not runs:
        return RunTime(declared_ms, declared_ms)
    median_ms = round(declared_ms * learned.median)
    p90_ms = round(declared_ms * learned.p90)
    return RunTime(median_ms, p90_ms, runs)


def _expected_ratio(state: EntryState, job: Job, step: int) -> ExpectedRatio:
    """Return what the class of a step's runs lets expect."""
    keys = run_classes(job, job.steps[step])
    kept = state.dispatch.expected_ratios
    expected = kept.get(keys)
    if expected is None or expected.until_ms <= state.now_ms:
        until_ms = state.now_ms + RATIO_VALID_MS
        learned = expected_ratios(state.cluster.learned_times, keys)
        expected = kept[keys] = ExpectedRatio.of(learned, until_ms)
        keep_newest(kept, RATIO_LIMIT)
    return expected


def slowdown(state: EntryState, machine: str) -> Slowdown:
    """Return how slow the worker on a machine is.

    Workers count as alike until they differ by more than the queue with the
    tightest objective tolerates: then no job is late for its worker.
    """
    catalog = state.cluster.jobs.catalog
    if not state.cfg.features.worker_speeds or catalog is None:
        return Slowdown()
    speeds = state.dispatch.speeds
    if speeds.spread <= catalog.least_stretch:
        return Slowdown()
    return Slowdown(speeds.factor(machine), speeds.is_known(machine))


def expected_remaining_ms(
    state: EntryState, view: WorkerView, progress: RunProgress
) -> int:
    """Return the expected time in ms until a run on a worker is done.

    The run's own pace says most. Before it is known, the time that is left
    depends on the time worked: a run that has outlived its estimate is
    expected to last longer.
    """
    task_id = progress.run.task
    step = state.cluster.jobs.step_of(task_id)
    declared_ms = step.estimated_ms if step else 0
    job = state.cluster.jobs.jobs.get(task_id.job_id)
    is_learned = state.cfg.features.learned_times and declared_ms > 0
    if job is None or not is_learned or view.knows_pace(progress):
        return view.remaining_ms(progress, declared_ms, state.now_ms)
    factor = slowdown(state, view.worker.machine).factor
    if progress.percent > 0:
        usual_ms = expected_run_time(state, job, task_id.step).median_ms
        return round(progress.estimate_remaining_ms(usual_ms) * factor)
    worked = view.worked_ms(progress.run, state.now_ms) / declared_ms / factor
    learned = _expected_ratio(state, job, task_id.step)
    left = learned.distribution.median_remaining(worked)
    return round(declared_ms * left * factor)
