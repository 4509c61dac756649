"""The replicated table of jobs and lookups in it."""

from collections.abc import Iterator

import attrs

from crocuswell_core.jobs.catalog import Catalog, Queue, find_queue_by_name
from crocuswell_core.jobs.job_records import (
    DeclinedJob,
    Job,
    OverRun,
    RunId,
    StepSpec,
    Task,
    TaskId,
    TaskPhase,
    WorkerCrash,
    boot_name,
)

# Longest time in ms after which a worker is expected to carry out a call that
# it left unanswered.
LATE_CALL_MS = 30_000
# Runners report a crash until they learn that it is recorded, and up to this
# many at a time.
MAX_CRASHED_BOOTS = 16


@attrs.define
class JobTable:
    """Replicated state of jobs, the catalog and acknowledged run ends.

    Attributes
    ----------
    revision : int
        Increases with each change that is relevant to dispatching.
    catalog_ms : int
        Cluster time in ms at which the catalog was replaced.
    applied_plan : str
        Name of the newest applied plan.
    jobs : dict
        Open and recently ended jobs by id, in order of acceptance.
    acknowledged_ends : dict
        Highest number of a recorded end, by the key of the worker's boot.
    placed : dict
        Numbers of the runs that may be on a worker's boot, by the key of
        the boot and the task.
    recorded_crashes : dict
        Latest start in ms of a boot whose crash is recorded, by machine.
    over_runs : dict
        Runs that were over lately, by the id of their worker with its machine
        and by their task; the newest are last. A later boot of the worker may
        still receive their starts.
    declined : dict
        Jobs that were recently refused for want of room by id, the newest
        refusal last.
    removed_queues : dict
        Last definitions of queues that left the catalog before all of their
        jobs had ended, by name.
    crashed_boots : dict
        Starts in ms of the boots whose crashes were recorded last, by machine;
        the newest record is the last.
    """

    revision: int = 0
    catalog: Catalog | None = None
    catalog_ms: int = 0
    applied_plan: str = ""
    jobs: dict[str, Job] = attrs.Factory(dict)
    acknowledged_ends: dict[str, int] = attrs.Factory(dict)
    placed: dict[str, dict[TaskId, int]] = attrs.Factory(dict)
    recorded_crashes: dict[str, int] = attrs.Factory(dict)
    declined: dict[str, DeclinedJob] = attrs.Factory(dict)
    removed_queues: dict[str, Queue] = attrs.Factory(dict)
    crashed_boots: dict[str, tuple[int, ...]] = attrs.Factory(dict)
    over_runs: dict[str, dict[TaskId, OverRun]] = attrs.Factory(dict)

    def queue_of(self, job: Job) -> Queue | None:
        """Return the newest known definition of an accepted job's queue.

        The job keeps its limits and its turn while its queue is not in the
        catalog. None if an earlier version of the program applied the removal.
        """
        queue = find_queue_by_name(self.catalog, job.queue)
        return queue or self.removed_queues.get(job.queue)

    def has_recorded(self, crash: WorkerCrash) -> bool:
        """Tell whether a crash is recorded.

        A later boot may have an earlier start, since wall clocks step back.
        """
        machine, born_ms = crash.machine, crash.born_ms
        if born_ms == self.recorded_crashes.get(machine):
            return True
        return born_ms in self.crashed_boots.get(machine, ())

    def note_recorded(self, crash: WorkerCrash) -> None:
        """Note that a crash is recorded."""
        machine, born_ms = crash.machine, crash.born_ms
        latest_ms = self.recorded_crashes.get(machine, born_ms)
        self.recorded_crashes[machine] = max(latest_ms, born_ms)
        boots = (*self.crashed_boots.get(machine, ()), born_ms)
        self.crashed_boots[machine] = boots[-MAX_CRASHED_BOOTS:]

    def note_over(self, worker: str, run: RunId, now_ms: int) -> None:
        """Note that a run is over; forget those that were over long ago."""
        name = boot_name(worker)
        runs = self.over_runs.pop(name, {})
        self.over_runs[name] = runs
        runs.pop(run.task, None)
        runs[run.task] = OverRun(run.number, now_ms, worker)
        for task_id, over in list(runs.items()):
            if over.over_ms >= now_ms - LATE_CALL_MS:
                break
            del runs[task_id]
        longest_idle = next(iter(self.over_runs))
        newest = next(reversed(self.over_runs[longest_idle].values()))
        if newest.over_ms < now_ms - LATE_CALL_MS:
            del self.over_runs[longest_idle]

    def runs_of_earlier_boots(self, worker: str, now_ms: int) -> list[RunId]:
        """Return the runs that were over lately on other boots of an id."""
        return [
            RunId(task_id, over.number)
            for task_id, over in self.over_runs.get(boot_name(worker), {}).items()
            if over.worker != worker and over.over_ms >= now_ms - LATE_CALL_MS
        ]

    def step_of(self, task_id: TaskId) -> StepSpec | None:
        """Return the step of a task, None if it does not exist."""
        job = self.jobs.get(task_id.job_id)
        if job is None or not 0 <= task_id.step < len(job.steps):
            return None
        return job.steps[task_id.step]

    def task(self, task_id: TaskId) -> Task | None:
        """Return a task, None if it does not exist."""
        job = self.jobs.get(task_id.job_id)
        occurrence = job.occurrences.get(task_id.occurrence) if job else None
        if occurrence is None or not 0 <= task_id.step < len(occurrence.tasks):
            return None
        tasks = occurrence.tasks[task_id.step]
        return tasks[task_id.index] if 0 <= task_id.index < len(tasks) else None

    def was_placed(self, run: RunId) -> bool:
        """Tell whether a run was ever placed, and its job is still known."""
        task = self.task(run.task)
        return task is not None and run.number <= task.run

    def task_if_current(self, run: RunId) -> Task | None:
        """Return the task of a run that is placed and the task's newest run.

        None if the run has ended or was given up.
        """
        task = self.task(run.task)
        if task is None or task.run != run.number:
            return None
        return task if task.phase is TaskPhase.PLACED else None

    def placed_tasks(self, job: Job) -> Iterator[tuple[TaskId, Task]]:
        """Yield the placed tasks of a job with their ids."""
        return self.tasks_in_phase(job, TaskPhase.PLACED)

    def tasks_in_phase(
        self, job: Job, phase: TaskPhase
    ) -> Iterator[tuple[TaskId, Task]]:
        """Yield the tasks in a phase of a job's started occurrences."""
        for number, occurrence in job.occurrences.items():
            for step, tasks in enumerate(occurrence.tasks):
                for index, task in enumerate(tasks):
                    if task.phase is phase:
                        yield TaskId(job.id, step, index, number), task

    def step_tasks(self, task_id: TaskId) -> list[Task]:
        """Return all tasks in the same step and occurrence as a task."""
        occurrence = self.jobs[task_id.job_id].occurrences[task_id.occurrence]
        return occurrence.tasks[task_id.step]
