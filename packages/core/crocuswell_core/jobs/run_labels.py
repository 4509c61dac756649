"""Labels that identify a run in the logs of the leader and of runners."""

from crocuswell_core.jobs.job_records import RunId, TaskId
from crocuswell_core.runtime.effects import Label


def task_label(task: TaskId) -> str:
    """Return the name of a task in log lines and reasons."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def run_labels(run: RunId) -> tuple[Label, ...]:
    """Return the labels that identify a run in a log line."""
    task = run.task
    return (
        Label("job", task.job_id),
        Label("task", task_label(task)),
        Label("run", str(run.number)),
    )
