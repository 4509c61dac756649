"""Replies to reads, built from the applied state."""

from collections.abc import Iterator
from itertools import islice

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import Refused
from crocuswell_core.cluster.records import AttemptId, Request
from crocuswell_core.cluster.resources import NO_RESOURCES
from crocuswell_core.consensus import election
from crocuswell_core.entry.calls import (
    ExplainRequest,
    GetConfiguration,
    GetEvacuations,
    GetForecasts,
    GetHistory,
    GetMembers,
    GetRequest,
    GetWorkers,
    ListRequests,
)
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.entry.replies import (
    ConfigurationView,
    EvacuationsView,
    EvacuationView,
    Explanation,
    ForecastsView,
    HistoryView,
    MembersView,
    ReadReply,
    RequestsView,
    RequestView,
    RunTimeForecast,
    SpeedForecast,
    WorkersView,
    WorkerView,
)
from crocuswell_core.learning.expected_ratios import expected_ratios
from crocuswell_core.policy.scheduling import explain_waiting
from crocuswell_core.runtime.dispatch import answer_read
from crocuswell_core.runtime.errors import ErrorKind


@answer_read.register
def _(call: GetRequest, state: EntryState) -> ReadReply:
    request = _find_request(state.cluster, call.request_id, call.workspace)
    if request is None:
        return _not_found(call.request_id)
    return RequestView(request)


@answer_read.register
def _(call: ListRequests, state: EntryState) -> ReadReply:
    if state.cluster.configuration.workspace(call.workspace) is None:
        return Refused(ErrorKind.NOT_FOUND, f"workspace {call.workspace!r}")
    newest = islice(_newest_requests(state.cluster, call.workspace), call.limit)
    return RequestsView(tuple(newest))


@answer_read.register
def _(call: GetConfiguration, state: EntryState) -> ReadReply:
    return ConfigurationView(state.cluster.history[-1], state.cluster.number_in_force)


@answer_read.register
def _(call: GetHistory, state: EntryState) -> ReadReply:
    return HistoryView(tuple(reversed(state.cluster.history[-call.limit :])))


@answer_read.register
def _(call: GetWorkers, state: EntryState) -> ReadReply:
    return WorkersView(
        tuple(_view_worker(state.cluster, name) for name in state.cluster.workers)
    )


@answer_read.register
def _(call: GetEvacuations, state: EntryState) -> ReadReply:
    return EvacuationsView(
        tuple(
            _view_evacuation(state.cluster, name) for name in state.cluster.evacuations
        )
    )


@answer_read.register
def _(call: GetMembers, state: EntryState) -> ReadReply:
    consensus = state.consensus
    return MembersView(
        host=state.cfg.host.id,
        leader=consensus.leader or "",
        term=consensus.term,
        commit_index=consensus.commit_index,
        hosts=consensus.hosts,
        voters=consensus.voters,
    )


@answer_read.register
def _(call: GetForecasts, state: EntryState) -> ReadReply:
    times, speeds = state.cluster.learned_times, state.dispatch.speeds
    run_times = []
    for key in islice(reversed(times.classes), call.limit):
        learned = expected_ratios(times, (key,))
        quantiles = learned.quantile(0.5), learned.quantile(0.9)
        run_times.append(RunTimeForecast(key, learned.runs, *quantiles))
    leads = election.holds_lease(state)
    return ForecastsView(
        tuple(run_times),
        tuple(
            SpeedForecast(name, speeds.factor(name), speeds.is_known(name))
            for name in (speeds.workers if leads else ())
        ),
    )


@answer_read.register
def _(call: ExplainRequest, state: EntryState) -> ReadReply:
    request = _find_request(state.cluster, call.request_id, call.workspace)
    if request is None:
        return _not_found(call.request_id)
    waiting = explain_waiting(state.cluster, request)
    attempt_id = AttemptId(request.id, request.attempts_made)
    return Explanation(
        request=request,
        waiting_for=waiting.reason,
        expected_start_ms=waiting.expected_start_ms,
        attempt=state.cluster.attempts.get(attempt_id),
    )


def _find_request(
    cluster: ClusterState, request_id: str, workspace: str
) -> Request | None:
    request = cluster.requests.get(request_id)
    if request is None or workspace not in {"", request.workspace}:
        return None
    return request


def _not_found(request_id: str) -> Refused:
    return Refused(ErrorKind.NOT_FOUND, f"request {request_id!r}")


def _newest_requests(cluster: ClusterState, workspace: str) -> Iterator[Request]:
    for request in reversed(cluster.requests.values()):
        if request.workspace == workspace:
            yield request


def _view_evacuation(cluster: ClusterState, domain: str) -> EvacuationView:
    names = [
        name
        for name, worker in cluster.workers.items()
        if worker.info.failure_domain == domain
    ]
    allocations = [cluster.allocations[n] for n in names if n in cluster.allocations]
    attempts = {id_ for allocation in allocations for id_ in allocation.attempts}
    evacuation = cluster.evacuations[domain]
    return EvacuationView(domain, evacuation, len(names), len(attempts))


def _view_worker(cluster: ClusterState, name: str) -> WorkerView:
    allocation = cluster.allocations.get(name)
    return WorkerView(
        worker=cluster.workers[name],
        free=allocation.free if allocation else NO_RESOURCES,
        attempts=tuple(str(i) for i in allocation.attempts) if allocation else (),
    )
