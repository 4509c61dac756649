"""Workers whose failures stand out: quarantine, probing, return."""

import attrs

from crocuswell_core.cluster.agenda import add_due
from crocuswell_core.cluster.attempts import place_request
from crocuswell_core.cluster.cluster_state import ClusterState, WorkerHealth
from crocuswell_core.cluster.due import ProbeDue
from crocuswell_core.cluster.failures import DECAY
from crocuswell_core.cluster.index import index_of, refresh_worker
from crocuswell_core.cluster.records import AttemptId, Outcome, Request, WorkerMode
from crocuswell_core.cluster.spaces import Lane
from crocuswell_core.policy.policies import StandingPolicy
from crocuswell_core.runtime.effects import (
    ChangeLevel,
    ClusterEffect,
    Count,
    Label,
    LogChange,
)

# Decayed number of different jobs that must have failed on a worker, and
# their share of all jobs that ended there, before it is taken out. Three jobs
# that ran well elsewhere rule out a single bad job.
LEAST_FAILURES = 2.4
LEAST_FAILURE_SHARE = 0.6

# A worker stands out if its share is this many times that of the others.
STANDS_OUT_RATIO = 3.0

# Time in ms to the first probe, doubled after each failed one up to the limit.
PROBE_AFTER_MS = 30_000
PROBE_LIMIT_MS = 600_000

# Probes in a row that must succeed before a worker returns.
PROBES_TO_RETURN = 2


def review_workers(cluster: ClusterState) -> list[ClusterEffect]:
    """Take out workers whose failures stand out, and probe those out."""
    policy = cluster.policy
    if isinstance(policy, StandingPolicy) and not policy.quarantine:
        return []
    effects: list[ClusterEffect] = []
    for name, health in list(cluster.health.items()):
        if health.quarantined_at_ms is None:
            if _stands_out(cluster, name, health) and _may_take_out(cluster):
                effects += _quarantine(cluster, name, health)
        elif health.probe is not None:
            effects += _review_probe(cluster, name, health, health.probe)
        elif health.probe_at_ms <= cluster.now_ms:
            effects += _probe(cluster, name, health)
    return effects


def _review_probe(
    cluster: ClusterState, name: str, health: WorkerHealth, probe: AttemptId
) -> list[ClusterEffect]:
    """Take the end of a probe into account."""
    if probe in cluster.attempts:
        return []
    request = cluster.requests.get(probe.request_id)
    if request is not None and name in request.failed_on:
        # Each failed probe doubles the pause since the quarantine began.
        pause_ms = cluster.now_ms - (health.quarantined_at_ms or 0)
        pause_ms = min(max(pause_ms, PROBE_AFTER_MS), PROBE_LIMIT_MS)
        _schedule_probe(cluster, name, pause_ms, 0)
        return []
    if request is None or not _completed(request, probe):
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
    return [LogChange("worker returned from quarantine", (Label("worker", name),))]


def _completed(request: Request, probe: AttemptId) -> bool:
    return (
        request.outcome is not None
        and request.outcome.outcome is Outcome.COMPLETED
        and request.attempts_made == probe.epoch
    )


def _stands_out(cluster: ClusterState, name: str, health: WorkerHealth) -> bool:
    worker = cluster.workers.get(name)
    if worker is None or worker.mode is not WorkerMode.ACTIVE:
        return False
    ended = health.failures + health.successes
    if health.failures < LEAST_FAILURES:
        return False
    if health.failures < LEAST_FAILURE_SHARE * ended:
        return False
    others = [h for n, h in cluster.health.items() if n != name]
    failures = sum(h.failures for h in others)
    # Workers without a record have not failed lately: they count as a full
    # window of successes each.
    window = 1 / (1 - DECAY)
    unseen = len(cluster.rooms) - len(others) - 1
    total = failures + sum(h.successes for h in others) + window * max(0, unseen)
    share_of_others = failures / total if total else 0.0
    return health.failures / ended >= STANDS_OUT_RATIO * share_of_others


def _may_take_out(cluster: ClusterState) -> bool:
    out = sum(h.quarantined_at_ms is not None for h in cluster.health.values())
    share = cluster.configuration.limits.quarantine_share
    return out + 1 <= share * len(cluster.workers)


def _quarantine(
    cluster: ClusterState, name: str, health: WorkerHealth
) -> list[ClusterEffect]:
    worker = cluster.workers[name]
    cluster.workers[name] = attrs.evolve(worker, mode=WorkerMode.QUARANTINED)
    cluster.health[name] = attrs.evolve(health, quarantined_at_ms=cluster.now_ms)
    refresh_worker(cluster, name)
    _schedule_probe(cluster, name, PROBE_AFTER_MS, 0)
    ids = (Label("worker", name),)
    return [
        LogChange(
            "worker quarantined, its failures stand out", ids, ChangeLevel.WARNING
        ),
        Count("quarantines_total"),
    ]


def _schedule_probe(
    cluster: ClusterState, name: str, pause_ms: int, passed: int
) -> None:
    at_ms = cluster.now_ms + pause_ms
    cluster.health[name] = attrs.evolve(
        cluster.health[name], probe=None, probe_at_ms=at_ms, probes_passed=passed
    )
    cluster.needs_scheduling = True
    if pause_ms:
        add_due(cluster, at_ms, ProbeDue(name))


def _probe(
    cluster: ClusterState, name: str, health: WorkerHealth
) -> list[ClusterEffect]:
    """Place one idempotent job on a quarantined worker, if one waits."""
    worker = cluster.workers[name]
    if worker.mode is not WorkerMode.QUARANTINED or worker.info.draining:
        return []
    if worker.operator_mode is not WorkerMode.ACTIVE or name not in cluster.rooms:
        return []
    request = _find_probe(cluster, name)
    if request is None:
        return []
    probe = AttemptId(request.id, request.attempts_made + 1)
    cluster.health[name] = attrs.evolve(health, probe=probe)
    return [Count("probes_total"), *place_request(cluster, request, (name,))]


def _find_probe(cluster: ClusterState, name: str) -> Request | None:
    index = index_of(cluster)
    space = index.spaces[name]
    lanes: list[Lane] = [
        lane
        for lanes in index.lanes.values()
        for lane in lanes.values()
        if lane.need.shape.members == 1
        and not lane.urgent
        and space.free.members(lane.need.shape.per_member)
    ]
    for lane in sorted(lanes, key=lambda lane: lane.order[0]):
        request = cluster.requests[lane.order[0][1]]
        if request.spec.idempotent and not request.failed_on:
            return request
    return None
