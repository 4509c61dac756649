"""Handlers of reads of jobs and the catalog."""

from crocuswell_core.cluster.commands import Refused
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.entry.replies import ReadReply
from crocuswell_core.jobs.job_command_handlers import (
    CATALOG_RETRY_AFTER_MS,
    resolve_queue,
)
from crocuswell_core.jobs.job_commands import (
    CatalogView,
    CountPending,
    GetCatalog,
    GetJob,
    JobView,
    PendingJobs,
)
from crocuswell_core.jobs.job_records import JobPhase
from crocuswell_core.runtime.dispatch import answer_read
from crocuswell_core.runtime.errors import ErrorKind


@answer_read.register
def _(call: GetJob, state: EntryState) -> ReadReply:
    refused = resolve_queue(state.cluster, call.address)
    if isinstance(refused, Refused):
        return refused
    job = state.cluster.jobs.jobs.get(call.job_id)
    if job is None:
        return Refused(ErrorKind.RESULT_EXPIRED, "no such job")
    return JobView(job.id, job.phase, job.reason)


@answer_read.register
def _(call: CountPending, state: EntryState) -> ReadReply:
    queue_name = resolve_queue(state.cluster, call.address)
    if isinstance(queue_name, Refused):
        return queue_name
    jobs = state.cluster.jobs.jobs.values()
    count = sum(
        job.queue == queue_name and job.phase is JobPhase.QUEUED for job in jobs
    )
    return PendingJobs(count)


@answer_read.register
def _(call: GetCatalog, state: EntryState) -> ReadReply:
    catalog = state.cluster.jobs.catalog
    if catalog is None:
        detail = "no catalog was stored yet"
        return Refused(ErrorKind.UNAVAILABLE, detail, CATALOG_RETRY_AFTER_MS)
    return CatalogView(catalog.version, catalog.document)
