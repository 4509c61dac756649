"""Runner reports at the leader: leases, run ends, lost workers."""

from collections.abc import Iterator

from crocuswell_core.cluster.commands import Command, Proposal
from crocuswell_core.consensus import election, replication
from crocuswell_core.dispatching import (
    evacuation,
    health,
    indexing,
    speed_evidence,
)
from crocuswell_core.dispatching.orders import (
    current_dispatch,
    send_orders,
)
from crocuswell_core.dispatching.outages import (
    is_coincident,
    note_outage,
    unwitnessed_crash,
)
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
from crocuswell_core.jobs.job_commands import (
    MarkWorkerLost,
    RecordCheckpoints,
    RecordRunEnds,
)
from crocuswell_core.jobs.job_records import (
    RunEnd,
    RunEndKind,
    SavedCheckpoint,
    WorkerCrash,
    parse_boot_key,
)
from crocuswell_core.links.client_streams import redirect_client
from crocuswell_core.links.link_messages import (
    LeaseGrant,
    WorkerDescription,
    WorkerReport,
)
from crocuswell_core.runtime.counter_values import iter_increases
from crocuswell_core.runtime.dispatch import handle_agent_message
from crocuswell_core.runtime.effects import (
    Count,
    Effect,
    EmitLogEvent,
    Label,
    SendAgent,
)

# A runner without contact to the leader renews its worker's lease for this
# long, so that no run is given up for a cut as long as the lease itself.
LEASE_RENEWAL_MS = 1_800
# A worker that is about to leave gets grants for this time, so that its work
# soon restarts elsewhere once it has gone; longer than a usual election.
DRAINING_LEASE_MS = 3_000
# Covers the time from a worker's lease check to the end of its runs.
LEASE_MARGIN_MS = 400
# Limits the work that is lost if a worker and the leader fail together.
CHECKPOINT_INTERVAL_MS = 2_000


def contactless_limit_ms(worker_lease_ms: int) -> int:
    """Return for how long in ms runs may go on without contact to the leader.

    Parameters
    ----------
    worker_lease_ms : int
        Longest lease in ms that a worker accepts at a time.
    """
    return worker_lease_ms + LEASE_RENEWAL_MS


@handle_agent_message.register
def _(message: WorkerReport, state: EntryState, stream_id: int) -> list[Effect]:
    if not election.holds_lease(state) or stream_id not in state.clients:
        return redirect_client(state, stream_id)
    table = state.cluster.jobs
    term = state.consensus.term
    lease_ms = state.cfg.task_lease_ms
    if message.worker is None:
        # A grant would outlast what is noted of the worker on this machine.
        return [SendAgent(stream_id, LeaseGrant(message.sequence, term, 0))]
    key = message.worker.key
    if not _note_stream(state, message.worker.machine, stream_id):
        return []
    if key in state.dispatch.pending_losses and key in table.placed:
        # Its runs are about to restart elsewhere: do not extend their lease.
        return []
    view, effects = _update_view(state, message, stream_id)
    effects += _replace_earlier_boots(state, message)
    effects += _propose_crashes(state, message)
    if not view.reachable:
        # Its runs are given up once all earlier grants have ended. Another one
        # would only delay that, or let the runner start runs after it.
        lease_ms = 0
    elif view.worker.draining:
        lease_ms = min(lease_ms, DRAINING_LEASE_MS)
    if lease_ms:
        view.granted_until_ms = max(view.granted_until_ms, state.now_ms + lease_ms)
    grant = LeaseGrant(
        message.sequence,
        term,
        lease_ms,
        key,
        table.acknowledged_ends.get(key, 0),
        table.recorded_crashes.get(view.worker.machine, 0),
    )
    if evacuation.is_evacuated(state, view):
        # The grant would let the runner repeat a start that is withdrawn.
        effects += send_orders(state, view)
    effects += [SendAgent(stream_id, grant), Count("leases_granted_total")]
    effects += [
        Count("runner_events_total", added, (Label("event", name),))
        for name, added in iter_increases(message.events, view.events)
    ]
    _note_checkpoints(state, view)
    effects += _propose_ends(state, view, message)
    effects += _settle_replaced_boots(state, message)
    if message.has_exited and key in table.placed:
        # The worker has exited, and its runs with it.
        effects += _propose_loss(state, key, view, "worker left")
    if message.list_number != view.list_number:
        effects += health.stop_stalled_runs(state, view)
        effects += speed_evidence.note_progress(state, view)
        view.list_number = message.list_number
        view.list_received_ms = state.now_ms
    effects += health.evacuate_worker(state, view)
    effects += evacuation.move_lasting_runs(state, view)
    effects += send_orders(state, view)
    return effects


def _note_stream(state: EntryState, machine: str, stream_id: int) -> bool:
    """Note a runner's stream; tell whether none of its later ones is known.

    A report that arrives late describes what was, perhaps an earlier boot.
    """
    streams = current_dispatch(state).runner_streams
    streams[machine] = max(stream_id, streams.get(machine, stream_id))
    return streams[machine] == stream_id


def _update_view(
    state: EntryState, message: WorkerReport, stream_id: int
) -> tuple[WorkerView, list[Effect]]:
    dispatch = current_dispatch(state)
    worker = message.worker
    if worker is None:
        raise ValueError("cannot track a worker: the report describes none")
    effects: list[Effect] = []
    key = worker.key
    view = dispatch.views.pop(key, None)
    is_new = view is None or view.stream_id != stream_id
    if view is None or is_new:
        if view is None:
            effects.append(_worker_log_line("worker_in_reach", key))
        granted_until_ms = view.granted_until_ms if view else 0
        table = state.cluster.jobs
        view = WorkerView(
            worker,
            stream_id,
            granted_until_ms=granted_until_ms,
            late_starts=tuple(table.runs_of_earlier_boots(key, state.cluster.now_ms)),
        )
        dispatch.add_boot(key)
        # What was known at its replacement says nothing of its later grants.
        dispatch.replaced.pop(key, None)
    dispatch.views[key] = view
    if view.worker.draining != worker.draining:
        effects.append(_worker_log_line("worker_draining", key))
    was_silent = state.now_ms - view.last_report_ms > indexing.REPORT_TIMEOUT_MS
    placed = state.cluster.jobs.placed.get(key, {})
    running = {progress.run: progress for progress in message.running}
    unplaced = tuple(run for run in running if run.task not in placed)
    if (
        is_new
        or was_silent
        or view.reachable != message.reachable
        or _differs_for_planning(view.worker, worker)
        or view.unplaced != unplaced
    ):
        dispatch.changes.workers.add(key)
    if view.reachable and not message.reachable:
        note_outage(state, view)
    if message.reachable:
        # It had only been slow to answer.
        dispatch.outages.pop(key, None)
        dispatch.lost_contact.discard(key)
    else:
        dispatch.lost_contact.add(key)
    if view.worker.capacity != worker.capacity:
        # Starts that are not carried out yet may no longer fit.
        view.ordered_starts = {
            run: since_ms
            for run, since_ms in view.ordered_starts.items()
            if run in running
        }
    view.worker = worker
    view.last_report_ms = state.now_ms
    view.reachable = message.reachable
    if message.lease_left_ms:
        view.lease_end_ms = state.now_ms + message.lease_left_ms + LEASE_MARGIN_MS
    view.running = running
    view.ended = frozenset(end.run for end in message.ended)
    view.unplaced = unplaced
    return view, effects


def _differs_for_planning(before: WorkerDescription, after: WorkerDescription) -> bool:
    return (
        before.draining != after.draining
        or before.capacity != after.capacity
        or before.labels != after.labels
        or before.service != after.service
    )


def _replace_earlier_boots(state: EntryState, message: WorkerReport) -> list[Effect]:
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


def _settle_replaced_boots(state: EntryState, message: WorkerReport) -> list[Effect]:
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
    return _propose_loss(state, key, view, "new boot", successor, crash)


def _forget_boot(state: EntryState, key: str) -> None:
    dispatch = state.dispatch
    machine, _ = parse_boot_key(key)
    dispatch.replaced.pop(key, None)
    dispatch.boots_by_machine.get(machine, set()).discard(key)


def _propose_crashes(state: EntryState, message: WorkerReport) -> list[Effect]:
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
        proposed = _propose(state, _worker_loss(state, key, (), crash))
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


def _worker_log_line(event: str, key: str) -> EmitLogEvent:
    return EmitLogEvent(event, (Label("worker", key),))


# --- ends of runs --------------------------------------------------------


def _propose_ends(
    state: EntryState, view: WorkerView, message: WorkerReport
) -> list[Effect]:
    """Propose to record the ends of runs that are not yet recorded."""
    if state.consensus.transfer_target is not None:
        # The proposal would be dropped, and the ends taken for proposed.
        return []
    table = state.cluster.jobs
    key = view.worker.key
    known = max(view.last_proposed_end, table.acknowledged_ends.get(key, 0))
    # The number of an end that is not of our runs would cover ends to come.
    ends = [
        end for end in message.ended if end.number > known and table.was_placed(end.run)
    ]
    listed = {end.run for end in message.ended}
    placed = table.placed.get(key, {})
    for run in message.absent:
        if run in listed or placed.get(run.task) != run.number or run in view.absent:
            continue
        view.absent.add(run)
        ends.append(RunEnd(0, run, RunEndKind.ABSENT))
        if run in message.refused:
            health.bar_after_refusal(state, view)
    if not ends:
        return []
    for end in ends:
        health.record_run_end(state, view, end)
    effects = speed_evidence.note_ends(state, view, ends)
    view.last_proposed_end = max(known, *(end.number for end in ends))
    command = RecordRunEnds(
        key, tuple(ends), view.last_proposed_end, counts_lost_runs=True
    )
    return [*effects, *_propose(state, command)]


def _propose(state: EntryState, command: Command) -> list[Effect]:
    return replication.propose(state, Proposal("", "", command))


def _note_checkpoints(state: EntryState, view: WorkerView) -> None:
    """Note the checkpoints of a report that are not yet in the log."""
    table = state.cluster.jobs
    for run, progress in view.running.items():
        if not progress.checkpoint:
            continue
        task = table.task_if_current(run)
        if task is None or progress.checkpoint == task.checkpoint:
            continue
        gang = table.jobs[run.task.job_id].steps[run.task.step].gang
        # All members of a gang share one checkpoint.
        index = -1 if gang else run.task.index
        saved = SavedCheckpoint(run, progress.checkpoint)
        state.dispatch.unsaved_checkpoints[run.task.step_key, index] = saved


def propose_checkpoints(state: EntryState) -> list[Effect]:
    """Propose to record the checkpoints that are not yet in the log."""
    dispatch = current_dispatch(state)
    if state.now_ms - dispatch.checkpoints_proposed_ms < CHECKPOINT_INTERVAL_MS:
        return []
    dispatch.checkpoints_proposed_ms = state.now_ms
    unsaved, dispatch.unsaved_checkpoints = dispatch.unsaved_checkpoints, {}
    newest = tuple(
        saved
        for saved in unsaved.values()
        if state.cluster.jobs.task_if_current(saved.run) is not None
    )
    return _propose(state, RecordCheckpoints(newest)) if newest else []


# --- lost workers --------------------------------------------------------


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
            effects += _propose_loss(state, key, view, "lease over", crash=crash)
        elif key not in placed and key not in dispatch.views:
            dispatch.lost_contact.discard(key)
            dispatch.replaced.pop(key, None)
    for key, view in silent.items():
        if state.now_ms - view.last_report_ms > 2 * state.cfg.task_lease_ms:
            del dispatch.views[key]
            dispatch.lost_contact.add(key)
            dispatch.changes.workers.add(key)
            effects.append(_worker_log_line("worker_out_of_reach", key))
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


def _propose_loss(
    state: EntryState,
    key: str,
    view: WorkerView | None,
    reason: str,
    successor: str = "",
    crash: WorkerCrash | None = None,
) -> list[Effect]:
    dispatch = current_dispatch(state)
    if key in dispatch.pending_losses:
        return []
    saved = tuple(
        SavedCheckpoint(progress.run, progress.checkpoint)
        for progress in (view.running.values() if view else ())
        if progress.checkpoint
    )
    proposed = _propose(state, _worker_loss(state, key, saved, crash))
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
