"""Workers that ceased to answer, to tell crashes with a common cause."""

from crocuswell_core.dispatching.dispatch_state import DispatchState, Outage
from crocuswell_core.dispatching.indexing import REPORT_TIMEOUT_MS
from crocuswell_core.dispatching.trials import note_trials
from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.crash_history import EARLY_CRASH_MS
from crocuswell_core.jobs.job_records import CrashedRun, RunId, WorkerCrash

# Runners report an outage at once; workers that fail together are seen to do
# so within this time.
COINCIDENCE_MS = 150
# In larger fleets more workers fail at the same time by chance.
WORKERS_PER_CHANCE_OUTAGE = 50
# A crash is reported once the worker has started again.
OUTAGE_RETENTION_MS = 60_000


def note_outage(state: EntryState, view: WorkerView) -> None:
    """Note that a worker's runner can no longer reach it."""
    outages = state.dispatch.outages
    cutoff_ms = state.now_ms - OUTAGE_RETENTION_MS
    for key in [key for key, each in outages.items() if each.since_ms < cutoff_ms]:
        del outages[key]
    explained = _has_possible_cause(state, view)
    outages[view.worker.key] = Outage(state.now_ms, explained)


def _has_possible_cause(state: EntryState, view: WorkerView) -> bool:
    """Tell whether a run on trial, or one just ordered, may be the cause."""
    if note_trials(state, view.worker.key):
        return True
    placed = state.cluster.jobs.placed.get(view.worker.key, {})
    return any(
        state.now_ms - ordered_ms <= EARLY_CRASH_MS
        for run, ordered_ms in view.ordered_starts.items()
        if RunId(run.task, placed.get(run.task, 0)) == run
    )


def unwitnessed_crash(state: EntryState, view: WorkerView) -> WorkerCrash | None:
    """Return the crash of a worker that has not started again.

    None if its runner is out of contact too: then the machine is cut off or
    has lost power. Only runs of which the start is known are part of it.
    """
    worker = view.worker
    outage = state.dispatch.outages.get(worker.key)
    if outage is None or state.now_ms - view.last_report_ms > REPORT_TIMEOUT_MS:
        return None
    placed = state.cluster.jobs.placed.get(worker.key, {})
    runs = tuple(
        CrashedRun(run, 0, max(0, outage.since_ms - ordered_ms))
        for run, ordered_ms in view.ordered_starts.items()
        if placed.get(run.task) == run.number
    )
    return WorkerCrash(worker.machine, worker.id, worker.born_ms, runs)


def is_coincident(dispatch: DispatchState, worker: str) -> bool:
    """Tell whether a boot failed with others for a common cause.

    Either others failed without a cause of their own, or too many at once
    for each to have one.
    """
    own = dispatch.outages.get(worker)
    if own is None:
        return False
    others = [
        other
        for key, other in dispatch.outages.items()
        if key != worker and abs(other.since_ms - own.since_ms) <= COINCIDENCE_MS
    ]
    by_chance = len(dispatch.views) // WORKERS_PER_CHANCE_OUTAGE
    unexplained = sum(not other.explained for other in others)
    return unexplained > by_chance or len(others) > 2 * by_chance + 1
