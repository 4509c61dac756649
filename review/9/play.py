"""A job is cancelled while a worker leaves some orders unanswered."""

import time
from contextlib import ExitStack
from pathlib import Path

from review.second import case
from review.second.deployment import BOUNDS, KEY, Deployment, Record, new_job_id
from review.second.worker import Worker

WORK_ITEMS = 400
CPU = 80
# One order in 16 is a share of 0.0625.
LATE_EVERY = 16
CANCELLED_AFTER_S = 0.3
WATCHED_S = 20.0
LABEL = "b"


def play(record: Record, with_trouble: bool) -> list[str]:
    """Submit a job, cancel it, and look what the worker starts afterwards."""
    with ExitStack() as stack:
        place = stack.enter_context(Deployment(record, sides=2))
        worker = stack.enter_context(Worker(place, 1, (LABEL, "r1-1")))
        stack.enter_context(Worker(place, 2))
        case.set_up(place)
        worker.late_every = LATE_EVERY if with_trouble else 0
        job = new_job_id()
        step = {"count": WORK_ITEMS, "cpu": CPU, "mem_mb": 64, "requirements": LABEL}
        body = {"spec": '{"work_ms":8000}', "steps": [step]}
        if place.request("POST", f"/pufi791/{job}", body, KEY)[0] != 200:
            raise case.CannotRunError("the job was not accepted")
        time.sleep(CANCELLED_AFTER_S)
        status, _ = place.request("DELETE", f"/pufi791/{job}", None, KEY)
        if status != 200:
            raise case.CannotRunError("the cancelling was not acknowledged")
        cancelled_s = time.monotonic()
        time.sleep(WATCHED_S)
        if not worker.starts:
            raise case.CannotRunError("nothing was started")
        ages_s = [start[0] - cancelled_s for start in worker.starts]
        limit_s = BOUNDS["cancel_ms"] / 1000
        late_s = [age_s for age_s in ages_s if age_s > limit_s]
        record.add(
            f"{len(ages_s)} prompt starts, the last {max(ages_s):.2f} s after the "
            f"cancelling was acknowledged"
        )
        if not late_s:
            return []
        return [
            f"{len(late_s)} work items were started more than {limit_s:.0f} s after "
            f"the cancelling was acknowledged, the last after {max(late_s):.2f} s"
        ]


if __name__ == "__main__":
    case.run(Path(__file__).parent, play)
