"""Handlers of the commands on jobs and the catalog."""

from collections.abc import Iterator
from itertools import takewhile

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import LogEntry, Refused
from crocuswell_core.jobs.catalog import (
    Catalog,
    Queue,
    find_key_owner,
    find_queue_by_name,
    find_queue_by_path,
)
from crocuswell_core.jobs.job_commands import (
    CancelJob,
    CatalogInForce,
    DeclineJob,
    JobAccepted,
    JobCancelled,
    PutCatalog,
    QueueAddress,
    SubmitJob,
)
from crocuswell_core.jobs.job_ends import end_job, fail_exhausted_job
from crocuswell_core.jobs.job_records import (
    DeclinedJob,
    Job,
    JobPhase,
    TaskPhase,
    find_steps_problem,
)
from crocuswell_core.jobs.job_table import JobTable
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
# Hosts and fronts send no copy of a call for as long as this.
DECLINE_RETENTION_MS = 60_000
MIN_RETRY_AFTER_MS = 1_000


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
    unlimited = [job for job in _open_jobs(table) if table.queue_of(job) is None]
    _keep_removed_queues(table, new)
    table.catalog = new
    table.catalog_ms = cluster.now_ms
    table.revision += 1
    ended = [effect for job in unlimited for effect in _apply_limit(cluster, job)]
    log = EmitLogEvent(
        "catalog_replaced",
        (
            Label("version", str(new.version)),
            Label("before", str(current.version if current else 0)),
            Label("queues", str(len(new.queues))),
        ),
    )
    changed = PlacementsChanged(everything=True)
    return ApplyResult(CatalogInForce(new.version), (log, *ended, changed))


def _keep_removed_queues(table: JobTable, new: Catalog) -> None:
    """Keep the queues that a new catalog lacks and that open jobs need."""
    known = dict(table.removed_queues)
    if table.catalog is not None:
        known |= table.catalog.queues_by_name
    needed = {job.queue for job in _open_jobs(table)}
    table.removed_queues = {
        name: queue
        for name, queue in known.items()
        if name in needed and name not in new.queues_by_name
    }


def _open_jobs(table: JobTable) -> Iterator[Job]:
    return (job for job in table.jobs.values() if job.is_open)


def _apply_limit(cluster: ClusterState, job: Job) -> tuple[ClusterEffect, ...]:
    """Fail a job whose limit was not known if it has no attempt left."""
    waiting = cluster.jobs.tasks_in_phase(job, TaskPhase.WAITING)
    return fail_exhausted_job(cluster, job, [id_ for id_, _ in waiting])


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
    stale = find_stale_refusal(table, command)
    if stale is not None:
        remaining_ms = max(MIN_RETRY_AFTER_MS, stale.until_ms - cluster.now_ms)
        refused = _decline(remaining_ms)
        return ApplyResult(
            refused, _report_refused_call(command.job_id, "submit", refused)
        )
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
    job = make_job(command, queue, owner, cluster.now_ms)
    table.jobs[job.id] = job
    table.declined.pop(job.id, None)
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


def make_job(command: SubmitJob, queue: Queue, owner: str, now_ms: int) -> Job:
    """Return the job that a command submits to a queue."""
    return Job(
        id=command.job_id,
        queue=queue.name,
        service=queue.service,
        owner=owner,
        payload=command.payload,
        steps=command.steps,
        accepted_ms=now_ms,
        schedule=command.schedule,
    )


@apply_command.register
def _(command: DeclineJob, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    table = cluster.jobs
    queue_name = resolve_queue(cluster, command.address)
    if isinstance(queue_name, Refused):
        return ApplyResult(
            queue_name, _report_refused_call(command.job_id, "submit", queue_name)
        )
    if command.job_id in table.jobs:
        return ApplyResult(JobAccepted(command.job_id))
    earlier = table.declined.pop(command.job_id, None)
    declined = DeclinedJob(
        index=entry.index,
        declined_ms=cluster.now_ms,
        until_ms=cluster.now_ms + command.retry_after_ms,
        times=1 + (earlier.times if earlier else 0),
    )
    table.declined[command.job_id] = declined
    _forget_old_refusals(cluster)
    log = EmitLogEvent(
        "job_declined",
        (
            Label("job", command.job_id),
            Label("queue", queue_name),
            Label("workspace", _owner_of(table, command.address)),
            Label("reason", command.reason),
            Label("expected_ms", str(command.expected_ms)),
            Label("limit_ms", str(command.limit_ms)),
            Label("retry_after_ms", str(command.retry_after_ms)),
            Label("times", str(declined.times)),
        ),
    )
    labels = (Label("queue", queue_name), Label("reason", command.reason))
    count = Count("jobs_declined_total", labels=labels)
    return ApplyResult(_decline(command.retry_after_ms), (log, count))


def find_stale_refusal(table: JobTable, command: SubmitJob) -> DeclinedJob | None:
    """Return the refusal of a job if the command may be older than it.

    A host that retries, or a front, may send a copy of a call that was
    refused meanwhile. Its caller was told that the job never runs.
    """
    declined = table.declined.get(command.job_id)
    if declined is None or command.known_index >= declined.index:
        return None
    return declined


def _decline(retry_after_ms: int) -> Refused:
    detail = "the job cannot be served in time"
    return Refused(ErrorKind.OVERLOADED, detail, retry_after_ms)


def _owner_of(table: JobTable, address: QueueAddress) -> str:
    catalog = table.catalog
    return (find_key_owner(catalog, address.key) if catalog else None) or ""


def _forget_old_refusals(cluster: ClusterState) -> None:
    """Forget refusals that no copy of a call can be older than."""
    declined = cluster.jobs.declined
    cutoff_ms = cluster.now_ms - DECLINE_RETENTION_MS
    old = takewhile(lambda item: item[1].declined_ms < cutoff_ms, declined.items())
    for job_id in [job_id for job_id, _ in old]:
        del declined[job_id]


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
