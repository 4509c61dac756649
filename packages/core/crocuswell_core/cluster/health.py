"""Quarantine of workers with outlying failure rates, probing, and return."""

import attrs

from crocuswell_core.cluster.attempts import place_request
from crocuswell_core.cluster.cluster_state import ClusterState, WorkerHealth
from crocuswell_core.cluster.due import ProbeDue
from crocuswell_core.cluster.due_queue import add_due
from crocuswell_core.cluster.failures import DECAY_FACTOR
from crocuswell_core.cluster.index_updates import index_of, refresh_worker
from crocuswell_core.cluster.records import AttemptId, Outcome, Request, WorkerMode
from crocuswell_core.cluster.scheduling_index import ReadyQueue
from crocuswell_core.policy.policies import DefaultPolicy
from crocuswell_core.runtime.effects import (
    ClusterEffect,
    Count,
    EmitLogEvent,
    Label,
    LogLevel,
)

# Decayed number of different jobs that must have failed on a worker, and their
# fraction of all jobs that ended there, before it is quarantined. Three jobs
# that succeeded elsewhere rule out a single faulty job as the cause.
MIN_FAILURES = 2.4
MIN_FAILURE_SHARE = 0.6

# Minimum ratio of a worker's failure rate to that of all other workers at
# which it is an outlier.
OUTLIER_RATIO = 3.0

# Delay before the first probe, and its maximum; it doubles after each failure.
PROBE_DELAY_MIN_MS = 30_000
PROBE_DELAY_MAX_MS = 600_000

# Number of consecutive successful probes that end a quarantine.
PROBES_TO_RETURN = 2


def update_quarantine(cluster: ClusterState) -> list[ClusterEffect]:
    """Quarantine outlying workers, and probe those in quarantine."""
    policy = cluster.policy
    if isinstance(policy, DefaultPolicy) and not policy.quarantine:
        return []
    effects: list[ClusterEffect] = []
    for name, health in list(cluster.health.items()):
        if health.quarantined_at_ms is None:
            if _is_outlier(cluster, name, health) and _may_quarantine(cluster):
                effects += _quarantine(cluster, name, health)
        elif health.probe is not None:
            effects += _check_probe(cluster, name, health, health.probe)
        elif health.probe_at_ms <= cluster.now_ms:
            effects += _start_probe(cluster, name, health)
    return effects


def _check_probe(
    cluster: ClusterState, name: str, health: WorkerHealth, probe: AttemptId
) -> list[ClusterEffect]:
    """Schedule the next probe or end the quarantine if the probe has ended."""
    if probe in cluster.attempts:
        return []
    request = cluster.requests.get(probe.request_id)
    if request is not None and name in request.failed_on:
        # Waiting as long again as the quarantine has lasted doubles the delay
        # with each failed probe.
        delay_ms = cluster.now_ms - (health.quarantined_at_ms or 0)
        delay_ms = min(max(delay_ms, PROBE_DELAY_MIN_MS), PROBE_DELAY_MAX_MS)
        _schedule_probe(cluster, name, delay_ms, 0)
        return []
    if request is None or not _is_probe_completed(request, probe):
        _schedule_probe(cluster, name, 0, health.probes_passed)
        return []
    if health.probes_passed + 1 < PROBES_TO_RETURN:
        _schedule_probe(cluster, name, 0, health.probes_passed + 1)
        return []
    del cluster.health[name]
    worker = cluster.workers[name]
    if worker.mode is WorkerMode.QUARANTINED:
        cluster.workers[name] = attrs.evolve(worker, mode=WorkerMode.ACTIVE)
        refresh_worker(cluster, name)
    cluster.needs_scheduling = True
    return [EmitLogEvent("worker returned from quarantine", (Label("worker", name),))]


def _is_probe_completed(request: Request, probe: AttemptId) -> bool:
    return (
        request.outcome is not None
        and request.outcome.outcome is Outcome.COMPLETED
        and request.attempts_made == probe.epoch
    )


def _is_outlier(cluster: ClusterState, name: str, health: WorkerHealth) -> bool:
    worker = cluster.workers.get(name)
    if worker is None or worker.mode is not WorkerMode.ACTIVE:
        return False
    ended = health.failures + health.successes
    if health.failures < MIN_FAILURES:
        return False
    if health.failures < MIN_FAILURE_SHARE * ended:
        return False
    others = [h for n, h in cluster.health.items() if n != name]
    failures = sum(h.failures for h in others)
    # Workers without a record have no recent failures: each counts as a full
    # window of successes.
    window = 1 / (1 - DECAY_FACTOR)
    unrecorded = len(cluster.allocations) - len(others) - 1
    total = failures + sum(h.successes for h in others) + window * max(0, unrecorded)
    share_of_others = failures / total if total else 0.0
    return health.failures / ended >= OUTLIER_RATIO * share_of_others


def _may_quarantine(cluster: ClusterState) -> bool:
    quarantined = sum(h.quarantined_at_ms is not None for h in cluster.health.values())
    share = cluster.configuration.limits.quarantine_share
    return quarantined + 1 <= share * len(cluster.workers)


def _quarantine(
    cluster: ClusterState, name: str, health: WorkerHealth
) -> list[ClusterEffect]:
    worker = cluster.workers[name]
    cluster.workers[name] = attrs.evolve(worker, mode=WorkerMode.QUARANTINED)
    cluster.health[name] = attrs.evolve(health, quarantined_at_ms=cluster.now_ms)
    refresh_worker(cluster, name)
    _schedule_probe(cluster, name, PROBE_DELAY_MIN_MS, 0)
    ids = (Label("worker", name),)
    return [
        EmitLogEvent(
            "worker quarantined, its failures stand out", ids, LogLevel.WARNING
        ),
        Count("quarantines_total"),
    ]


def _schedule_probe(
    cluster: ClusterState, name: str, delay_ms: int, passed: int
) -> None:
    at_ms = cluster.now_ms + delay_ms
    cluster.health[name] = attrs.evolve(
        cluster.health[name], probe=None, probe_at_ms=at_ms, probes_passed=passed
    )
    cluster.needs_scheduling = True
    if delay_ms:
        add_due(cluster, at_ms, ProbeDue(name))


def _start_probe(
    cluster: ClusterState, name: str, health: WorkerHealth
) -> list[ClusterEffect]:
    """Place a queued idempotent job, if any, on a quarantined worker."""
    worker = cluster.workers[name]
    if worker.mode is not WorkerMode.QUARANTINED or worker.info.draining:
        return []
    if worker.operator_mode is not WorkerMode.ACTIVE or name not in cluster.allocations:
        return []
    if worker.info.failure_domain in cluster.evacuations:
        return []
    request = _find_probe_request(cluster, name)
    if request is None:
        return []
    probe = AttemptId(request.id, request.attempts_made + 1)
    cluster.health[name] = attrs.evolve(health, probe=probe)
    return [Count("probes_total"), *place_request(cluster, request, (name,))]


def _find_probe_request(cluster: ClusterState, name: str) -> Request | None:
    index = index_of(cluster)
    worker_capacity = index.worker_capacities[name]
    ready_queues: list[ReadyQueue] = [
        ready_queue
        for ready_queues in index.ready_queues.values()
        for ready_queue in ready_queues.values()
        if ready_queue.requirements.shape.members == 1
        and not ready_queue.urgent
        and worker_capacity.free.count_fitting(
            ready_queue.requirements.shape.per_member
        )
    ]
    for ready_queue in sorted(
        ready_queues, key=lambda ready_queue: ready_queue.entries[0]
    ):
        request = cluster.requests[ready_queue.entries[0][1]]
        if request.spec.idempotent and not request.failed_on:
            return request
    return None
