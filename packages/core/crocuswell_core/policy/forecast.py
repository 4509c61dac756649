"""Run time estimates, corrected by past runs of the same job class."""

from crocuswell_core.cluster.cluster_state import ClusterState, RunTimeRecord
from crocuswell_core.cluster.records import Attempt, Request
from crocuswell_core.policy.policies import DefaultPolicy

# Lower bound of the weight of the newest observation in the moving average.
MIN_OBSERVATION_WEIGHT = 0.1

# Number of observations from which on the declared run time is corrected.
MIN_OBSERVATIONS = 3

# Maximum number of job classes with a stored ratio. The one that was updated
# longest ago is evicted first.
CLASS_LIMIT = 4_096


def expected_run_ms(cluster: ClusterState, request: Request) -> int:
    """Return the expected run time of a request in ms.

    This is the declared time, corrected by the ratio of observed to declared
    times of earlier jobs of the same workspace and class.
    """
    declared_ms = request.spec.run_time_ms
    policy = cluster.policy
    if isinstance(policy, DefaultPolicy) and not policy.run_time_correction:
        return declared_ms
    record = cluster.run_times.get(_class_key(request))
    if record is None or record.count < MIN_OBSERVATIONS:
        return declared_ms
    return max(1, round(declared_ms * record.ratio))


def observe_run(cluster: ClusterState, request: Request, attempt: Attempt) -> None:
    """Add the run time of a completed attempt to the moving average.

    An attempt of a request with a checkpoint is skipped, since it ran only
    the rest of the job.
    """
    if attempt.started_at_ms is None or request.checkpoint is not None:
        return
    observed = (cluster.now_ms - attempt.started_at_ms) / request.spec.run_time_ms
    key = _class_key(request)
    record = cluster.run_times.pop(key, None) or RunTimeRecord(0.0, 0)
    count = record.count + 1
    weight = max(MIN_OBSERVATION_WEIGHT, 1 / count)
    ratio = record.ratio + (observed - record.ratio) * weight
    cluster.run_times[key] = RunTimeRecord(ratio, count)
    if len(cluster.run_times) > CLASS_LIMIT:
        del cluster.run_times[next(iter(cluster.run_times))]


def _class_key(request: Request) -> str:
    return f"{request.workspace}/{request.spec.job_class}"
