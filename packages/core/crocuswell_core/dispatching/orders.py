"""Orders to runners: the starts and stops that a worker was not sent yet."""

from crocuswell_core.dispatching.dispatch_state import DispatchState
from crocuswell_core.dispatching.evacuation import is_evacuated, withdraw_starts
from crocuswell_core.dispatching.health import stop_run
from crocuswell_core.dispatching.replaced_boots import unsettled_runs
from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import ResourceVector, RunId, TaskPhase
from crocuswell_core.links.link_messages import RunOrders, StartRun, StopRun
from crocuswell_core.runtime.effects import Effect, SendAgent

# A proposal that is not applied by then has been lost, for example because
# another entry took its log index.
PROPOSAL_TIMEOUT_MS = 2_000
# Starts wait no longer for a worker that never lists all of its ends.
ENDS_TIMEOUT_MS = 3_000


def current_dispatch(state: EntryState) -> DispatchState:
    """Return the dispatching state of the current term, new if needed."""
    if state.dispatch.term != state.consensus.term:
        # Speeds are bound to machines, not to the term.
        state.dispatch = DispatchState(
            state.consensus.term, state.now_ms, speeds=state.dispatch.speeds
        )
        for key in state.cluster.jobs.placed:
            state.dispatch.lost_contact.add(key)
            state.dispatch.add_boot(key)
    return state.dispatch


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
    effects: list[Effect] = []
    placed = table.placed.get(key, {})
    if is_evacuated(state, view):
        effects += withdraw_starts(state, view)
    elif any(RunId(*item) not in view.ordered_starts for item in placed.items()):
        effects += _withdraw_excess_starts(state, view)
    for task_id, number in placed.items():
        run = RunId(task_id, number)
        if not is_wanted(state, run):
            stops += _stop_once(view, run)
        elif not _is_known_to(view, run) and not _may_have_ended(state, view, run):
            view.ordered_starts[run] = state.now_ms
            task = table.task(task_id)
            job = table.jobs[task_id.job_id]
            checkpoint = task.checkpoint if task else ""
            starts.append(StartRun(run, job.payload, checkpoint))
    for run in (*unsettled_runs(state, view), *view.late_starts):
        stops += _stop_once(view, run)
    view.late_starts = ()
    if view.lists_all_ends:
        view.inherited = frozenset()
    for run in view.running:
        if placed.get(run.task) != run.number:
            stops += _stop_once(view, run)
    if not starts and not stops:
        return effects
    orders = RunOrders(state.consensus.term, key, tuple(starts), tuple(stops))
    return [*effects, SendAgent(view.stream_id, orders)]


def _is_known_to(view: WorkerView, run: RunId) -> bool:
    """Tell whether a worker has, had or refuses a run, or was to start it."""
    known = (view.running, view.ended, view.ordered_starts, view.absent)
    return any(run in runs for runs in known)


def _may_have_ended(state: EntryState, view: WorkerView, run: RunId) -> bool:
    """Tell whether an end that no report has named yet may be the run's.

    A start would only be refused then. After a while it is sent all the same,
    since the worker may never have got it.
    """
    if view.lists_all_ends or run not in view.inherited:
        return False
    return state.now_ms - view.attached_ms < ENDS_TIMEOUT_MS


def _withdraw_excess_starts(state: EntryState, view: WorkerView) -> list[Effect]:
    """Stop runs that the worker does not list and that no longer fit there.

    Its capacity has shrunk since they were placed.
    """
    table = state.cluster.jobs
    placed = table.placed.get(view.worker.key, {})
    runs = [RunId(*item) for item in placed.items()]
    unlisted = [run for run in runs if run not in view.running]
    free = view.worker.capacity
    for run in dict.fromkeys([*view.running, *unlisted]):
        step = table.step_of(run.task)
        if step is not None:
            free = free - step.demand
    effects: list[Effect] = []
    for run in reversed(unlisted):
        if free.can_hold(ResourceVector()):
            break
        step = table.step_of(run.task)
        if step is None or not is_wanted(state, run):
            continue
        free = free + step.demand
        effects += stop_run("run_withdrawn", state, run)
    return effects


def _stop_once(view: WorkerView, run: RunId) -> list[StopRun]:
    if run in view.ordered_stops:
        return []
    view.ordered_stops.add(run)
    return [StopRun(run)]


def send_due_orders(state: EntryState) -> list[Effect]:
    """Send the workers whose runs changed the orders that they are owed.

    A worker without contact gets its orders in answer to its next report.
    """
    dispatch = current_dispatch(state)
    due, dispatch.changes.orders = dispatch.changes.orders, set()
    effects: list[Effect] = []
    for key in sorted(due):
        view = dispatch.views.get(key)
        if view is not None:
            effects += send_orders(state, view)
    return effects
