"""Records of workers' crashes, with the tasks that were there."""

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.jobs.crash_history import NO_CRASHES
from crocuswell_core.jobs.job_records import (
    CrashedRun,
    StepKey,
    WorkerCrash,
    parse_boot_key,
)
from crocuswell_core.jobs.run_labels import run_labels
from crocuswell_core.runtime.effects import ClusterEffect, Count, EmitLogEvent, Label

# A crash within this time of a run's start points to the run.
EARLY_CRASH_MS = 1_000
MAX_LISTED_TASKS = 16


def record_crash(
    cluster: ClusterState, crash: WorkerCrash, coincident: bool
) -> list[ClusterEffect]:
    """Record the crash of a worker's boot, once."""
    table = cluster.jobs
    if table.has_recorded_crash(crash.worker):
        return []
    machine, born_ms = parse_boot_key(crash.worker)
    table.recorded_crashes[machine] = born_ms
    effects: list[ClusterEffect] = [
        _report_crash(crash, coincident),
        Count(
            "worker_crashes_total",
            labels=(Label("coincident", str(coincident).lower()),),
        ),
    ]
    for crashed in crash.runs:
        effects += _record_run(cluster, crash, crashed, coincident)
    return effects


def _report_crash(crash: WorkerCrash, coincident: bool) -> EmitLogEvent:
    tasks = [
        f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"
        for task in (crashed.run.task for crashed in crash.runs)
    ]
    return EmitLogEvent(
        "worker_crashed",
        (
            Label("worker", crash.worker),
            Label("runs", str(len(tasks))),
            Label("tasks", " ".join(tasks[:MAX_LISTED_TASKS])),
            Label("coincident", str(coincident).lower()),
        ),
    )


def _record_run(
    cluster: ClusterState, crash: WorkerCrash, crashed: CrashedRun, coincident: bool
) -> list[ClusterEffect]:
    """Record a crash for the task of one of the runs that were there."""
    task = cluster.jobs.task(crashed.run.task)
    if task is None:
        return []
    before = task.crashes or NO_CRASHES
    after = before.after_crash(
        crashed.ran_ms,
        early=crashed.ran_ms <= EARLY_CRASH_MS,
        alone=_steps(crash) == {crashed.run.task.step_key},
    )
    if not coincident:
        task.crashes = after
    labels = (
        *run_labels(crashed.run),
        Label("worker", crash.worker),
        Label("ran_ms", str(crashed.ran_ms)),
        Label("beside", str(len(crash.runs) - 1)),
        Label("counted", str(not coincident).lower()),
        Label("crashes", str(after.count)),
        Label("early", str(after.early)),
        Label("alone", str(after.alone)),
    )
    return [EmitLogEvent("task_under_crash", labels)]


def _steps(crash: WorkerCrash) -> set[StepKey]:
    return {crashed.run.task.step_key for crashed in crash.runs}
