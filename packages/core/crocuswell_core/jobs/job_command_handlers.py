"""Handlers of the commands on jobs and the catalog."""

from itertools import takewhile

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import LogEntry, Refused
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
    PutCatalog,
    QueueAddress,
    SubmitJob,
)
from crocuswell_core.jobs.job_ends import end_job
from crocuswell_core.jobs.job_records import (
    Job,
    JobPhase,
    find_steps_problem,
)
from crocuswell_core.runtime.dispatch import apply_command
from crocuswell_core.runtime.effects import (
    ApplyResult,
    ClusterEffect,
    Count,
    EmitLogEvent,
    Label,
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
    return ApplyResult(JobCancelled(job.id), end_job(cluster, job, JobPhase.CANCELLED))
