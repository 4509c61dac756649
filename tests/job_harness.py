"""Test harnesses for jobs: the replicated table, and a leader with runners."""

import random
from collections.abc import Iterable

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    Command,
    CommandReply,
    EntryHost,
    LogEntry,
    Proposal,
)
from crocuswell_core.consensus import replication
from crocuswell_core.consensus.log_application import apply_entry
from crocuswell_core.dispatching.dispatch_state import WorkerView
from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_core.entry.entry_state import EntryConfig, EntryState
from crocuswell_core.jobs.catalog import Catalog, CatalogWorkspace, Queue, Service
from crocuswell_core.jobs.job_commands import (
    PlaceRuns,
    PutCatalog,
    QueueAddress,
    SubmitJob,
)
from crocuswell_core.jobs.job_records import (
    ResourceVector,
    RunEnd,
    RunEndKind,
    RunId,
    RunPlacement,
    RunProgress,
    Schedule,
    StepSpec,
    Task,
    TaskId,
)
from crocuswell_core.links.link_messages import (
    Attach,
    WorkerDescription,
    WorkerReport,
)
from crocuswell_core.runtime.effects import Effect, SendAgent
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    ClockAdvanced,
    EntriesSynced,
    EntryBooted,
    Event,
    TimerFired,
)
from crocuswell_core.runtime.reducer import reduce
from crocuswell_core.runtime.timers import ControlTimer, ElectionTimer, LeaderTimer

# Jobs in TIGHT and BATCH are neither urgent nor deferrable.
URGENT, LONG, TIGHT, BATCH = "urgent", "long", "tight", "batch"
HOST = "queues.example"
KEY = "key-a"
CAPACITY = ResourceVector(128_000, 262_144, 8)
NO_FEATURES = DispatchFeatures()


def address(queue: str, key: str = KEY) -> QueueAddress:
    return QueueAddress(HOST, f"/{queue}/", key)


def catalog(version: int = 1, guaranteed: int = 16, **changes: object) -> Catalog:
    fields: dict[str, object] = {
        "queues": (
            Queue(URGENT, HOST, f"/{URGENT}/", "press", 0, 2, 1.5, 250),
            Queue(LONG, HOST, f"/{LONG}/", "press", 1, 3, 3.0, 1_000),
            Queue(TIGHT, HOST, f"/{TIGHT}/", "press", 1, 3, 1.0, 0),
            Queue(BATCH, HOST, f"/{BATCH}/", "press", 2, 3, 1.0, 0),
        ),
        "services": (Service("press"),),
        "workspaces": (CatalogWorkspace("tisk", (KEY,), 1, guaranteed),),
        "document": f"document {version}",
        **changes,
    }
    return Catalog(version, **fields)  # type: ignore[arg-type]


def step(count: int = 1, accelerators: int = 1, **fields: object) -> StepSpec:
    demand = ResourceVector(10_000, 16_000, accelerators)
    return StepSpec(count, demand, 5_000, **fields)  # type: ignore[arg-type]


def run_of(
    job_id: str, index: int = 0, number: int = 1, of_step: int = 0, occurrence: int = 0
) -> RunId:
    return RunId(TaskId(job_id, of_step, index, occurrence), number)


def end_of(
    run: RunId, kind: RunEndKind, number: int = 1, checkpoint: str = ""
) -> RunEnd:
    return RunEnd(number, run, kind, checkpoint)


class ReplicatedTable:
    """The replicated cluster state, changed only by commands."""

    def __init__(self) -> None:
        self.cluster = ClusterState()
        self._log_index = 0

    def apply(self, command: Command, at_ms: int = 1_000) -> CommandReply:
        self._log_index += 1
        entry = LogEntry(1, self._log_index, at_ms, Proposal("", "", command))
        return apply_entry(self.cluster, entry).reply

    def submit(
        self,
        job_id: str,
        *steps: StepSpec,
        queue: str = LONG,
        schedule: Schedule | None = None,
    ) -> CommandReply:
        if self.cluster.jobs.catalog is None:
            self.apply(PutCatalog(catalog()))
        return self.apply(SubmitJob(job_id, address(queue), "work", steps, schedule))

    def start(self, *runs: RunId, worker: str = "m1/w1@5") -> None:
        self.apply(PlaceRuns(tuple(RunPlacement(run, worker) for run in runs)))

    def tasks(self, job_id: str, occurrence: int = 0) -> list[Task]:
        """Return the tasks of a job's first step."""
        return self.cluster.jobs.jobs[job_id].occurrences[occurrence].tasks[0]

    def phase(self, job_id: str) -> str:
        return self.cluster.jobs.jobs[job_id].phase.value


def worker(
    name: str,
    rack: str = "r1-1",
    machine: str = "",
    born_ms: int = 5,
    **fields: object,
) -> WorkerDescription:
    values: dict[str, object] = {"labels": ("a", rack), "capacity": CAPACITY, **fields}
    return WorkerDescription(
        machine or f"m-{name}",
        name,
        born_ms,
        "press",
        "zone",
        rack,
        **values,  # type: ignore[arg-type]
    )


class Leader:
    """A control host as the only voter, with simulated runner streams."""

    def __init__(
        self, task_lease_ms: int = 6_000, features: DispatchFeatures = NO_FEATURES
    ) -> None:
        host = EntryHost("h1", "h1:1", "zone", stream_address="h1:2")
        cfg = EntryConfig(
            host,
            (host,),
            ("h1",),
            seeds=("h1:2",),
            founds_group=True,
            task_lease_ms=task_lease_ms,
            features=features,
        )
        self.state = EntryState(cfg, random.Random(1))
        self.now_ms = 10_000
        self.sent: list[SendAgent] = []
        self.post(EntryBooted())
        self.advance(1_300)
        self.post(TimerFired(ElectionTimer()))
        self._sequences: dict[int, int] = {}

    def post(self, *events: Event) -> list[Effect]:
        """Process events, with immediate syncs and commits."""
        effects: list[Effect] = []
        for event in (ClockAdvanced(self.now_ms, self.now_ms), *events):
            self.state, more_effects = reduce(self.state, event)
            effects += more_effects
        entries = self.state.consensus.entries
        if entries and entries[-1].index > self.state.consensus.synced_index:
            more_effects = self.post(EntriesSynced(entries[-1].index, entries[-1].term))
            self.sent += [e for e in effects if isinstance(e, SendAgent)]
            return effects + more_effects
        self.sent += [e for e in effects if isinstance(e, SendAgent)]
        return effects

    def advance(self, ms: int) -> list[Effect]:
        """Advance the time in steps that keep the leader lease valid."""
        effects: list[Effect] = []
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + 100)
            effects += self.post(TimerFired(LeaderTimer()))
        return effects

    def tick(self) -> list[Effect]:
        return self.post(TimerFired(ControlTimer()))

    def apply(self, command: Command) -> list[Effect]:
        """Propose a command and return the effects of applying it."""
        effects = replication.propose(self.state, Proposal("", "", command))
        assert effects
        return self.post()

    def propose(self, command: Command) -> None:
        self.apply(command)

    def attach(self, stream_id: int) -> None:
        self.post(AgentMessageReceived(stream_id, Attach(f"runner-{stream_id}")))

    def report(
        self,
        stream_id: int,
        description: WorkerDescription,
        running: Iterable[RunProgress] = (),
        ended: Iterable[RunEnd] = (),
        **fields: object,
    ) -> list[Effect]:
        """Send a runner's report and return the effects."""
        if stream_id not in self.state.clients:
            self.attach(stream_id)
        self._sequences[stream_id] = self._sequences.get(stream_id, 0) + 1
        sequence = self._sequences[stream_id]
        values: dict[str, object] = {
            "reachable": True,
            "list_number": sequence,
            **fields,
        }
        message = WorkerReport(
            sequence,
            description,
            running=tuple(running),
            ended=tuple(ended),
            **values,  # type: ignore[arg-type]
        )
        return self.post(AgentMessageReceived(stream_id, message))

    def view(self, description: WorkerDescription) -> WorkerView:
        return self.state.dispatch.views[description.key]

    def placed(self, description: WorkerDescription) -> dict[TaskId, int]:
        return dict(self.state.cluster.jobs.placed.get(description.key, {}))

    def submit(
        self,
        job_id: str,
        *steps: StepSpec,
        queue: str = LONG,
        schedule: Schedule | None = None,
    ) -> None:
        if self.state.cluster.jobs.catalog is None:
            self.propose(PutCatalog(catalog()))
        self.propose(SubmitJob(job_id, address(queue), "work", steps, schedule))
