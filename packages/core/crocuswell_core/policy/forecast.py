"""Run time estimates, corrected by past runs of the same job class."""

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.records import Attempt, Request
from crocuswell_core.policy.policies import DefaultPolicy

# Number of observations from which on the declared run time is corrected.
MIN_OBSERVATIONS = 3


def expected_run_ms(cluster: ClusterState, request: Request) -> int:
    """Return the expected run time of a request in ms.

    This is the declared time, corrected by the ratio of observed to declared
    times of earlier jobs of the same workspace and class.
    """
    declared_ms = request.spec.run_time_ms
    policy = cluster.policy
    if isinstance(policy, DefaultPolicy) and not policy.run_time_correction:
        return declared_ms
    learned = cluster.learned_times.classes.get(_class_key(request))
    if learned is None or learned.runs < MIN_OBSERVATIONS:
        return declared_ms
    return learned.mean_ms(declared_ms)


def observe_run(cluster: ClusterState, request: Request, attempt: Attempt) -> None:
    """Learn from the run time of a completed attempt.

    An attempt of a request with a checkpoint is skipped, since it ran only
    the rest of the job.
    """
    if attempt.started_at_ms is None or request.checkpoint is not None:
        return
    real_ms = cluster.now_ms - attempt.started_at_ms
    declared_ms = request.spec.run_time_ms
    keys = (_class_key(request),)
    cluster.learned_times.observe(keys, real_ms, declared_ms, is_done=True)


def _class_key(request: Request) -> str:
    return f"request/{request.workspace}/{request.spec.job_class}"
