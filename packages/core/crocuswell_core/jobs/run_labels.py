"""Labels that identify a run in the logs of the leader and of runners."""

from crocuswell_core.jobs.job_records import RunId
from crocuswell_core.runtime.effects import Label


def run_labels(run: RunId) -> tuple[Label, ...]:
    """Return the labels that identify a run in a log line."""
    task = run.task
    return (
        Label("job", task.job_id),
        Label("task", f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"),
        Label("run", str(run.number)),
    )
