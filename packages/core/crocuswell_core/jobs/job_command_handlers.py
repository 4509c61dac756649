"""Handlers of the commands on jobs and the catalog."""

from collections.abc import Iterable
from itertools import takewhile

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import Done, LogEntry, Refused
from crocuswell_core.jobs.catalog import (
    find_key_owner,
    find_queue_by_name,
    find_queue_by_path,
)
from crocuswell_core.jobs.job_commands import (
    CancelJob,
    CatalogInForce,
    JobAccepted,
    JobCancelled,
    MarkWorkerLost,
    PlaceRuns,
    PutCatalog,
    QueueAddress,
    RecordCheckpoints,
    RecordRunEnds,
    SubmitJob,
)
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
    find_steps_problem,
    parse_worker_id,
)
from crocuswell_core.jobs.job_table import JobTable
from crocuswell_core.jobs.run_labels import run_labels
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
from crocuswell_core.runtime.errors import ErrorKind

# Ended jobs can be read for this long.
JOB_RETENTION_MS = 150_000
CATALOG_RETRY_AFTER_MS = 500


@apply_command.register
def _(command: PutCatalog, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    table = cluster.jobs
    current = table.catalog
    new = command.catalog
    if current is not None and new.version == current.version:
        if new.document != current.document:
            detail = f"version {new.version} is held with other content"
            labels = (Label("version", str(new.version)), Label("reason", detail))
            refusal = Refused(ErrorKind.CONFLICT, detail)
            return ApplyResult(refusal, (EmitLogEvent("catalog_refused", labels),))
        return ApplyResult(CatalogInForce(current.version))
    if current is not None and new.version < current.version:
        return ApplyResult(CatalogInForce(current.version))
    table.catalog = new
    table.catalog_ms = cluster.now_ms
    table.revision += 1
    log = EmitLogEvent(
        "catalog_replaced",
        (
            Label("version", str(new.version)),
            Label("before", str(current.version if current else 0)),
            Label("queues", str(len(new.queues))),
        ),
    )
    return ApplyResult(
        CatalogInForce(new.version), (log, PlacementsChanged(everything=True))
    )


def resolve_queue(cluster: ClusterState, address: QueueAddress) -> Refused | str:
    """Return the name of the addressed queue, or a refusal of the call."""
    catalog = cluster.jobs.catalog
    if catalog is None:
        detail = "no catalog was stored yet"
        return Refused(ErrorKind.OVERLOADED, detail, CATALOG_RETRY_AFTER_MS)
    queue = find_queue_by_path(catalog, address.host, address.path)
    if queue is None:
        return Refused(ErrorKind.NOT_FOUND, f"no queue at {address.path}")
    if not queue.open_access and find_key_owner(catalog, address.key) is None:
        return Refused(ErrorKind.UNAUTHORISED, "the key belongs to no workspace")
    return queue.name


@apply_command.register
def _(command: SubmitJob, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    table = cluster.jobs
    queue_name = resolve_queue(cluster, command.address)
    if isinstance(queue_name, Refused):
        return ApplyResult(
            queue_name, _report_refused_call(command.job_id, "submit", queue_name)
        )
    queue = find_queue_by_name(table.catalog, queue_name)
    if table.catalog is None or queue is None:
        return ApplyResult(Refused(ErrorKind.NOT_FOUND, f"no queue {queue_name}"))
    _delete_expired_jobs(cluster)
    if command.job_id in table.jobs:
        return ApplyResult(JobAccepted(command.job_id))
    problem = find_steps_problem(command.steps)
    if problem:
        refused = Refused(ErrorKind.INVALID_REQUEST, problem)
        return ApplyResult(
            refused, _report_refused_call(command.job_id, "submit", refused)
        )
    if queue.needs_placement_advice:
        detail = f"queue {queue_name} needs advice, which is not supported"
        refused = Refused(ErrorKind.OVERLOADED, detail)
        return ApplyResult(
            refused, _report_refused_call(command.job_id, "submit", refused)
        )
    owner = find_key_owner(table.catalog, command.address.key) or ""
    job = Job(
        id=command.job_id,
        queue=queue.name,
        service=queue.service,
        owner=owner,
        payload=command.payload,
        steps=command.steps,
        accepted_ms=cluster.now_ms,
        schedule=command.schedule,
    )
    table.jobs[job.id] = job
    table.revision += 1
    log = EmitLogEvent(
        "job_accepted",
        (
            Label("job", command.job_id),
            Label("queue", queue.name),
            Label("workspace", owner),
            Label("tasks", str(sum(step.count for step in command.steps))),
        ),
    )
    count = Count("jobs_accepted_total", labels=(Label("queue", queue.name),))
    changed = PlacementsChanged((job.id,))
    return ApplyResult(JobAccepted(command.job_id), (log, count, changed))


def _report_refused_call(
    job_id: str, call: str, refused: Refused
) -> tuple[ClusterEffect, ...]:
    metric_labels = (Label("call", call), Label("kind", refused.kind.value))
    labels = (Label("job", job_id), *metric_labels, Label("reason", refused.detail))
    return (
        EmitLogEvent("call_refused", labels),
        Count("job_calls_refused_total", labels=metric_labels),
    )


def _delete_expired_jobs(cluster: ClusterState) -> None:
    """Delete jobs without runs whose retention period is over."""
    jobs = cluster.jobs.jobs
    cutoff_ms = cluster.now_ms - JOB_RETENTION_MS
    # Jobs are in order of acceptance, so that the newer ones need no look.
    old = takewhile(lambda job: job.accepted_ms < cutoff_ms, jobs.values())
    expired = [job.id for job in old if 0 < job.ended_ms < cutoff_ms]
    for job_id in expired:
        if not any(cluster.jobs.placed_tasks(jobs[job_id])):
            del jobs[job_id]


@apply_command.register
def _(command: CancelJob, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    refused = resolve_queue(cluster, command.address)
    if isinstance(refused, Refused):
        return ApplyResult(
            refused, _report_refused_call(command.job_id, "cancel", refused)
        )
    job = cluster.jobs.jobs.get(command.job_id)
    if job is None:
        return ApplyResult(Refused(ErrorKind.RESULT_EXPIRED, "no such job"))
    if not job.is_open:
        return ApplyResult(JobCancelled(job.id))
    return ApplyResult(JobCancelled(job.id), _end_job(cluster, job, JobPhase.CANCELLED))


def _end_job(
    cluster: ClusterState, job: Job, phase: JobPhase
) -> tuple[ClusterEffect, ...]:
    job.phase = phase
    job.ended_ms = cluster.now_ms
    cluster.jobs.revision += 1
    metric_labels = (Label("queue", job.queue), Label("phase", phase.value))
    age_ms = cluster.now_ms - job.accepted_ms
    labels = (
        Label("job", job.id),
        *metric_labels,
        Label("age_ms", str(age_ms)),
        Label("failures", str(job.failures)),
    )
    return (
        EmitLogEvent("job_ended", labels),
        Observe("job_completion_seconds", age_ms / 1_000, metric_labels),
        PlacementsChanged((job.id,)),
    )


# --- runs ----------------------------------------------------------------


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
        effects += _record_run_end(cluster, command.worker, end)
    table.acknowledged_ends[command.worker] = max(
        acknowledged, command.acknowledged_end
    )
    table.revision += 1
    job_ids = _job_ids(end.run for end in command.ends)
    changed = PlacementsChanged(job_ids, (command.worker,))
    return ApplyResult(Done(), (*effects, changed))


def _record_run_end(
    cluster: ClusterState, worker: str, end: RunEnd
) -> list[ClusterEffect]:
    table = cluster.jobs
    _remove_placement(table, worker, end.run)
    task = table.task_if_current(end.run)
    if task is not None and end.checkpoint:
        _store_checkpoint(table, end.run, end.checkpoint)
    effects = _report_run_end(cluster, worker, end.run, end.kind.value, task)
    if task is None:
        # The run was already given up because its lease expired.
        return effects
    job = table.jobs[end.run.task.job_id]
    kind = end.kind
    if kind is RunEndKind.DONE and job.steps[end.run.task.step].long_running:
        # Long-running tasks are restarted until their job is cancelled.
        kind = RunEndKind.STOPPED
    if kind is not RunEndKind.DONE:
        task.phase = TaskPhase.WAITING
        task.worker = ""
    return [*effects, *_apply_run_end(kind, cluster, job, end, worker)]


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
    return []


def _apply_success(cluster: ClusterState, job: Job, run: RunId) -> list[ClusterEffect]:
    step = job.steps[run.task.step]
    tasks = cluster.jobs.step_tasks(run.task)
    completed = tasks if step.gang else [tasks[run.task.index]]
    for task in completed:
        task.phase = TaskPhase.DONE
        task.worker = ""
    if job.is_open and job.is_done:
        return list(_end_job(cluster, job, JobPhase.COMPLETED))
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
    queue = find_queue_by_name(cluster.jobs.catalog, job.queue)
    limit = queue.attempt_limit if queue else 1
    if job.is_open and not step.long_running and failed_task.failures >= limit:
        return list(_end_job(cluster, job, JobPhase.FAILED))
    return []


@apply_command.register
def _(command: MarkWorkerLost, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    table = cluster.jobs
    placed = table.placed.pop(command.worker, {})
    _store_checkpoints(table, command.checkpoints)
    effects: list[ClusterEffect] = []
    for task_id, number in placed.items():
        run = RunId(task_id, number)
        task = table.task_if_current(run)
        if task is not None and task.worker == command.worker:
            effects += _report_run_end(cluster, command.worker, run, "lost", task)
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


def _remove_placement(table: JobTable, worker: str, run: RunId) -> None:
    placed = table.placed.get(worker, {})
    if placed.get(run.task) == run.number:
        del placed[run.task]
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
