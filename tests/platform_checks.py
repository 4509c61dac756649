"""Invariants of the whole platform, checked after every event."""

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.invariants import check_all
from crocuswell_core.cluster.records import Outcome, OutcomeRecord, WorkerMode
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.effects import Effect
from crocuswell_core.runtime.events import EntryBooted
from standins.backend_tasks import advance, running_tasks
from tests.consensus_checks import ConsensusChecks
from tests.simulated_agent import SimulatedWorker, WorkRecord
from tests.simulated_host import Host, InvariantError
from tests.simulator import Simulation


class PlatformChecks(ConsensusChecks):
    """Checks the invariants of consensus and of the replicated state."""

    def __init__(self, work: WorkRecord, workers: list[SimulatedWorker]) -> None:
        super().__init__()
        self.work = work
        self.workers = workers
        self.newest_index = 0
        self.checked_index: dict[str, int] = {}
        self.outcomes: dict[str, OutcomeRecord] = {}
        self.configurations: dict[int, object] = {}
        self.configuration_number = 0
        # Number of checks of workers that were declared silent.
        self.silent_checks = 0
        self.log_ends: dict[str, tuple[int, int, int]] = {}

    def __call__(
        self, simulation: Simulation, host: Host, event: object, new: list[Effect]
    ) -> None:
        super().__call__(simulation, host, event, new)
        state = host.state
        if state is None:
            return
        if isinstance(event, EntryBooted):
            self.checked_index[host.id] = 0
        index = state.consensus.applied_index
        if index == self.checked_index.get(host.id):
            return
        self.checked_index[host.id] = index
        check_all(state.cluster)
        if index > self.newest_index:
            self.newest_index = index
            self.check_newly_applied(simulation, state)

    def check_log(self, id_: str, state: EntryState) -> None:
        """Check the log only if its end changed, to limit the cost."""
        consensus = state.consensus
        last = consensus.entries[-1] if consensus.entries else None
        end = (consensus.snapshot_index, last.index, last.term) if last else (0, 0, 0)
        if last is None or self.log_ends.get(id_) != end:
            self.log_ends[id_] = end
            super().check_log(id_, state)

    def check_applied(self, state: EntryState) -> None:
        """Compare the applied states only if this host applied an entry."""
        if state.consensus.applied_index != self.checked_index.get(state.cfg.host.id):
            super().check_applied(state)

    def on_crash(self, host: Host) -> None:
        super().on_crash(host)
        self.log_ends.pop(host.id, None)

    def check_newly_applied(self, simulation: Simulation, state: EntryState) -> None:
        """Check a state whose newest entry no host applied before."""
        cluster = state.cluster
        for worker in self.workers:
            self.check_silent(simulation, cluster, worker)
        self.check_outcomes(cluster)
        if cluster.number < self.configuration_number:
            raise InvariantError("the configuration number decreased", cluster.number)
        self.configuration_number = cluster.number
        first = self.configurations.setdefault(cluster.number, cluster.configuration)
        if first != cluster.configuration:
            raise InvariantError("two configurations with one number", cluster.number)

    def check_silent(
        self, simulation: Simulation, cluster: ClusterState, worker: SimulatedWorker
    ) -> None:
        """Check that no task runs on a worker that was declared silent.

        Its resources are available to other tasks from then on.
        """
        record = cluster.workers.get(worker.info.worker)
        if record is None or record.mode is not WorkerMode.SILENT:
            return
        self.silent_checks += 1
        advance(worker.backend, worker.local_ms(simulation.time_ms))
        if running_tasks(worker.backend):
            raise InvariantError("a worker declared silent runs tasks", record)

    def check_outcomes(self, cluster: ClusterState) -> None:
        for request in cluster.requests.values():
            new = request.outcome
            old = self.outcomes.get(request.id)
            if old == new:
                continue
            if new is None:
                raise InvariantError("an outcome was removed", request.id, old)
            if old and old.outcome is not Outcome.OUTCOME_UNKNOWN:
                raise InvariantError("an outcome changed", request.id, old, new)
            self.outcomes[request.id] = new
            self._check_outcome(request.id, new)

    def _check_outcome(self, id_: str, record: OutcomeRecord) -> None:
        if record.outcome is Outcome.NOT_RUN:
            self.work.not_run.add(id_)
            if id_ in self.work.started:
                raise InvariantError(
                    "reported as not run, but it was started", id_, record
                )
        results = self.work.produced.get(id_, set())
        if record.outcome is Outcome.COMPLETED and record.result not in results:
            raise InvariantError(
                "completed with a result that no backend server produced", id_, record
            )
