"""Simulation of an agent with a fake entry host and an unreliable network.

The backend server is the logic of the stand-in, called without HTTP. One
seeded random generator and simulated time drive everything, so each seed is
reproducible.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from functools import singledispatchmethod

import attrs

from crocuswell_core.agent.agent_invariants import check_agent
from crocuswell_core.agent.agent_messages import (
    AgentHeartbeat,
    AgentMessage,
    EntryHeartbeat,
    EntryMessage,
    Goodbye,
    Hello,
    Order,
    Orders,
    ReportAck,
    ReserveTask,
    SendReports,
    StartTask,
    StopTask,
    Welcome,
)
from crocuswell_core.agent.agent_state import AgentConfig, AgentState
from crocuswell_core.agent.backend import (
    BackendCall,
    BackendReply,
    StartOnBackend,
    Unreachable,
)
from crocuswell_core.cluster.commands import (
    Report,
    TaskFinished,
    TaskRefused,
    TaskReserved,
)
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.cluster.resources import Resources
from crocuswell_core.runtime.effects import (
    CallBackend,
    CloseEntryStream,
    Effect,
    Halt,
    OpenEntryStream,
    SendEntry,
    StartTimer,
)
from crocuswell_core.runtime.events import (
    AgentBooted,
    AgentStopRequested,
    BackendReplied,
    ClockAdvanced,
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
    Event,
    TimerFired,
)
from crocuswell_core.runtime.reducer import reduce
from crocuswell_core.runtime.timers import Timer
from standins.backend_tasks import (
    Backend,
    advance,
    execute_call,
    running_tasks,
    task_result,
)

RUN_LEASE_MS = 15_000
CLIENT_TIMEOUT_MS = 2_000
MemberKey = tuple[AttemptId, int]


class SimulationError(Exception):
    """An invariant of the simulation is violated."""


def require(condition: bool, rule: str) -> None:
    if not condition:
        raise SimulationError(rule)


@attrs.frozen
class Faults:
    """Probabilities of faults, per message or call unless stated otherwise."""

    connect_fails: float = 0.02
    call_lost: float = 0.03
    call_slow: float = 0.05
    reply_lost: float = 0.03
    reply_doubled: float = 0.02
    message_lost: float = 0.01
    message_doubled: float = 0.05
    message_slow: float = 0.1
    open_fails: float = 0.2
    open_hangs: float = 0.1
    stale_order: float = 0.15
    # Per second.
    stream_breaks: float = 0.02
    stream_mutes: float = 0.02
    agent_dies: float = 0.01
    agent_stops: float = 0.01
    backend_restarts: float = 0.005
    drain_flips: float = 0.02
    goodbye: float = 0.01
    cut_off_starts: float = 0.02
    cut_off_ends: float = 0.05


# Frequent reconnects and restarts hide what an earlier incarnation did.
FREQUENT_RESTARTS = Faults(
    stream_breaks=0.4, agent_dies=0.05, backend_restarts=0.05, drain_flips=0.0
)
NO_FAULTS = Faults(*([0.0] * len(attrs.fields(Faults))))
FAULTS_ENDED = attrs.evolve(NO_FAULTS, cut_off_ends=1.0)


@attrs.define
class WantedMember:
    """A member in the cluster state of the fake entry host."""

    start: StartTask
    reserving: bool
    wanted_order: Order


@attrs.define
class AgentSimulation:
    """An agent, its backend server and one fake entry host."""

    seed: int
    faults: Faults = Faults()
    rng: random.Random = attrs.field(init=False)
    now_ms: int = 1_000_000
    events: list[tuple[int, int, Callable[[], None]]] = attrs.Factory(list)
    order: itertools.count = attrs.Factory(itertools.count)
    timers: dict[Timer, int] = attrs.Factory(dict)
    backend: Backend = attrs.field(init=False)
    agent: AgentState = attrs.field(init=False)
    generation: int = 0
    # The entry host.
    stream: int | None = None
    is_silent: bool = False
    cut_off: bool = False
    hello_received: bool = False
    welcomed: bool = False
    incarnation: str = ""
    backend_incarnation: str = ""
    recorded: int = 0
    members: dict[MemberKey, WantedMember] = attrs.Factory(dict)
    attempts: dict[str, int] = attrs.Factory(dict)
    past_orders: list[Order] = attrs.Factory(list)
    sent_ms: dict[int, int] = attrs.Factory(dict)
    lease_end_ms: int = 0
    # State for the invariants. A refusal is binding once the entry host has
    # recorded it; until then the next incarnation may start the member.
    recorded_refusals: set[MemberKey] = attrs.Factory(set)
    unrecorded_refusals: set[MemberKey] = attrs.Factory(set)
    reported: list[Report] = attrs.Factory(list)
    checked_reports: int = 0
    counters: Counter[str] = attrs.Factory(Counter)
    halted: bool = False

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        info = WorkerInfo("w1", "r1", "fd-a", Resources(8, 32, 64_000))
        self.backend = Backend(info)
        self.backend.incarnation = "b0"
        self.boot()

    # --- time ------------------------------------------------------------

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        entry = (self.now_ms + delay_ms, next(self.order), action)
        heapq.heappush(self.events, entry)

    def schedule_agent_event(self, delay_ms: int, event: Event) -> None:
        """Post an event to the agent, unless it was restarted by then."""
        generation = self.generation

        def deliver() -> None:
            if generation == self.generation and not self.halted:
                self.reduce(event)

        self.schedule(delay_ms, deliver)

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while True:
            timer = min(self.timers, key=self.timers.__getitem__, default=None)
            timer_ms = self.timers[timer] if timer is not None else end_ms
            event_ms = self.events[0][0] if self.events else end_ms
            next_ms = min(timer_ms, event_ms)
            if next_ms >= end_ms:
                self.now_ms = end_ms
                return
            self.now_ms = max(self.now_ms, next_ms)
            if timer is not None and timer_ms <= event_ms:
                del self.timers[timer]
                self.reduce(TimerFired(timer))
            else:
                heapq.heappop(self.events)[2]()
            self.check()

    def reduce(self, event: Event) -> None:
        reduce(self.agent, ClockAdvanced(self.now_ms, self.now_ms))
        _, effects = reduce(self.agent, event)
        check_agent(self.agent)
        self.check_new_reports()
        for effect in effects:
            self.execute(effect)

    # --- invariants ------------------------------------------------------

    def check(self) -> None:
        advance(self.backend, self.now_ms)
        for member, count in self.backend.starts.items():
            require(count == 1, f"{member} was started {count} times")
        if self.now_ms >= self.lease_end_ms:
            require(not running_tasks(self.backend), "a task runs without a lease")
        require(len(running_tasks(self.backend)) <= 8, "more tasks than slots")

    def check_new_reports(self) -> None:
        last = self.agent.first_report + len(self.agent.reports) - 1
        for sequence in range(self.checked_reports + 1, last + 1):
            report = self.agent.reports[sequence - self.agent.first_report]
            self.checked_reports = sequence
            if isinstance(report, TaskRefused):
                self.unrecorded_refusals.add((report.attempt, report.rank))
        for attempt, rank in self.recorded_refusals | self.unrecorded_refusals:
            started = self.backend.starts.get(f"{attempt}.{rank}", 0)
            require(not started, f"{attempt}.{rank} was refused and ran")

    # --- the agent's process ---------------------------------------------

    def boot(self) -> None:
        if self.generation:
            self.counters.update(self.agent.counters)
        self.generation += 1
        self.halted = False
        self.timers.clear()
        self.close_stream()
        self.checked_reports = 0
        self.unrecorded_refusals.clear()
        cfg = AgentConfig(("a:1", "b:1", "c:1"), f"i{self.generation}")
        self.agent = AgentState(cfg, random.Random(self.rng.random()))
        self.reduce(AgentBooted())

    def chance(self, probability: float) -> bool:
        return self.rng.random() < probability

    def delay_ms(self, slow_probability: float) -> int:
        if self.chance(slow_probability):
            return self.rng.randint(0, 6_000)
        return self.rng.randint(0, 5)

    @singledispatchmethod
    def execute(self, effect: Effect) -> None:
        """Ignore effects that the simulation does not need."""

    @execute.register
    def _(self, effect: StartTimer) -> None:
        self.timers[effect.timer] = self.now_ms + effect.delay_ms

    @execute.register
    def _(self, effect: CallBackend) -> None:
        self.call_backend(effect.call)

    @execute.register
    def _(self, effect: Halt) -> None:
        self.halted = True
        self.timers.clear()
        self.close_stream()
        self.schedule(self.rng.randint(100, 3_000), self.boot_if_halted)

    @execute.register
    def _(self, effect: OpenEntryStream) -> None:
        self.close_stream()
        if self.chance(self.faults.open_hangs):
            return
        if self.chance(self.faults.open_fails):
            event = EntryStreamClosed(effect.stream_id, "refused")
            self.schedule_agent_event(self.rng.randint(0, 500), event)
            return
        self.stream = effect.stream_id
        self.schedule_agent_event(1, EntryStreamOpened(effect.stream_id))

    @execute.register
    def _(self, effect: CloseEntryStream) -> None:
        if effect.stream_id == self.stream:
            self.close_stream()

    @execute.register
    def _(self, effect: SendEntry) -> None:
        if isinstance(effect.message, Hello | AgentHeartbeat):
            self.sent_ms[effect.message.sequence] = self.now_ms
        stream = (self.generation, effect.stream_id)
        message = effect.message
        delay_ms = self.delay_ms(self.faults.message_slow)
        if not self.chance(self.faults.message_lost):
            self.schedule(delay_ms, lambda: self.arrive(stream, message))
        if self.chance(self.faults.message_doubled):
            self.schedule(2 * delay_ms, lambda: self.arrive(stream, message))

    def boot_if_halted(self) -> None:
        if self.halted:
            self.boot()

    # --- calls to the backend server -------------------------------------

    def call_backend(self, call: BackendCall) -> None:
        if self.chance(self.faults.connect_fails) or (
            isinstance(call, StartOnBackend) and self.now_ms >= call.start_by_ms
        ):
            refused = Unreachable("refused", sent=False)
            self.schedule_agent_event(
                self.rng.randint(0, 500), BackendReplied(call, refused)
            )
            return
        there_ms = self.delay_ms(self.faults.call_slow)
        back_ms = self.delay_ms(self.faults.call_slow)
        generation = self.generation
        incarnation = self.backend.incarnation
        lost = self.chance(self.faults.call_lost)
        reply_lost = self.chance(self.faults.reply_lost)
        if lost or reply_lost or there_ms + back_ms >= CLIENT_TIMEOUT_MS:
            timed_out = BackendReplied(call, Unreachable("timeout", sent=True))
            self.schedule_agent_event(CLIENT_TIMEOUT_MS, timed_out)

        def arrive() -> None:
            # Connections break when the backend server restarts.
            if lost or incarnation != self.backend.incarnation:
                return
            reply = execute_call(call, self.backend, self.now_ms)
            if reply_lost or there_ms + back_ms >= CLIENT_TIMEOUT_MS:
                return
            if generation == self.generation:
                self.answer(call, reply, back_ms)

        self.schedule(there_ms, arrive)
        if not lost and not reply_lost:
            gone = BackendReplied(call, Unreachable("reset", sent=True))
            self.schedule(
                there_ms,
                lambda: (
                    self.schedule_agent_event(0, gone)
                    if incarnation != self.backend.incarnation
                    and generation == self.generation
                    and there_ms + back_ms < CLIENT_TIMEOUT_MS
                    else None
                ),
            )

    def answer(self, call: BackendCall, reply: BackendReply, delay_ms: int) -> None:
        self.schedule_agent_event(delay_ms, BackendReplied(call, reply))
        if self.chance(self.faults.reply_doubled):
            self.schedule_agent_event(delay_ms + 20, BackendReplied(call, reply))

    # --- the entry host --------------------------------------------------

    def close_stream(self) -> None:
        self.stream = None
        self.is_silent = self.hello_received = self.welcomed = False

    def break_stream(self) -> None:
        if self.stream is not None:
            self.schedule_agent_event(0, EntryStreamClosed(self.stream, "reset"))
        self.close_stream()

    def send(self, message: EntryMessage) -> None:
        if self.stream is None or self.is_silent:
            return
        if self.chance(self.faults.message_lost):
            return
        event = EntryMessageReceived(self.stream, message)
        delay_ms = self.delay_ms(self.faults.message_slow)
        self.schedule_agent_event(delay_ms, event)
        if self.chance(self.faults.message_doubled):
            self.schedule_agent_event(2 * delay_ms, event)

    def arrive(self, stream: tuple[int, int], message: AgentMessage) -> None:
        if stream == (self.generation, self.stream) and not self.is_silent:
            self.receive(message)

    @singledispatchmethod
    def receive(self, message: AgentMessage) -> None:
        """Ignore messages that the fake entry host does not need."""

    @receive.register
    def _(self, message: Hello) -> None:
        if self.backend_incarnation != message.backend_incarnation:
            # The tasks ended with the earlier backend server, as in `fleet`.
            for key in list(self.members):
                del self.members[key]
        if self.incarnation != message.incarnation:
            self.recorded = 0
            # An entry host sends `Welcome` after it has applied the
            # announcement, and no orders from before that.
            self.past_orders.clear()
        self.hello_received = True
        self.incarnation = message.incarnation
        self.backend_incarnation = message.backend_incarnation

    @receive.register
    def _(self, message: AgentHeartbeat) -> None:
        if not self.hello_received:
            self.break_stream()
            return
        if self.cut_off:
            self.send(EntryHeartbeat(0, 1, RUN_LEASE_MS))
            return
        lease_end_ms = self.sent_ms[message.sequence] + RUN_LEASE_MS
        self.lease_end_ms = max(self.lease_end_ms, lease_end_ms)
        self.send(EntryHeartbeat(message.sequence, 1, RUN_LEASE_MS))
        if not self.welcomed:
            self.welcomed = True
            orders = tuple(member.wanted_order for member in self.members.values())
            self.send(Welcome(orders, 1, RUN_LEASE_MS, self.recorded))

    @receive.register
    def _(self, message: SendReports) -> None:
        if self.cut_off or not self.hello_received:
            return
        require(message.first_sequence <= self.recorded + 1, "a gap in the reports")
        numbered = enumerate(message.reports, start=message.first_sequence)
        for sequence, report in numbered:
            if sequence > self.recorded:
                self.recorded = sequence
                self.record(report)
        self.send(ReportAck(self.recorded))

    def record(self, report: Report) -> None:
        key = (report.attempt, report.rank)
        member = self.members.get(key)
        if isinstance(report, TaskReserved):
            if member is not None and member.reserving:
                member.reserving = False
                self.send_order(member, member.start)
            return
        self.reported.append(report)
        if isinstance(report, TaskRefused):
            self.recorded_refusals.add(key)
        if isinstance(report, TaskFinished) and member is not None:
            self.check_result(member.start, report)
        self.members.pop(key, None)

    def check_result(self, start: StartTask, report: TaskFinished) -> None:
        task = self.backend.tasks.get((report.attempt, report.rank))
        if task is not None and task.call is not None:
            expected = task_result(task.call, task.payload)
            require(report.result == expected, "the result belongs to another task")

    def send_order(self, member: WantedMember, order: Order) -> None:
        member.wanted_order = order
        self.past_orders.append(order)
        if self.welcomed:
            self.send(Orders((order,)))

    # --- random load and faults ------------------------------------------

    def run_with_faults(self, duration_ms: int, with_load: bool = True) -> None:
        """Run with random requests and faults, drawn every 100 ms."""
        for _ in range(duration_ms // 100):
            if with_load:
                self.submit_random_request()
                self.stop_random_member()
            self.inject_faults()
            self.run(100)

    def submit_random_request(self) -> None:
        if not self.chance(0.1) or len(self.members) >= 10:
            return
        request_id = f"q{self.rng.randint(1, 40)}"
        if any(attempt.request_id == request_id for attempt, _ in self.members):
            return
        epoch = self.attempts[request_id] = self.attempts.get(request_id, 0) + 1
        attempt = AttemptId(request_id, epoch)
        run_ms = self.rng.choice([0, 100, 1_000, 5_000, 40_000])
        payload = b'{"run_ms":%d,"fail":%s,"echo":"%s"}' % (
            run_ms,
            self.rng.choice([b"true", b"false", b"false"]),
            request_id.encode(),
        )
        taken = {member.start.accelerators[0] for member in self.members.values()}
        free = [index for index in range(8) if index not in taken]
        for rank in range(self.rng.choice([1, 1, 1, 2, 3])):
            # Mostly a free accelerator, as a scheduler chooses; sometimes one
            # that is taken.
            index = free.pop() if free and self.chance(0.9) else 0
            start = StartTask(
                attempt,
                rank,
                1,
                Resources(1, self.rng.randint(1, 5), 1_000),
                (index,),
                payload,
                self.chance(0.5),
                1_000,
                checkpoint_ms=self.rng.choice([None, 500, 3_000]),
            )
            reserve = ReserveTask(attempt, rank, start.resources, start.accelerators)
            is_gang = self.chance(0.5)
            member = WantedMember(start, is_gang, start)
            self.members[attempt, rank] = member
            self.send_order(member, reserve if is_gang else start)

    def stop_random_member(self) -> None:
        if self.members and self.chance(0.03):
            member = self.rng.choice(list(self.members.values()))
            member.reserving = False
            checkpoint_ms = self.rng.choice([None, 500])
            attempt, rank = member.start.attempt, member.start.rank
            self.send_order(member, StopTask(attempt, rank, checkpoint_ms))
        if self.past_orders and self.chance(self.faults.stale_order / 10):
            self.send(Orders((self.rng.choice(self.past_orders),)))

    def inject_faults(self) -> None:
        each = {name: chance / 10 for name, chance in attrs.asdict(self.faults).items()}
        if self.chance(each["stream_breaks"]):
            self.break_stream()
        if self.chance(each["stream_mutes"]):
            self.is_silent = True
        if self.chance(each["goodbye"]):
            self.send(Goodbye())
        if self.chance(each["cut_off_starts"]):
            self.cut_off = True
        if self.chance(each["cut_off_ends"]):
            self.cut_off = False
        if self.chance(each["agent_dies"]):
            self.boot()
        if self.chance(each["agent_stops"]):
            self.schedule_agent_event(0, AgentStopRequested())
        if self.chance(each["backend_restarts"]):
            self.backend.incarnation += "'"
            self.backend.tasks = {}
        if self.chance(each["drain_flips"]):
            draining = not self.backend.info.draining
            self.backend.info = attrs.evolve(self.backend.info, draining=draining)

    def stop_all_and_check(self) -> None:
        """Stop all faults and members, and check that nothing is left."""
        self.faults = FAULTS_ENDED
        self.cut_off = self.is_silent = False
        # Messages that were lost on the old stream are sent again only on a
        # new one.
        self.break_stream()
        self.backend.info = attrs.evolve(self.backend.info, draining=False)
        for member in self.members.values():
            member.reserving = False
            self.send_order(
                member, StopTask(member.start.attempt, member.start.rank, None)
            )
        self.run_with_faults(60_000, with_load=False)
        listed = [task for task in self.backend.tasks.values() if not task.forgotten]
        require(not self.members, f"members did not end: {self.members}")
        require(
            not self.agent.tasks, f"the agent still holds tasks: {self.agent.tasks}"
        )
        require(not self.agent.reports, "the agent still holds reports")
        require(not listed, f"the backend server still lists {listed}")


def run_seed(seed: int, duration_ms: int = 120_000) -> AgentSimulation:
    """Run one seed to its end; raise if an invariant is violated."""
    simulation = AgentSimulation(seed, FREQUENT_RESTARTS if seed % 2 else Faults())
    simulation.run_with_faults(duration_ms)
    simulation.stop_all_and_check()
    simulation.counters.update(simulation.agent.counters)
    return simulation
