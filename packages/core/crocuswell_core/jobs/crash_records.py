"""Records of workers' crashes, and the end of jobs that cause them."""

from collections.abc import Iterator

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.jobs.crash_history import EARLY_CRASH_MS, NO_CRASHES
from crocuswell_core.jobs.job_ends import end_job
from crocuswell_core.jobs.job_records import (
    CrashedRun,
    Job,
    JobPhase,
    Task,
    WorkerCrash,
)
from crocuswell_core.jobs.run_labels import run_labels, task_label
from crocuswell_core.runtime.effects import ClusterEffect, Count, EmitLogEvent, Label

MAX_LISTED_TASKS = 16


@attrs.frozen
class _TaskUnderCrash:
    """A task with its job, and its run that was there."""

    crashed: CrashedRun
    job: Job
    task: Task

    @property
    def is_repeated(self) -> bool:
        """Whether the task has crashed a worker early before, and again."""
        known = self.task.crashes or NO_CRASHES
        return known.early > 0 and self.crashed.possible_ms <= EARLY_CRASH_MS


def record_crash(
    cluster: ClusterState, crash: WorkerCrash, coincident: bool
) -> list[ClusterEffect]:
    """Record the crash of a worker's boot, once.

    It counts against the tasks that were there, or only against those that
    explain it, unless it has a cause outside of them.
    """
    table = cluster.jobs
    if table.has_recorded(crash):
        return []
    table.note_recorded(crash)
    effects: list[ClusterEffect] = [
        _report_crash(crash, coincident),
        Count(
            "worker_crashes_total",
            labels=(Label("coincident", str(coincident).lower()),),
        ),
    ]
    present = list(_present_tasks(cluster, crash))
    explaining = [each for each in present if each.is_repeated]
    for each in present:
        counted = not coincident and each in (explaining or present)
        effects += _record_task(cluster, crash, each, counted)
    return effects


def _present_tasks(
    cluster: ClusterState, crash: WorkerCrash
) -> Iterator[_TaskUnderCrash]:
    for crashed in crash.runs:
        task = cluster.jobs.task(crashed.run.task)
        if task is not None:
            job = cluster.jobs.jobs[crashed.run.task.job_id]
            yield _TaskUnderCrash(crashed, job, task)


def _report_crash(crash: WorkerCrash, coincident: bool) -> EmitLogEvent:
    tasks = [task_label(crashed.run.task) for crashed in crash.runs]
    return EmitLogEvent(
        "worker_crashed",
        (
            Label("worker", crash.worker),
            Label("runs", str(len(tasks))),
            Label("tasks", " ".join(tasks[:MAX_LISTED_TASKS])),
            Label("coincident", str(coincident).lower()),
        ),
    )


def _record_task(
    cluster: ClusterState, crash: WorkerCrash, present: _TaskUnderCrash, counted: bool
) -> list[ClusterEffect]:
    """Record a crash for a task, and end its job if that is proof."""
    crashed, job, task = present.crashed, present.job, present.task
    history = task.crashes or NO_CRASHES
    if counted:
        sole = _is_sole_candidate(crash, crashed)
        history = history.after_crash(
            crash.machine, crashed.known_ms, crashed.possible_ms, sole
        )
    else:
        history = history.after_excused_crash(crashed.known_ms)
    task.crashes = history
    labels = (
        *run_labels(crashed.run),
        Label("worker", crash.worker),
        Label("known_ms", str(crashed.known_ms)),
        Label("possible_ms", str(crashed.possible_ms)),
        Label("beside", str(len(crash.runs) - 1)),
        Label("counted", str(counted).lower()),
        Label("crashes", str(history.count)),
        Label("early", str(history.early)),
        Label("sole", str(history.sole)),
    )
    effects: list[ClusterEffect] = [EmitLogEvent("task_under_crash", labels)]
    # Tasks that last are restarted however they end, unless they crash one
    # machine after the other.
    lasts = job.steps[crashed.run.task.step].long_running
    is_proof = history.is_proof and (history.crashed_several_machines or not lasts)
    if is_proof and job.is_open:
        label = task_label(crashed.run.task)
        reason = f"task {label}: {history.count} workers crashed under it"
        effects += end_job(cluster, job, JobPhase.FAILED, reason)
        effects.append(
            Count(
                "jobs_given_up_for_crashes_total", labels=(Label("queue", job.queue),)
            )
        )
    return effects


def _is_sole_candidate(crash: WorkerCrash, crashed: CrashedRun) -> bool:
    """Tell whether nothing else on the worker comes into question.

    Either only its step ran there, or only its step had just started.
    """
    is_early = crashed.possible_ms <= EARLY_CRASH_MS
    return all(
        other.run.task.step_key == crashed.run.task.step_key
        or (is_early and other.possible_ms > EARLY_CRASH_MS)
        for other in crash.runs
    )
