"""Run times corrected by what was observed for the same class of work."""

from crocuswell_core.cluster.cluster_state import ClusterState, RunTimeRecord
from crocuswell_core.cluster.records import Attempt, Request
from crocuswell_core.policy.policies import StandingPolicy

# Weight of the newest observation once the average has settled.
NEWEST_WEIGHT = 0.1

# Observations before the average replaces the declared time.
LEAST_OBSERVATIONS = 3

# Most classes for which ratios are kept; the oldest is dropped first.
CLASS_LIMIT = 4_096


def expected_run_ms(cluster: ClusterState, request: Request) -> int:
    """Return the expected run time of a request in ms."""
    declared_ms = request.spec.run_time_ms
    policy = cluster.policy
    if isinstance(policy, StandingPolicy) and not policy.correction:
        return declared_ms
    record = cluster.run_times.get(_key(request))
    if record is None or record.count < LEAST_OBSERVATIONS:
        return declared_ms
    return max(1, round(declared_ms * record.ratio))


def observe_run(cluster: ClusterState, request: Request, attempt: Attempt) -> None:
    """Take the run time of a completed attempt into the average.

    An attempt that resumed from a checkpoint ran only the rest of the job
    and is left out.
    """
    if attempt.started_at_ms is None or request.checkpoint is not None:
        return
    observed = (cluster.now_ms - attempt.started_at_ms) / request.spec.run_time_ms
    key = _key(request)
    record = cluster.run_times.pop(key, None) or RunTimeRecord(0.0, 0)
    count = record.count + 1
    weight = max(NEWEST_WEIGHT, 1 / count)
    ratio = record.ratio + (observed - record.ratio) * weight
    cluster.run_times[key] = RunTimeRecord(ratio, count)
    if len(cluster.run_times) > CLASS_LIMIT:
        del cluster.run_times[next(iter(cluster.run_times))]


def _key(request: Request) -> str:
    return f"{request.workspace}/{request.spec.job_class}"
