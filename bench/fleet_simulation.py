"""Simulation of the leader's dispatching with a fleet of workers.

The leader is the real reducer; workers, runs and callers are simulated in
virtual time, without a network or processes. The same load and seed always
give the same events.
"""

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from functools import partial, singledispatchmethod

import attrs

from bench.load_outcomes import Outcome, SubmittedJob, summarise
from bench.loads import JobClass, Load, WorkerFault
from bench.simulated_workers import NEVER_MS, SimulatedRun, SimulatedWorker
from bench.value_bound import FleetRate
from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_core.dispatching.worker_reports import contactless_limit_ms
from crocuswell_core.jobs.catalog import Catalog, CatalogWorkspace, Queue, Service
from crocuswell_core.jobs.job_commands import (
    CancelJob,
    PutCatalog,
    QueueAddress,
    SubmitJob,
)
from crocuswell_core.jobs.job_records import (
    Job,
    JobPhase,
    RunEnd,
    RunEndKind,
    RunId,
    RunProgress,
    StepKey,
    StepSpec,
)
from crocuswell_core.jobs.run_labels import run_labels
from crocuswell_core.links.link_messages import LeaseGrant, RunOrders, WorkerDescription
from crocuswell_core.runtime.effects import EmitLogEvent, SendAgent
from tests.job_harness import Leader

WORKER_LEASE_MS = 6_000
REPORT_INTERVAL_MS = 500
TICK_INTERVAL_MS = 250
HEARTBEAT_INTERVAL_MS = 100
ORDER_DELAY_MS = 4
REPORT_DELAY_MS = 8
# Factor of the run time of a gang that is spread over racks although it
# prefers one.
SPREAD_GANG_FACTOR = 3.0
STOP_EVENTS = ("run_preempted", "run_stalled", "run_evacuated")
NO_FEATURES = DispatchFeatures()
HOST = "load.example"
SERVICE = "press"


class FleetSimulation:
    """One load, played against one leader.

    Parameters
    ----------
    load : Load
        Fleet, arrivals and faults.
    seed : int
        Seed of all random choices.
    features : DispatchFeatures
        Optional parts of dispatching that are switched on.
    """

    def __init__(
        self, load: Load, seed: int = 1, features: DispatchFeatures = NO_FEATURES
    ) -> None:
        self.load = load
        self.leader = Leader(contactless_limit_ms(WORKER_LEASE_MS), features)
        self.jobs: dict[str, SubmittedJob] = {}
        self._random = random.Random(seed)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_count = 0
        self._start_ms = self.leader.now_ms
        self._handled_sent = 0
        self._gang_work_ms: dict[tuple[StepKey, int], float] = {}
        self._checkpointed_ms: dict[str, float] = {}
        self._task_work_ms: dict[object, float] = {}
        self._wasted: Counter[str] = Counter()
        self._stops: Counter[str] = Counter()
        self._stop_reasons: dict[tuple[str, str], str] = {}
        self._run_count = 0
        self.workers = [self._make_worker(index) for index in range(load.workers)]
        self._by_stream = {worker.stream_id: worker for worker in self.workers}
        self._by_key = {worker.description.key: worker for worker in self.workers}

    def play(self) -> Outcome:
        """Play the whole load and return what its callers got."""
        self.leader.propose(PutCatalog(self._make_catalog()))
        for worker in self.workers:
            offset_ms = self._random.randrange(REPORT_INTERVAL_MS)
            self._schedule(offset_ms, partial(self._report_regularly, worker))
        self._schedule(TICK_INTERVAL_MS, self._tick)
        for job_class in self.load.classes:
            self._schedule_arrivals(job_class)
        for fault in self.load.faults:
            self._schedule(
                self.load.lead_ms + fault.at_ms, partial(self._start_fault, fault)
            )
        end_ms = self._start_ms + (
            self.load.lead_ms + self.load.length_ms + self.load.finish_ms
        )
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self._advance(at_ms)
            action()
            self._handle_sent()
            self.check()
        return summarise(
            self.load.classes,
            self.jobs.values(),
            dict(self._wasted),
            self._run_count,
            dict(self._stops),
            self._fleet_rate(),
        )

    def _fleet_rate(self) -> FleetRate:
        capacity, workers = self.load.capacity, self.load.workers
        return FleetRate(
            workers * capacity.accelerators, workers * capacity.cpu_millis / 1_000
        )

    def check(self) -> None:
        """Check the leader's state after an event; tests override it."""

    # --- time --------------------------------------------------------------

    def _schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        at_ms = self.leader.now_ms + round(delay_ms)
        heapq.heappush(self._events, (at_ms, self._event_count, action))

    def _advance(self, at_ms: int) -> None:
        while at_ms - self.leader.now_ms > HEARTBEAT_INTERVAL_MS:
            self._log_effects(self.leader.advance(HEARTBEAT_INTERVAL_MS))
        self.leader.now_ms = max(self.leader.now_ms, at_ms)

    def _tick(self) -> None:
        self._log_effects(self.leader.advance(1))
        self._log_effects(self.leader.tick())
        self._schedule(TICK_INTERVAL_MS - 1, self._tick)

    # --- arrivals ----------------------------------------------------------

    def _make_worker(self, index: int) -> SimulatedWorker:
        rack = f"r-{index // self.load.rack_size}"
        description = WorkerDescription(
            f"m{index}",
            f"w{index}",
            5,
            SERVICE,
            f"z{index % 3}",
            rack,
            labels=("a", rack),
            capacity=self.load.capacity,
        )
        speeds = self.load.speeds
        # Consecutive workers share a rack, so speeds are mixed within racks.
        speed = speeds[self._random.randrange(len(speeds))] if speeds else 1.0
        return SimulatedWorker(index + 1, description, speed=speed, sound_speed=speed)

    def _make_catalog(self) -> Catalog:
        load = self.load
        names = [f"ws{index}" for index in range(load.workspaces)]
        guaranteed = math.floor(
            load.guaranteed_share
            * load.workers
            * load.capacity.accelerators
            / load.workspaces
        )
        return Catalog(
            1,
            queues=tuple(
                Queue(
                    job_class.name,
                    HOST,
                    f"/{job_class.name}/",
                    SERVICE,
                    job_class.priority,
                    job_class.attempts,
                    job_class.stretch,
                    job_class.allowance_ms,
                )
                for job_class in load.classes
            ),
            services=(Service(SERVICE),),
            workspaces=tuple(
                CatalogWorkspace(name, (f"key-{name}",), 1, guaranteed)
                for name in names
            ),
            document="load",
        )

    def _schedule_arrivals(self, job_class: JobClass) -> None:
        at_ms = 0.0
        while True:
            rate = job_class.per_s * self.load.intensity
            burst = job_class.burst
            if burst and burst.at_ms <= at_ms < burst.at_ms + burst.for_ms:
                rate *= burst.factor
            phase = 2 * math.pi * at_ms / self.load.period_ms
            rate *= 1 + self.load.swing * math.sin(phase)
            at_ms += self._random.expovariate(rate) * 1_000
            if at_ms >= self.load.length_ms:
                return
            self._schedule(self.load.lead_ms + at_ms, partial(self._submit, job_class))

    def _submit(self, job_class: JobClass) -> None:
        draw = self._random
        job_id = f"{len(self.jobs):016x}"
        gang = draw.random() < job_class.gang_share
        accelerators = draw.choice(job_class.accelerators)
        count = max(1, round(_lognormal(draw, job_class.tasks, job_class.tasks_spread)))
        count = min(count, job_class.max_tasks)
        work_ms = _lognormal(draw, job_class.work_ms, job_class.work_spread)
        if job_class.tail_share and draw.random() < job_class.tail_share:
            work_ms *= job_class.tail_factor
        estimated_ms = work_ms * _lognormal(draw, 1.0, job_class.estimate_error)
        step = StepSpec(
            count,
            attrs.evolve(job_class.demand, accelerators=accelerators),
            round(estimated_ms),
            gang=gang and count > 1,
            prefers_one_rack=draw.random() < job_class.one_rack_share,
            checkpointing=draw.random() < job_class.checkpointing_share,
        )
        objective_ms = round(job_class.stretch * work_ms) + job_class.allowance_ms
        core_s = step.demand.core_equivalents * count * work_ms / 1_000
        submitted = SubmittedJob(
            job_class,
            self.leader.now_ms,
            objective_ms,
            core_s,
            hopeless=draw.random() < job_class.hopeless_share,
            accelerator_s=accelerators * count * work_ms / 1_000,
            core_s=step.demand.cpu_millis / 1_000 * count * work_ms / 1_000,
        )
        if job_class.crashing_share:
            submitted.crashes_workers = draw.random() < job_class.crashing_share
        self.jobs[job_id] = submitted
        self._task_work_ms[job_id] = work_ms
        address = self._address(job_class, self._draw_workspace())
        self._log_effects(
            self.leader.apply(SubmitJob(job_id, address, "work", (step,)))
        )
        if draw.random() < job_class.cancelled_share:
            delay_ms = draw.uniform(0.1, 1.5) * work_ms
            self._schedule(delay_ms, partial(self._cancel, job_id, address))

    def _draw_workspace(self) -> int:
        count, skew = self.load.workspaces, self.load.workspace_skew
        if not skew:
            return self._random.randrange(count)
        weights = [1 / (index + 1) ** skew for index in range(count)]
        return self._random.choices(range(count), weights)[0]

    def _address(self, job_class: JobClass, workspace: int) -> QueueAddress:
        return QueueAddress(HOST, f"/{job_class.name}/", f"key-ws{workspace}")

    def _cancel(self, job_id: str, address: QueueAddress) -> None:
        self.jobs[job_id].cancelled = True
        self._log_effects(self.leader.apply(CancelJob(job_id, address)))

    # --- workers -----------------------------------------------------------

    def _report_regularly(self, worker: SimulatedWorker) -> None:
        if worker.lost:
            return
        self._report(worker)
        self._schedule(REPORT_INTERVAL_MS, partial(self._report_regularly, worker))

    def _report(self, worker: SimulatedWorker) -> None:
        now_ms = self.leader.now_ms
        if worker.lost:
            return
        if now_ms >= worker.lease_end_ms:
            self._lapse(worker)
        if now_ms < worker.silent_until_ms:
            return
        running = []
        for simulated in worker.runs.values():
            self._update_run(worker, simulated)
            checkpoint = "saved" if self._checkpointed(simulated) else ""
            running.append(RunProgress(simulated.run, checkpoint, simulated.percent))
        worker.lease_end_ms = now_ms + self.leader.state.cfg.task_lease_ms
        description = worker.description
        if worker.leaves_ms < NEVER_MS:
            description = attrs.evolve(
                description, draining=True, remaining_ms=worker.leaves_ms - now_ms
            )
        self._log_effects(
            self.leader.report(worker.stream_id, description, running, worker.ended)
        )

    def _lapse(self, worker: SimulatedWorker) -> None:
        for run in list(worker.runs):
            self._end_run(worker, run, RunEndKind.LAPSED)
        worker.lease_end_ms = NEVER_MS

    def _handle_sent(self) -> None:
        while self._handled_sent < len(self.leader.sent):
            sent = self.leader.sent[self._handled_sent]
            self._handled_sent += 1
            self._receive(sent.message, sent)

    @singledispatchmethod
    def _receive(self, message: object, sent: SendAgent) -> None:
        """Handle a message of the leader to a runner; others are ignored."""

    @_receive.register
    def _(self, message: RunOrders, sent: SendAgent) -> None:
        worker = self._by_stream[sent.stream_id]
        if self.leader.now_ms < worker.silent_until_ms or worker.lost:
            return
        for start in message.starts:
            self._schedule(ORDER_DELAY_MS, partial(self._start_run, worker, start.run))
        for stop in message.stops:
            self._schedule(ORDER_DELAY_MS, partial(self._stop_run, worker, stop.run))

    @_receive.register
    def _(self, message: LeaseGrant, sent: SendAgent) -> None:
        worker = self._by_stream[sent.stream_id]
        worker.ended = [e for e in worker.ended if e.number > message.acknowledged_end]

    def _start_run(self, worker: SimulatedWorker, run: RunId) -> None:
        if worker.lost or run in worker.refused or run in worker.runs:
            return
        job = self._job(run)
        step = job.steps[run.task.step]
        submitted = self.jobs[run.task.job_id]
        submitted.started_ms = submitted.started_ms or self.leader.now_ms
        self._run_count += 1
        simulated = SimulatedRun(
            run,
            step,
            self._work_ms(run, step),
            done_ms=self._resumed_ms(run, step),
            updated_ms=self.leader.now_ms,
            at_work=not step.gang,
        )
        worker.runs[run] = simulated
        if worker.fails_all or submitted.hopeless:
            delay_ms = self._random.uniform(0.05, 0.5) * simulated.work_ms
            self._schedule(
                delay_ms, partial(self._end_run, worker, run, RunEndKind.FAILED)
            )
        if step.gang:
            self._start_gang_if_whole(run, step)
        else:
            self._schedule_end(worker, simulated)

    def _start_gang_if_whole(self, run: RunId, step: StepSpec) -> None:
        members = self._gang_members(run)
        if len(members) < step.count:
            return
        racks = {worker.description.rack for worker, _ in members}
        factor = SPREAD_GANG_FACTOR if step.prefers_one_rack and len(racks) > 1 else 1.0
        for worker, simulated in members:
            simulated.at_work = True
            simulated.work_ms *= factor
            simulated.updated_ms = self.leader.now_ms
            self._schedule_end(worker, simulated)

    def _gang_members(self, run: RunId) -> list[tuple[SimulatedWorker, SimulatedRun]]:
        members = []
        for index, task in enumerate(
            self.leader.state.cluster.jobs.step_tasks(run.task)
        ):
            worker = self._by_key.get(task.worker)
            member = RunId(attrs.evolve(run.task, index=index), run.number)
            if worker is not None and member in worker.runs:
                members.append((worker, worker.runs[member]))
        return members

    def _work_ms(self, run: RunId, step: StepSpec) -> float:
        work_ms = self._task_work_ms[run.task.job_id]
        spread = self.jobs[run.task.job_id].job_class.uneven
        key = (run.task.step_key, 0 if step.gang else run.task.index)
        if key not in self._gang_work_ms:
            self._gang_work_ms[key] = work_ms * _lognormal(self._random, 1.0, spread)
        return self._gang_work_ms[key]

    def _resumed_ms(self, run: RunId, step: StepSpec) -> float:
        if not step.checkpointing:
            return 0.0
        return self._checkpointed_ms.get(self._checkpoint_key(run, step), 0.0)

    def _checkpoint_key(self, run: RunId, step: StepSpec) -> str:
        index = 0 if step.gang else run.task.index
        return f"{run.task.job_id}.{run.task.step}.{index}"

    def _checkpointed(self, simulated: SimulatedRun) -> bool:
        return simulated.step.checkpointing and simulated.done_ms > 1_000

    def _update_run(self, worker: SimulatedWorker, simulated: SimulatedRun) -> None:
        now_ms = self.leader.now_ms
        if simulated.at_work:
            elapsed_ms = now_ms - simulated.updated_ms
            simulated.done_ms += elapsed_ms * worker.speed
        simulated.updated_ms = now_ms
        if self._checkpointed(simulated):
            key = self._checkpoint_key(simulated.run, simulated.step)
            self._checkpointed_ms[key] = simulated.done_ms

    def _schedule_end(self, worker: SimulatedWorker, simulated: SimulatedRun) -> None:
        left_ms = simulated.work_ms - simulated.done_ms
        left_ms /= worker.speed
        self._schedule(
            max(1, math.ceil(left_ms)), partial(self._finish_run, worker, simulated)
        )

    def _finish_run(self, worker: SimulatedWorker, simulated: SimulatedRun) -> None:
        if worker.runs.get(simulated.run) is not simulated:
            return
        self._update_run(worker, simulated)
        if simulated.is_at_work:
            # The worker's speed changed meanwhile.
            self._schedule_end(worker, simulated)
            return
        if simulated.step.gang:
            members = self._gang_members(simulated.run)
            for other, member in members:
                self._update_run(other, member)
            if any(member.is_at_work for _, member in members):
                # The gang ends with its slowest member.
                return
            for other, member in members:
                if member is not simulated:
                    self._remove_run(other, member.run, RunEndKind.DONE)
        self._end_run(worker, simulated.run, RunEndKind.DONE)

    def _stop_run(self, worker: SimulatedWorker, run: RunId) -> None:
        worker.refused.add(run)
        if run in worker.runs:
            self._schedule(
                self.load.stop_ms,
                partial(self._end_run, worker, run, RunEndKind.STOPPED),
            )

    def _end_run(self, worker: SimulatedWorker, run: RunId, kind: RunEndKind) -> None:
        """End a run, with the rest of its gang, and report it."""
        simulated = worker.runs.get(run)
        if simulated is None:
            return
        members = self._gang_members(run) if simulated.step.gang else []
        self._remove_run(worker, run, kind)
        if kind is not RunEndKind.DONE:
            for other, member in members:
                self._remove_run(other, member.run, RunEndKind.GANG_BROKEN)
                self._schedule(REPORT_DELAY_MS, partial(self._report, other))
        self._schedule(REPORT_DELAY_MS, partial(self._report, worker))

    def _remove_run(
        self, worker: SimulatedWorker, run: RunId, kind: RunEndKind
    ) -> None:
        simulated = worker.runs.get(run)
        if simulated is None:
            return
        self._update_run(worker, simulated)
        del worker.runs[run]
        worker.ends += 1
        worker.ended.append(RunEnd(worker.ends, run, kind))
        if kind is not RunEndKind.DONE:
            self._count_waste(simulated, self._cause_of_end(run, kind))
        else:
            self._schedule(REPORT_DELAY_MS, partial(self._report, worker))

    def _cause_of_end(self, run: RunId, kind: RunEndKind) -> str:
        if self.jobs[run.task.job_id].cancelled:
            return "cancelled"
        labels = {label.name: label.value for label in run_labels(run)}
        return self._stop_reasons.get((labels["task"], labels["run"]), kind.value)

    def _count_waste(self, simulated: SimulatedRun, cause: str) -> None:
        lost_ms = simulated.done_ms - self._resumed_ms(simulated.run, simulated.step)
        core_s = simulated.step.demand.core_equivalents * max(0.0, lost_ms) / 1_000
        self._wasted[cause] += round(core_s)

    def _job(self, run: RunId) -> Job:
        return self.leader.state.cluster.jobs.jobs[run.task.job_id]

    # --- faults ------------------------------------------------------------

    def _start_fault(self, fault: WorkerFault) -> None:
        count = max(1, round(fault.share * len(self.workers)))
        chosen = [w for w in self.workers if not w.lost]
        self._random.shuffle(chosen)
        for worker in chosen[:count]:
            self._hit(worker, fault)

    def _hit(self, worker: SimulatedWorker, fault: WorkerFault) -> None:
        until_ms = self.leader.now_ms + fault.for_ms
        if fault.kind == "lost":
            self._remove_worker(worker)
        elif fault.kind == "leaving":
            worker.leaves_ms = until_ms
            self._schedule(fault.for_ms, partial(self._remove_worker, worker))
        elif fault.kind == "silent":
            worker.silent_until_ms = until_ms
        elif fault.kind == "failing":
            worker.fails_all = True
            self._schedule(fault.for_ms, partial(self._stop_failing, worker))
        elif fault.kind == "slow":
            self._set_speed(worker, worker.sound_speed / fault.factor)
            self._schedule(
                fault.for_ms, partial(self._set_speed, worker, worker.sound_speed)
            )
        else:
            raise ValueError(f"unknown kind of fault: {fault.kind}")

    def _remove_worker(self, worker: SimulatedWorker) -> None:
        for run in list(worker.runs):
            self._end_run(worker, run, RunEndKind.LAPSED)
        worker.lost = True

    def _stop_failing(self, worker: SimulatedWorker) -> None:
        worker.fails_all = False

    def _set_speed(self, worker: SimulatedWorker, speed: float) -> None:
        for simulated in worker.runs.values():
            self._update_run(worker, simulated)
        worker.speed = speed
        for simulated in worker.runs.values():
            if simulated.at_work:
                self._schedule_end(worker, simulated)

    # --- results -----------------------------------------------------------

    def _log_effects(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, EmitLogEvent):
                self._note_log(effect)

    def _note_log(self, effect: EmitLogEvent) -> None:
        if effect.event == "job_ended":
            labels = {label.name: label.value for label in effect.ids}
            if labels["phase"] == JobPhase.COMPLETED.value:
                self.jobs[labels["job"]].completed_ms = self.leader.now_ms
        elif effect.event in STOP_EVENTS:
            self._stops[effect.event] += 1
            labels = {label.name: label.value for label in effect.ids}
            self._stop_reasons[labels["task"], labels["run"]] = effect.event


def _lognormal(draw: random.Random, mean: float, spread: float) -> float:
    """Return a value around a mean, with a coefficient of variation."""
    if not spread:
        return mean
    sigma = math.sqrt(math.log(1 + spread * spread))
    return mean * draw.lognormvariate(-sigma * sigma / 2, sigma)
