"""Handlers of the commands on runs: their placement, ends and losses."""

from collections.abc import Iterable

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import Done, LogEntry
from crocuswell_core.jobs.crash_records import record_crash
from crocuswell_core.jobs.job_commands import (
    MarkWorkerLost,
    PlaceRuns,
    RecordCheckpoints,
    RecordRunEnds,
)
from crocuswell_core.jobs.job_ends import end_job, fail_exhausted_job
from crocuswell_core.jobs.job_records import (
    Job,
    JobPhase,
    RunEnd,
    RunEndKind,
    RunId,
    RunPlacement,
    SavedCheckpoint,
    Task,
    TaskPhase,
    parse_worker_id,
)
from crocuswell_core.jobs.job_table import JobTable
from crocuswell_core.jobs.run_labels import run_labels
from crocuswell_core.jobs.run_time_records import observe_run_time
from crocuswell_core.runtime.dispatch import apply_command
from crocuswell_core.runtime.effects import (
    ApplyResult,
    ClusterEffect,
    Count,
    EmitLogEvent,
    Label,
    Observe,
    PlacementsChanged,
)


@apply_command.register
def _(command: PlaceRuns, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    table = cluster.jobs
    effects: list[ClusterEffect] = []
    for placement in command.placements:
        if _may_place(table, placement):
            effects += _place_run(cluster, placement)
    table.applied_plan = command.plan
    table.revision += 1
    changed = PlacementsChanged(
        _job_ids(placement.run for placement in command.placements),
        tuple(sorted({placement.worker for placement in command.placements})),
    )
    return ApplyResult(Done(), (*effects, changed))


def _job_ids(runs: Iterable[RunId]) -> tuple[str, ...]:
    return tuple(sorted({run.task.job_id for run in runs}))


def _may_place(table: JobTable, placement: RunPlacement) -> bool:
    """Tell whether a placement is still valid.

    The job may have been cancelled after the leader planned the placement.
    """
    task_id = placement.run.task
    job = table.jobs.get(task_id.job_id)
    occurrence = job.occurrence(task_id.occurrence) if job else None
    if job is None or occurrence is None or not job.is_open:
        return False
    task = occurrence.tasks[task_id.step][task_id.index]
    return (
        task.phase is TaskPhase.WAITING
        and placement.run.number == task.run + 1
        and job.step_is_ready(occurrence, task_id.step)
    )


def _place_run(cluster: ClusterState, placement: RunPlacement) -> list[ClusterEffect]:
    table = cluster.jobs
    task_id = placement.run.task
    job = table.jobs[task_id.job_id]
    occurrence = job.occurrence(task_id.occurrence)
    if occurrence is None:
        return []
    job.occurrences[occurrence.number] = occurrence
    task = occurrence.tasks[task_id.step][task_id.index]
    task.phase = TaskPhase.PLACED
    task.run = placement.run.number
    task.worker = placement.worker
    task.placed_ms = cluster.now_ms
    task.resumed = bool(task.checkpoint)
    table.placed.setdefault(placement.worker, {})[task_id] = placement.run.number
    queue = (Label("queue", job.queue),)
    labels = (*run_labels(placement.run), _worker_label(placement.worker))
    effects: list[ClusterEffect] = [
        EmitLogEvent("run_placed", labels),
        Count("runs_placed_total", labels=queue),
    ]
    if job.phase is JobPhase.QUEUED:
        job.phase = JobPhase.RUNNING
        waited_s = (cluster.now_ms - job.accepted_ms) / 1_000
        effects.append(Observe("job_start_seconds", waited_s, queue))
    return effects


@apply_command.register
def _(command: RecordRunEnds, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    table = cluster.jobs
    acknowledged = table.acknowledged_ends.get(command.worker, 0)
    effects: list[ClusterEffect] = []
    for end in command.ends:
        if 0 < end.number <= acknowledged:
            continue
        effects += _record_run_end(cluster, command, end)
    table.acknowledged_ends[command.worker] = max(
        acknowledged, command.acknowledged_end
    )
    table.revision += 1
    job_ids = _job_ids(end.run for end in command.ends)
    changed = PlacementsChanged(job_ids, (command.worker,))
    return ApplyResult(Done(), (*effects, changed))


def _record_run_end(
    cluster: ClusterState, command: RecordRunEnds, end: RunEnd
) -> list[ClusterEffect]:
    table = cluster.jobs
    worker = command.worker
    _remove_placement(cluster, worker, end.run)
    task = table.task_if_current(end.run)
    if task is None and command.counts_lost_runs and end.kind is RunEndKind.DONE:
        task = _task_done_by_lost_run(table, end.run)
    if task is not None and end.checkpoint:
        _store_checkpoint(table, end.run, end.checkpoint)
    effects = _report_run_end(cluster, worker, end.run, end.kind.value, task)
    if task is None:
        # The run was already given up because its lease expired.
        return effects
    job = table.jobs[end.run.task.job_id]
    kind = end.kind
    effects += observe_run_time(cluster, end.run, task, kind)
    if kind is RunEndKind.DONE and job.steps[end.run.task.step].long_running:
        # Long-running tasks are restarted until their job is cancelled.
        kind = RunEndKind.STOPPED
    if kind is not RunEndKind.DONE:
        task.phase = TaskPhase.WAITING
        task.worker = ""
    return [*effects, *_apply_run_end(kind, cluster, job, end, worker)]


def _task_done_by_lost_run(table: JobTable, run: RunId) -> Task | None:
    """Return the task that a run has done after it was given up.

    None if the task has another run since; all members of a gang have to wait.
    """
    step = table.step_of(run.task)
    task = table.task(run.task)
    if step is None or task is None:
        return None
    members = table.step_tasks(run.task) if step.gang else [task]
    waits = all(
        each.phase is TaskPhase.WAITING and each.run == run.number for each in members
    )
    return task if waits else None


def _report_run_end(
    cluster: ClusterState, worker: str, run: RunId, kind: str, task: Task | None
) -> list[ClusterEffect]:
    """Report the end of a run.

    `task` is None if the run had already been given up.
    """
    labels = (*run_labels(run), _worker_label(worker), Label("kind", kind))
    if task is None:
        return [EmitLogEvent("run_ended", (*labels, Label("outdated", "true")))]
    job = cluster.jobs.jobs[run.task.job_id]
    demand = job.steps[run.task.step].demand
    ran_ms = cluster.now_ms - task.placed_ms
    log = EmitLogEvent(
        "run_ended",
        (
            *labels,
            Label("ran_ms", str(ran_ms)),
            Label("cpu_millis", str(demand.cpu_millis)),
            Label("accelerators", str(demand.accelerators)),
            Label("resumable", str(bool(task.checkpoint)).lower()),
        ),
    )
    ended = Count(
        "runs_ended_total", labels=(Label("queue", job.queue), Label("kind", kind))
    )
    if kind == RunEndKind.DONE.value or task.checkpoint:
        return [log, ended]
    lost_core_s = round(demand.core_equivalents * ran_ms / 1_000)
    metric_labels = (Label("kind", kind),)
    return [
        log,
        ended,
        Count("lost_work_core_seconds_total", lost_core_s, metric_labels),
    ]


def _apply_run_end(
    kind: RunEndKind, cluster: ClusterState, job: Job, end: RunEnd, worker: str
) -> list[ClusterEffect]:
    """Apply the end of a run to its job."""
    if kind is RunEndKind.DONE:
        return _apply_success(cluster, job, end.run)
    if kind is RunEndKind.FAILED:
        return _apply_failure(cluster, job, end.run, worker)
    if end.kind is RunEndKind.STOPPED and job.is_open:
        _count_stop(cluster, job, end.run)
    return []


def _count_stop(cluster: ClusterState, job: Job, run: RunId) -> None:
    """Count a stopped run, for a gang once on each member's task."""
    tasks = cluster.jobs.step_tasks(run.task)
    for task in tasks if job.steps[run.task.step].gang else [tasks[run.task.index]]:
        if task.stopped_run < run.number:
            task.stops += 1
            task.stopped_run = run.number


def _apply_success(cluster: ClusterState, job: Job, run: RunId) -> list[ClusterEffect]:
    step = job.steps[run.task.step]
    tasks = cluster.jobs.step_tasks(run.task)
    completed = tasks if step.gang else [tasks[run.task.index]]
    for task in completed:
        task.phase = TaskPhase.DONE
        task.worker = ""
    if job.is_open and job.is_done:
        return list(end_job(cluster, job, JobPhase.COMPLETED))
    return []


def _apply_failure(
    cluster: ClusterState, job: Job, run: RunId, worker: str
) -> list[ClusterEffect]:
    step = job.steps[run.task.step]
    tasks = cluster.jobs.step_tasks(run.task)
    if step.gang:
        failed_runs = job.occurrences[run.task.occurrence].last_failed_gang_runs
        if failed_runs[run.task.step] >= run.number:
            return []
        failed_runs[run.task.step] = run.number
    for task in tasks if step.gang else [tasks[run.task.index]]:
        task.failures += 1
    worker_id = parse_worker_id(worker)
    failed_task = tasks[run.task.index]
    if worker_id not in failed_task.failed_on:
        failed_task.failed_on = (*failed_task.failed_on, worker_id)
    return list(fail_exhausted_job(cluster, job, [run.task]))


@apply_command.register
def _(command: MarkWorkerLost, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    table = cluster.jobs
    placed = table.placed.pop(command.worker, {})
    _store_checkpoints(table, command.checkpoints)
    effects: list[ClusterEffect] = []
    if command.crash is not None:
        effects += record_crash(cluster, command.crash, command.coincident)
    for task_id, number in placed.items():
        run = RunId(task_id, number)
        table.note_over(command.worker, run, cluster.now_ms)
        task = table.task_if_current(run)
        if task is not None and task.worker == command.worker:
            effects += _report_run_end(cluster, command.worker, run, "lost", task)
            effects += observe_run_time(cluster, run, task, RunEndKind.STOPPED)
            task.phase = TaskPhase.WAITING
            task.worker = ""
    table.revision += 1
    log = EmitLogEvent(
        "worker_lost", (_worker_label(command.worker), Label("runs", str(len(placed))))
    )
    job_ids = tuple(sorted({task_id.job_id for task_id in placed}))
    changed = PlacementsChanged(job_ids, (command.worker,))
    return ApplyResult(Done(), (log, *effects, changed))


@apply_command.register
def _(
    command: RecordCheckpoints, cluster: ClusterState, entry: LogEntry
) -> ApplyResult:
    _store_checkpoints(cluster.jobs, command.checkpoints)
    return ApplyResult(Done())


def _store_checkpoints(
    table: JobTable, checkpoints: tuple[SavedCheckpoint, ...]
) -> None:
    for saved in checkpoints:
        if table.task_if_current(saved.run) is not None:
            _store_checkpoint(table, saved.run, saved.checkpoint)


def _remove_placement(cluster: ClusterState, worker: str, run: RunId) -> None:
    table = cluster.jobs
    placed = table.placed.get(worker, {})
    if placed.get(run.task) == run.number:
        del placed[run.task]
        table.note_over(worker, run, cluster.now_ms)
    if not placed:
        table.placed.pop(worker, None)


def _store_checkpoint(table: JobTable, run: RunId, checkpoint: str) -> None:
    """Store a checkpoint, for a gang on each member's task.

    The members of a gang resume from the same checkpoint.
    """
    job = table.jobs[run.task.job_id]
    tasks = table.step_tasks(run.task)
    gang = job.steps[run.task.step].gang
    for task in tasks if gang else [tasks[run.task.index]]:
        task.checkpoint = checkpoint


def _worker_label(key: str) -> Label:
    return Label("worker", key)
