"""Processor time of the leader's dispatching by the size of the fleet."""

import argparse
import time
from collections.abc import Callable, Iterable
from functools import partial

from crocuswell_core.jobs.job_records import RunId, RunProgress
from crocuswell_core.links.link_messages import WorkerDescription
from tests.job_world import TIGHT, URGENT, Leader, step, worker

WORKERS_PER_RACK = 8
TASKS_PER_WORKER = 6
TASKS_PER_JOB = 8
WAITING_GANGS = 10
ROUNDS = 10


def mean_ms(acts: Iterable[Callable[[], object]]) -> float:
    """Carry out some actions and return their mean processor time in ms."""
    count = 0
    begun_s = time.process_time()
    for act in acts:
        act()
        count += 1
    return (time.process_time() - begun_s) / count * 1_000


def report(leader: Leader, stream_id: int, described: WorkerDescription) -> None:
    """Let a runner report all that was placed on its worker."""
    runs = [
        RunProgress(RunId(task, number), "", 20)
        for task, number in leader.placed(described).items()
    ]
    leader.report(stream_id, described, runs)


def measure(workers: int) -> str:
    """Return one line for a fleet of a size."""
    leader = Leader()
    fleet = [worker(f"w{i}", f"r-{i // WORKERS_PER_RACK}") for i in range(workers)]
    for stream_id, described in enumerate(fleet, start=1):
        leader.report(stream_id, described)
    jobs = workers * TASKS_PER_WORKER // TASKS_PER_JOB
    wide = step(TASKS_PER_JOB)
    submit = mean_ms(
        partial(leader.submit, f"j{i}", wide, queue=TIGHT) for i in range(jobs)
    )
    gang = step(4, accelerators=8, gang=True)
    for i in range(WAITING_GANGS):
        leader.submit(f"gang{i}", gang, queue=TIGHT)
    reported = mean_ms(
        partial(report, leader, stream_id, described)
        for stream_id, described in enumerate(fleet, start=1)
    )
    tick = mean_ms(leader.tick for _ in range(ROUNDS))
    urgent = step(2, accelerators=8)
    claim = mean_ms(
        partial(leader.submit, f"u{i}", urgent, queue=URGENT) for i in range(ROUNDS)
    )
    placed = sum(len(leader.placed(described)) for described in fleet)
    return (
        f"{workers:4} workers, {placed:5} tasks: report {reported:.2f} ms, "
        f"job {submit:.1f} ms, tick {tick:.1f} ms, claim {claim:.1f} ms"
    )


def main() -> None:
    """Print one line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("workers", type=int, nargs="*", default=[11, 80, 320, 640])
    for workers in parser.parse_args().workers:
        print(measure(workers), flush=True)


if __name__ == "__main__":
    main()
