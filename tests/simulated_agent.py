"""An agent and its fake backend server in the platform simulation."""

import random

import attrs

from crocuswell_core.agent.agent_invariants import check_agent
from crocuswell_core.agent.agent_state import AgentConfig, AgentState
from crocuswell_core.agent.backend import (
    Accepted,
    BackendCall,
    BackendReply,
    FetchResult,
    ResultFetched,
    StartOnBackend,
)
from crocuswell_core.cluster.commands import TaskReserved
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.runtime.effects import Effect
from crocuswell_core.runtime.events import AgentBooted, ClockAdvanced, Event
from crocuswell_core.runtime.reducer import reduce
from crocuswell_core.runtime.timers import Timer
from standins.backend_tasks import Backend, execute_call
from tests.simulated_host import InvariantError


@attrs.define
class WorkRecord:
    """Work done by all backend servers so far, to check invariants."""

    # `started` and `produced` are keyed by request id.
    started: dict[str, set[AttemptId]] = attrs.Factory(dict)
    members: dict[tuple[AttemptId, int], str] = attrs.Factory(dict)
    confirmed: set[tuple[AttemptId, int]] = attrs.Factory(set)
    produced: dict[str, set[bytes]] = attrs.Factory(dict)
    idempotent: dict[str, bool] = attrs.Factory(dict)
    not_run: set[str] = attrs.Factory(set)

    def start(self, worker: str, call: StartOnBackend) -> None:
        """Check and record a start that a backend server carried out."""
        attempt = call.attempt
        request_id = attempt.request_id
        key = (attempt, call.rank)
        if key in self.members:
            raise InvariantError("a member was started twice", key, worker)
        self.members[key] = worker
        attempts = self.started.setdefault(request_id, set())
        repeated = bool(attempts - {attempt}) and call.checkpoint is None
        if repeated and not self.idempotent[request_id]:
            raise InvariantError("non-idempotent request started again", attempt)
        attempts.add(attempt)
        if request_id in self.not_run:
            raise InvariantError("a request that did not run was started", attempt)
        for rank in range(call.members) if call.members > 1 else ():
            if (attempt, rank) not in self.confirmed:
                raise InvariantError("a gang started unconfirmed", attempt, rank)


@attrs.define(eq=False)
class SimulatedWorker:
    """An agent and its backend server, which share a clock."""

    info: WorkerInfo
    rate: float
    offset_ms: int
    entries: tuple[str, ...]
    work: WorkRecord
    backend: Backend = attrs.field(init=False)
    state: AgentState | None = None
    generation: int = 0
    backend_starts: int = 0
    backend_down: bool = False
    frozen_until_ms: float = 0
    timers: dict[Timer, int] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        self.backend = Backend(self.info)
        self.start_backend()

    def local_ms(self, time_ms: float) -> int:
        return self.offset_ms + int(time_ms * self.rate)

    def start_backend(self) -> None:
        """Restart the backend server, which loses its tasks."""
        self.backend_starts += 1
        self.backend_down = False
        self.backend.incarnation = f"{self.info.worker}-b{self.backend_starts}"
        self.backend.tasks = {}

    def boot(self, rng: random.Random, time_ms: float) -> list[Effect]:
        self.generation += 1
        self.timers.clear()
        incarnation = f"{self.info.worker}-i{self.generation}"
        cfg = AgentConfig(self.entries, incarnation)
        self.state = AgentState(cfg, random.Random(rng.random()))
        return self.reduce(AgentBooted(), time_ms)

    def reduce(self, event: Event, time_ms: float) -> list[Effect]:
        if self.state is None:
            return []
        now_ms = self.local_ms(time_ms)
        reduce(self.state, ClockAdvanced(now_ms, int(time_ms)))
        _, effects = reduce(self.state, event)
        check_agent(self.state)
        for report in self.state.reports:
            if isinstance(report, TaskReserved):
                self.work.confirmed.add((report.attempt, report.rank))
        return effects

    def serve(self, call: BackendCall, time_ms: float) -> BackendReply:
        reply = execute_call(call, self.backend, self.local_ms(time_ms))
        match call, reply:
            case StartOnBackend(), Accepted():
                self.work.start(self.info.worker, call)
            case FetchResult(), ResultFetched():
                # Identifies the member and the backend server incarnation
                # that produced the result.
                text = f"{call.attempt}/{call.rank}/{self.backend.incarnation}"
                result = text.encode()
                if call.rank == 0:
                    results = self.work.produced
                    results.setdefault(call.attempt.request_id, set()).add(result)
                return ResultFetched(result, "")
        return reply


@attrs.define(eq=False)
class Stream:
    """A stream of an agent to an entry host; keeps the order each way."""

    worker: SimulatedWorker
    generation: int
    agent_stream_id: int
    host: str
    incarnation: int
    entry_stream_id: int
    silent: bool = False
    # Time in ms of the newest delivery to the entry host and to the agent.
    last_ms: list[float] = attrs.Factory(lambda: [0.0, 0.0])
