"""Retry or final outcome of a request after an attempt has ended."""

import zlib
from functools import singledispatch

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    Report,
    TaskFailed,
    TaskFinished,
    TaskRefused,
    TaskStopped,
)
from crocuswell_core.cluster.due import RecordExpiryDue, ResultExpiryDue, RetryDue
from crocuswell_core.cluster.due_queue import add_due
from crocuswell_core.cluster.failures import record_failure, record_success
from crocuswell_core.cluster.index_updates import dequeue, drop_hold, enqueue
from crocuswell_core.cluster.records import (
    Attempt,
    MemberPhase,
    Outcome,
    OutcomeRecord,
    Request,
    RequestPhase,
    StopReason,
)
from crocuswell_core.jobs.crash_history import NO_CRASHES
from crocuswell_core.policy.forecast import observe_run
from crocuswell_core.runtime.effects import (
    ClusterEffect,
    Count,
    EmitLogEvent,
    Label,
    Observe,
    RequestEnded,
)
from crocuswell_core.runtime.errors import ErrorKind

RETRY_DELAY_BASE_MS = 200
RETRY_DELAY_MAX_MS = 30_000
RECORD_RETENTION_MS = 24 * 3_600_000
MS_PER_SECOND = 1_000

# Stops that the job did not cause: the request is requeued without back-off
# and the attempt does not count against the retry budget.
REQUEUE_REASONS = frozenset(
    {StopReason.PREEMPTED, StopReason.DRAINED, StopReason.NOT_CONFIRMED}
)


def finish_attempt(cluster: ClusterState, attempt: Attempt) -> list[ClusterEffect]:
    """End or requeue the request of an attempt that has ended."""
    request = cluster.requests[attempt.id.request_id]
    phases = {m.phase for m in attempt.members}
    if phases == {MemberPhase.FINISHED}:
        observe_run(cluster, request, attempt)
        record_success(cluster, request, attempt)
        return _complete(cluster, request, attempt)
    if MemberPhase.FAILED in phases:
        record_failure(cluster, request, attempt)
    ran = _may_have_run(attempt)
    if ran:
        request = attrs.evolve(request, may_have_run=True)
    if attempt.stop_reason is StopReason.CANCELLED:
        detail = "cancelled while running" if ran else "cancelled before it ran"
        return end_request(
            cluster, request, OutcomeRecord(Outcome.CANCELLED, None, detail)
        )
    if attempt.checkpoint is not None and phases == {MemberPhase.STOPPED}:
        request = attrs.evolve(request, checkpoint=attempt.checkpoint)
        return _requeue_or_retry(cluster, request, attempt)
    if not ran or request.spec.idempotent:
        return _requeue_or_retry(cluster, request, attempt)
    if MemberPhase.LOST in phases:
        return end_request(
            cluster,
            request,
            OutcomeRecord(
                Outcome.OUTCOME_UNKNOWN,
                None,
                "contact with the worker was lost after the start",
            ),
        )
    return end_request(
        cluster,
        request,
        OutcomeRecord(Outcome.FAILED, None, attempt.detail or "failed"),
    )


def end_request(
    cluster: ClusterState, request: Request, outcome: OutcomeRecord
) -> list[ClusterEffect]:
    """Record the final outcome of a request."""
    outcome = attrs.evolve(outcome, at_ms=cluster.now_ms)
    _release_retry_budget(cluster, request)
    cluster.queues.get(request.workspace, {}).pop(request.id, None)
    dequeue(cluster, request)
    drop_hold(cluster, request.id)
    cluster.reservations.pop(request.id, None)
    cluster.crash_histories.pop(request.id, None)
    cluster.requests[request.id] = attrs.evolve(
        request, phase=RequestPhase.DONE, outcome=outcome, not_before_ms=0
    )
    retention_ms = cluster.configuration.limits.result_retention_ms
    add_due(cluster, cluster.now_ms + retention_ms, ResultExpiryDue(request.id))
    add_due(cluster, cluster.now_ms + RECORD_RETENTION_MS, RecordExpiryDue(request.id))
    labels = (
        Label("workspace", request.workspace),
        Label("outcome", outcome.outcome.value),
    )
    seconds = (cluster.now_ms - request.accepted_at_ms) / MS_PER_SECOND
    return [
        RequestEnded(request.id),
        Count("requests_ended_total", labels=labels),
        Observe(
            "request_completion_seconds",
            seconds,
            (Label("workspace", request.workspace),),
        ),
    ]


def resolve_unknown_outcome(
    cluster: ClusterState, report: Report
) -> list[ClusterEffect]:
    """Resolve an unknown outcome with a late report.

    A report that does not apply to an unknown outcome is counted and dropped.
    """
    request = cluster.requests.get(report.attempt.request_id)
    if (
        request is None
        or request.outcome is None
        or request.outcome.outcome is not Outcome.OUTCOME_UNKNOWN
        or report.attempt.epoch != request.attempts_made
        or request.spec.shape.members != 1
    ):
        return [Count("reports_dropped_total")]
    outcome = _outcome_of_late_report(report)
    if outcome is None:
        return [Count("reports_dropped_total")]
    ids = (Label("request", request.id), Label("outcome", outcome.outcome.value))
    return [
        EmitLogEvent("unknown outcome resolved", ids),
        *end_request(cluster, request, outcome),
    ]


@singledispatch
def _outcome_of_late_report(report: Report) -> OutcomeRecord | None:
    return None


@_outcome_of_late_report.register
def _(report: TaskFinished) -> OutcomeRecord:
    return _completed_outcome(report.result, report.digest)


@_outcome_of_late_report.register
def _(report: TaskFailed) -> OutcomeRecord:
    return OutcomeRecord(Outcome.FAILED, None, report.detail)


@_outcome_of_late_report.register
def _(report: TaskStopped) -> OutcomeRecord:
    return OutcomeRecord(Outcome.FAILED, None, "stopped when its lease ended")


@_outcome_of_late_report.register
def _(report: TaskRefused) -> OutcomeRecord:
    return OutcomeRecord(
        Outcome.NOT_RUN, ErrorKind.UNAVAILABLE, "its worker never started it"
    )


def _complete(
    cluster: ClusterState, request: Request, attempt: Attempt
) -> list[ClusterEffect]:
    result = attempt.result or b""
    limit = cluster.configuration.limits.result_bytes
    if len(result) > limit:
        detail = f"the result has {len(result)} bytes, more than the limit of {limit}"
        return end_request(
            cluster, request, OutcomeRecord(Outcome.FAILED, None, detail)
        )
    return end_request(cluster, request, _completed_outcome(result, attempt.digest))


def _completed_outcome(result: bytes, digest: str) -> OutcomeRecord:
    return OutcomeRecord(
        Outcome.COMPLETED, result=result, length=len(result), digest=digest
    )


def _may_have_run(attempt: Attempt) -> bool:
    if attempt.started_at_ms is None:
        return False
    return any(m.phase is not MemberPhase.REFUSED for m in attempt.members)


def _requeue_or_retry(
    cluster: ClusterState, request: Request, attempt: Attempt
) -> list[ClusterEffect]:
    if attempt.stop_reason in REQUEUE_REASONS:
        return _requeue(cluster, request, 0)
    if attempt.crashed_on:
        _record_crash(cluster, attempt)
    failed = attempt.stop_reason is StopReason.MEMBER_FAILED
    if failed:
        request = attrs.evolve(
            request, failed_on=request.failed_on + _failed_workers(attempt)
        )
    refusal = _retry_refusal(cluster, request, failed)
    if refusal:
        return _give_up(cluster, request, attempt, refusal)
    cluster.retries[request.workspace] = cluster.retries.get(request.workspace, 0) + 1
    delay_ms = retry_delay_ms(request.id, request.attempts_made)
    return [
        Count("retries_total", labels=(Label("workspace", request.workspace),)),
        *_requeue(cluster, request, delay_ms),
    ]


def _retry_refusal(cluster: ClusterState, request: Request, failed: bool) -> str:
    workspace = cluster.configuration.workspace(request.workspace)
    if workspace is None:
        return "its workspace was removed"
    if failed and len(request.failed_on) >= cluster.configuration.limits.attempts:
        return f"failed {len(request.failed_on)} times"
    crashes = cluster.crash_histories.get(request.id, NO_CRASHES)
    if crashes.is_proof:
        return f"its backend server crashed {crashes.count} times"
    if cluster.retries.get(request.workspace, 0) >= workspace.retry_budget:
        return "the workspace's retry budget is used up"
    return ""


def _record_crash(cluster: ClusterState, attempt: Attempt) -> None:
    """Record the crash of a backend server under an attempt."""
    histories = cluster.crash_histories
    history = histories.get(attempt.id.request_id, NO_CRASHES)
    started_at_ms = attempt.started_at_ms or cluster.now_ms
    ran_ms = cluster.now_ms - started_at_ms
    # Agents do not tell what else ran there.
    histories[attempt.id.request_id] = history.after_crash(
        attempt.crashed_on, ran_ms, ran_ms, sole=False
    )


def _give_up(
    cluster: ClusterState, request: Request, attempt: Attempt, reason: str
) -> list[ClusterEffect]:
    detail = f"{reason}: {attempt.detail}" if attempt.detail else reason
    if request.may_have_run:
        outcome = OutcomeRecord(Outcome.FAILED, None, detail)
    else:
        outcome = OutcomeRecord(Outcome.NOT_RUN, ErrorKind.OVERLOADED, detail)
    return end_request(cluster, request, outcome)


def _requeue(
    cluster: ClusterState, request: Request, delay_ms: int
) -> list[ClusterEffect]:
    not_before_ms = cluster.now_ms + delay_ms if delay_ms else 0
    request = attrs.evolve(
        request, phase=RequestPhase.QUEUED, not_before_ms=not_before_ms
    )
    cluster.requests[request.id] = request
    cluster.queues.setdefault(request.workspace, {})[request.id] = None
    cluster.needs_scheduling = True
    if not delay_ms:
        enqueue(cluster, request)
    if delay_ms:
        add_due(cluster, not_before_ms, RetryDue(request.id))
    return []


def _release_retry_budget(cluster: ClusterState, request: Request) -> None:
    if request.not_before_ms:
        cluster.retries[request.workspace] -= 1


def _failed_workers(attempt: Attempt) -> tuple[str, ...]:
    return tuple(
        dict.fromkeys(
            m.worker for m in attempt.members if m.phase is MemberPhase.FAILED
        )
    )


def retry_delay_ms(request_id: str, attempts_made: int) -> int:
    """Return the back-off in ms before the next attempt.

    The jitter is derived from a checksum of the request id, so that every
    entry host computes the same delay.
    """
    max_delay_ms = min(RETRY_DELAY_BASE_MS * 2**attempts_made, RETRY_DELAY_MAX_MS)
    checksum = zlib.crc32(f"{request_id}.{attempts_made}".encode())
    return max_delay_ms // 2 + checksum % (max_delay_ms // 2)
