"""Simulation of the whole platform: network, disks and clocks.

Extends the entry hosts of `tests.simulator` by agents with simulated backend
servers, their streams, and callers.
"""

import random
from collections import Counter
from functools import partial

import attrs

from crocuswell_core.agent.backend import BackendCall, Unreachable
from crocuswell_core.cluster.configuration import Limits
from crocuswell_core.cluster.records import RequestPhase, WorkerInfo
from crocuswell_core.cluster.resources import Resources
from crocuswell_core.runtime.effects import (
    AnswerCall,
    CallBackend,
    CloseAgentStream,
    CloseEntryStream,
    Effect,
    Halt,
    OpenEntryStream,
    SendAgent,
    SendEntry,
    StartTimer,
)
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    AgentStopRequested,
    AgentStreamClosed,
    BackendReplied,
    EntryMessageReceived,
    EntryStopRequested,
    EntryStreamClosed,
    EntryStreamOpened,
    Event,
    TimerFired,
)
from crocuswell_core.runtime.timers import Timer
from tests.platform_callers import Callers
from tests.platform_checks import PlatformChecks
from tests.simulated_agent import SimulatedWorker, Stream, WorkRecord
from tests.simulated_host import Host, InvariantError
from tests.simulator import FaultProfile, Simulation

# The lease margin of 500 ms on 15 s tolerates 1% drift of each of two clocks.
CLOCK_DRIFT = 0.01
WORKERS = 3
CAPACITY = Resources(8, 16, 16_000)
CLIENT_TIMEOUT_MS = 2_000
# Mean time between injected faults of workers and their streams.
WORKER_FAULT_MS = 1_500
# Covers five attempts of at most 20 s with back-off, and a run lease of 15 s.
# `settle` adds the time that all accelerators need for the queued work.
SETTLE_MS = 180_000
ATTEMPTS = Limits().attempts
TO_ENTRY, TO_AGENT = 0, 1


class Platform(Simulation):
    """Simulation of entry hosts, workers and callers, driven by one seed."""

    def __init__(self, seed: int):
        self.work = WorkRecord()
        self.counts: Counter[str] = Counter()
        self.workers: list[SimulatedWorker] = []
        self.streams: dict[tuple[str, int], Stream] = {}
        self.callers = Callers(self)
        # Fewer hosts than in the consensus simulation: events cost more here.
        voters = random.Random(seed).choice((1, 3, 3))
        super().__init__(seed, PlatformChecks(self.work, self.workers), voters)
        for host in self.hosts.values():
            host.rate = 1 + self.rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        entries = tuple(host.cfg.host.address for host in self.hosts.values())
        for number in range(1, WORKERS + 1):
            info = WorkerInfo(f"w{number}", "r1", f"domain{number}", CAPACITY)
            rate = 1 + self.rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
            offset_ms = self.rng.randint(0, 100_000)
            worker = SimulatedWorker(info, rate, offset_ms, entries, self.work)
            self.workers.append(worker)
            self._boot_agent(worker)
        self._schedule(WORKER_FAULT_MS, self._inject_worker_fault)
        self._schedule(2_000, self.callers.make_next_call)

    def _make_profile(self) -> FaultProfile:
        """Space the faults out, so that work is placed and ends in between."""
        profile = super()._make_profile()
        profile.fault_every_ms = self.rng.choice((1_000, 3_000, 10_000))
        return profile

    # --- agents ----------------------------------------------------------

    def _boot_agent(self, worker: SimulatedWorker) -> None:
        self._execute_agent_effects(worker, worker.boot(self.rng, self.time_ms))

    def _dispatch_to_agent(
        self, worker: SimulatedWorker, generation: int, event: Event
    ) -> None:
        if worker.generation != generation or worker.state is None:
            return
        if worker.frozen_until_ms > self.time_ms:
            delay_ms = worker.frozen_until_ms - self.time_ms
            retry = partial(self._dispatch_to_agent, worker, generation, event)
            self._schedule(delay_ms, retry)
            return
        self.steps += 1
        self._execute_agent_effects(worker, worker.reduce(event, self.time_ms))

    def _post_agent(
        self, worker: SimulatedWorker, delay_ms: float, event: Event
    ) -> None:
        deliver = partial(self._dispatch_to_agent, worker, worker.generation, event)
        self._schedule(delay_ms, deliver)

    def _execute_agent_effects(
        self, worker: SimulatedWorker, effects: list[Effect]
    ) -> None:
        for effect in effects:
            match effect:
                case StartTimer(timer, delay_ms):
                    self._start_agent_timer(worker, timer, delay_ms)
                case CallBackend(call):
                    self._call_backend(worker, call)
                case OpenEntryStream(stream_id, address):
                    self._open_stream(worker, stream_id, address)
                case CloseEntryStream(stream_id):
                    stream = self._find_stream(worker, stream_id)
                    if stream:
                        self._end_stream(stream)
                case SendEntry(stream_id, message):
                    stream = self._find_stream(worker, stream_id)
                    if stream:
                        event = AgentMessageReceived(stream.entry_stream_id, message)
                        self._send_on_stream(stream, TO_ENTRY, event)
                case Halt():
                    self._crash_agent(worker)

    def _start_agent_timer(
        self, worker: SimulatedWorker, timer: Timer, delay_ms: int
    ) -> None:
        token = next(self._sequence)
        worker.timers[timer] = token
        generation = worker.generation

        def fire() -> None:
            if worker.timers.get(timer) == token:
                del worker.timers[timer]
                self._dispatch_to_agent(worker, generation, TimerFired(timer))

        self._schedule(delay_ms / worker.rate, fire)

    def _crash_agent(self, worker: SimulatedWorker) -> None:
        if worker.state is None:
            return
        self.faults["agent_crash"] += 1
        worker.state = None
        worker.timers.clear()
        for stream in list(self.streams.values()):
            if stream.worker is worker:
                self._end_stream(stream)
        generation = worker.generation

        def restart() -> None:
            if worker.generation == generation:
                self._boot_agent(worker)

        self._schedule(
            self.rng.choice((300, 3_000, 25_000)) * self.rng.random(), restart
        )

    def _call_backend(self, worker: SimulatedWorker, call: BackendCall) -> None:
        timed_out = BackendReplied(call, Unreachable("timeout", sent=True))
        if worker.backend_down:
            refused = BackendReplied(call, Unreachable("refused", sent=False))
            self._post_agent(worker, 1, refused)
            return
        slow = not self.faults_disabled and self.rng.random() < self.profile.slow
        request_delay_ms, reply_delay_ms = (
            self.rng.uniform(0, 1_500 if slow else 3) for _ in range(2)
        )
        is_lost = not self.faults_disabled and self.rng.random() < self.profile.loss / 2
        incarnation, generation = worker.backend.incarnation, worker.generation
        times_out = request_delay_ms + reply_delay_ms >= CLIENT_TIMEOUT_MS
        if is_lost or times_out:
            self.faults["backend_reply_lost"] += 1
            self._post_agent(worker, CLIENT_TIMEOUT_MS, timed_out)

        def deliver_call() -> None:
            connection_reset = (
                worker.backend_down or worker.backend.incarnation != incarnation
            )
            if connection_reset:
                reset = BackendReplied(call, Unreachable("reset", sent=True))
                answer = None if is_lost or times_out else reset
            else:
                reply = worker.serve(call, self.time_ms)
                answer = None if is_lost or times_out else BackendReplied(call, reply)
            if answer:
                deliver = partial(self._dispatch_to_agent, worker, generation, answer)
                self._schedule(reply_delay_ms, deliver)

        self._schedule(request_delay_ms, deliver_call)

    # --- streams ---------------------------------------------------------

    def _find_stream(self, worker: SimulatedWorker, stream_id: int) -> Stream | None:
        for stream in self.streams.values():
            is_same_stream = (
                stream.worker is worker and stream.agent_stream_id == stream_id
            )
            if is_same_stream and stream.generation == worker.generation:
                return stream
        return None

    def _open_stream(
        self, worker: SimulatedWorker, stream_id: int, address: str
    ) -> None:
        host = self.hosts[address.partition(":")[0]]
        if host.state is None:
            self._post_agent(worker, 1, EntryStreamClosed(stream_id, "refused"))
            return
        if not self.faults_disabled and self.rng.random() < self.profile.loss:
            self.faults["open_hangs"] += 1
            return
        entry_stream_id = next(self._sequence)
        incarnation = host.incarnation
        stream = Stream(
            worker, worker.generation, stream_id, host.id, incarnation, entry_stream_id
        )
        self.streams[host.id, entry_stream_id] = stream
        self._post_agent(worker, self.rng.uniform(1, 5), EntryStreamOpened(stream_id))

    def _send_on_stream(self, stream: Stream, direction: int, event: Event) -> None:
        """Schedule the delivery of an event, in order within the direction."""
        if stream.silent:
            return
        delay_ms = self.rng.uniform(0.5, 3)
        if not self.faults_disabled and self.rng.random() < self.profile.slow:
            self.faults["stream_delay"] += 1
            delay_ms += self.rng.uniform(1, 1_500)
        at_ms = max(stream.last_ms[direction], self.time_ms + delay_ms)
        stream.last_ms[direction] = at_ms

        def deliver() -> None:
            if (
                stream.silent
                or (stream.host, stream.entry_stream_id) not in self.streams
            ):
                return
            if direction == TO_AGENT:
                self._dispatch_to_agent(stream.worker, stream.generation, event)
                return
            host = self.hosts[stream.host]
            if host.incarnation == stream.incarnation:
                self._post(host, event)

        self._schedule(at_ms - self.time_ms, deliver)

    def _end_stream(self, stream: Stream) -> None:
        """Close a stream; notify both ends unless the stream is silent."""
        self.streams.pop((stream.host, stream.entry_stream_id), None)
        if stream.silent:
            return
        closed = EntryStreamClosed(stream.agent_stream_id, "reset")
        deliver = partial(
            self._dispatch_to_agent, stream.worker, stream.generation, closed
        )
        self._schedule(1, deliver)
        host = self.hosts[stream.host]
        if host.incarnation == stream.incarnation:
            self._post(host, AgentStreamClosed(stream.entry_stream_id))

    # --- entry hosts -----------------------------------------------------

    def _crash(self, host: Host) -> None:
        super()._crash(host)
        for stream in list(self.streams.values()):
            if stream.host == host.id:
                self._end_stream(stream)
        self.callers.on_host_crash(host)

    def _execute(self, host: Host, effect: Effect) -> None:
        if host.state is None:
            return
        match effect:
            case StartTimer(timer, delay_ms):
                self._start_timer(host, timer, delay_ms)
            case SendAgent(stream_id, message):
                stream = self.streams.get((host.id, stream_id))
                if stream:
                    event = EntryMessageReceived(stream.agent_stream_id, message)
                    self._send_on_stream(stream, TO_AGENT, event)
            case CloseAgentStream(stream_id):
                stream = self.streams.get((host.id, stream_id))
                if stream:
                    self._end_stream(stream)
            case AnswerCall(call_id, reply):
                self.callers.on_reply(call_id, reply)
            case Halt(kind) if kind is None:
                self._crash(host)
            case Halt():
                raise InvariantError("an entry host halted itself", host.id, effect)
            case _:
                super()._execute(host, effect)

    # --- faults ----------------------------------------------------------

    def _inject_worker_fault(self) -> None:
        self._schedule(
            self.rng.expovariate(1 / WORKER_FAULT_MS), self._inject_worker_fault
        )
        if self.faults_disabled:
            return
        worker = self.rng.choice(self.workers)
        kinds = [
            self._crash_agent,
            self._freeze_agent,
            self._crash_backend,
            self._toggle_draining,
        ]
        kinds += [
            self._silence_streams,
            self._silence_streams,
            self._break_streams,
            self._stop_agent,
        ]
        kinds += [self._stop_host]
        self.rng.choice(kinds)(worker)

    def _freeze_agent(self, worker: SimulatedWorker) -> None:
        self.faults["agent_frozen"] += 1
        length_ms = self.rng.choice((3_000, 30_000)) * self.rng.random()
        worker.frozen_until_ms = self.time_ms + length_ms

    def _crash_backend(self, worker: SimulatedWorker) -> None:
        self.faults["backend_crash"] += 1
        worker.backend_down = True
        worker.backend.tasks = {}
        started = worker.backend_starts

        def restart() -> None:
            if worker.backend_starts == started:
                worker.start_backend()

        self._schedule(self.rng.uniform(10, 5_000), restart)

    def _toggle_draining(self, worker: SimulatedWorker) -> None:
        self.faults["backend_draining"] += 1
        info = worker.backend.info
        worker.backend.info = attrs.evolve(info, draining=not info.draining)

    def _silence_streams(self, worker: SimulatedWorker) -> None:
        for stream in self.streams.values():
            if stream.worker is worker and not stream.silent:
                self.faults["stream_silent"] += 1
                stream.silent = True

    def _break_streams(self, worker: SimulatedWorker) -> None:
        for stream in list(self.streams.values()):
            if stream.worker is worker:
                self.faults["stream_broken"] += 1
                self._end_stream(stream)

    def _stop_agent(self, worker: SimulatedWorker) -> None:
        self.faults["agent_stop"] += 1
        self._post_agent(worker, 0, AgentStopRequested())

    def _stop_host(self, worker: SimulatedWorker) -> None:
        self.faults["entry_stop"] += 1
        self._post(self.rng.choice(list(self.hosts.values())), EntryStopRequested())

    # --- settling --------------------------------------------------------

    def settle(self) -> None:
        """Stop all faults and run until every accepted request is done.

        Raises
        ------
        InvariantError
            If requests are unfinished at the time limit.
        """
        self.faults_disabled = True
        self._blocked.clear()
        for host in self.hosts.values():
            host.paused_until = min(host.paused_until, self.time_ms)
            if host.state is None:
                self._boot(host)
            self._schedule_batch(host)
        for worker in self.workers:
            worker.frozen_until_ms = 0
            worker.backend.info = attrs.evolve(worker.backend.info, draining=False)
        queued_ms = ATTEMPTS * self.callers.work_ms / (WORKERS * CAPACITY.accelerators)
        deadline_ms = self.time_ms + SETTLE_MS + queued_ms
        while self.time_ms < deadline_ms:
            self._run_until(self.time_ms + 1_000)
            if not self._unfinished():
                return
        raise InvariantError(
            "requests without an outcome at the time limit", self._unfinished()
        )

    def _unfinished(self) -> list[str]:
        unfinished = []
        for host in self.hosts.values():
            requests = host.state.cluster.requests if host.state else {}
            for id_ in self.callers.accepted:
                request = requests.get(id_)
                if request is None or request.phase is not RequestPhase.DONE:
                    unfinished.append(f"{host.id}/{id_}: {request}")
        return unfinished


def run_platform_seed(seed: int, steps: int) -> Platform:
    """Run one seed with faults, then without faults until all is done.

    Raises
    ------
    InvariantError
        If an invariant is violated.
    """
    platform = Platform(seed)
    platform.run(steps)
    platform.settle()
    return platform
