"""Boots of workers that have ended: their runs are given up."""

from collections.abc import Iterator

from crocuswell_core.cluster.commands import Command, Proposal
from crocuswell_core.consensus import replication
from crocuswell_core.dispatching.orders import current_dispatch
from crocuswell_core.dispatching.outages import is_coincident, unwitnessed_crash
from crocuswell_core.dispatching.replaced_boots import (
    find_crash,
    find_replaced_boots,
    is_settled,
    may_take_orders_of,
    note_refusals,
    note_replaced_boot,
    replaced_keys,
)
from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_commands import MarkWorkerLost
from crocuswell_core.jobs.job_records import (
    SavedCheckpoint,
    WorkerCrash,
    parse_boot_key,
)
from crocuswell_core.links.link_messages import WorkerReport
from crocuswell_core.runtime.effects import Count, Effect, EmitLogEvent, Label

# A worker that is about to leave gets grants for this time, so that its work
# soon restarts elsewhere once it has gone; longer than a usual election.
DRAINING_LEASE_MS = 3_000
# Covers the time from a worker's lease check to the end of its runs.
LEASE_MARGIN_MS = 400


def propose(state: EntryState, command: Command) -> list[Effect]:
    """Propose a command of the leader; no effects if it is dropped."""
    return replication.propose(state, Proposal("", "", command))


def replace_earlier_boots(state: EntryState, message: WorkerReport) -> list[Effect]:
    """Give up the other boots on the machine, or have their runs settled.

    No run outlives the boot of its worker, but a later boot of the same id may
    begin runs that were ordered for an earlier one.
    """
    worker = message.worker
    if worker is None:
        return []
    dispatch = current_dispatch(state)
    effects: list[Effect] = []
    for key in find_replaced_boots(state, worker):
        view = dispatch.views.pop(key, None)
        dispatch.changes.workers.add(key)
        if key not in state.cluster.jobs.placed:
            _forget_boot(state, key)
        elif may_take_orders_of(worker, key):
            note_replaced_boot(state, key, message, view)
        else:
            effects += _propose_loss_by_successor(state, key, view, message)
    return effects


def settle_replaced_boots(state: EntryState, message: WorkerReport) -> list[Effect]:
    """Give up the replaced boots of which no run can begin any more."""
    worker = message.worker
    if worker is None:
        return []
    effects: list[Effect] = []
    successor = state.dispatch.views[worker.key]
    note_refusals(state, successor, message)
    for key in list(replaced_keys(state, worker)):
        if not is_settled(state, key, successor):
            continue
        view = state.dispatch.replaced[key].view
        if key in state.cluster.jobs.placed:
            effects += _propose_loss_by_successor(state, key, view, message)
        else:
            _forget_boot(state, key)
            state.dispatch.changes.workers.add(worker.key)
    return effects


def _propose_loss_by_successor(
    state: EntryState, key: str, view: WorkerView | None, message: WorkerReport
) -> list[Effect]:
    successor = message.worker.key if message.worker else ""
    replaced = state.dispatch.replaced.get(key)
    crash = replaced.crash if replaced else find_crash(message, key)
    return propose_loss(state, key, view, "new boot", successor, crash)


def _forget_boot(state: EntryState, key: str) -> None:
    dispatch = state.dispatch
    machine, _ = parse_boot_key(key)
    dispatch.replaced.pop(key, None)
    dispatch.boots_by_machine.get(machine, set()).discard(key)


def propose_crashes(state: EntryState, message: WorkerReport) -> list[Effect]:
    """Propose to record the crashes of boots that were given up before."""
    dispatch = current_dispatch(state)
    effects: list[Effect] = []
    for crash in message.crashes:
        key = crash.worker
        if key in dispatch.pending_losses or state.cluster.jobs.has_recorded(crash):
            continue
        if message.worker is None or crash.machine != message.worker.machine:
            continue
        if key in dispatch.replaced and key in state.cluster.jobs.placed:
            # The crash is recorded with the loss, once its runs are settled.
            continue
        proposed = propose(state, _worker_loss(state, key, (), crash))
        if proposed:
            dispatch.pending_losses.add(key)
        effects += proposed
    return effects


def _worker_loss(
    state: EntryState,
    key: str,
    checkpoints: tuple[SavedCheckpoint, ...],
    crash: WorkerCrash | None,
) -> MarkWorkerLost:
    coincident = crash is not None and is_coincident(state.dispatch, key)
    return MarkWorkerLost(key, checkpoints, crash, coincident)


def expire_leases(state: EntryState) -> list[Effect]:
    """Propose the loss of workers whose lease has certainly expired.

    Only workers that are out of contact are looked at.
    """
    dispatch = current_dispatch(state)
    placed = state.cluster.jobs.placed
    effects: list[Effect] = []
    silent = dict(_silent_views(state))
    for key in sorted(dispatch.lost_contact | silent.keys()):
        view = _last_view(state, key)
        if key in placed and state.now_ms >= _runs_end_ms(state, key, view):
            crash = unwitnessed_crash(state, view) if view else None
            effects += propose_loss(state, key, view, "lease over", crash=crash)
        elif key not in placed and key not in dispatch.views:
            dispatch.lost_contact.discard(key)
            dispatch.replaced.pop(key, None)
    for key, view in silent.items():
        if state.now_ms - view.last_report_ms > 2 * state.cfg.task_lease_ms:
            del dispatch.views[key]
            dispatch.lost_contact.add(key)
            dispatch.changes.workers.add(key)
            effects.append(EmitLogEvent("worker_out_of_reach", (Label("worker", key),)))
    return effects


def _silent_views(state: EntryState) -> Iterator[tuple[str, WorkerView]]:
    """Yield the workers whose newest report is older than a short lease."""
    for key, view in state.dispatch.views.items():
        if state.now_ms - view.last_report_ms < DRAINING_LEASE_MS:
            return
        yield key, view


def _last_view(state: EntryState, key: str) -> WorkerView | None:
    replaced = state.dispatch.replaced.get(key)
    return replaced.view if replaced else state.dispatch.views.get(key)


def _runs_end_ms(state: EntryState, key: str, view: WorkerView | None) -> int:
    """Return the time in ms after which the runs of a boot are over.

    A boot that has replaced it may have begun them under its own lease.
    """
    end_ms = _lease_end_ms(state, view)
    replaced = state.dispatch.replaced.get(key)
    if replaced is None:
        return end_ms
    successor = state.dispatch.views.get(replaced.successor)
    return max(end_ms, _lease_end_ms(state, successor))


def _lease_end_ms(state: EntryState, view: WorkerView | None) -> int:
    """Return the time in ms after which a boot's runs have certainly ended.

    A silent runner may hold any grant of this term, also one that it got
    before its worker began to drain, and one that an earlier leader sent
    before this term started.
    """
    max_lease_ms = state.cfg.task_lease_ms + LEASE_MARGIN_MS
    before_term_ms = state.dispatch.started_ms + max_lease_ms
    if view is None:
        return before_term_ms
    granted_until_ms = view.granted_until_ms + LEASE_MARGIN_MS
    return max(granted_until_ms, view.lease_end_ms, before_term_ms)


def propose_loss(
    state: EntryState,
    key: str,
    view: WorkerView | None,
    reason: str,
    successor: str = "",
    crash: WorkerCrash | None = None,
) -> list[Effect]:
    """Propose to give up a worker's boot, unless that is proposed already."""
    dispatch = current_dispatch(state)
    if key in dispatch.pending_losses:
        return []
    saved = tuple(
        SavedCheckpoint(progress.run, progress.checkpoint)
        for progress in (view.running.values() if view else ())
        if progress.checkpoint
    )
    proposed = propose(state, _worker_loss(state, key, saved, crash))
    if not proposed:
        return []
    # The entry stays in the log of this term, however long its commit takes.
    dispatch.pending_losses.add(key)
    labels = (
        Label("worker", key),
        Label("reason", reason),
        Label("successor", successor),
        Label("heard_ms", str(state.now_ms - view.last_report_ms if view else -1)),
    )
    return [
        EmitLogEvent("worker_losing", labels),
        Count("workers_lost_total", labels=(Label("reason", reason),)),
        *proposed,
    ]
