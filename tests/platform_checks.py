"""Invariants of the whole platform, checked after every event."""

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.invariants import check_all
from crocuswell_core.cluster.records import Outcome, OutcomeRecord, WorkerMode
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.effects import Effect
from crocuswell_core.runtime.events import EntryBooted
from standins.backend_tasks import advance, running
from tests.agreement_checks import Checks
from tests.simulated_agent import SimulatedWorker, Work
from tests.simulated_host import Host, InvariantError
from tests.simulator import Simulation


class PlatformChecks(Checks):
    """The agreement's invariants and those of the replicated state."""

    def __init__(self, work: Work, workers: list[SimulatedWorker]) -> None:
        super().__init__()
        self.work = work
        self.workers = workers
        self.newest = 0
        self.checked: dict[str, int] = {}
        self.outcomes: dict[str, OutcomeRecord] = {}
        self.contents: dict[int, object] = {}
        self.number = 0
        # How often a declared worker was checked.
        self.silent_seen = 0
        self.log_ends: dict[str, tuple[int, int, int]] = {}

    def __call__(
        self, simulation: Simulation, host: Host, event: object, new: list[Effect]
    ) -> None:
        super().__call__(simulation, host, event, new)
        state = host.state
        if state is None:
            return
        if isinstance(event, EntryBooted):
            self.checked[host.id] = 0
        index = state.consensus.applied_index
        if index == self.checked.get(host.id):
            return
        self.checked[host.id] = index
        check_all(state.cluster)
        if index > self.newest:
            self.newest = index
            self.check_newest(simulation, state)

    def check_log(self, id_: str, state: EntryState) -> None:
        """Check the log when its end moved, to bound the cost of an event."""
        consensus = state.consensus
        last = consensus.entries[-1] if consensus.entries else None
        end = (consensus.snapshot_index, last.index, last.term) if last else (0, 0, 0)
        if last is None or self.log_ends.get(id_) != end:
            self.log_ends[id_] = end
            super().check_log(id_, state)

    def check_applied(self, state: EntryState) -> None:
        """Compare the applied states when this host applied something."""
        if state.consensus.applied_index != self.checked.get(state.cfg.host.id):
            super().check_applied(state)

    def crashed(self, host: Host) -> None:
        super().crashed(host)
        self.log_ends.pop(host.id, None)

    def check_newest(self, simulation: Simulation, state: EntryState) -> None:
        """Check what was applied nowhere before."""
        cluster = state.cluster
        for worker in self.workers:
            self.check_silent(simulation, cluster, worker)
        self.check_outcomes(cluster)
        if cluster.number < self.number:
            raise InvariantError("the configuration went back", cluster.number)
        self.number = cluster.number
        first = self.contents.setdefault(cluster.number, cluster.configuration)
        if first != cluster.configuration:
            raise InvariantError("two contents of a number", cluster.number)

    def check_silent(
        self, simulation: Simulation, cluster: ClusterState, worker: SimulatedWorker
    ) -> None:
        """Nothing runs on a declared worker; its room is free to others."""
        record = cluster.workers.get(worker.info.worker)
        if record is None or record.mode is not WorkerMode.SILENT:
            return
        self.silent_seen += 1
        advance(worker.backend, worker.local_ms(simulation.time_ms))
        if running(worker.backend):
            raise InvariantError("a declared worker runs tasks", record)

    def check_outcomes(self, cluster: ClusterState) -> None:
        for request in cluster.requests.values():
            new = request.outcome
            old = self.outcomes.get(request.id)
            if old == new:
                continue
            if new is None:
                raise InvariantError("an outcome was taken back", request.id, old)
            if old and old.outcome is not Outcome.OUTCOME_UNKNOWN:
                raise InvariantError("an outcome changed", request.id, old, new)
            self.outcomes[request.id] = new
            self._check_outcome(request.id, new)

    def _check_outcome(self, id_: str, record: OutcomeRecord) -> None:
        if record.outcome is Outcome.NOT_RUN:
            self.work.not_run.add(id_)
            if id_ in self.work.started:
                raise InvariantError("not run, but it was started", id_, record)
        results = self.work.produced.get(id_, set())
        if record.outcome is Outcome.COMPLETED and record.result not in results:
            raise InvariantError("another result", id_, record)
