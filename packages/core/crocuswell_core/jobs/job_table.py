"""The replicated table of jobs and what is derived from it."""

from collections.abc import Iterator

import attrs

from crocuswell_core.jobs.catalog import Catalog
from crocuswell_core.jobs.job_records import Job, RunId, Task, TaskId, TaskPhase


@attrs.define
class JobTable:
    """Jobs, the catalog and the acknowledged ends of each worker's boot.

    Attributes
    ----------
    revision : int
        Grows with each change that dispatching must look at.
    catalog_ms : int
        Cluster time in ms at which the catalog was replaced.
    plan : str
        Name of the newest applied plan.
    seen_ends : dict
        For each worker's boot the highest number of a recorded end.
    placed : dict
        Runs that may be on a worker's boot, by its key.
    """

    revision: int = 0
    catalog: Catalog | None = None
    catalog_ms: int = 0
    plan: str = ""
    jobs: dict[str, Job] = attrs.Factory(dict)
    seen_ends: dict[str, int] = attrs.Factory(dict)
    placed: dict[str, dict[TaskId, int]] = attrs.Factory(dict)

    def task(self, task_id: TaskId) -> Task | None:
        """Return a task, None if there is no such task."""
        job = self.jobs.get(task_id.job_id)
        occurrence = job.occurrences.get(task_id.occurrence) if job else None
        if occurrence is None or not 0 <= task_id.step < len(occurrence.tasks):
            return None
        tasks = occurrence.tasks[task_id.step]
        return tasks[task_id.index] if 0 <= task_id.index < len(tasks) else None

    def current_run(self, run: RunId) -> Task | None:
        """Return the task whose newest run this is, if it is placed."""
        task = self.task(run.task)
        if task is None or task.run != run.number:
            return None
        return task if task.phase is TaskPhase.PLACED else None

    def placed_tasks(self, job: Job) -> Iterator[tuple[TaskId, Task]]:
        """Yield the placed tasks of a job."""
        for number, occurrence in job.occurrences.items():
            for step, tasks in enumerate(occurrence.tasks):
                for index, task in enumerate(tasks):
                    if task.phase is TaskPhase.PLACED:
                        yield TaskId(job.id, step, index, number), task

    def siblings(self, task_id: TaskId) -> list[Task]:
        """Return the tasks of a task's step and occurrence."""
        occurrence = self.jobs[task_id.job_id].occurrences[task_id.occurrence]
        return occurrence.tasks[task_id.step]
