"""Handlers of the commands that evacuate failure domains."""

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    EndEvacuation,
    EvacuationSet,
    LogEntry,
    Refused,
    StartEvacuation,
)
from crocuswell_core.cluster.evacuations import Evacuation, find_domain_problem
from crocuswell_core.cluster.fleet import vacate_worker
from crocuswell_core.cluster.index_updates import refresh_worker
from crocuswell_core.runtime.dispatch import apply_command
from crocuswell_core.runtime.effects import (
    ApplyResult,
    ClusterEffect,
    Count,
    EmitLogEvent,
    EvacuationChanged,
    Label,
)
from crocuswell_core.runtime.errors import ErrorKind


@apply_command.register
def _(command: StartEvacuation, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    domain = command.failure_domain
    problem = find_domain_problem(domain)
    if problem is not None:
        return ApplyResult(Refused(ErrorKind.INVALID_REQUEST, problem))
    reply = EvacuationSet(domain, is_evacuated=True)
    if domain in cluster.evacuations:
        return ApplyResult(reply)
    cluster.evacuations[domain] = Evacuation(cluster.now_ms, command.author)
    effects: list[ClusterEffect] = [
        EmitLogEvent("evacuation_started", _labels(domain, command.author)),
        Count("evacuations_started_total"),
    ]
    for name in _change_workers(cluster, domain):
        effects += vacate_worker(cluster, name)
    return ApplyResult(reply, (*effects, EvacuationChanged(domain)))


@apply_command.register
def _(command: EndEvacuation, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    domain = command.failure_domain
    problem = find_domain_problem(domain)
    if problem is not None:
        return ApplyResult(Refused(ErrorKind.INVALID_REQUEST, problem))
    reply = EvacuationSet(domain, is_evacuated=False)
    evacuation = cluster.evacuations.pop(domain, None)
    if evacuation is None:
        return ApplyResult(reply)
    _change_workers(cluster, domain)
    lasted_s = (cluster.now_ms - evacuation.since_ms) / 1_000
    labels = (*_labels(domain, command.author), Label("seconds", f"{lasted_s:.1f}"))
    log = EmitLogEvent("evacuation_ended", labels)
    return ApplyResult(reply, (log, EvacuationChanged(domain)))


def _change_workers(cluster: ClusterState, domain: str) -> list[str]:
    """Note that the workers of a domain may be used, or not any more."""
    cluster.jobs.revision += 1
    cluster.needs_scheduling = True
    names = [
        name
        for name, worker in cluster.workers.items()
        if worker.info.failure_domain == domain
    ]
    for name in names:
        refresh_worker(cluster, name)
    return names


def _labels(domain: str, author: str) -> tuple[Label, ...]:
    return Label("failure_domain", domain), Label("author", author)
