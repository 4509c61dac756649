"""Simulation of a fleet whose workers crash and start again.

Some jobs have a task that crashes each worker that starts it; some crashes
have a cause of their own. The runners live on and witness both.
"""

from collections import Counter
from functools import partial, singledispatchmethod

import attrs

from bench.fleet_simulation import NO_FEATURES, REPORT_DELAY_MS, FleetSimulation
from bench.loads import Load, WorkerFault
from bench.simulated_workers import NEVER_MS, SimulatedRun, SimulatedWorker
from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_core.jobs.job_records import (
    CrashedRun,
    JobPhase,
    RunEndKind,
    RunId,
    RunProgress,
    TaskId,
    WorkerCrash,
)
from crocuswell_core.links.link_messages import LeaseGrant, RunOrders
from crocuswell_core.runtime.effects import SendAgent

# Time from a crash until the worker accepts work again.
RESTART_MS = 3_000
RESTART_SPREAD_MS = 500
# Crashes that prove a task to be the cause.
PROVEN = 3


@attrs.define
class CrashedWorker:
    """What the runner of a worker that crashed knows.

    Attributes
    ----------
    is_down : bool
        Whether the worker has not started again.
    last_list : tuple of RunProgress
        Newest list of its runs before the crash.
    unrecorded : list of WorkerCrash
        Crashes that the leader has not recorded.
    """

    is_down: bool = False
    last_list: tuple[RunProgress, ...] = ()
    unrecorded: list[WorkerCrash] = attrs.Factory(list)


class CrashingFleet(FleetSimulation):
    """A load in which tasks or faults crash workers.

    Attributes
    ----------
    crashes_under : Counter
        Number of crashes that each task has caused.
    late_starts : Counter
        Number of starts of each task after it had crashed `PROVEN` workers.
    crashes : int
        Number of crashes.
    """

    def __init__(
        self, load: Load, seed: int = 1, features: DispatchFeatures = NO_FEATURES
    ) -> None:
        super().__init__(load, seed, features)
        self.crashes_under: Counter[TaskId] = Counter()
        self.late_starts: Counter[TaskId] = Counter()
        self.crashes = 0
        self._crashed = {worker.stream_id: CrashedWorker() for worker in self.workers}
        self._started_ms: dict[tuple[str, RunId], int] = {}

    @property
    def wrongly_failed(self) -> list[str]:
        """Jobs that are shown as failed although they could be done."""
        return [
            job_id
            for job_id, submitted in self.jobs.items()
            if not submitted.crashes_workers
            and not submitted.hopeless
            and self._phase(job_id) is JobPhase.FAILED
        ]

    @property
    def open_crashing_jobs(self) -> list[str]:
        """Jobs that crash workers and are not given up."""
        return [
            job_id
            for job_id, submitted in self.jobs.items()
            if submitted.crashes_workers
            and self._phase(job_id) in {JobPhase.QUEUED, JobPhase.RUNNING}
        ]

    def _phase(self, job_id: str) -> JobPhase:
        return self.leader.state.cluster.jobs.jobs[job_id].phase

    # --- starts ------------------------------------------------------------

    @singledispatchmethod
    def _receive(self, message: object, sent: SendAgent) -> None:
        super()._receive(message, sent)

    @_receive.register
    def _(self, message: RunOrders, sent: SendAgent) -> None:
        worker = self._by_stream[sent.stream_id]
        crashed = self._crashed[sent.stream_id]
        if not crashed.is_down and message.worker == worker.description.key:
            super()._receive(message, sent)

    @_receive.register
    def _(self, message: LeaseGrant, sent: SendAgent) -> None:
        super()._receive(message, sent)
        crashed = self._crashed[sent.stream_id]
        crashed.unrecorded = [
            crash
            for crash in crashed.unrecorded
            if crash.born_ms > message.recorded_crash_ms
        ]

    def _start_run(self, worker: SimulatedWorker, run: RunId) -> None:
        if self._crashed[worker.stream_id].is_down:
            return
        super()._start_run(worker, run)
        simulated = worker.runs.get(run)
        submitted = self.jobs[run.task.job_id]
        if simulated is None:
            return
        self._started_ms[worker.description.key, run] = self.leader.now_ms
        if submitted.crashes_workers and run.task.index == 0:
            self.late_starts[run.task] += self.crashes_under[run.task] >= PROVEN
            self._schedule(
                submitted.job_class.crash_after_ms,
                partial(self._crash_under, worker, simulated),
            )

    # --- crashes -----------------------------------------------------------

    def _crash_under(self, worker: SimulatedWorker, simulated: SimulatedRun) -> None:
        if worker.runs.get(simulated.run) is simulated:
            self.crashes_under[simulated.run.task] += 1
            self._crash(worker, RESTART_MS)

    def _crash(self, worker: SimulatedWorker, down_ms: int) -> None:
        crashed = self._crashed[worker.stream_id]
        if worker.lost or crashed.is_down:
            return
        self.crashes += 1
        crashed.is_down = True
        runs = self._crashed_runs(worker)
        if runs:
            boot = worker.description
            crash = WorkerCrash(boot.machine, boot.id, boot.born_ms, runs)
            crashed.unrecorded.append(crash)
        crashed.last_list = tuple(
            RunProgress(simulated.run, "", simulated.percent)
            for simulated in worker.runs.values()
        )
        for run in list(worker.runs):
            self._end_run(worker, run, RunEndKind.LAPSED)
        worker.ended, worker.ends, worker.lease_end_ms = [], 0, NEVER_MS
        worker.refused.clear()
        self._schedule(REPORT_DELAY_MS, partial(self._report, worker))
        spread_ms = self._random.uniform(0, RESTART_SPREAD_MS)
        self._schedule(down_ms + spread_ms, partial(self._restart, worker))

    def _crashed_runs(self, worker: SimulatedWorker) -> tuple[CrashedRun, ...]:
        key = worker.description.key
        return tuple(
            CrashedRun(run, ran_ms, ran_ms)
            for run in worker.runs
            for ran_ms in [self.leader.now_ms - self._started_ms[key, run]]
        )

    def _cause_of_end(self, run: RunId, kind: RunEndKind) -> str:
        cause = super()._cause_of_end(run, kind)
        return "crashed" if cause == RunEndKind.LAPSED.value else cause

    def _restart(self, worker: SimulatedWorker) -> None:
        if worker.lost:
            return
        born_ms = self.leader.now_ms
        worker.description = attrs.evolve(
            worker.description, id=f"w{worker.stream_id}-{born_ms}", born_ms=born_ms
        )
        self._by_key[worker.description.key] = worker
        self._crashed[worker.stream_id].is_down = False
        self._report(worker)

    def _report(self, worker: SimulatedWorker) -> None:
        crashed = self._crashed[worker.stream_id]
        if not crashed.is_down and not crashed.unrecorded:
            super()._report(worker)
            return
        if worker.lost or self.leader.now_ms < worker.silent_until_ms:
            return
        if crashed.is_down:
            effects = self.leader.report(
                worker.stream_id,
                worker.description,
                crashed.last_list,
                reachable=False,
                list_number=0,
            )
        else:
            effects = self.leader.report(
                worker.stream_id,
                worker.description,
                self._list_runs(worker),
                worker.ended,
                crashes=tuple(crashed.unrecorded),
            )
        self._log_effects(effects)

    def _list_runs(self, worker: SimulatedWorker) -> list[RunProgress]:
        return [
            RunProgress(simulated.run, "", simulated.percent)
            for simulated in worker.runs.values()
        ]

    # --- faults ------------------------------------------------------------

    def _start_fault(self, fault: WorkerFault) -> None:
        if fault.kind != "rack_crash":
            super()._start_fault(fault)
            return
        racks = sorted({worker.description.rack for worker in self.workers})
        self._random.shuffle(racks)
        chosen = racks[: max(1, round(fault.share * len(racks)))]
        for worker in self.workers:
            if worker.description.rack in chosen:
                self._crash(worker, fault.for_ms)

    def _hit(self, worker: SimulatedWorker, fault: WorkerFault) -> None:
        if fault.kind == "crash":
            self._crash(worker, fault.for_ms)
        else:
            super()._hit(worker, fault)
