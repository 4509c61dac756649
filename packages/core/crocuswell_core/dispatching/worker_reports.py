"""Runner reports at the leader: leases and run ends."""

from crocuswell_core.consensus import election
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
    note_outage,
)
from crocuswell_core.dispatching.worker_losses import (
    DRAINING_LEASE_MS,
    LEASE_MARGIN_MS,
    propose,
    propose_crashes,
    propose_loss,
    replace_earlier_boots,
    settle_replaced_boots,
)
from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_commands import (
    RecordCheckpoints,
    RecordRunEnds,
)
from crocuswell_core.jobs.job_records import (
    RunEnd,
    RunEndKind,
    RunId,
    SavedCheckpoint,
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
    effects += replace_earlier_boots(state, message)
    effects += propose_crashes(state, message)
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
    effects += settle_replaced_boots(state, message)
    if message.has_exited and key in table.placed:
        # The worker has exited, and its runs with it.
        effects += propose_loss(state, key, view, "worker left")
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
            inherited=frozenset(
                RunId(*item) for item in table.placed.get(key, {}).items()
            ),
            attached_ms=state.now_ms,
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
    view.lists_all_ends = message.lists_all_ends
    view.unplaced = unplaced
    return view, effects


def _differs_for_planning(before: WorkerDescription, after: WorkerDescription) -> bool:
    return (
        before.draining != after.draining
        or before.capacity != after.capacity
        or before.labels != after.labels
        or before.service != after.service
    )


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
    covered = max(known, *(end.number for end in ends)) if ends else known
    if not message.lists_all_ends:
        covered = max(covered, _last_consecutive_end(message.ended, known))
    if not ends and covered == known:
        return []
    for end in ends:
        health.record_run_end(state, view, end)
    effects = speed_evidence.note_ends(state, view, ends)
    view.last_proposed_end = covered
    command = RecordRunEnds(
        key, tuple(ends), view.last_proposed_end, counts_lost_runs=True
    )
    return [*effects, *propose(state, command)]


def _last_consecutive_end(ends: tuple[RunEnd, ...], known: int) -> int:
    """Return the number up to which ends follow the known ones without a gap.

    Ends of forgotten jobs would otherwise fill each list for ever. The number
    of an odd row, which would cover ends to come, hardly continues the others.
    """
    numbers = {end.number for end in ends}
    while known + 1 in numbers:
        known += 1
    return known


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
    return propose(state, RecordCheckpoints(newest)) if newest else []
