"""Detection of faulty workers that report themselves as healthy."""

from crocuswell_core.dispatching.dispatch_state import (
    FailureHistory,
)
from crocuswell_core.dispatching.expectations import expected_remaining_ms
from crocuswell_core.dispatching.worker_view import LastProgress, WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import (
    RunEnd,
    RunEndKind,
    RunId,
)
from crocuswell_core.jobs.run_labels import run_labels
from crocuswell_core.runtime.effects import Count, Effect, EmitLogEvent, Label

# A worker is barred after failures of this many different jobs without a
# success in between; a single failing job may itself be at fault.
FAILED_JOBS_LIMIT = 2
# Doubles with each further bar, up to three times.
BAR_BASE_MS = 6_000
# Doubles with each further start that the worker cannot carry out, up to three
# times.
REFUSAL_BAR_MS = 1_000
# Even the longest tasks on slow workers advance by one percent within this
# time.
STALL_TIMEOUT_MS = 2_500
COMPLETE_PERCENT = 100
# Runners list their worker's runs every 500 ms. Time beyond this gap does not
# count as time without progress.
MAX_LIST_GAP_MS = 1_000
# If a larger share of the reachable workers is barred, the cause lies
# elsewhere, and their capacity is needed.
MAX_BARRED_SHARE = 0.5
# A worker that leaves may stay longer than it says. A run that cannot be
# resumed stays there unless it needs more than this multiple of the time and
# this much more, and more than this multiple of the time it has worked.
HOPELESS_STAY_FACTOR = 2
LINGERING_MS = 2_000
HOPELESS_WORK_FACTOR = 2
# Members of a gang make no progress until all of them have started.
GANG_START_ALLOWANCE_MS = 3_500


def record_run_end(state: EntryState, view: WorkerView, end: RunEnd) -> None:
    """Update a worker's failure history with the end of a run."""
    histories = state.dispatch.failure_histories
    if end.kind is not RunEndKind.ABSENT and view.worker.id in histories:
        histories[view.worker.id].refused_starts = 0
    if end.kind is RunEndKind.DONE:
        history = histories.get(view.worker.id)
        if history is None:
            return
        history.failed_jobs.clear()
        history.bar_count = 0
        if not is_barred(state, view):
            del histories[view.worker.id]
    elif end.kind is RunEndKind.FAILED:
        history = histories.setdefault(view.worker.id, FailureHistory())
        history.failed_jobs[end.run.task.job_id] = None
        if len(history.failed_jobs) >= FAILED_JOBS_LIMIT:
            bar_worker(state, view)


def bar_after_refusal(state: EntryState, view: WorkerView) -> None:
    """Exclude a worker that was unable to start a run for a while."""
    history = state.dispatch.failure_histories.setdefault(
        view.worker.id, FailureHistory()
    )
    bar_ms = REFUSAL_BAR_MS << min(history.refused_starts, 3)
    history.barred_until_ms = max(history.barred_until_ms, state.now_ms + bar_ms)
    history.refused_starts += 1


def bar_worker(state: EntryState, view: WorkerView) -> None:
    """Exclude a worker from new placements for a while, longer each time."""
    if is_barred(state, view):
        return
    history = state.dispatch.failure_histories.setdefault(
        view.worker.id, FailureHistory()
    )
    history.barred_until_ms = state.now_ms + (BAR_BASE_MS << min(history.bar_count, 3))
    history.bar_count += 1


def is_barred(state: EntryState, view: WorkerView) -> bool:
    """Tell whether a worker is excluded from new placements."""
    history = state.dispatch.failure_histories.get(view.worker.id)
    return history is not None and state.now_ms < history.barred_until_ms


def excluded_worker_ids(state: EntryState) -> frozenset[str]:
    """Return the barred workers, if few enough are barred to exclude them."""
    barred = frozenset(
        worker_id
        for worker_id, history in state.dispatch.failure_histories.items()
        if state.now_ms < history.barred_until_ms
    )
    fleet_size = len(state.dispatch.fleet.candidates)
    return barred if len(barred) <= fleet_size * MAX_BARRED_SHARE else frozenset()


def stop_run(event: str, state: EntryState, run: RunId, *labels: Label) -> list[Effect]:
    """Mark a run to be stopped; return the log line and count of it."""
    state.dispatch.stopping.add(run)
    task = state.cluster.jobs.task_if_current(run)
    if task is not None:
        state.dispatch.changes.orders.add(task.worker)
    return [
        EmitLogEvent(event, (*run_labels(run), *labels)),
        Count("runs_stopped_total", labels=(Label("reason", event),)),
    ]


def stop_stalled_runs(state: EntryState, view: WorkerView) -> list[Effect]:
    """Stop runs without progress, so that they restart elsewhere.

    Called for each new run list of the worker. The time between lists that
    exceeds `MAX_LIST_GAP_MS` does not count, because without a list the
    progress of the runs is unknown. Runs that are not placed there are ordered
    to stop, and need not advance.
    """
    placed = state.cluster.jobs.placed.get(view.worker.key, {})
    elapsed_ms = min(state.now_ms - view.list_received_ms, MAX_LIST_GAP_MS)
    effects: list[Effect] = []
    last_progress: dict[RunId, LastProgress] = {}
    for run, progress in view.running.items():
        if placed.get(run.task) != run.number or _is_long_running(state, run):
            continue
        last = view.last_progress.get(run)
        if last is None:
            last = LastProgress(progress.percent, state.now_ms, progress.percent)
        elif last.percent != progress.percent:
            last.percent = progress.percent
            last.unchanged_ms = 0
        else:
            last.unchanged_ms += elapsed_ms
        last_progress[run] = last
        if run in state.dispatch.stopping or not _is_stalled(last):
            continue
        bar_worker(state, view)
        labels = (
            Label("worker", view.worker.key),
            Label("percent", str(last.percent)),
            Label("still_ms", str(last.unchanged_ms)),
        )
        effects += stop_run("run_stalled", state, run, *labels)
    view.last_progress = last_progress
    return effects


def _is_long_running(state: EntryState, run: RunId) -> bool:
    """Tell whether a run lasts until cancelled and has no progress."""
    step = state.cluster.jobs.step_of(run.task)
    return step is not None and step.long_running


def evacuate_worker(state: EntryState, view: WorkerView) -> list[Effect]:
    """Stop runs on a draining worker that should continue elsewhere.

    These are long-running runs, resumable runs that would not finish before
    the worker leaves, and other runs that are far from finished: their work
    is lost anyway, and with it that of their gang.
    """
    if not view.worker.draining:
        return []
    effects: list[Effect] = []
    for run, progress in view.running.items():
        step = state.cluster.jobs.step_of(run.task)
        if step is None or run in state.dispatch.stopping:
            continue
        left_ms = expected_remaining_ms(state, view, progress)
        should_stay = left_ms <= view.worker.remaining_ms
        if not step.checkpointing:
            worked_ms = view.worked_ms(run, state.now_ms)
            should_stay = not _is_hopeless(view, left_ms, worked_ms)
        if should_stay and not step.long_running:
            continue
        labels = (
            Label("worker", view.worker.key),
            Label("left_ms", str(left_ms)),
            Label("remaining_ms", str(view.worker.remaining_ms)),
        )
        effects += stop_run("run_evacuated", state, run, *labels)
    return effects


def _is_hopeless(view: WorkerView, left_ms: int, worked_ms: int) -> bool:
    """Tell whether a run on a draining worker is hardly worth waiting for.

    It needs far longer than the worker stays, and little work is lost.
    """
    staying_ms = HOPELESS_STAY_FACTOR * view.worker.remaining_ms + LINGERING_MS
    return left_ms > max(staying_ms, HOPELESS_WORK_FACTOR * worked_ms)


def _is_stalled(last: LastProgress) -> bool:
    if last.percent >= COMPLETE_PERCENT:
        # The percentage is an estimate: a run may go on after reaching 100.
        return False
    if last.percent == 0:
        return last.unchanged_ms >= STALL_TIMEOUT_MS + GANG_START_ALLOWANCE_MS
    return last.unchanged_ms >= STALL_TIMEOUT_MS
