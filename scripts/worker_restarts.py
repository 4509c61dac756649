"""Restart workers under their ids while orders are on their way.

Starts the programs of `deploy/system.toml` as processes, and looks at what the
workers saw: no task may have two runs at the same time, and none may start
again after an end as `done` that was acknowledged. Prints one line a run, and
ends with 1 if that was broken.

The processes use fixed loopback ports; `deploy/build.sh` has to run before.
"""

import argparse
import enum
import json
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from functools import singledispatch
from itertools import combinations
from pathlib import Path
from typing import Any
from unittest.mock import patch

import attrs

from review import harness
from standins.restarting_worker import DONE, Restart, RestartingWorker

WORKERS = 4
WHOLE_WORKER = {"cpu": 100_000, "mem_mb": 200_000, "gpus": 8}
HALF_WORKER = {"cpu": 50_000, "mem_mb": 100_000, "gpus": 4}
EIGHTH_OF_WORKER = {"cpu": 12_000, "mem_mb": 25_000, "gpus": 1}
RUN_S = 4.0
WARM_UP_RUN_S = 0.3
# Longer than any disturbance and the leases of the boots that it ends.
COMPLETION_LIMIT_S = 40.0
LEADER_DOWN_S = 2.0
START, STOP, LISTS = "/run-start", "/run-stop", "/hold"
# Status of an answer that a connection that is shut down does not deliver.
LOST = 500
# Two calls that meet the same runner must not start it twice.
KILLING = threading.Lock()


class Role(enum.Enum):
    """A process that is killed and started again."""

    RUNNER = "runner"
    LEADER = "leader"


# --- what the workers saw --------------------------------------------------


@attrs.frozen
class Overlap:
    """Two runs of a task at the same time."""

    first: harness.RunInterval
    second: harness.RunInterval
    overlap_s: float


@attrs.frozen
class RestartedTask:
    """A run that began after another one's recorded end as `done`."""

    ended: harness.RunInterval
    restarted: harness.RunInterval


DoubledRun = Overlap | RestartedTask


@singledispatch
def describe(doubled: DoubledRun) -> str:
    """Return one line about a doubled run."""
    raise NotImplementedError(type(doubled).__name__)


@describe.register
def _(doubled: Overlap) -> str:
    first, second = doubled.first, doubled.second
    return (
        f"{first.task}: run {first.number} on {first.worker} and run "
        f"{second.number} on {second.worker} at once for {doubled.overlap_s:.2f} s"
    )


@describe.register
def _(doubled: RestartedTask) -> str:
    ended, restarted = doubled.ended, doubled.restarted
    return (
        f"{ended.task}: run {restarted.number} began on {restarted.worker} at "
        f"{restarted.began_s:.2f} s after run {ended.number} was done on "
        f"{ended.worker} at {ended.ended_s:.2f} s"
    )


def find_doubled_runs(dep: harness.Deployment) -> list[DoubledRun]:
    """Return what broke the rule that a task has one run at a time."""
    now_s = dep.record.now_s()
    runs = sorted(dep.intervals(), key=lambda run: (run.task, run.began_s))
    recorded = {
        (worker.name, end.task, end.number)
        for worker in restarting_workers(dep)
        for end in worker.recorded_ends
    }
    doubled: list[DoubledRun] = []
    for first, second in combinations(runs, 2):
        if first.task != second.task:
            continue
        ends_s = [
            now_s if run.ended_s is None else run.ended_s for run in (first, second)
        ]
        overlap_s = min(ends_s) - second.began_s
        if overlap_s > 0:
            doubled.append(Overlap(first, second, overlap_s))
        elif first.how == DONE and (first.worker, first.task, first.number) in recorded:
            doubled.append(RestartedTask(first, second))
    return doubled


# --- the deployment --------------------------------------------------------


def restarting_workers(dep: harness.Deployment) -> list[RestartingWorker]:
    """Return the workers of a deployment."""
    return [worker for worker in dep.workers if isinstance(worker, RestartingWorker)]


@contextmanager
def running_deployment(folder: Path, logs: Path | None) -> Iterator[harness.Deployment]:
    """Start a deployment of which all workers have recorded ends."""
    with ExitStack() as stack:
        record = harness.Record(folder / "record.txt")
        with patch.object(harness, "Worker", RestartingWorker):
            dep = stack.enter_context(harness.deployment(record, workers=WORKERS))
        if logs is not None:
            stack.callback(_copy_logs, folder, dep, logs)
        stack.callback(_end_timers)
        harness.start_all(dep)
        # Urgent work takes all workers at once.
        dep.apply_config(harness.make_config(2, priority=0, stretch=1.0))
        warm_up = submit(dep, WHOLE_WORKER, WARM_UP_RUN_S, count=2 * WORKERS)
        wait_for_completion(dep, [warm_up])
        yield dep


def _end_timers() -> None:
    """Let no timer start a process of a deployment that has ended."""
    for thread in threading.enumerate():
        if isinstance(thread, threading.Timer):
            thread.cancel()
            thread.join()


def _copy_logs(folder: Path, dep: harness.Deployment, logs: Path) -> None:
    logs.mkdir(parents=True, exist_ok=True)
    for path in [folder / "record.txt", *dep.folder.glob("*.log")]:
        shutil.copy(path, logs)


def submit(
    dep: harness.Deployment, needs: dict[str, int], run_s: float, count: int = 1
) -> str:
    """Submit a job of one step and return its id."""
    step = needs | {"count": count, "estimated_ms": int(run_s * 1_000)}
    return dep.submit([step], run_s=run_s)


def wait_for_completion(dep: harness.Deployment, jobs: list[str]) -> float | None:
    """Return the time in s until all jobs are completed; None if too long."""
    began_s = dep.record.now_s()
    left = list(jobs)
    while left:
        if dep.record.now_s() - began_s > COMPLETION_LIMIT_S:
            return None
        status, answer = dep.job_call("GET", left[0])
        if status == 200 and answer["state"] == "completed":
            left.pop(0)
        else:
            time.sleep(0.3)
    return dep.record.now_s() - began_s


def runner_of(dep: harness.Deployment, worker: harness.Worker) -> harness.Program:
    """Return the runner on a worker's machine."""
    return dep.runners[dep.workers.index(worker)]


def find_leader(dep: harness.Deployment) -> harness.Program:
    """Return the control process that gained the leadership last."""
    gained: list[tuple[float, int]] = []
    for number, control in enumerate(dep.controls):
        for line in control.log_text().splitlines():
            if '"leadership_gained"' in line:
                gained.append((float(json.loads(line)["time"]), number))
    if not gained:
        raise harness.CaseError("no control process leads")
    return dep.controls[max(gained)[1]]


def kill(dep: harness.Deployment, role: Role, worker: harness.Worker) -> None:
    """Kill a process, and start it again."""
    is_leader = role is Role.LEADER
    program = find_leader(dep) if is_leader else runner_of(dep, worker)
    with KILLING:
        program.kill()
        dep.record.add("killed", program=program.name)
        if is_leader:
            threading.Timer(LEADER_DOWN_S, program.start).start()
        else:
            program.start()


Action = Callable[[RestartingWorker, dict[str, Any]], int | float | None]


def intercept_first(
    dep: harness.Deployment,
    path: str,
    action: Action,
    is_wanted: Callable[[dict[str, Any]], bool] = bool,
) -> None:
    """Let an action decide on the first wanted call for a path."""
    lock = threading.Lock()
    is_over = False

    def handler_of(worker: RestartingWorker) -> harness.Trouble:
        def trouble(called: str, body: dict[str, Any]) -> int | float | None:
            nonlocal is_over
            with lock:
                if is_over or called != path or not is_wanted(body):
                    return None
                is_over = True
            dep.record.add("intercepted", worker=worker.name, path=path, body=body)
            return action(worker, body)

        return trouble

    for worker in restarting_workers(dep):
        worker.trouble = handler_of(worker)


# --- cases -----------------------------------------------------------------


@attrs.frozen
class StartMeetsRestart:
    """A start reaches a worker that crashes before it is carried out.

    Attributes
    ----------
    restarts : tuple of Restart
        The restarts, 0.3 s from each other.
    is_carried_out : bool
        Whether the new boot carries out the call.
    is_answered : bool
        Whether the runner gets the new boot's answer.
    """

    restarts: tuple[Restart, ...] = (Restart(),)
    is_carried_out: bool = True
    is_answered: bool = True
    killed: Role | None = None


@attrs.frozen
class StartsBeforeHeartbeat:
    """Starts reach a new boot that has sent no heartbeat.

    Attributes
    ----------
    gap_s : float
        Time in s from the restart to the first heartbeat.
    is_between_lists : bool
        Whether the worker crashes while no call for its lists is in flight.
    """

    gap_s: float = 2.0
    is_between_lists: bool = False
    keeps_connections: bool = True
    killed: Role | None = None


@attrs.frozen
class LateStart:
    """The next boot carries out a start that the earlier one left unanswered.

    Attributes
    ----------
    late_s : float
        Time in s from the call to its execution.
    run_s : float
        Length in s of the run.
    killed_after_s : float
        Time in s from the call to the kill; the worker restarts after 0.1 s.
    restarts_again : bool
        Whether the worker restarts again just before it carries out the call.
    """

    late_s: float
    run_s: float = 8.0
    killed: Role | None = None
    killed_after_s: float = 0.5
    restarts_again: bool = False


@attrs.frozen
class LateStop:
    """The next boot carries out a stop meant for the earlier one."""

    late_s: float = 2.0


@attrs.frozen
class LateList:
    """The next boot carries out a call for lists meant for the earlier one.

    Attributes
    ----------
    at_end : bool
        Whether that happens as a run ends, before any other call for lists.
    """

    at_end: bool


@attrs.frozen
class KilledRunners:
    """Runners are killed while starts and stops are on their way."""

    kills: int = 10


@attrs.frozen
class SlowWorkers:
    """Workers refuse orders or carry them out late, and do not restart."""

    duration_s: float = 15.0


@attrs.frozen
class FrozenRunner:
    """The runner is frozen as its worker restarts.

    Attributes
    ----------
    frozen_s : float
        Time in s for which the runner is frozen.
    is_carried_out : bool
        Whether the new boot carries out the start on its way.
    """

    frozen_s: float
    is_carried_out: bool = True


Case = (
    StartMeetsRestart
    | StartsBeforeHeartbeat
    | LateStart
    | LateStop
    | LateList
    | KilledRunners
    | SlowWorkers
    | FrozenRunner
)
CUT = Restart(keeps_connections=False)
CASES: dict[str, Case] = {
    "start": StartMeetsRestart(),
    "start-late-heartbeat": StartMeetsRestart((Restart(heartbeat_after_s=1.2),)),
    "start-no-answer": StartMeetsRestart(is_answered=False),
    "start-born-lower": StartMeetsRestart((Restart(born_shift_ms=-60_000),)),
    "start-runner-killed": StartMeetsRestart(killed=Role.RUNNER),
    "start-leader-killed": StartMeetsRestart(killed=Role.LEADER),
    "start-cut": StartMeetsRestart((CUT,), is_carried_out=False),
    "start-cut-late-heartbeat": StartMeetsRestart(
        (attrs.evolve(CUT, heartbeat_after_s=1.2),), is_carried_out=False
    ),
    "start-two-boots": StartMeetsRestart((Restart(), Restart())),
    "start-two-boots-late-heartbeat": StartMeetsRestart(
        (Restart(heartbeat_after_s=1.0), Restart(heartbeat_after_s=1.0))
    ),
    "gap": StartsBeforeHeartbeat(),
    "gap-cut": StartsBeforeHeartbeat(keeps_connections=False),
    "gap-cut-between-lists": StartsBeforeHeartbeat(
        keeps_connections=False, is_between_lists=True
    ),
    "gap-runner-killed": StartsBeforeHeartbeat(killed=Role.RUNNER),
    "gap-leader-killed": StartsBeforeHeartbeat(killed=Role.LEADER),
    "late-start-1": LateStart(1.0),
    "late-start-3": LateStart(3.0),
    "late-start-5": LateStart(5.0),
    "late-start-done": LateStart(5.0, run_s=2.0),
    "late-start-runner-killed": LateStart(3.0, killed=Role.RUNNER),
    "late-start-leader-killed": LateStart(3.0, killed=Role.LEADER),
    "late-start-runner-killed-before": LateStart(
        3.0, killed=Role.RUNNER, killed_after_s=0.05
    ),
    "late-start-leader-killed-before": LateStart(
        3.0, killed=Role.LEADER, killed_after_s=0.05
    ),
    "late-start-two-boots": LateStart(2.0, restarts_again=True),
    "late-stop": LateStop(),
    "late-list": LateList(at_end=False),
    "late-list-at-end": LateList(at_end=True),
    "killed-runners": KilledRunners(),
    "slow-workers": SlowWorkers(),
    "frozen-3": FrozenRunner(3.0),
    "frozen-9": FrozenRunner(9.0),
    "frozen-3-not-started": FrozenRunner(3.0, is_carried_out=False),
    "frozen-9-not-started": FrozenRunner(9.0, is_carried_out=False),
}


@singledispatch
def play(case: Case, dep: harness.Deployment, rng: random.Random) -> list[str]:
    """Play a case and return the ids of its jobs."""
    raise NotImplementedError(type(case).__name__)


@play.register
def _(
    case: StartMeetsRestart, dep: harness.Deployment, rng: random.Random
) -> list[str]:
    def action(worker: RestartingWorker, body: dict[str, Any]) -> int | float | None:
        first, *later = case.restarts
        worker.restart(first)
        for number, restart in enumerate(later, 1):
            threading.Timer(0.3 * number, worker.restart, (restart,)).start()
        if case.killed is not None:
            kill(dep, case.killed, worker)
        if not case.is_carried_out:
            return LOST
        return None if case.is_answered else 0.0

    intercept_first(dep, START, action)
    return [submit(dep, WHOLE_WORKER, RUN_S)]


@play.register
def _(
    case: StartsBeforeHeartbeat, dep: harness.Deployment, rng: random.Random
) -> list[str]:
    others = submit(dep, WHOLE_WORKER, COMPLETION_LIMIT_S, count=WORKERS - 1)
    dep.wait_for_runs(others, WORKERS - 1)
    worker = next(w for w in restarting_workers(dep) if not w.running_tasks())
    restart = Restart(
        heartbeat_after_s=COMPLETION_LIMIT_S, keeps_connections=case.keeps_connections
    )
    if case.is_between_lists:
        # An end is listed at once, and the next call follows after 100 ms.
        last = submit(dep, WHOLE_WORKER, WARM_UP_RUN_S)
        dep.wait_for_runs(last, 1)
        while worker.running_tasks():
            time.sleep(0.005)
        time.sleep(0.03)
    worker.restart(restart)
    restarted_s = time.monotonic()
    jobs = [submit(dep, HALF_WORKER, 0.5), submit(dep, HALF_WORKER, RUN_S)]
    if case.killed is not None:
        dep.wait_for_runs(jobs[1], 1)
        kill(dep, case.killed, worker)
    # The new runs of the tasks need room elsewhere.
    dep.job_call("DELETE", others)
    time.sleep(max(0.0, restarted_s + case.gap_s - time.monotonic()))
    worker.send_heartbeats()
    return jobs


@play.register
def _(case: LateStart, dep: harness.Deployment, rng: random.Random) -> list[str]:
    def action(worker: RestartingWorker, body: dict[str, Any]) -> int | float | None:
        threading.Timer(0.1, worker.restart, (Restart(),)).start()
        if case.killed is not None:
            args = (dep, case.killed, worker)
            threading.Timer(case.killed_after_s, kill, args).start()
        if case.restarts_again:
            delay_s = case.late_s - 0.01
            restart = Restart(heartbeat_after_s=1.0)
            threading.Timer(delay_s, worker.restart, (restart,)).start()
        return case.late_s

    intercept_first(dep, START, action)
    job = submit(dep, WHOLE_WORKER, case.run_s)
    time.sleep(case.late_s + 1.0)
    return [job]


@play.register
def _(case: LateStop, dep: harness.Deployment, rng: random.Random) -> list[str]:
    def stop_late(worker: RestartingWorker, body: dict[str, Any]) -> int | float | None:
        threading.Timer(0.1, worker.restart, (Restart(),)).start()
        return case.late_s

    def refuse(worker: RestartingWorker, body: dict[str, Any]) -> int | float | None:
        intercept_first(dep, STOP, stop_late)
        return 503

    intercept_first(dep, START, refuse)
    job = submit(dep, WHOLE_WORKER, RUN_S)
    time.sleep(case.late_s + 1.0)
    return [job]


@play.register
def _(case: LateList, dep: harness.Deployment, rng: random.Random) -> list[str]:
    def action(worker: RestartingWorker, body: dict[str, Any]) -> int | float | None:
        worker.restart(Restart())
        if not case.at_end:
            return 2.0
        worker.late_list = body
        return LOST

    intercept_first(dep, LISTS, action, lambda body: body["last_seen"] > 0)
    first = submit(dep, WHOLE_WORKER, WARM_UP_RUN_S, count=WORKERS)
    time.sleep(2.0)
    others = [
        submit(dep, EIGHTH_OF_WORKER, 0.1 + 0.2 * number, count=WORKERS)
        for number in range(8)
    ]
    return [first, *others]


@play.register
def _(case: KilledRunners, dep: harness.Deployment, rng: random.Random) -> list[str]:
    lock = threading.Lock()
    left = case.kills

    def handler_of(worker: RestartingWorker) -> harness.Trouble:
        def trouble(path: str, body: dict[str, Any]) -> int | float | None:
            nonlocal left
            with lock:
                if path == LISTS or not left or rng.random() > 0.3:
                    return None
                left -= 1
                delay_s = rng.choice((None, 0.0, rng.uniform(0.1, 3.0)))
            dep.record.add("intercepted", worker=worker.name, path=path, body=body)
            kill(dep, Role.RUNNER, worker)
            return delay_s

        return trouble

    for worker in restarting_workers(dep):
        worker.trouble = handler_of(worker)
    return [
        submit(dep, EIGHTH_OF_WORKER, rng.uniform(0.2, 3.0), count=8) for _ in range(8)
    ]


@play.register
def _(case: SlowWorkers, dep: harness.Deployment, rng: random.Random) -> list[str]:
    ends_s = dep.record.now_s() + case.duration_s

    def trouble(path: str, body: dict[str, Any]) -> int | float | None:
        if dep.record.now_s() > ends_s or rng.random() > 0.4:
            return None
        if path == LISTS:
            return rng.choice((None, None, 503, rng.uniform(0.1, 3.0)))
        return rng.choice((503, 0.0, rng.uniform(0.1, 3.0)))

    for worker in dep.workers:
        worker.trouble = trouble
    jobs = []
    for _ in range(8):
        jobs.append(submit(dep, EIGHTH_OF_WORKER, rng.uniform(0.2, 3.0), count=6))
        time.sleep(0.5)
    return jobs


@play.register
def _(case: FrozenRunner, dep: harness.Deployment, rng: random.Random) -> list[str]:
    def action(worker: RestartingWorker, body: dict[str, Any]) -> int | float | None:
        runner = runner_of(dep, worker)
        runner.signal(signal.SIGSTOP)
        threading.Timer(case.frozen_s, runner.signal, (signal.SIGCONT,)).start()
        worker.restart(Restart())
        return None if case.is_carried_out else LOST

    intercept_first(dep, START, action)
    job = submit(dep, WHOLE_WORKER, RUN_S + 6.0)
    time.sleep(case.frozen_s + 1.0)
    return [job]


# --- the run ---------------------------------------------------------------


def run_case(name: str, seed: int, logs: Path | None) -> bool | None:
    """Run a case, print its line, and tell whether the rule held.

    Returns
    -------
    bool or None
        None if the case could not be run.
    """
    run_logs = logs / f"{name}-{seed}" if logs else None
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        try:
            dep = stack.enter_context(running_deployment(folder, run_logs))
            jobs = play(CASES[name], dep, random.Random(f"{name} {seed}"))
            took_s = wait_for_completion(dep, jobs)
        except harness.CaseError as exc:
            print(f"{name} {seed}: could not run: {exc}", flush=True)
            return None
        doubled = find_doubled_runs(dep)
        dep.record.add("verdict", doubled=[describe(each) for each in doubled])
    completed = "jobs not completed" if took_s is None else f"completed {took_s:.1f} s"
    verdict = "broken" if doubled else "held"
    print(f"{name} {seed}: {verdict}, {completed}", flush=True)
    for each in doubled:
        print(f"    {describe(each)}", flush=True)
    return not doubled


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cases", nargs="*", metavar="CASE", help=", ".join(CASES))
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", type=Path, help="folder that receives the logs")
    args = parser.parse_args()
    unknown = [name for name in args.cases if name not in CASES]
    if unknown:
        parser.error(f"found {', '.join(unknown)}; expected {', '.join(CASES)}")
    held = [
        run_case(name, seed, args.logs)
        for name in args.cases or CASES
        for seed in range(args.seed, args.seed + args.runs)
    ]
    print(f"worker-restarts: {held.count(False)} of {len(held)} runs broken")
    return 1 if False in held else 2 if None in held else 0


if __name__ == "__main__":
    sys.exit(main())
