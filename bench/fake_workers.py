"""A small fake of workers: answers orders after a delay, in virtual time."""

import heapq
import itertools
from functools import singledispatch

import attrs

from crocuswell_core.agent.agent_messages import Order, ReserveTask, StartTask, StopTask
from crocuswell_core.agreement.committed import apply_entry
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    AdvanceTime,
    AnnounceWorker,
    Command,
    CommandReply,
    DeclareSilent,
    LogEntry,
    Proposal,
    RecordReports,
    Report,
    SuspectWorker,
    TaskFailed,
    TaskFinished,
    TaskRefused,
    TaskReserved,
    TaskStopped,
)
from crocuswell_core.cluster.due_queue import next_due_ms
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.runtime import reducer  # noqa: F401  (registers the handlers)
from crocuswell_core.runtime.effects import (
    ClusterEffect,
    Count,
    OrderWorker,
    RequestEnded,
)

# Time in ms for an order or a report to arrive.
DELAY_MS = 5

# Time in ms for a task to end once it is told to, without a checkpoint.
KILL_MS = 20

# Time in ms after which a worker that fails everything reports a failure.
FAULT_MS = 200

SUSPECT_MS = 2_500
SILENT_MS = 16_000


@attrs.define
class Task:
    """A member as its worker knows it; `run` is None until it starts."""

    order: ReserveTask | StartTask
    started_ms: int | None = None
    progress_ms: int = 0


@attrs.define
class FakeWorker:
    """One worker.

    Attributes
    ----------
    up : bool
        Whether it answers.
    faulty : bool
        Whether everything that it runs fails.
    generation : int
        Number of its starts; events of earlier ones are dropped.
    """

    info: WorkerInfo
    up: bool = True
    faulty: bool = False
    generation: int = 1
    last_sequence: int = 0
    tasks: dict[tuple[AttemptId, int], Task] = attrs.Factory(dict)


@attrs.frozen
class Apply:
    """Propose a command."""

    command: Command


@attrs.frozen
class Deliver:
    """A report arrives, if its worker has not restarted."""

    worker: str
    generation: int
    report: Report
    task: Task | None = None


@attrs.frozen
class Fail:
    """A worker stops answering; it returns after `down_ms`."""

    worker: str
    down_ms: int


@attrs.frozen
class Return:
    """A worker announces itself with nothing running."""

    worker: str


@attrs.frozen
class SetFaulty:
    """A worker starts or stops failing everything that it runs."""

    worker: str
    faulty: bool


@attrs.frozen
class Tick:
    """What is due by cluster time happens."""


Event = Apply | Deliver | Fail | Return | SetFaulty | Tick


@attrs.define
class World:
    """Cluster state, fake workers and virtual time.

    Attributes
    ----------
    run_ms : dict
        True run time in ms of each request.
    starts : dict
        Number of starts of rank 0 per request without a checkpoint.
    """

    cluster: ClusterState
    run_ms: dict[str, int] = attrs.Factory(dict)
    workers: dict[str, FakeWorker] = attrs.Factory(dict)
    now_ms: int = 0
    events: list[tuple[int, int, Event]] = attrs.Factory(list)
    numbers: itertools.count = attrs.Factory(lambda: itertools.count(1))
    starts: dict[str, int] = attrs.Factory(dict)
    wasted_ms: int = 0
    preemptions: int = 0
    partial_gangs: int = 0
    ended: list[str] = attrs.Factory(list)
    ticks: set[int] = attrs.Factory(set)

    def at(self, at_ms: int, event: Event) -> None:
        """Let an event happen at a time in ms."""
        heapq.heappush(self.events, (at_ms, next(self.numbers), event))

    def step(self) -> Event:
        """Let the next event happen and return it."""
        self.now_ms, _, event = heapq.heappop(self.events)
        act(event, self)
        due_ms = next_due_ms(self.cluster)
        if due_ms is not None and due_ms not in self.ticks:
            self.ticks.add(due_ms)
            self.at(max(due_ms, self.now_ms), Tick())
        return event

    def apply(self, command: Command) -> CommandReply:
        """Apply a committed command and pass its orders to the workers."""
        entry = LogEntry(1, next(self.numbers), self.now_ms, Proposal("", "", command))
        applied = apply_entry(self.cluster, entry)
        for effect in applied.effects:
            pass_to(effect, self)
        return applied.reply

    def take_ended(self) -> list[str]:
        """Return and forget the requests that ended."""
        ended, self.ended = self.ended, []
        return ended

    def announce(self, info: WorkerInfo) -> None:
        """Let a worker announce itself with nothing running."""
        worker = self.workers.setdefault(info.worker, FakeWorker(info))
        worker.up, worker.last_sequence = True, 0
        worker.tasks.clear()
        name = f"g{worker.generation}"
        self.apply(AnnounceWorker(info, name, name))

    def report(self, worker: FakeWorker, delay_ms: int, report: Report) -> None:
        """Let a report arrive later."""
        task = worker.tasks.get((report.attempt, report.rank))
        deliver = Deliver(worker.info.worker, worker.generation, report, task)
        self.at(self.now_ms + delay_ms, deliver)


@singledispatch
def pass_to(effect: ClusterEffect, world: World) -> None:
    """Let an effect reach the workers or the measures."""


@pass_to.register
def _(effect: OrderWorker, world: World) -> None:
    worker = world.workers[effect.worker]
    if worker.up:
        obey(effect.order, worker, world)


@pass_to.register
def _(effect: RequestEnded, world: World) -> None:
    world.ended.append(effect.request_id)


@pass_to.register
def _(effect: Count, world: World) -> None:
    if effect.counter == "preemptions_total":
        world.preemptions += effect.amount


@singledispatch
def act(event: Event, world: World) -> None:
    """Let an event happen."""
    raise NotImplementedError(type(event).__name__)


@act.register
def _(event: Apply, world: World) -> None:
    world.apply(event.command)


@act.register
def _(event: Tick, world: World) -> None:
    world.ticks.discard(world.now_ms)
    world.apply(AdvanceTime())


@act.register
def _(event: Deliver, world: World) -> None:
    worker = world.workers[event.worker]
    if not worker.up or worker.generation != event.generation:
        return
    report = event.report
    key = (report.attempt, report.rank)
    if type(report) is not TaskReserved and type(report) is not TaskRefused:
        if worker.tasks.get(key) is not event.task or event.task is None:
            return
        del worker.tasks[key]
    worker.last_sequence += 1
    name = f"g{worker.generation}"
    world.apply(RecordReports(event.worker, name, worker.last_sequence, (report,)))


@act.register
def _(event: Fail, world: World) -> None:
    worker = world.workers[event.worker]
    if not worker.up:
        return
    worker.up = False
    for (attempt, rank), task in worker.tasks.items():
        _waste(world, attempt, rank, task)
    name = f"g{worker.generation}"
    world.at(world.now_ms + SUSPECT_MS, Apply(SuspectWorker(event.worker, name, True)))
    world.at(world.now_ms + SILENT_MS, Apply(DeclareSilent(event.worker, name)))
    world.at(world.now_ms + event.down_ms, Return(event.worker))


@act.register
def _(event: Return, world: World) -> None:
    worker = world.workers[event.worker]
    worker.generation += 1
    world.announce(worker.info)


@act.register
def _(event: SetFaulty, world: World) -> None:
    world.workers[event.worker].faulty = event.faulty


@singledispatch
def obey(order: Order, worker: FakeWorker, world: World) -> None:
    """Let a worker carry out an order."""
    raise NotImplementedError(type(order).__name__)


@obey.register
def _(order: ReserveTask, worker: FakeWorker, world: World) -> None:
    worker.tasks[order.attempt, order.rank] = Task(order)
    world.report(worker, 2 * DELAY_MS, TaskReserved(order.attempt, order.rank))


@obey.register
def _(order: StartTask, worker: FakeWorker, world: World) -> None:
    if order.members > 1 and order.rank == 0:
        world.partial_gangs += not _all_reserved(order.attempt, world)
    progress_ms = int(order.checkpoint or b"0")
    task = Task(order, world.now_ms + DELAY_MS, progress_ms)
    worker.tasks[order.attempt, order.rank] = task
    request_id = order.attempt.request_id
    if order.rank == 0 and order.checkpoint is None:
        world.starts[request_id] = world.starts.get(request_id, 0) + 1
    if worker.faulty:
        report: Report = TaskFailed(order.attempt, order.rank, "device error")
        world.report(worker, 2 * DELAY_MS + FAULT_MS, report)
        return
    rest_ms = max(1, world.run_ms[request_id] - progress_ms)
    finished = TaskFinished(order.attempt, order.rank, b"", "")
    world.report(worker, 2 * DELAY_MS + rest_ms, finished)


@obey.register
def _(order: StopTask, worker: FakeWorker, world: World) -> None:
    task = worker.tasks.get((order.attempt, order.rank))
    if task is None or task.started_ms is None:
        worker.tasks.pop((order.attempt, order.rank), None)
        world.report(worker, 2 * DELAY_MS, TaskRefused(order.attempt, order.rank))
        return
    # A stopped task must not finish as well: the finish is for another record.
    task = attrs.evolve(task)
    worker.tasks[order.attempt, order.rank] = task
    if order.checkpoint_ms is None:
        _waste(world, order.attempt, order.rank, task)
        stopped = TaskStopped(order.attempt, order.rank)
        world.report(worker, 2 * DELAY_MS + KILL_MS, stopped)
        return
    done_ms = task.progress_ms + world.now_ms - (task.started_ms or 0)
    stopped = TaskStopped(order.attempt, order.rank, str(max(0, done_ms)).encode())
    world.report(worker, 2 * DELAY_MS + order.checkpoint_ms, stopped)


def _all_reserved(attempt: AttemptId, world: World) -> bool:
    """Tell whether every worker of a gang holds its room at its start."""
    members = world.cluster.attempts[attempt].members
    return all(
        (attempt, m.rank) in world.workers[m.worker].tasks
        or not world.workers[m.worker].up
        for m in members
    )


def _waste(world: World, attempt: AttemptId, rank: int, task: Task) -> None:
    """Count the accelerator time that a stop without checkpoint discards."""
    if task.started_ms is None:
        return
    accelerators = task.order.resources.accelerators
    world.wasted_ms += (world.now_ms - task.started_ms) * accelerators
