"""Workers that fail or stall what they run while they report good health."""

from collections.abc import Collection

from crocuswell_core.dispatching.dispatch_state import (
    ProgressMark,
    WorkerRecord,
    WorkerView,
)
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import EndKind, RunId, TaskEnd
from crocuswell_core.jobs.run_labels import run_labels
from crocuswell_core.runtime.effects import Count, Effect, Label, LogChange

# Failures of this many jobs in a row; one alone may be the job's own fault.
FAILED_JOBS_LIMIT = 2
BARRED_MS = 6_000
# A run shows a new percent at least this often, also on a slow worker: the
# longest work takes a hundredth of its time for each.
STALL_MS = 2_500
WHOLE_PERCENT = 100
# A runner asks for a list each half second.
LIST_GAP_MS = 1_000
# More barred workers than this share of those in reach are not at fault: the
# cause lies elsewhere, and their room is needed.
MOST_BARRED = 0.5
# Members of a gang wait for each other before they work.
GANG_START_MS = 3_500


def note_end(state: EntryState, view: WorkerView, end: TaskEnd) -> None:
    """Count an end for or against its worker."""
    record = state.dispatch.records.setdefault(view.worker.id, WorkerRecord())
    if end.kind is EndKind.DONE:
        record.failed_jobs.clear()
        record.barred_times = 0
    elif end.kind is EndKind.FAILED:
        record.failed_jobs[end.run.task.job_id] = None
        if len(record.failed_jobs) >= FAILED_JOBS_LIMIT:
            bar(state, view)


def bar(state: EntryState, view: WorkerView) -> None:
    """Place nothing new on a worker for a while, longer each time."""
    if is_barred(state, view):
        return
    record = state.dispatch.records.setdefault(view.worker.id, WorkerRecord())
    record.barred_until_ms = state.now_ms + (BARRED_MS << min(record.barred_times, 3))
    record.barred_times += 1


def is_barred(state: EntryState, view: WorkerView) -> bool:
    """Tell whether nothing new should be placed on a worker."""
    record = state.dispatch.records.get(view.worker.id)
    return record is not None and state.now_ms < record.barred_until_ms


def bars_hold(state: EntryState, views: Collection[WorkerView]) -> bool:
    """Tell whether few enough workers are barred to do without them."""
    barred = sum(is_barred(state, view) for view in views)
    return barred <= len(views) * MOST_BARRED


def stop_run(event: str, state: EntryState, run: RunId, *labels: Label) -> list[Effect]:
    """Note that a run is not wanted any more; return what reports it."""
    state.dispatch.stopping.add(run)
    return [
        LogChange(event, (*run_labels(run), *labels)),
        Count("runs_stopped_total", labels=(Label("reason", event),)),
    ]


def watch_progress(state: EntryState, view: WorkerView) -> list[Effect]:
    """Stop runs that stand still, so that they go on elsewhere.

    Called for each new list of the worker. A worker that gives none for a
    while tells nothing about its runs, so that time does not count.
    """
    passed_ms = min(state.now_ms - view.listed_ms, LIST_GAP_MS)
    effects: list[Effect] = []
    marks: dict[RunId, ProgressMark] = {}
    for run, progress in view.running.items():
        if _is_lasting(state, run):
            continue
        mark = view.marks.get(run)
        if mark is None:
            mark = ProgressMark(progress.percent)
        elif mark.percent != progress.percent:
            mark.percent = progress.percent
            mark.still_ms = 0
        else:
            mark.still_ms += passed_ms
        marks[run] = mark
        if run in state.dispatch.stopping or not _is_stalled(mark):
            continue
        bar(state, view)
        labels = (
            Label("worker", view.worker.key),
            Label("percent", str(mark.percent)),
            Label("still_ms", str(mark.still_ms)),
        )
        effects += stop_run("run_stalled", state, run, *labels)
    view.marks = marks
    return effects


def _is_lasting(state: EntryState, run: RunId) -> bool:
    """Tell whether a run has no end of its own, and so no progress to it."""
    job = state.cluster.jobs.jobs.get(run.task.job_id)
    return job is not None and job.steps[run.task.step].lasting


def evacuate(state: EntryState, view: WorkerView) -> list[Effect]:
    """Stop resumable runs that a leaving worker would take with it."""
    if not view.worker.draining:
        return []
    effects: list[Effect] = []
    for run, progress in view.running.items():
        job = state.cluster.jobs.jobs.get(run.task.job_id)
        if job is None or run in state.dispatch.stopping:
            continue
        step = job.steps[run.task.step]
        left_ms = progress.left_ms(step.estimated_ms)
        stays = not step.checkpointing or left_ms <= view.worker.remaining_ms
        if stays and not step.lasting:
            continue
        labels = (
            Label("worker", view.worker.key),
            Label("left_ms", str(left_ms)),
            Label("remaining_ms", str(view.worker.remaining_ms)),
        )
        effects += stop_run("run_evacuated", state, run, *labels)
    return effects


def _is_stalled(mark: ProgressMark) -> bool:
    if mark.percent >= WHOLE_PERCENT:
        # The figure is rough: work may go on for a while after it is whole.
        return False
    if mark.percent == 0:
        return mark.still_ms >= STALL_MS + GANG_START_MS
    return mark.still_ms >= STALL_MS
