"""Handlers of submission, cancellation, reports and scheduled actions."""

from collections.abc import Iterable
from functools import singledispatch

import attrs

from crocuswell_core.cluster.attempts import (
    record_report,
    release_unconfirmed,
    stop_attempt,
)
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    AdvanceTime,
    CancelRequests,
    Done,
    LogEntry,
    NoOperation,
    RecordReports,
    Refused,
    RequestAccepted,
    RequestsCancelled,
    SubmitRequest,
)
from crocuswell_core.cluster.configuration import Workspace
from crocuswell_core.cluster.due import (
    DeadlineDue,
    Due,
    ProbeDue,
    RecordExpiryDue,
    ReplyExpiryDue,
    ReservationTimeoutDue,
    ResultExpiryDue,
    RetryDue,
)
from crocuswell_core.cluster.due_queue import add_due, pop_due
from crocuswell_core.cluster.index_updates import (
    enqueue,
    index_of,
    refresh_worker,
    requirements_of,
)
from crocuswell_core.cluster.outcomes import end_request
from crocuswell_core.cluster.records import (
    AttemptId,
    AttemptPhase,
    JobSpec,
    Outcome,
    OutcomeRecord,
    Request,
    RequestPhase,
    StopReason,
)
from crocuswell_core.cluster.resources import MAX_GANG_SIZE, Resources
from crocuswell_core.cluster.scheduling_index import Usage
from crocuswell_core.policy.placement import can_ever_borrow, can_ever_fit
from crocuswell_core.policy.scoring import record_shape
from crocuswell_core.runtime.dispatch import apply_command
from crocuswell_core.runtime.effects import (
    ApplyResult,
    ClusterEffect,
    Count,
    Label,
    ReportsRecorded,
)
from crocuswell_core.runtime.errors import ErrorKind

OVERLOAD_RETRY_MS = 2_000


@apply_command.register
def _(command: NoOperation, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    return ApplyResult(Done())


@apply_command.register
def _(command: AdvanceTime, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    effects: list[ClusterEffect] = []
    for due in pop_due(cluster):
        effects += _handle_due(due, cluster)
    return ApplyResult(Done(), tuple(effects))


@apply_command.register
def _(command: SubmitRequest, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    refused = _find_refusal(command, cluster)
    labels = (Label("workspace", command.workspace),)
    if refused is not None:
        # The caller chose the name of an unknown workspace: as a label it
        # would let callers create any number of metric series.
        if refused.kind is ErrorKind.NOT_FOUND:
            labels = (Label("workspace", ""),)
        kind = Label("kind", refused.kind.value)
        return ApplyResult(
            refused, (Count("requests_refused_total", labels=(*labels, kind)),)
        )
    request = Request(
        id=command.request_id,
        workspace=command.workspace,
        spec=command.spec,
        accepted_at_ms=cluster.now_ms,
    )
    cluster.requests[request.id] = request
    cluster.queues.setdefault(request.workspace, {})[request.id] = None
    enqueue(cluster, request)
    record_shape(cluster, command.spec.shape)
    cluster.needs_scheduling = True
    if command.spec.deadline_ms is not None:
        due = DeadlineDue(request.id)
        add_due(cluster, cluster.now_ms + command.spec.deadline_ms, due)
    return ApplyResult(
        RequestAccepted(request.id),
        (Count("requests_accepted_total", labels=labels),),
    )


@apply_command.register
def _(command: CancelRequests, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    effects: list[ClusterEffect] = []
    count = 0
    for request in _select_requests(command, cluster):
        count += 1
        effects += cancel_request(cluster, request)
    return ApplyResult(RequestsCancelled(count), tuple(effects))


@apply_command.register
def _(command: RecordReports, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    worker = cluster.workers.get(command.worker)
    if worker is None or worker.incarnation != command.incarnation:
        return ApplyResult(Done(), (Count("reports_stale_total"),))
    if cluster.unresponsive.pop(command.worker, None) is not None:
        refresh_worker(cluster, command.worker)
        cluster.needs_scheduling = True
    last = cluster.report_sequences.get(command.worker, 0)
    first = command.last_sequence - len(command.reports) + 1
    # A gap: an earlier message was lost. The agent resends all reports that
    # are not acknowledged, oldest first.
    if first > last + 1:
        return ApplyResult(Done(), (Count("reports_stale_total"),))
    effects: list[ClusterEffect] = []
    for sequence, report in enumerate(command.reports, start=first):
        if sequence > last:
            effects += record_report(cluster, report)
    last = max(last, command.last_sequence)
    cluster.report_sequences[command.worker] = last
    effects.append(ReportsRecorded(command.worker, last))
    return ApplyResult(Done(), tuple(effects))


def cancel_request(cluster: ClusterState, request: Request) -> list[ClusterEffect]:
    """Cancel a request that has not ended."""
    if request.phase is RequestPhase.ACTIVE:
        attempt = cluster.attempts[AttemptId(request.id, request.attempts_made)]
        return stop_attempt(cluster, attempt, StopReason.CANCELLED)
    outcome = OutcomeRecord(Outcome.CANCELLED, None, "cancelled while waiting")
    return end_request(cluster, request, outcome)


def _find_refusal(command: SubmitRequest, cluster: ClusterState) -> Refused | None:
    workspace = cluster.configuration.workspace(command.workspace)
    if workspace is None:
        return Refused(ErrorKind.NOT_FOUND, f"workspace {command.workspace!r}")
    if command.request_id in cluster.requests:
        return Refused(ErrorKind.INVALID_REQUEST, "the request id is taken")
    problem = find_spec_problem(command.spec)
    if problem:
        return Refused(ErrorKind.INVALID_REQUEST, problem)
    shape = command.spec.shape
    if workspace.quota is not None and not shape.total.fits_in(workspace.quota):
        return Refused(
            ErrorKind.OVER_QUOTA, "the job needs more than the workspace's quota"
        )
    if cluster.workers and not can_ever_fit(cluster, shape):
        return Refused(
            ErrorKind.NEVER_FITS,
            "no set of known workers has the room that the shape needs",
        )
    if cluster.workers and not _can_ever_start(cluster, workspace, command.spec):
        return Refused(
            ErrorKind.NEVER_FITS,
            "it cannot be moved in time, it is larger than the workspace's "
            "guarantees, and guarantees are planned on all room that would hold it",
        )
    return _find_overload(workspace, cluster)


def _can_ever_start(cluster: ClusterState, workspace: Workspace, spec: JobSpec) -> bool:
    total = spec.shape.total
    if any(total.fits_in(guarantee.total) for guarantee in workspace.guarantees):
        return True
    return can_ever_borrow(cluster, requirements_of(spec))


def _find_overload(workspace: Workspace, cluster: ClusterState) -> Refused | None:
    waiting = len(cluster.queues.get(workspace.name, ()))
    if waiting < workspace.queue_limit:
        return None
    return Refused(
        ErrorKind.OVERLOADED,
        f"{waiting} requests wait, which is the limit",
        retry_after_ms=OVERLOAD_RETRY_MS,
    )


def find_spec_problem(spec: JobSpec) -> str | None:
    """Return a one-sentence error for an invalid job, or None if valid."""
    amount = spec.shape.per_member
    if not 1 <= spec.shape.members <= MAX_GANG_SIZE:
        return f"shape.members: must be from 1 to {MAX_GANG_SIZE}"
    if amount.is_negative() or amount == Resources():
        return "shape.per_member: must ask for something, and for nothing negative"
    if spec.run_time_ms < 1:
        return "run_time_ms: must be at least 1"
    if spec.checkpoint_ms is not None and spec.checkpoint_ms < 0:
        return "checkpoint_ms: must not be negative"
    if spec.deadline_ms is not None and spec.deadline_ms < 1:
        return "deadline_ms: must be at least 1"
    return None


def _select_requests(command: CancelRequests, cluster: ClusterState) -> list[Request]:
    ids: Iterable[str] = command.request_ids
    if not ids:
        usage = index_of(cluster).usage.get(command.workspace, Usage())
        active = (attempt_id.request_id for attempt_id in usage.active)
        ids = [*cluster.queues.get(command.workspace, ()), *active]
    candidates = [cluster.requests[i] for i in ids if i in cluster.requests]
    return [
        request
        for request in candidates
        if request.workspace == command.workspace
        and request.phase is not RequestPhase.DONE
        and command.job_class in {"", request.spec.job_class}
    ]


@singledispatch
def _handle_due(due: Due, cluster: ClusterState) -> list[ClusterEffect]:
    raise NotImplementedError(type(due).__name__)


@_handle_due.register
def _(due: RetryDue, cluster: ClusterState) -> list[ClusterEffect]:
    request = cluster.requests.get(due.request_id)
    if request is None or not 0 < request.not_before_ms <= cluster.now_ms:
        return []
    cluster.retries[request.workspace] -= 1
    request = attrs.evolve(request, not_before_ms=0)
    cluster.requests[request.id] = request
    enqueue(cluster, request)
    cluster.needs_scheduling = True
    return []


@_handle_due.register
def _(due: DeadlineDue, cluster: ClusterState) -> list[ClusterEffect]:
    request = cluster.requests.get(due.request_id)
    if request is None or request.phase is not RequestPhase.QUEUED:
        return []
    if request.may_have_run:
        outcome = OutcomeRecord(
            Outcome.FAILED, None, "its deadline passed before a retry could start"
        )
    else:
        outcome = OutcomeRecord(
            Outcome.NOT_RUN, ErrorKind.DEADLINE_PASSED, "it waited too long for room"
        )
    return end_request(cluster, request, outcome)


@_handle_due.register
def _(due: ResultExpiryDue, cluster: ClusterState) -> list[ClusterEffect]:
    request = cluster.requests.get(due.request_id)
    if request is None or request.outcome is None:
        return []
    if cluster.now_ms - request.outcome.at_ms < _result_retention_ms(cluster):
        return []
    cluster.requests[request.id] = attrs.evolve(
        request,
        spec=attrs.evolve(request.spec, payload=b""),
        checkpoint=None,
        outcome=attrs.evolve(request.outcome, result=None),
    )
    return []


@_handle_due.register
def _(due: RecordExpiryDue, cluster: ClusterState) -> list[ClusterEffect]:
    request = cluster.requests.get(due.request_id)
    if request is not None and request.phase is RequestPhase.DONE:
        del cluster.requests[due.request_id]
    return []


@_handle_due.register
def _(due: ReservationTimeoutDue, cluster: ClusterState) -> list[ClusterEffect]:
    attempt = cluster.attempts.get(due.attempt)
    if attempt is None or attempt.phase is not AttemptPhase.RESERVING:
        return []
    return [
        Count("reservations_unconfirmed_total"),
        *release_unconfirmed(cluster, attempt),
    ]


@_handle_due.register
def _(due: ProbeDue, cluster: ClusterState) -> list[ClusterEffect]:
    cluster.needs_scheduling = True
    return []


@_handle_due.register
def _(due: ReplyExpiryDue, cluster: ClusterState) -> list[ClusterEffect]:
    cluster.cached_replies.pop(due.command_id, None)
    return []


def _result_retention_ms(cluster: ClusterState) -> int:
    return cluster.configuration.limits.result_retention_ms
