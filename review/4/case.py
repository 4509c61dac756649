"""A work item fails once while its queue is out of the configuration."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

MAX_ATTEMPTS = 3
RUN_S = 6.0


def job_fails_without_cause(record: harness.Record) -> str:
    """Remove a route, let a run fail, and add the route again."""
    with harness.deployment(record, workers=3) as dep:
        harness.start_all(dep)
        step = {"count": 1, "cpu": 52_000, "mem_mb": 100_000, "estimated_ms": 6_000}
        job_id = dep.submit([step], run_s=RUN_S, failing_runs=[1])
        dep.wait_for_runs(job_id, 1)
        with_route = harness.make_config(2, max_attempts=MAX_ATTEMPTS)
        without_route = with_route | {"routes": with_route["routes"][1:]}
        dep.apply_config(without_route if harness.TROUBLE else with_route)
        time.sleep(RUN_S + 2.0)
        dep.apply_config(harness.make_config(3, max_attempts=MAX_ATTEMPTS))
        time.sleep(harness.BOUNDS["config_apply_ms"] / 1_000 + 1.0)
        status, answer = dep.job_call("GET", job_id)
        ends = [run.how for run in dep.intervals(job_id) if run.ended_s is not None]
        failures = ends.count("failed")
        if not failures:
            raise harness.CaseError("no run failed")
        if status != 200:
            raise harness.CaseError(f"the state was answered with {status}")
        if answer["state"] == "failed" and failures < MAX_ATTEMPTS:
            return (
                f"LOST: the job is shown as failed after {failures} failed run, though "
                f"its queue had max_attempts {MAX_ATTEMPTS} in every configuration"
            )
        return ""


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, job_fails_without_cause))
