"""The end of a job, with its log line and metrics."""

from collections.abc import Iterable

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.jobs.job_records import Job, JobPhase, TaskId
from crocuswell_core.jobs.run_labels import task_label
from crocuswell_core.runtime.effects import (
    ClusterEffect,
    EmitLogEvent,
    Label,
    Observe,
    PlacementsChanged,
)


def end_job(
    cluster: ClusterState, job: Job, phase: JobPhase, reason: str = ""
) -> tuple[ClusterEffect, ...]:
    """End a job in a phase; its runs are no longer wanted."""
    job.phase = phase
    job.reason = reason
    job.ended_ms = cluster.now_ms
    cluster.jobs.revision += 1
    metric_labels = (Label("queue", job.queue), Label("phase", phase.value))
    age_ms = cluster.now_ms - job.accepted_ms
    labels = (
        Label("job", job.id),
        *metric_labels,
        Label("age_ms", str(age_ms)),
        Label("failures", str(job.failures)),
        Label("reason", reason),
    )
    return (
        EmitLogEvent("job_ended", labels),
        Observe("job_completion_seconds", age_ms / 1_000, metric_labels),
        PlacementsChanged((job.id,)),
    )


def fail_exhausted_job(
    cluster: ClusterState, job: Job, task_ids: Iterable[TaskId]
) -> tuple[ClusterEffect, ...]:
    """Fail a job if one of the given tasks has used up its attempts.

    Long-running tasks have no limit. While the limit is not known, the job
    stays open.
    """
    queue = cluster.jobs.queue_of(job)
    if queue is None or not job.is_open:
        return ()
    for task_id in task_ids:
        task = cluster.jobs.task(task_id)
        if task is None or job.steps[task_id.step].long_running:
            continue
        if task.failures >= queue.attempt_limit:
            reason = f"task {task_label(task_id)} failed {task.failures} times"
            return end_job(cluster, job, JobPhase.FAILED, reason)
    return ()
