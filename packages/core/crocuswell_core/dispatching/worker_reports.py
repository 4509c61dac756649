"""Runner reports at the leader: leases, run ends, orders, lost workers."""

from crocuswell_core.cluster.commands import Command, Proposal
from crocuswell_core.consensus import election, replication
from crocuswell_core.dispatching import health
from crocuswell_core.dispatching.dispatch_state import DispatchState, WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_commands import (
    MarkWorkerLost,
    RecordCheckpoints,
    RecordRunEnds,
)
from crocuswell_core.jobs.job_records import (
    RunEnd,
    RunEndKind,
    RunId,
    SavedCheckpoint,
    StepKey,
    TaskPhase,
    parse_boot_key,
)
from crocuswell_core.links.client_streams import redirect_client
from crocuswell_core.links.link_messages import (
    LeaseGrant,
    RunOrders,
    StartRun,
    StopRun,
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

# Covers the time from a worker's lease check to the end of its runs.
LEASE_MARGIN_MS = 400
# Limits the work that is lost if a worker and the leader fail together.
CHECKPOINT_INTERVAL_MS = 2_000
# A proposal that is not applied by then has been lost, for example because
# another entry took its log index.
PROPOSAL_TIMEOUT_MS = 2_000


def current_dispatch(state: EntryState) -> DispatchState:
    """Return the dispatching state of the current term, new if needed."""
    if state.dispatch.term != state.consensus.term:
        state.dispatch = DispatchState(state.consensus.term, state.now_ms)
    return state.dispatch


@handle_agent_message.register
def _(message: WorkerReport, state: EntryState, stream_id: int) -> list[Effect]:
    if not election.holds_lease(state) or stream_id not in state.clients:
        return redirect_client(state, stream_id)
    table = state.cluster.jobs
    term = state.consensus.term
    lease_ms = state.cfg.task_lease_ms
    if message.worker is None:
        return [SendAgent(stream_id, LeaseGrant(message.sequence, term, lease_ms))]
    key = message.worker.key
    if key in state.dispatch.pending_losses and key in table.placed:
        # Its runs are about to restart elsewhere: do not extend their lease.
        return []
    view, effects = _update_view(state, message, stream_id)
    grant = LeaseGrant(
        message.sequence, term, lease_ms, key, table.acknowledged_ends.get(key, 0)
    )
    effects += [SendAgent(stream_id, grant), Count("leases_granted_total")]
    effects += [
        Count("runner_events_total", added, (Label("event", name),))
        for name, added in iter_increases(message.events, view.events)
    ]
    effects += _propose_ends(state, view, message)
    if message.has_exited and key in table.placed:
        # The worker has exited, and its runs with it.
        effects += _propose_loss(state, key, view, "worker left")
    if message.list_number != view.list_number:
        effects += health.stop_stalled_runs(state, view)
        view.list_number = message.list_number
        view.list_received_ms = state.now_ms
    effects += health.evacuate_worker(state, view)
    effects += send_orders(state, view)
    return effects


def _update_view(
    state: EntryState, message: WorkerReport, stream_id: int
) -> tuple[WorkerView, list[Effect]]:
    dispatch = current_dispatch(state)
    worker = message.worker
    if worker is None:
        raise ValueError("cannot track a worker: the report describes none")
    effects: list[Effect] = []
    view = dispatch.views.get(worker.key)
    if view is None or view.stream_id != stream_id:
        if view is None:
            effects.append(_worker_log_line("worker_in_reach", worker.key))
        view = WorkerView(worker, stream_id)
        dispatch.views[worker.key] = view
        effects += _propose_loss_of_earlier_boots(state, worker)
    if view.worker.draining != worker.draining:
        effects.append(_worker_log_line("worker_draining", worker.key))
    view.worker = worker
    view.last_report_ms = state.now_ms
    view.reachable = message.reachable
    view.lease_end_ms = state.now_ms + message.lease_left_ms + LEASE_MARGIN_MS
    view.running = {progress.run: progress for progress in message.running}
    return view, effects


def _propose_loss_of_earlier_boots(
    state: EntryState, worker: WorkerDescription
) -> list[Effect]:
    """Propose the loss of all earlier boots on the worker's machine.

    No run outlives the boot of its worker.
    """
    effects: list[Effect] = []
    dispatch = current_dispatch(state)
    views = {
        key: view
        for key, view in dispatch.views.items()
        if _is_earlier_boot(key, worker)
    }
    for key in views:
        del dispatch.views[key]
    for key in list(state.cluster.jobs.placed):
        if _is_earlier_boot(key, worker):
            effects += _propose_loss(state, key, views.get(key), "new boot", worker.key)
    return effects


def _is_earlier_boot(key: str, worker: WorkerDescription) -> bool:
    machine, born_ms = parse_boot_key(key)
    return machine == worker.machine and born_ms < worker.born_ms


def _worker_log_line(event: str, key: str) -> EmitLogEvent:
    return EmitLogEvent(event, (Label("worker", key),))


# --- ends of runs --------------------------------------------------------


def _propose_ends(
    state: EntryState, view: WorkerView, message: WorkerReport
) -> list[Effect]:
    """Propose to record the ends of runs that are not yet recorded."""
    table = state.cluster.jobs
    key = view.worker.key
    known = max(view.last_proposed_end, table.acknowledged_ends.get(key, 0))
    ends = [end for end in message.ended if end.number > known]
    listed = {end.run for end in message.ended}
    placed = table.placed.get(key, {})
    for run in message.absent:
        if run in listed or placed.get(run.task) != run.number or run in view.absent:
            continue
        view.absent.add(run)
        ends.append(RunEnd(0, run, RunEndKind.ABSENT))
    if not ends:
        return []
    for end in ends:
        health.record_run_end(state, view, end)
    view.last_proposed_end = max(known, *(end.number for end in ends))
    return _propose(state, RecordRunEnds(key, tuple(ends), view.last_proposed_end))


def _propose(state: EntryState, command: Command) -> list[Effect]:
    return replication.propose(state, Proposal("", "", command))


def propose_checkpoints(state: EntryState) -> list[Effect]:
    """Propose to record the checkpoints that are not yet in the log."""
    dispatch = current_dispatch(state)
    if state.now_ms - dispatch.checkpoints_proposed_ms < CHECKPOINT_INTERVAL_MS:
        return []
    dispatch.checkpoints_proposed_ms = state.now_ms
    table = state.cluster.jobs
    newest: dict[tuple[StepKey, int], SavedCheckpoint] = {}
    for view in dispatch.views.values():
        for run, progress in view.running.items():
            task = table.task_if_current(run)
            if task is None or progress.checkpoint in ("", task.checkpoint):
                continue
            gang = table.jobs[run.task.job_id].steps[run.task.step].gang
            # All members of a gang share one checkpoint.
            index = -1 if gang else run.task.index
            newest[run.task.step_key, index] = SavedCheckpoint(run, progress.checkpoint)
    if not newest:
        return []
    return _propose(state, RecordCheckpoints(tuple(newest.values())))


# --- orders --------------------------------------------------------------


def is_wanted(state: EntryState, run: RunId) -> bool:
    """Tell whether a placed run should continue."""
    table = state.cluster.jobs
    job = table.jobs.get(run.task.job_id)
    if job is None or not job.is_open or table.task_if_current(run) is None:
        return False
    if run in state.dispatch.stopping:
        return False
    if not job.steps[run.task.step].gang:
        return True
    # A gang cannot continue unless all of its members are in this run.
    return all(
        task.phase is TaskPhase.PLACED and task.run == run.number
        for task in table.step_tasks(run.task)
    )


def send_orders(state: EntryState, view: WorkerView) -> list[Effect]:
    """Send the starts and stops that a worker was not sent yet."""
    table = state.cluster.jobs
    key = view.worker.key
    starts: list[StartRun] = []
    stops: list[StopRun] = []
    placed = table.placed.get(key, {})
    for task_id, number in placed.items():
        run = RunId(task_id, number)
        if not is_wanted(state, run):
            stops += _stop_once(view, run)
        elif run not in view.running and run not in view.ordered_starts:
            view.ordered_starts.add(run)
            task = table.task(task_id)
            job = table.jobs[task_id.job_id]
            checkpoint = task.checkpoint if task else ""
            starts.append(StartRun(run, job.payload, checkpoint))
    for run in view.running:
        if placed.get(run.task) != run.number:
            stops += _stop_once(view, run)
    if not starts and not stops:
        return []
    orders = RunOrders(state.consensus.term, key, tuple(starts), tuple(stops))
    return [SendAgent(view.stream_id, orders)]


def _stop_once(view: WorkerView, run: RunId) -> list[StopRun]:
    if run in view.ordered_stops:
        return []
    view.ordered_stops.add(run)
    return [StopRun(run)]


def send_all_orders(state: EntryState) -> list[Effect]:
    """Send all reachable workers the orders that they were not sent yet."""
    effects: list[Effect] = []
    for view in current_dispatch(state).views.values():
        effects += send_orders(state, view)
    return effects


# --- lost workers --------------------------------------------------------


def expire_leases(state: EntryState) -> list[Effect]:
    """Propose the loss of workers whose lease has certainly expired."""
    dispatch = current_dispatch(state)
    effects: list[Effect] = []
    for key in list(state.cluster.jobs.placed):
        view = dispatch.views.get(key)
        if state.now_ms >= _lease_end_ms(state, view):
            effects += _propose_loss(state, key, view, "lease over")
    for key, view in list(dispatch.views.items()):
        silent_ms = state.now_ms - view.last_report_ms
        if silent_ms > 2 * state.cfg.task_lease_ms:
            del dispatch.views[key]
            effects.append(_worker_log_line("worker_out_of_reach", key))
    for key, since_ms in list(dispatch.pending_losses.items()):
        if state.now_ms - since_ms > PROPOSAL_TIMEOUT_MS:
            del dispatch.pending_losses[key]
    return effects


def _lease_end_ms(state: EntryState, view: WorkerView | None) -> int:
    """Return the time in ms after which a boot's runs have certainly ended.

    A silent runner may hold a lease from the reply to its newest report, or
    one that an earlier leader granted before this term started.
    """
    max_lease_ms = state.cfg.task_lease_ms + LEASE_MARGIN_MS
    since_ms = state.dispatch.started_ms + max_lease_ms
    if view is None:
        return since_ms
    if not view.reachable and state.now_ms - view.last_report_ms < LEASE_MARGIN_MS:
        # The runner is alive but cannot pass a new lease to its worker.
        return max(view.lease_end_ms, 0)
    return max(view.last_report_ms + max_lease_ms, view.lease_end_ms)


def _propose_loss(
    state: EntryState,
    key: str,
    view: WorkerView | None,
    reason: str,
    successor: str = "",
) -> list[Effect]:
    dispatch = current_dispatch(state)
    if key in dispatch.pending_losses:
        return []
    dispatch.pending_losses[key] = state.now_ms
    saved = tuple(
        SavedCheckpoint(progress.run, progress.checkpoint)
        for progress in (view.running.values() if view else ())
        if progress.checkpoint
    )
    labels = (
        Label("worker", key),
        Label("reason", reason),
        Label("successor", successor),
        Label("heard_ms", str(state.now_ms - view.last_report_ms if view else -1)),
    )
    return [
        EmitLogEvent("worker_losing", labels),
        Count("workers_lost_total", labels=(Label("reason", reason),)),
        *_propose(state, MarkWorkerLost(key, saved)),
    ]
