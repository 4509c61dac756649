"""The end of a job, with its log line and metrics."""

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.jobs.job_records import Job, JobPhase
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
