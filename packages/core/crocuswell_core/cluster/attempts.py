"""Life cycle of attempts: placement, start, stop, and agents' reports.

An attempt goes from `RESERVING` (gangs only) to `RUNNING` to its end, or to
`STOPPING` once a stop is ordered or one member cannot continue. Capacity is
released member by member; the attempt is deleted when its last member has
ended.
"""

from functools import singledispatch

import attrs

from crocuswell_core.agent.agent_messages import Order, ReserveTask, StartTask, StopTask
from crocuswell_core.cluster.allocations import allocate_member, set_member_phase
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    Report,
    TaskFailed,
    TaskFinished,
    TaskLost,
    TaskRefused,
    TaskReserved,
    TaskStopped,
)
from crocuswell_core.cluster.due import ReservationTimeoutDue
from crocuswell_core.cluster.due_queue import add_due
from crocuswell_core.cluster.index_updates import (
    PREEMPTION_GRACE_MS,
    add_attempt,
    dequeue,
    drop_hold,
    mark_stopping,
    refresh_worker,
    remove_attempt,
)
from crocuswell_core.cluster.outcomes import finish_attempt, resolve_unknown_outcome
from crocuswell_core.cluster.records import (
    ENDED_MEMBER_PHASES,
    Attempt,
    AttemptId,
    AttemptPhase,
    JobSpec,
    Member,
    MemberPhase,
    Request,
    RequestPhase,
    StopReason,
)
from crocuswell_core.policy.forecast import expected_run_ms
from crocuswell_core.runtime.effects import ClusterEffect, Count, OrderWorker

# Time for all agents of a gang to confirm their reservations. An agent
# confirms within two message delays; the rest of the 2,200 ms allowed from
# claim to start is left for a second placement on other workers.
CONFIRM_TIMEOUT_MS = 800

STOP_REASON_BY_PHASE = {
    MemberPhase.REFUSED: StopReason.MEMBER_REFUSED,
    MemberPhase.FAILED: StopReason.MEMBER_FAILED,
    MemberPhase.LOST: StopReason.MEMBER_LOST,
    MemberPhase.STOPPED: StopReason.MEMBER_LOST,
}


PHASE_BY_REPORT = {
    TaskFailed: MemberPhase.FAILED,
    TaskRefused: MemberPhase.REFUSED,
}


def place_request(
    cluster: ClusterState,
    request: Request,
    workers: tuple[str, ...],
    guarantee: str | None = None,
) -> list[ClusterEffect]:
    """Create an attempt and allocate capacity for all of its members.

    Parameters
    ----------
    cluster : ClusterState
        The replicated state.
    request : Request
        A queued request.
    workers : tuple of str
        Worker of each rank; the caller has checked that all members fit.
    guarantee : str or None
        Key of the planned shape that is claimed; None for a borrower.

    Returns
    -------
    list of ClusterEffect
        Reservation orders for a gang, a start order for a single task.
    """
    epoch = request.attempts_made + 1
    attempt_id = AttemptId(request.id, epoch)
    amount = request.spec.shape.per_member
    members = tuple(
        allocate_member(cluster, attempt_id, rank, worker, amount)
        for rank, worker in enumerate(workers)
    )
    single = len(members) == 1
    attempt = Attempt(
        id=attempt_id,
        workspace=request.workspace,
        members=members,
        phase=AttemptPhase.RUNNING if single else AttemptPhase.RESERVING,
        placed_at_ms=cluster.now_ms,
        started_at_ms=cluster.now_ms if single else None,
        guarantee=guarantee,
        expected_end_ms=cluster.now_ms + expected_run_ms(cluster, request),
    )
    cluster.attempts[attempt_id] = attempt
    dequeue(cluster, request)
    drop_hold(cluster, request.id)
    cluster.reservations.pop(request.id, None)
    add_attempt(cluster, attempt)
    cluster.requests[request.id] = attrs.evolve(
        request,
        phase=RequestPhase.ACTIVE,
        attempts_made=epoch,
        started_at_ms=_first_start_ms(request, attempt),
    )
    cluster.queues[request.workspace].pop(request.id, None)
    if not single:
        due = ReservationTimeoutDue(attempt_id)
        add_due(cluster, cluster.now_ms + CONFIRM_TIMEOUT_MS, due)
    return [OrderWorker(m.worker, desired_order(cluster, attempt, m)) for m in members]


def stop_attempt(
    cluster: ClusterState, attempt: Attempt, reason: StopReason, detail: str = ""
) -> list[ClusterEffect]:
    """Order all members that have not ended to stop.

    Does nothing if the attempt is already stopping: the first reason is
    kept.
    """
    if attempt.phase is AttemptPhase.STOPPING:
        return []
    attempt = attrs.evolve(
        attempt, phase=AttemptPhase.STOPPING, stop_reason=reason, detail=detail
    )
    cluster.attempts[attempt.id] = attempt
    mark_stopping(cluster, attempt)
    effects: list[ClusterEffect] = [
        OrderWorker(m.worker, desired_order(cluster, attempt, m))
        for m in attempt.members
        if m.phase not in ENDED_MEMBER_PHASES
    ]
    return effects + _advance_attempt(cluster, attempt)


def desired_order(cluster: ClusterState, attempt: Attempt, member: Member) -> Order:
    """Return the order that brings a member to its desired state."""
    spec = cluster.requests[attempt.id.request_id].spec
    if attempt.phase is AttemptPhase.RESERVING:
        return ReserveTask(
            attempt.id, member.rank, spec.shape.per_member, member.accelerators
        )
    if attempt.phase is AttemptPhase.STOPPING:
        checkpoint_ms = None if _discards_work(attempt) else spec.checkpoint_ms
        if attempt.stop_reason is StopReason.PREEMPTED and not _checkpoints_fast(spec):
            checkpoint_ms = None
        return StopTask(attempt.id, member.rank, checkpoint_ms)
    return StartTask(
        attempt=attempt.id,
        rank=member.rank,
        members=len(attempt.members),
        resources=spec.shape.per_member,
        accelerators=member.accelerators,
        payload=spec.payload,
        idempotent=spec.idempotent,
        run_time_ms=spec.run_time_ms,
        checkpoint=cluster.requests[attempt.id.request_id].checkpoint,
        checkpoint_ms=spec.checkpoint_ms,
    )


def release_unconfirmed(cluster: ClusterState, attempt: Attempt) -> list[ClusterEffect]:
    """Cancel a gang's reservation that was not confirmed in time.

    The capacity is released without waiting for the agents. That is safe:
    no start was committed, so nothing has run, and an agent that comes back
    receives the stop order before any other order.
    """
    effects = stop_attempt(cluster, attempt, StopReason.NOT_CONFIRMED)
    for member in attempt.members:
        if member.phase is MemberPhase.ORDERED:
            cluster.unresponsive.setdefault(member.worker, cluster.now_ms)
            refresh_worker(cluster, member.worker)
    for member in attempt.members:
        current = cluster.attempts[attempt.id]
        effects += _end_member(cluster, current, member.rank, MemberPhase.STOPPED)
    return effects


def mark_member_lost(
    cluster: ClusterState, attempt: Attempt, rank: int
) -> list[ClusterEffect]:
    """End a member whose worker is lost or has no record of it."""
    return _end_member(cluster, attempt, rank, MemberPhase.LOST)


def record_report(cluster: ClusterState, report: Report) -> list[ClusterEffect]:
    """Apply one report of an agent.

    A report that matches no active member is counted and dropped, unless it
    resolves an unknown outcome.
    """
    attempt = cluster.attempts.get(report.attempt)
    if attempt is None:
        return resolve_unknown_outcome(cluster, report)
    if not 0 <= report.rank < len(attempt.members):
        return [Count("reports_dropped_total")]
    if attempt.members[report.rank].phase in ENDED_MEMBER_PHASES:
        return [Count("reports_dropped_total")]
    return _apply_report(report, cluster, attempt)


@singledispatch
def _apply_report(
    report: Report, cluster: ClusterState, attempt: Attempt
) -> list[ClusterEffect]:
    raise NotImplementedError(type(report).__name__)


@_apply_report.register
def _(
    report: TaskReserved, cluster: ClusterState, attempt: Attempt
) -> list[ClusterEffect]:
    if attempt.phase is not AttemptPhase.RESERVING:
        return []
    attempt = set_member_phase(cluster, attempt, report.rank, MemberPhase.RESERVED)
    return _advance_attempt(cluster, attempt)


@_apply_report.register
def _(
    report: TaskFinished, cluster: ClusterState, attempt: Attempt
) -> list[ClusterEffect]:
    if report.rank == 0:
        attempt = attrs.evolve(attempt, result=report.result, digest=report.digest)
    return _end_member(cluster, attempt, report.rank, MemberPhase.FINISHED)


@_apply_report.register(TaskFailed)
@_apply_report.register(TaskRefused)
def _(
    report: TaskFailed | TaskRefused, cluster: ClusterState, attempt: Attempt
) -> list[ClusterEffect]:
    attempt = attrs.evolve(attempt, detail=attempt.detail or report.detail)
    return _end_member(cluster, attempt, report.rank, PHASE_BY_REPORT[type(report)])


@_apply_report.register
def _(
    report: TaskStopped, cluster: ClusterState, attempt: Attempt
) -> list[ClusterEffect]:
    if report.rank == 0 and report.checkpoint is not None:
        attempt = attrs.evolve(attempt, checkpoint=report.checkpoint)
    return _end_member(cluster, attempt, report.rank, MemberPhase.STOPPED)


@_apply_report.register
def _(report: TaskLost, cluster: ClusterState, attempt: Attempt) -> list[ClusterEffect]:
    # The agent lived on, so it was the backend server that ended.
    worker = attempt.members[report.rank].worker
    attempt = attrs.evolve(attempt, crashed_on=attempt.crashed_on or worker)
    return _end_member(cluster, attempt, report.rank, MemberPhase.LOST)


def _end_member(
    cluster: ClusterState, attempt: Attempt, rank: int, phase: MemberPhase
) -> list[ClusterEffect]:
    attempt = set_member_phase(cluster, attempt, rank, phase)
    reason = STOP_REASON_BY_PHASE.get(phase)
    if reason is not None and attempt.phase is not AttemptPhase.STOPPING:
        return stop_attempt(cluster, attempt, reason, attempt.detail)
    return _advance_attempt(cluster, attempt)


def _advance_attempt(cluster: ClusterState, attempt: Attempt) -> list[ClusterEffect]:
    phases = [m.phase for m in attempt.members]
    if all(phase in ENDED_MEMBER_PHASES for phase in phases):
        del cluster.attempts[attempt.id]
        remove_attempt(cluster, attempt)
        return finish_attempt(cluster, attempt)
    if attempt.phase is AttemptPhase.RESERVING and all(
        phase is MemberPhase.RESERVED for phase in phases
    ):
        return _start_gang(cluster, attempt)
    return []


def _start_gang(cluster: ClusterState, attempt: Attempt) -> list[ClusterEffect]:
    attempt = attrs.evolve(
        attempt, phase=AttemptPhase.RUNNING, started_at_ms=cluster.now_ms
    )
    cluster.attempts[attempt.id] = attempt
    request = cluster.requests[attempt.id.request_id]
    cluster.requests[request.id] = attrs.evolve(
        request, started_at_ms=_first_start_ms(request, attempt)
    )
    return [
        OrderWorker(m.worker, desired_order(cluster, attempt, m))
        for m in attempt.members
    ]


def _first_start_ms(request: Request, attempt: Attempt) -> int | None:
    if request.started_at_ms is not None:
        return request.started_at_ms
    return attempt.started_at_ms


def _checkpoints_fast(spec: JobSpec) -> bool:
    return spec.checkpoint_ms is not None and spec.checkpoint_ms <= PREEMPTION_GRACE_MS


def _discards_work(attempt: Attempt) -> bool:
    return attempt.started_at_ms is None or attempt.stop_reason in {
        StopReason.CANCELLED,
        StopReason.DEADLINE_PASSED,
    }
