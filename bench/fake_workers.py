"""Simulated workers that answer orders after a delay, in virtual time."""

import heapq
import itertools
from functools import singledispatch

import attrs

from crocuswell_core.agent.agent_messages import Order, ReserveTask, StartTask, StopTask
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
from crocuswell_core.consensus.log_application import apply_entry
from crocuswell_core.runtime import reducer  # noqa: F401  (registers the handlers)
from crocuswell_core.runtime.effects import (
    ClusterEffect,
    Count,
    OrderWorker,
    RequestEnded,
)

# Delivery delay of an order or a report.
MESSAGE_DELAY_MS = 5

# Time from the stop of a task without a checkpoint to its end.
KILL_DURATION_MS = 20

# Time from a start on a faulty worker to the report of its failure.
FAULT_REPORT_DELAY_MS = 200

# Times from a worker's failure until the leader suspects it, and until it
# declares the worker silent.
SUSPECT_AFTER_MS = 2_500
SILENT_AFTER_MS = 16_000


@attrs.define
class Task:
    """A member on its worker; `started_ms` is None while only reserved."""

    order: ReserveTask | StartTask
    started_ms: int | None = None
    progress_ms: int = 0


@attrs.define
class FakeWorker:
    """A simulated worker.

    Attributes
    ----------
    up : bool
        Whether it processes orders and sends reports.
    faulty : bool
        Whether every task that it runs fails.
    generation : int
        Number of its starts; reports of earlier generations are dropped.
    """

    info: WorkerInfo
    up: bool = True
    faulty: bool = False
    generation: int = 1
    last_sequence: int = 0
    tasks: dict[tuple[AttemptId, int], Task] = attrs.Factory(dict)


@attrs.frozen
class Apply:
    """Apply a committed command."""

    command: Command


@attrs.frozen
class Deliver:
    """Deliver a report, unless its worker has restarted since."""

    worker: str
    generation: int
    report: Report
    task: Task | None = None


@attrs.frozen
class Fail:
    """Take a worker down; it recovers after `down_ms`."""

    worker: str
    down_ms: int


@attrs.frozen
class Recover:
    """Bring a worker back up, with no tasks."""

    worker: str


@attrs.frozen
class SetFaulty:
    """Make a worker faulty or healthy."""

    worker: str
    faulty: bool


@attrs.frozen
class Tick:
    """Advance the cluster time, so that due deadlines take effect."""


Event = Apply | Deliver | Fail | Recover | SetFaulty | Tick


@attrs.define
class SimulatedCluster:
    """Cluster state, fake workers and virtual time.

    Attributes
    ----------
    run_ms : dict
        Actual run time in ms of each request.
    starts : dict
        Number of starts of rank 0 without a checkpoint, by request.
    wasted_ms : int
        Accelerator time in ms lost by tasks that ended without a checkpoint.
    partial_gangs : int
        Number of gangs started before all members were reserved.
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
    ended_requests: list[str] = attrs.Factory(list)
    scheduled_ticks: set[int] = attrs.Factory(set)

    def schedule(self, at_ms: int, event: Event) -> None:
        """Schedule an event at a time in ms."""
        heapq.heappush(self.events, (at_ms, next(self.numbers), event))

    def step(self) -> Event:
        """Process the next event and return it."""
        self.now_ms, _, event = heapq.heappop(self.events)
        handle_event(event, self)
        due_ms = next_due_ms(self.cluster)
        if due_ms is not None and due_ms not in self.scheduled_ticks:
            self.scheduled_ticks.add(due_ms)
            self.schedule(max(due_ms, self.now_ms), Tick())
        return event

    def apply(self, command: Command) -> CommandReply:
        """Apply a committed command and deliver its orders to the workers."""
        entry = LogEntry(1, next(self.numbers), self.now_ms, Proposal("", "", command))
        applied = apply_entry(self.cluster, entry)
        for effect in applied.effects:
            route_effect(effect, self)
        return applied.reply

    def pop_ended(self) -> list[str]:
        """Return the requests that ended since the last call."""
        ended_requests, self.ended_requests = self.ended_requests, []
        return ended_requests

    def announce(self, info: WorkerInfo) -> None:
        """Announce a worker that has no tasks."""
        worker = self.workers.setdefault(info.worker, FakeWorker(info))
        worker.up, worker.last_sequence = True, 0
        worker.tasks.clear()
        incarnation = f"g{worker.generation}"
        self.apply(AnnounceWorker(info, incarnation, incarnation))

    def report(self, worker: FakeWorker, delay_ms: int, report: Report) -> None:
        """Schedule the delivery of a report after a delay in ms."""
        task = worker.tasks.get((report.attempt, report.rank))
        deliver = Deliver(worker.info.worker, worker.generation, report, task)
        self.schedule(self.now_ms + delay_ms, deliver)


@singledispatch
def route_effect(effect: ClusterEffect, simulation: SimulatedCluster) -> None:
    """Apply an effect to the workers or the metrics; ignore the others."""


@route_effect.register
def _(effect: OrderWorker, simulation: SimulatedCluster) -> None:
    worker = simulation.workers[effect.worker]
    if worker.up:
        execute_order(effect.order, worker, simulation)


@route_effect.register
def _(effect: RequestEnded, simulation: SimulatedCluster) -> None:
    simulation.ended_requests.append(effect.request_id)


@route_effect.register
def _(effect: Count, simulation: SimulatedCluster) -> None:
    if effect.counter == "preemptions_total":
        simulation.preemptions += effect.amount


@singledispatch
def handle_event(event: Event, simulation: SimulatedCluster) -> None:
    """Process an event."""
    raise NotImplementedError(type(event).__name__)


@handle_event.register
def _(event: Apply, simulation: SimulatedCluster) -> None:
    simulation.apply(event.command)


@handle_event.register
def _(event: Tick, simulation: SimulatedCluster) -> None:
    simulation.scheduled_ticks.discard(simulation.now_ms)
    simulation.apply(AdvanceTime())


@handle_event.register
def _(event: Deliver, simulation: SimulatedCluster) -> None:
    worker = simulation.workers[event.worker]
    if not worker.up or worker.generation != event.generation:
        return
    report = event.report
    key = (report.attempt, report.rank)
    if type(report) is not TaskReserved and type(report) is not TaskRefused:
        if worker.tasks.get(key) is not event.task or event.task is None:
            return
        del worker.tasks[key]
    worker.last_sequence += 1
    incarnation = f"g{worker.generation}"
    simulation.apply(
        RecordReports(event.worker, incarnation, worker.last_sequence, (report,))
    )


@handle_event.register
def _(event: Fail, simulation: SimulatedCluster) -> None:
    worker = simulation.workers[event.worker]
    if not worker.up:
        return
    worker.up = False
    for (attempt, rank), task in worker.tasks.items():
        _record_wasted_work(simulation, attempt, rank, task)
    incarnation = f"g{worker.generation}"
    simulation.schedule(
        simulation.now_ms + SUSPECT_AFTER_MS,
        Apply(SuspectWorker(event.worker, incarnation, True)),
    )
    simulation.schedule(
        simulation.now_ms + SILENT_AFTER_MS,
        Apply(DeclareSilent(event.worker, incarnation)),
    )
    simulation.schedule(simulation.now_ms + event.down_ms, Recover(event.worker))


@handle_event.register
def _(event: Recover, simulation: SimulatedCluster) -> None:
    worker = simulation.workers[event.worker]
    worker.generation += 1
    simulation.announce(worker.info)


@handle_event.register
def _(event: SetFaulty, simulation: SimulatedCluster) -> None:
    simulation.workers[event.worker].faulty = event.faulty


@singledispatch
def execute_order(
    order: Order, worker: FakeWorker, simulation: SimulatedCluster
) -> None:
    """Execute an order on a worker."""
    raise NotImplementedError(type(order).__name__)


@execute_order.register
def _(order: ReserveTask, worker: FakeWorker, simulation: SimulatedCluster) -> None:
    worker.tasks[order.attempt, order.rank] = Task(order)
    simulation.report(
        worker, 2 * MESSAGE_DELAY_MS, TaskReserved(order.attempt, order.rank)
    )


@execute_order.register
def _(order: StartTask, worker: FakeWorker, simulation: SimulatedCluster) -> None:
    if order.members > 1 and order.rank == 0:
        simulation.partial_gangs += not _all_reserved(order.attempt, simulation)
    progress_ms = int(order.checkpoint or b"0")
    task = Task(order, simulation.now_ms + MESSAGE_DELAY_MS, progress_ms)
    worker.tasks[order.attempt, order.rank] = task
    request_id = order.attempt.request_id
    if order.rank == 0 and order.checkpoint is None:
        simulation.starts[request_id] = simulation.starts.get(request_id, 0) + 1
    if worker.faulty:
        report: Report = TaskFailed(order.attempt, order.rank, "device error")
        simulation.report(worker, 2 * MESSAGE_DELAY_MS + FAULT_REPORT_DELAY_MS, report)
        return
    remaining_ms = max(1, simulation.run_ms[request_id] - progress_ms)
    finished = TaskFinished(order.attempt, order.rank, b"", "")
    simulation.report(worker, 2 * MESSAGE_DELAY_MS + remaining_ms, finished)


@execute_order.register
def _(order: StopTask, worker: FakeWorker, simulation: SimulatedCluster) -> None:
    task = worker.tasks.get((order.attempt, order.rank))
    if task is None or task.started_ms is None:
        worker.tasks.pop((order.attempt, order.rank), None)
        simulation.report(
            worker, 2 * MESSAGE_DELAY_MS, TaskRefused(order.attempt, order.rank)
        )
        return
    # The copy invalidates the scheduled finish, which refers to the old
    # object: a stopped task must not finish as well.
    task = attrs.evolve(task)
    worker.tasks[order.attempt, order.rank] = task
    if order.checkpoint_ms is None:
        _record_wasted_work(simulation, order.attempt, order.rank, task)
        stopped = TaskStopped(order.attempt, order.rank)
        simulation.report(worker, 2 * MESSAGE_DELAY_MS + KILL_DURATION_MS, stopped)
        return
    done_ms = task.progress_ms + simulation.now_ms - (task.started_ms or 0)
    stopped = TaskStopped(order.attempt, order.rank, str(max(0, done_ms)).encode())
    simulation.report(worker, 2 * MESSAGE_DELAY_MS + order.checkpoint_ms, stopped)


def _all_reserved(attempt: AttemptId, simulation: SimulatedCluster) -> bool:
    """Return whether every live worker of a gang holds its reservation."""
    members = simulation.cluster.attempts[attempt].members
    return all(
        (attempt, member.rank) in simulation.workers[member.worker].tasks
        or not simulation.workers[member.worker].up
        for member in members
    )


def _record_wasted_work(
    simulation: SimulatedCluster, attempt: AttemptId, rank: int, task: Task
) -> None:
    """Add the accelerator time lost by ending a task without a checkpoint."""
    if task.started_ms is None:
        return
    accelerators = task.order.resources.accelerators
    simulation.wasted_ms += (simulation.now_ms - task.started_ms) * accelerators
