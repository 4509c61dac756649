"""Test harness that applies commands to the replicated state in memory."""

import itertools

import attrs

from crocuswell_core.agent.agent_messages import Order
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    AdvanceTime,
    AnnounceWorker,
    ChangeConfiguration,
    Command,
    CommandReply,
    LogEntry,
    Proposal,
    RecordReports,
    Report,
    SubmitRequest,
)
from crocuswell_core.cluster.configuration import Configuration, Workspace
from crocuswell_core.cluster.records import (
    Attempt,
    AttemptId,
    JobSpec,
    Outcome,
    Request,
    WorkerInfo,
)
from crocuswell_core.cluster.resources import Adjacency, Resources, Shape
from crocuswell_core.consensus.log_application import apply_entry
from crocuswell_core.runtime import reducer  # noqa: F401  (registers the handlers)
from crocuswell_core.runtime.effects import ClusterEffect, OrderWorker

CAPACITY = Resources(8, 128, 262_144)


def gang(
    members: int, accelerators: int = 1, adjacency: Adjacency = Adjacency.NONE
) -> Shape:
    """Return the shape of a gang with one processor per member."""
    return Shape(members, Resources(accelerators, 1, 256), adjacency)


@attrs.define
class Cluster:
    """Applies commands in order and collects their effects."""

    state: ClusterState = attrs.Factory(ClusterState)
    effects: list[ClusterEffect] = attrs.Factory(list)
    index: itertools.count = attrs.Factory(lambda: itertools.count(1))
    now_ms: int = 1_000_000
    last_sequences: dict[str, int] = attrs.Factory(dict)

    def apply(
        self, command: Command, command_id: str = "", digest: str = ""
    ) -> CommandReply:
        """Apply a command at the current time and return its reply."""
        proposal = Proposal(command_id, digest, command)
        entry = LogEntry(1, next(self.index), self.now_ms, proposal)
        applied = apply_entry(self.state, entry)
        self.effects += applied.effects
        return applied.reply

    def configure(self, *workspaces: Workspace) -> None:
        """Apply a configuration with these workspaces."""
        configuration = Configuration(workspaces=workspaces)
        number = self.state.number
        self.apply(ChangeConfiguration(number, configuration, "test"))

    def announce(
        self,
        worker: str,
        rack: str = "r1",
        failure_domain: str = "fd-a",
        incarnation: str = "i1",
        backend_incarnation: str = "b1",
        draining: bool = False,
    ) -> None:
        """Announce a worker with eight accelerators."""
        info = WorkerInfo(worker, rack, failure_domain, CAPACITY, 8, draining)
        self.apply(AnnounceWorker(info, incarnation, backend_incarnation))

    def submit(
        self, request_id: str, spec: JobSpec, workspace: str = "quotes"
    ) -> CommandReply:
        """Submit a request."""
        return self.apply(SubmitRequest(request_id, workspace, spec))

    def report(self, worker: str, *reports: Report) -> None:
        """Apply reports of a worker, with the next sequence numbers."""
        record = self.state.workers[worker]
        key = f"{worker}/{record.incarnation}"
        last = self.last_sequences.get(key, 0) + len(reports)
        self.last_sequences[key] = last
        self.apply(RecordReports(worker, record.incarnation, last, reports))

    def advance(self, ms: int) -> None:
        """Advance the time by `ms` and run all actions that are due."""
        self.now_ms += ms
        self.apply(AdvanceTime())

    def orders(self) -> list[tuple[str, Order]]:
        """Return the orders since the last call, each with its worker."""
        found: list[tuple[str, Order]] = []
        for effect in self.effects:
            if type(effect) is OrderWorker:
                found.append((effect.worker, effect.order))
        self.effects.clear()
        return found

    def request(self, request_id: str) -> Request:
        """Return the record of a request."""
        return self.state.requests[request_id]

    def outcome(self, request_id: str) -> Outcome | None:
        """Return the outcome of a request, or None if it has not ended."""
        record = self.request(request_id).outcome
        return record.outcome if record else None

    def attempt(self, request_id: str) -> Attempt:
        """Return the current attempt at a request."""
        epoch = self.request(request_id).attempts_made
        return self.state.attempts[AttemptId(request_id, epoch)]


def small_cluster(workers: int = 2, workspace: str = "quotes") -> Cluster:
    """Return a cluster with one workspace and `workers` workers in a rack."""
    cluster = Cluster()
    cluster.configure(Workspace(workspace))
    for number in range(1, workers + 1):
        cluster.announce(f"w{number}")
    cluster.effects.clear()
    return cluster
