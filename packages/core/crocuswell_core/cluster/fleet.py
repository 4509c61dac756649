"""Handlers of worker commands: announcement, liveness and modes."""

import attrs

from crocuswell_core.cluster.allocations import (
    members_on,
    new_allocation,
    set_member_phase,
)
from crocuswell_core.cluster.attempts import mark_member_lost, stop_attempt
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    AnnounceWorker,
    DeclareSilent,
    Done,
    LogEntry,
    ModeSet,
    Refused,
    SetWorkerMode,
    SuspectWorker,
)
from crocuswell_core.cluster.index_updates import refresh_worker
from crocuswell_core.cluster.records import (
    Attempt,
    AttemptPhase,
    MemberPhase,
    StopReason,
    Worker,
    WorkerMode,
    accepts_work,
)
from crocuswell_core.runtime.dispatch import apply_command
from crocuswell_core.runtime.effects import (
    ApplyResult,
    ClusterEffect,
    EmitLogEvent,
    Label,
    LogLevel,
    WorkerAnnounced,
)
from crocuswell_core.runtime.errors import ErrorKind

OPERATOR_MODES = frozenset(
    {WorkerMode.ACTIVE, WorkerMode.DRAINING, WorkerMode.QUARANTINED}
)


@apply_command.register
def _(command: AnnounceWorker, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    name = command.info.worker
    known = cluster.workers.get(name)
    effects: list[ClusterEffect] = []
    if known is not None and name in cluster.allocations:
        if _has_lost_tasks(known, command):
            effects += _mark_worker_lost(cluster, name)
        else:
            _adopt_members(cluster, name, command.incarnation)
    if known is None or known.incarnation != command.incarnation:
        cluster.report_sequences[name] = 0
    cluster.workers[name] = Worker(
        info=command.info,
        incarnation=command.incarnation,
        backend_incarnation=command.backend_incarnation,
        mode=_announced_mode(cluster, name),
        operator_mode=known.operator_mode if known else WorkerMode.ACTIVE,
    )
    cluster.allocations.setdefault(name, new_allocation(command.info))
    cluster.unresponsive.pop(name, None)
    refresh_worker(cluster, name)
    cluster.needs_scheduling = True
    effects += vacate_worker(cluster, name)
    ids = (Label("worker", name), Label("incarnation", command.incarnation))
    event = "worker draining" if command.info.draining else "worker announced"
    return ApplyResult(
        Done(), (EmitLogEvent(event, ids), WorkerAnnounced(name), *effects)
    )


@apply_command.register
def _(command: DeclareSilent, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    worker = _matching_worker(cluster, command.worker, command.incarnation)
    if worker is None or worker.mode is WorkerMode.SILENT:
        return ApplyResult(Done())
    cluster.workers[command.worker] = attrs.evolve(worker, mode=WorkerMode.SILENT)
    effects = _mark_worker_lost(cluster, command.worker)
    ids = (Label("worker", command.worker), Label("incarnation", command.incarnation))
    log = EmitLogEvent("worker silent, leases ended", ids, LogLevel.WARNING)
    return ApplyResult(Done(), (log, *effects))


@apply_command.register
def _(command: SuspectWorker, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    worker = _matching_worker(cluster, command.worker, command.incarnation)
    before, after = (
        (WorkerMode.ACTIVE, WorkerMode.SUSPECT)
        if command.suspect
        else (WorkerMode.SUSPECT, WorkerMode.ACTIVE)
    )
    if worker is None or worker.mode is not before:
        return ApplyResult(Done())
    cluster.workers[command.worker] = attrs.evolve(worker, mode=after)
    if not command.suspect:
        cluster.unresponsive.pop(command.worker, None)
    refresh_worker(cluster, command.worker)
    cluster.needs_scheduling = True
    event = "worker suspect" if command.suspect else "worker heard again"
    return ApplyResult(
        Done(), (EmitLogEvent(event, (Label("worker", command.worker),)),)
    )


@apply_command.register
def _(command: SetWorkerMode, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    worker = cluster.workers.get(command.worker)
    if worker is None:
        return ApplyResult(Refused(ErrorKind.NOT_FOUND, f"worker {command.worker!r}"))
    if command.mode not in OPERATOR_MODES:
        return ApplyResult(
            Refused(ErrorKind.INVALID_REQUEST, "mode: active, draining or quarantined")
        )
    cluster.workers[command.worker] = attrs.evolve(worker, operator_mode=command.mode)
    refresh_worker(cluster, command.worker)
    cluster.needs_scheduling = True
    ids = (
        Label("worker", command.worker),
        Label("mode", command.mode.value),
        Label("author", command.author),
    )
    return ApplyResult(
        ModeSet(command.worker, command.mode),
        (
            EmitLogEvent("worker mode set", ids),
            *vacate_worker(cluster, command.worker),
        ),
    )


def _announced_mode(cluster: ClusterState, name: str) -> WorkerMode:
    """Return the mode of a worker that announces itself.

    A restart does not end a quarantine: the hardware may be faulty.
    """
    health = cluster.health.get(name)
    if health is not None and health.quarantined_at_ms is not None:
        return WorkerMode.QUARANTINED
    return WorkerMode.ACTIVE


def _has_lost_tasks(known: Worker, command: AnnounceWorker) -> bool:
    return (
        known.backend_incarnation != command.backend_incarnation
        or known.info.capacity != command.info.capacity
    )


def _matching_worker(
    cluster: ClusterState, name: str, incarnation: str
) -> Worker | None:
    worker = cluster.workers.get(name)
    if worker is None or worker.incarnation != incarnation:
        return None
    return worker


def _attempts_on(cluster: ClusterState, name: str) -> list[Attempt]:
    allocation = cluster.allocations.get(name)
    return (
        [cluster.attempts[i] for i in list(allocation.attempts)] if allocation else []
    )


def _adopt_members(cluster: ClusterState, name: str, incarnation: str) -> None:
    """Assign the members on a worker to the agent's new incarnation.

    The agent keeps no state on disk and has lost its reservations, so the
    orders in its `Welcome` message request them again.
    """
    for attempt in _attempts_on(cluster, name):
        members = tuple(
            attrs.evolve(
                m,
                incarnation=incarnation,
                phase=MemberPhase.ORDERED
                if m.phase is MemberPhase.RESERVED
                and attempt.phase is AttemptPhase.RESERVING
                else m.phase,
            )
            if m.worker == name
            else m
            for m in attempt.members
        )
        cluster.attempts[attempt.id] = attrs.evolve(attempt, members=members)


def _mark_worker_lost(cluster: ClusterState, name: str) -> list[ClusterEffect]:
    """Mark all members on a worker as lost and remove its capacity."""
    attempts = _attempts_on(cluster, name)
    cluster.allocations.pop(name, None)
    refresh_worker(cluster, name)
    effects: list[ClusterEffect] = []
    for lost in attempts:
        effects += _mark_members_lost(cluster, lost, name)
    cluster.needs_scheduling = True
    return effects


def _mark_members_lost(
    cluster: ClusterState, attempt: Attempt, name: str
) -> list[ClusterEffect]:
    effects: list[ClusterEffect] = []
    ranks = [m.rank for m in members_on(attempt, name)]
    # Only the last one advances the attempt: by then all members on the worker
    # have ended, so that no stop order is sent to the lost worker.
    for rank in ranks[:-1]:
        attempt = set_member_phase(cluster, attempt, rank, MemberPhase.LOST)
    for rank in ranks[-1:]:
        effects += mark_member_lost(cluster, attempt, rank)
    return effects


def vacate_worker(cluster: ClusterState, name: str) -> list[ClusterEffect]:
    """Stop the attempts that can be moved off a worker closed to new work.

    An attempt that has not started is placed elsewhere. One that can write a
    checkpoint resumes from it elsewhere, unless only the worker's failure
    domain is evacuated. Others run to their end on the worker.
    """
    worker = cluster.workers[name]
    leaves = not accepts_work(worker)
    if not leaves and worker.info.failure_domain not in cluster.evacuations:
        return []
    effects: list[ClusterEffect] = []
    for attempt in _attempts_on(cluster, name):
        spec = cluster.requests[attempt.id.request_id].spec
        reserving = attempt.phase is AttemptPhase.RESERVING
        if reserving or (leaves and spec.checkpoint_ms is not None):
            effects += stop_attempt(cluster, attempt, StopReason.DRAINED)
    return effects
