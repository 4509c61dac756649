"""What the ends of runs tell of run times, and by which classes."""

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.jobs.job_records import Job, RunEndKind, RunId, StepSpec, Task
from crocuswell_core.learning.expected_ratios import expected_ratios
from crocuswell_core.learning.run_times import RUN_WEIGHT
from crocuswell_core.runtime.effects import ClusterEffect, Count, Label, Observe

# Ends of runs that would have lasted longer.
CENSORED_KINDS = frozenset(
    {RunEndKind.STOPPED, RunEndKind.LAPSED, RunEndKind.GANG_BROKEN}
)


def run_classes(job: Job, step: StepSpec) -> tuple[str, ...]:
    """Return the classes of a step's runs, from the finest to the coarsest."""
    demand = step.demand
    octave = step.estimated_ms.bit_length()
    shape = f"{demand.cpu_millis}/{demand.memory_mb}/{demand.accelerators}"
    queue = f"queue/{job.queue}"
    sort = f"{queue}/{int(step.gang)}/{octave}"
    return f"{sort}/{shape}/{job.owner}", sort, queue


def observe_run_time(
    cluster: ClusterState, run: RunId, task: Task, kind: RunEndKind
) -> list[ClusterEffect]:
    """Learn from the end of a run.

    Runs that failed or never started tell nothing, and those that resumed
    from a checkpoint did a part of the work only.
    """
    job = cluster.jobs.jobs[run.task.job_id]
    step = job.steps[run.task.step]
    is_done = kind is RunEndKind.DONE
    if not (is_done or kind in CENSORED_KINDS):
        return []
    if step.long_running or task.resumed or step.estimated_ms <= 0:
        return []
    ran_ms = cluster.now_ms - task.placed_ms
    keys = run_classes(job, step)
    effects = _report_error(cluster, job, step, keys, ran_ms) if is_done else []
    # The tasks of a step share the error of their estimate, so that the later
    # ones tell less of the class.
    weight = max(1, RUN_WEIGHT >> run.task.index.bit_length())
    cluster.learned_times.observe(keys, ran_ms, step.estimated_ms, is_done, weight)
    return effects


def _report_error(
    cluster: ClusterState, job: Job, step: StepSpec, keys: tuple[str, ...], ran_ms: int
) -> list[ClusterEffect]:
    """Report how far a run's time is from what its class let expect."""
    expected = expected_ratios(cluster.learned_times, keys)
    queue = (Label("queue", job.queue),)
    error_ms = abs(ran_ms - step.estimated_ms * expected.quantile(0.5))
    effects: list[ClusterEffect] = [
        Observe("run_time_error_seconds", error_ms / 1_000, queue)
    ]
    if ran_ms > step.estimated_ms * expected.quantile(0.9):
        effects.append(Count("runs_above_p90_total", labels=queue))
    return effects
