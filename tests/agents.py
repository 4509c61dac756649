"""A test driver of an agent's reducer, without network or threads."""

import random
from collections.abc import Sequence

import attrs

from crocuswell_core.agent.agent_invariants import check_agent
from crocuswell_core.agent.agent_messages import (
    AgentMessage,
    EntryHeartbeat,
    EntryMessage,
    Order,
    Orders,
    ReserveTask,
    SendReports,
    StartTask,
    Welcome,
)
from crocuswell_core.agent.agent_state import AgentConfig, AgentState
from crocuswell_core.agent.backend import (
    Accepted,
    BackendCall,
    BackendReply,
    BackendTask,
    Describe,
    Described,
)
from crocuswell_core.cluster.commands import Report
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.cluster.resources import NO_RESOURCES, Resources
from crocuswell_core.runtime.effects import (
    CallBackend,
    Effect,
    OpenEntryStream,
    SendEntry,
    StartTimer,
)
from crocuswell_core.runtime.events import (
    AgentBooted,
    BackendReplied,
    ClockAdvanced,
    EntryMessageReceived,
    EntryStreamOpened,
    Event,
    TimerFired,
)
from crocuswell_core.runtime.reducer import reduce
from crocuswell_core.runtime.timers import Timer

ENTRIES = ("a:1", "b:1", "c:1")
INFO = WorkerInfo("w1", "r1", "fd-a", Resources(8, 32, 64_000))
RUN_LEASE_MS = 15_000
TASK_RESOURCES = Resources(1, 4, 1_000)


def attempt(name: str = "q1", epoch: int = 1) -> AttemptId:
    return AttemptId(name, epoch)


def reserve(name: str = "q1", epoch: int = 1, rank: int = 0) -> ReserveTask:
    return ReserveTask(attempt(name, epoch), rank, TASK_RESOURCES, (rank,))


def start(
    name: str = "q1",
    epoch: int = 1,
    rank: int = 0,
    resources: Resources = TASK_RESOURCES,
    accelerators: tuple[int, ...] = (0,),
    checkpoint_ms: int | None = None,
) -> StartTask:
    return StartTask(
        attempt(name, epoch),
        rank,
        1,
        resources,
        accelerators,
        b"{}",
        True,
        1_000,
        checkpoint_ms=checkpoint_ms,
    )


def listed(
    state: str, name: str = "q1", epoch: int = 1, checkpoint: bytes | None = None
) -> BackendTask:
    return BackendTask(
        attempt(name, epoch),
        0,
        state,
        NO_RESOURCES,
        "",
        checkpoint,
        TASK_RESOURCES,
        (0,),
    )


@attrs.define
class Agent:
    """An agent and the effects that it returned, in order.

    `run` fires the timers. The test posts the replies of the backend server,
    except to `Describe`, and the messages of the entry host.
    """

    state: AgentState
    effects: list[Effect] = attrs.Factory(list)
    timers: dict[Timer, int] = attrs.Factory(dict)
    timers_fired: int = 0
    tasks: tuple[BackendTask, ...] = ()
    backend: str = "b1"
    info: WorkerInfo = INFO
    answers_describe: bool = True
    run_lease_ms: int = RUN_LEASE_MS

    def post(self, event: Event) -> list[Effect]:
        """Reduce an event and return its effects."""
        before = len(self.effects)
        self._reduce(event)
        return self.effects[before:]

    def _reduce(self, event: Event) -> None:
        now_ms = self.state.now_ms
        reduce(self.state, ClockAdvanced(now_ms, now_ms))
        _, effects = reduce(self.state, event)
        check_agent(self.state)
        self.effects += effects
        for effect in effects:
            if isinstance(effect, StartTimer):
                self.timers[effect.timer] = now_ms + effect.delay_ms
        # Replies are separate events that follow all effects of this one.
        for effect in effects:
            if isinstance(effect, CallBackend) and self.answers_describe:
                self._answer(effect.call)

    def _answer(self, call: BackendCall) -> None:
        if isinstance(call, Describe):
            self._reduce(BackendReplied(call, self.description()))

    def description(self) -> Described:
        return Described(self.info, self.backend, self.tasks)

    def run(self, duration_ms: int) -> list[Effect]:
        """Advance time and fire due timers; return the effects."""
        before = len(self.effects)
        end_ms = self.state.now_ms + duration_ms
        while self.timers:
            timer = min(self.timers, key=self.timers.__getitem__)
            due_ms = self.timers[timer]
            if due_ms > end_ms:
                break
            del self.timers[timer]
            self.state.now_ms = max(self.state.now_ms, due_ms)
            self.timers_fired += 1
            self._reduce(TimerFired(timer))
        self.state.now_ms = end_ms
        return self.effects[before:]

    # --- the backend server ----------------------------------------------

    def reply(self, reply: BackendReply, call: BackendCall | None = None) -> None:
        """Answer the newest call, or the given one."""
        self.post(BackendReplied(call or self.calls()[-1], reply))

    def calls(self) -> list[BackendCall]:
        """Return all calls but `Describe`, oldest first."""
        return [
            effect.call
            for effect in self.effects
            if isinstance(effect, CallBackend) and not isinstance(effect.call, Describe)
        ]

    def describe_calls(self) -> list[Describe]:
        return [
            effect.call
            for effect in self.effects
            if isinstance(effect, CallBackend) and isinstance(effect.call, Describe)
        ]

    # --- the entry host --------------------------------------------------

    def opened_streams(self) -> list[OpenEntryStream]:
        return [e for e in self.effects if isinstance(e, OpenEntryStream)]

    def sent(self) -> list[AgentMessage]:
        return [e.message for e in self.effects if isinstance(e, SendEntry)]

    def reports(self) -> list[Report]:
        """Return each sent report once, in order."""
        found: dict[int, Report] = {}
        for message in self.sent():
            if isinstance(message, SendReports):
                first = message.first_sequence
                found |= dict(enumerate(message.reports, start=first))
        return [found[sequence] for sequence in sorted(found)]

    def receive(self, message: EntryMessage) -> list[Effect]:
        return self.post(EntryMessageReceived(self.state.stream_id, message))

    def confirm(self) -> None:
        """Confirm the newest heartbeat, which extends both leases."""
        self.receive(EntryHeartbeat(self.state.sequence, 1, RUN_LEASE_MS))

    def run_unconfirmed(self, duration_ms: int) -> list[Effect]:
        """Advance time without extending a lease."""
        before = len(self.effects)
        for _ in range(duration_ms // 1_000):
            self.run(1_000)
            self.receive(EntryHeartbeat(0, 1, self.run_lease_ms))
        return self.effects[before:]

    def order(self, *orders: Order) -> list[Effect]:
        return self.receive(Orders(orders))

    def connect(self) -> None:
        """Run until the agent opens its next stream, and report it as open."""
        before = len(self.opened_streams())
        while len(self.opened_streams()) == before:
            self.run(50)
        self.post(EntryStreamOpened(self.state.stream_id))

    def welcome(self, *orders: Order, acknowledged: int = 0) -> list[Effect]:
        return self.receive(Welcome(orders, 1, RUN_LEASE_MS, acknowledged))

    def start(self, order: StartTask) -> None:
        """Start a task, and list it as running from now on."""
        self.order(order)
        self.reply(Accepted())
        self.tasks = (
            *self.tasks,
            BackendTask(
                order.attempt,
                order.rank,
                "running",
                NO_RESOURCES,
                resources=order.resources,
                accelerators=order.accelerators,
            ),
        )


def booted(seed: int = 1, tasks: Sequence[BackendTask] = ()) -> Agent:
    """Return an agent that has read its backend server's announcement."""
    cfg = AgentConfig(ENTRIES, "i1", seed)
    state = AgentState(cfg, random.Random(seed), now_ms=1_000_000)
    agent = Agent(state, tasks=tuple(tasks))
    agent.post(AgentBooted())
    return agent


def ready(seed: int = 1) -> Agent:
    """Return an agent that is welcomed and holds both leases."""
    agent = booted(seed)
    agent.connect()
    agent.confirm()
    agent.welcome()
    return agent
