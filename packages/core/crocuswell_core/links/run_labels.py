"""Labels that name a run in log lines of the leader and of runners."""

from crocuswell_core.jobs.job_records import RunId
from crocuswell_core.runtime.effects import Label


def member_labels(run: RunId) -> tuple[Label, ...]:
    """Return job, step, index and number of a run."""
    return (
        Label("job", run.task.job_id),
        Label("step", str(run.task.step)),
        Label("index", str(run.task.index)),
        Label("run", str(run.number)),
    )
