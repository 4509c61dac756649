"""An order that is carried out late, on a worker that refuses the stop."""

import json
import secrets
import sys
import time
from itertools import combinations
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

FLEET = 11
# Whole workers, so that the last job gets the one that is left.
STEP = {"cpu": 100_000, "mem_mb": 200_000, "gpus": 8, "estimated_ms": 4_000}
FIRST_RUN_S, OTHERS_RUN_S, LAST_RUN_S = 1.0, 4.0, 30.0
LATE_S = 5.0
UNWELL_S = 4.5
REFUSED_STATUS = 503


class Disruption:
    """One start is carried out late; its worker is unwell for a while then."""

    def __init__(self, dep: harness.Deployment, record: harness.Record) -> None:
        self._record = record
        self._chosen: harness.Worker | None = None
        self._began_s = 0.0
        self.job_id = "none"
        for worker in dep.workers:
            worker.trouble = self._handler_of(worker)

    def _handler_of(self, worker: harness.Worker) -> harness.Trouble:
        def trouble(path: str, body: dict[str, Any]) -> int | float | None:
            if self._chosen is None:
                if path != "/run-start" or not body["task"].startswith(self.job_id):
                    return None
                self._chosen = worker
                self._began_s = self._record.add("trouble", worker=worker.name)
                return LATE_S
            unwell = self._record.now_s() - self._began_s < UNWELL_S
            if worker is self._chosen and unwell and path != "/hold":
                return REFUSED_STATUS
            return None

        return trouble


def work_item_runs_twice(record: harness.Record) -> str:
    """Look for two runs of one work item at the same time."""
    with harness.deployment(record, workers=FLEET) as dep:
        harness.start_all(dep)
        # Urgent work takes all workers at once.
        dep.apply_config(harness.make_config(2, priority=0, stretch=1.0))
        # These dilute the share of orders that are carried out late.
        dep.submit([STEP | {"count": FLEET}], run_s=FIRST_RUN_S)
        time.sleep(FIRST_RUN_S + 1.0)
        others = dep.submit([STEP | {"count": FLEET - 1}], run_s=OTHERS_RUN_S)
        dep.wait_for_runs(others, FLEET - 1)
        disruption = Disruption(dep, record) if harness.TROUBLE else None
        job_id = secrets.token_hex(8)
        if disruption is not None:
            disruption.job_id = job_id
        body = {
            "spec": json.dumps({"run_s": LAST_RUN_S}),
            "steps": [STEP | {"count": 1}],
        }
        if dep.job_call("POST", job_id, body)[0] != 200:
            raise harness.CaseError("the last job was not accepted")
        time.sleep(LATE_S + 5.0)
        runs = dep.intervals(job_id)
        if not runs:
            raise harness.CaseError("the last job has not started")
        for first, second in combinations(runs, 2):
            overlap_s = _overlap_s(record, first, second)
            if first.task == second.task and overlap_s > 0:
                return (
                    f"TWICE: run {first.number} of {first.task} on {first.worker} and "
                    f"run {second.number} on {second.worker} at the same time, for "
                    f"{overlap_s:.2f} s"
                )
        return ""


def _overlap_s(
    record: harness.Record, first: harness.RunInterval, second: harness.RunInterval
) -> float:
    now_s = record.now_s()
    ends_s = [now_s if run.ended_s is None else run.ended_s for run in (first, second)]
    return min(ends_s) - max(first.began_s, second.began_s)


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, work_item_runs_twice))
