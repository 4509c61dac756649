"""A leader with workers that crash under some runs and start again."""

from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from crocuswell_core.jobs.job_records import (
    CrashedRun,
    RunEnd,
    RunEndKind,
    RunId,
    RunProgress,
    TaskId,
    WorkerCrash,
)
from crocuswell_core.links.link_messages import LeaseGrant, RunOrders, WorkerDescription
from tests.job_harness import Leader, worker

STEP_MS = 50
TICK_MS = 250
REPORT_MS = 500
RESTART_MS = 3_000
NEVER_MS = 1 << 60


@attrs.define
class CrashingWorker:
    """A worker with its runner."""

    stream_id: int
    description: WorkerDescription
    started_ms: dict[RunId, int] = attrs.Factory(dict)
    ended: list[RunEnd] = attrs.Factory(list)
    ends: int = 0
    back_ms: int = 0
    crashes: list[WorkerCrash] = attrs.Factory(list)
    reported_ms: int = 0

    def is_down(self, now_ms: int) -> bool:
        return now_ms < self.back_ms


class CrashingWorkers:
    """Workers and the leader that dispatches to them, in steps of time.

    Parameters
    ----------
    count, per_rack : int
        Number of workers, in all and in a rack.
    crash_after_ms : callable
        Time in ms after its start at which a run crashes its worker; None if
        it does not.
    work_ms : int
        Time in ms that the other runs take.
    restart_ms : int
        Time in ms from a crash until the worker is back.
    """

    def __init__(
        self,
        count: int = 6,
        per_rack: int = 3,
        crash_after_ms: Callable[[RunId], int | None] = lambda run: None,
        work_ms: int = 5_000,
        restart_ms: int = RESTART_MS,
    ) -> None:
        self.leader = Leader()
        self.crash_after_ms = crash_after_ms
        self.work_ms = work_ms
        self.restart_ms = restart_ms
        self.starts: Counter[TaskId] = Counter()
        self.handled = 0
        self.workers = [
            CrashingWorker(
                i + 1, worker(f"w{i}", rack=f"r{i // per_rack}", machine=f"m{i}")
            )
            for i in range(count)
        ]
        for each in self.workers:
            self.leader.report(each.stream_id, each.description)

    @property
    def now_ms(self) -> int:
        return self.leader.now_ms

    def phase(self, job_id: str) -> str:
        return self.leader.state.cluster.jobs.jobs[job_id].phase.value

    def run(self, ms: int) -> None:
        """Let time pass."""
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.leader.advance(STEP_MS)
            for each in self.workers:
                self._step(each)
            if self.now_ms % TICK_MS < STEP_MS:
                self.leader.tick()
            self._deliver_orders()

    def run_until_ended(self, *job_ids: str, limit_ms: int = 120_000) -> None:
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms and any(
            self.phase(job_id) in {"queued", "running"} for job_id in job_ids
        ):
            self.run(STEP_MS)

    def crash(self, workers: Iterable[CrashingWorker]) -> None:
        """Crash workers, whatever runs there."""
        for each in workers:
            if not each.is_down(self.now_ms):
                self._crash(each)

    def change_leader(self) -> None:
        """Let another term begin; the runners attach again."""
        self.leader.state.consensus.term += 1
        self.leader.tick()

    def _step(self, each: CrashingWorker) -> None:
        if each.is_down(self.now_ms):
            if self.now_ms - each.reported_ms >= REPORT_MS:
                self._report(each, reachable=False)
            return
        if each.back_ms:
            self._restart(each)
        for run, since_ms in list(each.started_ms.items()):
            limit_ms = self.crash_after_ms(run)
            if limit_ms is not None and self.now_ms - since_ms >= limit_ms:
                self._crash(each)
                return
            if limit_ms is None and self.now_ms - since_ms >= self.work_ms:
                self._end(each, run, RunEndKind.DONE)
        if self.now_ms - each.reported_ms >= REPORT_MS:
            self._report(each)

    def _crash(self, each: CrashingWorker) -> None:
        each.back_ms = self.now_ms + self.restart_ms
        crashed = tuple(
            CrashedRun(run, self.now_ms - since_ms, self.now_ms - since_ms)
            for run, since_ms in each.started_ms.items()
        )
        if crashed:
            boot = each.description
            crash = WorkerCrash(boot.machine, boot.id, boot.born_ms, crashed)
            each.crashes.append(crash)
        self._report(each, reachable=False)
        lost = list(each.started_ms)
        each.started_ms, each.ended, each.ends = {}, [], 0
        for run in lost:
            self._break_gang(run)

    def _break_gang(self, run: RunId) -> None:
        job = self.leader.state.cluster.jobs.jobs[run.task.job_id]
        if not job.steps[run.task.step].gang:
            return
        for each in self.workers:
            for other in list(each.started_ms):
                same = other.task.step_key == run.task.step_key
                if same and other.number == run.number:
                    self._end(each, other, RunEndKind.GANG_BROKEN)

    def _restart(self, each: CrashingWorker) -> None:
        each.back_ms = 0
        each.description = attrs.evolve(
            each.description,
            id=f"{each.description.machine}-{self.now_ms}",
            born_ms=self.now_ms,
        )
        self._report(each)

    def _end(self, each: CrashingWorker, run: RunId, kind: RunEndKind) -> None:
        if each.started_ms.pop(run, None) is not None:
            each.ends += 1
            each.ended.append(RunEnd(each.ends, run, kind))
            self._report(each)

    def _report(self, each: CrashingWorker, reachable: bool = True) -> None:
        each.reported_ms = self.now_ms
        self.leader.report(
            each.stream_id,
            each.description,
            [RunProgress(run, "", self._percent(each, run)) for run in each.started_ms],
            each.ended,
            reachable=reachable,
            crashes=tuple(each.crashes) if reachable else (),
        )

    def _percent(self, each: CrashingWorker, run: RunId) -> int:
        return min(99, 100 * (self.now_ms - each.started_ms[run]) // self.work_ms)

    def _deliver_orders(self) -> None:
        while self.handled < len(self.leader.sent):
            sent = self.leader.sent[self.handled]
            self.handled += 1
            (each,) = [w for w in self.workers if w.stream_id == sent.stream_id]
            message = sent.message
            if isinstance(message, LeaseGrant):
                self._acknowledge(each, message)
            if isinstance(message, RunOrders):
                self._carry_out(each, message)

    def _acknowledge(self, each: CrashingWorker, grant: LeaseGrant) -> None:
        if grant.worker == each.description.key:
            each.ended = [e for e in each.ended if e.number > grant.acknowledged_end]
        each.crashes = [
            crash for crash in each.crashes if crash.born_ms > grant.recorded_crash_ms
        ]

    def _carry_out(self, each: CrashingWorker, orders: RunOrders) -> None:
        is_down = each.is_down(self.now_ms)
        if is_down or orders.worker != each.description.key:
            return
        for start in orders.starts:
            self.starts[start.run.task] += 1
            each.started_ms.setdefault(start.run, self.now_ms)
        for stop in orders.stops:
            self._end(each, stop.run, RunEndKind.STOPPED)
