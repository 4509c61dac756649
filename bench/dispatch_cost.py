"""Measure the leader's processor time for dispatching by fleet size."""

import argparse
import time
from collections.abc import Callable, Iterable
from functools import partial

from crocuswell_core.jobs.job_records import RunId, RunProgress
from crocuswell_core.links.link_messages import WorkerDescription
from tests.job_harness import TIGHT, URGENT, Leader, step, worker

WORKERS_PER_RACK = 8
TASKS_PER_WORKER = 6
TASKS_PER_JOB = 8
WAITING_GANGS = 10
ROUNDS = 10


def mean_ms(actions: Iterable[Callable[[], object]]) -> float:
    """Run actions and return their mean processor time in ms."""
    count = 0
    started_s = time.process_time()
    for action in actions:
        action()
        count += 1
    return (time.process_time() - started_s) / count * 1_000


def report(
    leader: Leader, stream_id: int, worker_description: WorkerDescription
) -> None:
    """Report all runs placed on a worker, as its runner does."""
    runs = [
        RunProgress(RunId(task, number), "", 20)
        for task, number in leader.placed(worker_description).items()
    ]
    leader.report(stream_id, worker_description, runs)


def measure(workers: int) -> str:
    """Measure a fleet of this size and return one line of figures."""
    leader = Leader()
    fleet = [
        worker(f"w{index}", f"r-{index // WORKERS_PER_RACK}")
        for index in range(workers)
    ]
    for stream_id, worker_description in enumerate(fleet, start=1):
        leader.report(stream_id, worker_description)
    jobs = workers * TASKS_PER_WORKER // TASKS_PER_JOB
    wide_step = step(TASKS_PER_JOB)
    submit = mean_ms(
        partial(leader.submit, f"j{index}", wide_step, queue=TIGHT)
        for index in range(jobs)
    )
    gang = step(4, accelerators=8, gang=True)
    for index in range(WAITING_GANGS):
        leader.submit(f"gang{index}", gang, queue=TIGHT)
    reported = mean_ms(
        partial(report, leader, stream_id, worker_description)
        for stream_id, worker_description in enumerate(fleet, start=1)
    )
    tick = mean_ms(leader.tick for _ in range(ROUNDS))
    urgent = step(2, accelerators=8)
    claim = mean_ms(
        partial(leader.submit, f"u{index}", urgent, queue=URGENT)
        for index in range(ROUNDS)
    )
    placed = sum(len(leader.placed(worker_description)) for worker_description in fleet)
    return (
        f"{workers:4} workers, {placed:5} tasks: report {reported:.2f} ms, "
        f"job {submit:.1f} ms, tick {tick:.1f} ms, claim {claim:.1f} ms"
    )


def main() -> None:
    """Print one line per fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("workers", type=int, nargs="*", default=[11, 80, 320, 640])
    for workers in parser.parse_args().workers:
        print(measure(workers), flush=True)


if __name__ == "__main__":
    main()
