"""Evidence on the speed of workers, from run lists and the ends of runs."""

from collections.abc import Iterable

from crocuswell_core.dispatching.expectations import expected_run_time
from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import RunEnd, RunEndKind, RunId, StepKey
from crocuswell_core.learning.paces import Pace, PaceMeter
from crocuswell_core.learning.worker_speeds import (
    SLOW_FACTOR,
    USUAL_FACTOR,
    StepTime,
    new_step_time,
)
from crocuswell_core.runtime.effects import Effect, EmitLogEvent, Label


def note_progress(state: EntryState, view: WorkerView) -> list[Effect]:
    """Note the paces of a worker's runs; called for each new run list."""
    if not state.cfg.features.worker_speeds:
        return []
    paces: list[tuple[RunId, Pace]] = []
    for run, last in view.last_progress.items():
        if last.meter is None:
            task = state.cluster.jobs.task_if_current(run)
            resumed = task is None or bool(task.checkpoint)
            last.meter = PaceMeter(last.percent, resumed)
        if view.worker.warm_up_ms or run in state.dispatch.stopping:
            last.meter.restart(last.percent)
            continue
        pace = last.meter.advance(last.percent, state.now_ms)
        if pace is not None:
            paces.append((run, pace))
    return _observe(state, view, paces)


def note_ends(
    state: EntryState, view: WorkerView, ends: Iterable[RunEnd]
) -> list[Effect]:
    """Note the paces of runs that are done."""
    if not state.cfg.features.worker_speeds:
        return []
    paces: list[tuple[RunId, Pace]] = []
    for end in ends:
        last = view.last_progress.get(end.run)
        step = state.cluster.jobs.step_of(end.run.task)
        if step is None or step.gang:
            # A gang ends with its slowest member.
            continue
        if end.kind is not RunEndKind.DONE or last is None or last.meter is None:
            continue
        pace = last.meter.complete(state.now_ms)
        if pace is not None:
            paces.append((end.run, pace))
    return _observe(state, view, paces)


def _observe(
    state: EntryState, view: WorkerView, paces: list[tuple[RunId, Pace]]
) -> list[Effect]:
    """Note paces by step; return a log line if the worker's class changes."""
    if not paces:
        return []
    machine = view.worker.machine
    kind = (view.worker.service, *view.worker.labels)
    speeds = state.dispatch.speeds
    by_step: dict[StepKey, list[tuple[int, Pace]]] = {}
    for run, pace in paces:
        by_step.setdefault(run.task.step_key, []).append((run.task.index, pace))
    for step_key, step_paces in by_step.items():
        step = speeds.steps.get(step_key) or _new_step(state, step_key)
        if step is not None:
            speeds.observe(machine, kind, step_key, step, step_paces, state.now_ms)
    return _report_class(state, machine)


def _new_step(state: EntryState, step_key: StepKey) -> StepTime | None:
    """Return the belief about a step of which no pace was seen."""
    job_id, _, index = step_key
    job = state.cluster.jobs.jobs.get(job_id)
    if job is None or not 0 <= index < len(job.steps):
        return None
    expected_ms = expected_run_time(state, job, index).median_ms
    return new_step_time(expected_ms, job.steps[index].gang)


def _report_class(state: EntryState, machine: str) -> list[Effect]:
    speeds = state.dispatch.speeds
    worker = speeds.workers.get(machine)
    if worker is None or not worker.is_known:
        return []
    factor = speeds.factor(machine)
    is_slow = factor >= (USUAL_FACTOR if worker.is_slow else SLOW_FACTOR)
    if is_slow == worker.is_slow:
        return []
    worker.is_slow = is_slow
    labels = (Label("machine", machine), Label("slowdown", f"{factor:.2f}"))
    return [EmitLogEvent("worker_slow" if is_slow else "worker_usual_speed", labels)]
