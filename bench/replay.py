"""Replay of a trace under one policy, with its metrics."""

import heapq

import attrs

from bench.fake_workers import Apply, Fail, SetFaulty, SimulatedCluster
from bench.traces import HORIZON_MS, Arrival, JobClass, Trace
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    CancelRequests,
    ChangeConfiguration,
    RequestAccepted,
    SubmitRequest,
)
from crocuswell_core.cluster.records import Outcome, Request
from crocuswell_core.cluster.resources import Adjacency, Shape
from crocuswell_core.policy.policies import DefaultPolicy

# Guaranteed time from the arrival of a claim to its start.
CLAIM_LIMIT_MS = 2_200

# A replay ends at this virtual time even if requests are unfinished.
RUN_LIMIT_MS = 4 * HORIZON_MS


@attrs.define
class GuaranteeLedger:
    """Guaranteed shapes that each workspace's outstanding requests occupy.

    Independent of the policy: a request is a claim on a guarantee if it and
    all outstanding requests of its workspace each occupy a guaranteed shape
    of their own.

    Attributes
    ----------
    shapes : dict
        Guaranteed shapes of each workspace.
    occupied : dict
        For each workspace, the request that occupies a shape, by the
        position of the shape.
    unguaranteed : dict
        For each workspace, the outstanding requests without a shape.
    """

    shapes: dict[str, list[Shape]]
    occupied: dict[str, dict[int, str]] = attrs.Factory(dict)
    unguaranteed: dict[str, set[str]] = attrs.Factory(dict)

    def record_arrival(self, arrival: Arrival) -> bool:
        """Record an accepted request; return whether it is a claim."""
        occupied = self.occupied.setdefault(arrival.workspace, {})
        unguaranteed = self.unguaranteed.setdefault(arrival.workspace, set())
        requested = arrival.spec.shape
        shapes = self.shapes[arrival.workspace]
        fitting = [
            (shape.total.accelerators, position)
            for position, shape in enumerate(shapes)
            if position not in occupied and _fits(requested, shape)
        ]
        if not fitting or unguaranteed:
            unguaranteed.add(arrival.request_id)
            return False
        occupied[min(fitting)[1]] = arrival.request_id
        return True

    def record_end(self, workspace: str, request_id: str) -> None:
        """Record the end of a request."""
        self.unguaranteed.get(workspace, set()).discard(request_id)
        occupied = self.occupied.get(workspace, {})
        for position, holder in list(occupied.items()):
            if holder == request_id:
                del occupied[position]


def _fits(requested: Shape, shape: Shape) -> bool:
    return (
        requested.members <= shape.members
        and requested.per_member.fits_in(shape.per_member)
        and requested.adjacency in {Adjacency.NONE, shape.adjacency}
    ) or (
        requested.members == 1
        and shape.members == 1
        and requested.per_member.fits_in(shape.per_member)
    )


@attrs.frozen
class Result:
    """Metrics of one replay; times in ms.

    Attributes
    ----------
    slowdowns : dict
        Mean ratio of completion time to run time, by job class.
    fragmentation : float
        Time-weighted, see `docs/measures.md`.
    wasted_ratio : float
        Ratio of lost accelerator time to that of completed work.
    duplicate_runs : int
        Number of non-idempotent requests that were started more than once.
    false_not_run : int
        Number of requests reported as not run although they were started.
    """

    completions: tuple[int, ...]
    short_completions: tuple[int, ...]
    lower_bound_ms: float
    slowdowns: dict[str, float]
    fragmentation: float
    utilisation: float
    claims: int
    claims_in_time: int
    preemptions: int
    wasted_ratio: float
    work_ms: int
    partial_gangs: int
    duplicate_runs: int
    false_not_run: int
    refused: int
    failed: int
    unfinished: int
    events: int


@attrs.define
class UsageMeter:
    """Integrates fragmentation and utilisation over time."""

    shapes: tuple[tuple[Shape, float], ...]
    last_ms: int = 0
    fragmentation: float = 0.0
    used_share_ms: float = 0.0
    observed_ms: int = 0

    def advance(self, simulation: SimulatedCluster) -> None:
        """Integrate the current state over the time since the last call."""
        if simulation.now_ms > HORIZON_MS:
            return
        elapsed_ms = simulation.now_ms - self.last_ms
        self.last_ms = simulation.now_ms
        self.observed_ms += elapsed_ms
        self.fragmentation += elapsed_ms * fragmentation_of(
            simulation.cluster, self.shapes
        )
        total = sum(w.info.capacity.accelerators for w in simulation.workers.values())
        free = sum(r.free.accelerators for r in simulation.cluster.allocations.values())
        self.used_share_ms += elapsed_ms * (total - free) / total


def declared_shapes(classes: tuple[JobClass, ...]) -> tuple[tuple[Shape, float], ...]:
    """Return the multi-accelerator shapes with their shares of the work."""
    shares: dict[Shape, float] = {}
    for job in classes:
        if job.shape.total.accelerators > 1:
            shares[job.shape] = shares.get(job.shape, 0.0) + job.share
    total = sum(shares.values())
    return tuple((shape, share / total) for shape, share in shares.items())


def fragmentation_of(
    cluster: ClusterState, shapes: tuple[tuple[Shape, float], ...]
) -> float:
    """Return the current fragmentation of the free accelerators, 0 to 1."""
    free = sum(
        allocation.free.accelerators for allocation in cluster.allocations.values()
    )
    total = 0.0
    for shape, share in shapes:
        ideal = min(
            free // shape.total.accelerators, _capacity_for(cluster, shape, True)
        )
        if ideal:
            total += share * (1 - _capacity_for(cluster, shape, False) / ideal)
    return total


def _capacity_for(cluster: ClusterState, shape: Shape, idle: bool) -> int:
    """Return how many of a shape fit on the fleet, idle or as it is now."""
    units: dict[str, int] = {}
    for name, allocation in cluster.allocations.items():
        info = cluster.workers[name].info
        free = info.capacity.accelerators if idle else allocation.free.accelerators
        unit = {
            Adjacency.NONE: "",
            Adjacency.WORKER: name,
            Adjacency.RACK: info.rack,
            Adjacency.FAILURE_DOMAIN: info.failure_domain,
        }[shape.adjacency]
        count = free // shape.per_member.accelerators
        units[unit] = units.get(unit, 0) + count
    return sum(count // shape.members for count in units.values())


def run(trace: Trace, policy: DefaultPolicy) -> Result:
    """Replay a trace under a policy."""
    simulation = SimulatedCluster(ClusterState(policy=policy))
    simulation.apply(ChangeConfiguration(0, trace.deployment.configuration, "bench"))
    for info in trace.workers:
        simulation.announce(info)
    for outage in trace.outages:
        simulation.schedule(outage.at_ms, Fail(outage.worker, outage.down_ms))
    for fault in trace.faults:
        simulation.schedule(fault.at_ms, SetFaulty(fault.worker, True))
        simulation.schedule(
            fault.at_ms + fault.duration_ms, SetFaulty(fault.worker, False)
        )
    for wave in trace.cancellations:
        command = CancelRequests(wave.workspace, job_class=wave.job_class)
        simulation.schedule(wave.at_ms, Apply(command))
    return _Replay(trace, simulation).execute()


@attrs.define
class _Replay:
    trace: Trace
    simulation: SimulatedCluster
    claims: dict[str, int] = attrs.Factory(dict)
    accepted: dict[str, Arrival] = attrs.Factory(dict)
    refused: int = 0
    events: int = 0

    def execute(self) -> Result:
        deployment = self.trace.deployment
        workspaces = deployment.configuration.workspaces
        ledger = GuaranteeLedger({w.name: list(w.guarantees) for w in workspaces})
        meter = UsageMeter(declared_shapes(deployment.classes))
        arrivals = iter(self.trace.arrivals)
        next_arrival = next(arrivals, None)
        outstanding: dict[str, str] = {}
        while next_arrival is not None or (self.simulation.events and outstanding):
            simulation = self.simulation
            if simulation.now_ms > RUN_LIMIT_MS:
                break
            next_ms = simulation.events[0][0] if simulation.events else RUN_LIMIT_MS
            if next_arrival is not None and next_arrival.at_ms <= next_ms:
                simulation.now_ms = next_arrival.at_ms
                meter.advance(simulation)
                self._submit(next_arrival, ledger, outstanding)
                next_arrival = next(arrivals, None)
            else:
                simulation.now_ms = next_ms
                meter.advance(simulation)
                simulation.step()
            self.events += 1
            self._process_ended(ledger, outstanding)
        return self._result(meter, outstanding)

    def _submit(
        self, arrival: Arrival, ledger: GuaranteeLedger, outstanding: dict[str, str]
    ) -> None:
        simulation = self.simulation
        simulation.run_ms[arrival.request_id] = arrival.run_ms
        if arrival.workspace not in ledger.shapes:
            return
        command = SubmitRequest(arrival.request_id, arrival.workspace, arrival.spec)
        if type(simulation.apply(command)) is not RequestAccepted:
            self.refused += 1
            return
        self.accepted[arrival.request_id] = arrival
        outstanding[arrival.request_id] = arrival.workspace
        if ledger.record_arrival(arrival):
            self.claims[arrival.request_id] = arrival.at_ms

    def _process_ended(
        self, ledger: GuaranteeLedger, outstanding: dict[str, str]
    ) -> None:
        for request_id in self.simulation.pop_ended():
            workspace = outstanding.pop(request_id, None)
            if workspace is not None:
                ledger.record_end(workspace, request_id)

    def _result(self, meter: UsageMeter, outstanding: dict[str, str]) -> Result:
        requests = self.simulation.cluster.requests
        completed = [
            requests[i]
            for i in self.accepted
            if i in requests and _completed(requests[i])
        ]
        short_names = {job.name for job in _short_classes(self.trace)}
        times = {r.id: _completion_ms(r) for r in completed}
        starts = self.simulation.starts
        work_ms = sum(self._accelerator_ms(r) for r in completed if _ended_in_time(r))
        return Result(
            completions=tuple(times.values()),
            short_completions=tuple(
                times[r.id] for r in completed if r.spec.job_class in short_names
            ),
            lower_bound_ms=_lower_bound_ms(
                [self.accepted[r.id] for r in completed], len(self.trace.workers) * 8
            ),
            slowdowns=_slowdowns(completed, self.accepted),
            fragmentation=meter.fragmentation / max(1, meter.observed_ms),
            utilisation=meter.used_share_ms / max(1, meter.observed_ms),
            claims=len(self._counted_claims()),
            claims_in_time=sum(self._counted_claims().values()),
            preemptions=self.simulation.preemptions,
            wasted_ratio=self.simulation.wasted_ms / max(1, work_ms),
            work_ms=work_ms,
            partial_gangs=self.simulation.partial_gangs,
            duplicate_runs=sum(
                starts.get(r.id, 0) > 1
                for r in requests.values()
                if not r.spec.idempotent
            ),
            false_not_run=sum(
                r.outcome is not None
                and r.outcome.outcome is Outcome.NOT_RUN
                and starts.get(r.id, 0) > 0
                for r in requests.values()
            ),
            refused=self.refused,
            failed=sum(
                r.outcome is not None and r.outcome.outcome is Outcome.FAILED
                for r in requests.values()
            ),
            unfinished=len(outstanding),
            events=self.events,
        )

    def _counted_claims(self) -> dict[str, bool]:
        """Return for each claim whether it started in time.

        Omits claims that ended within the limit without a start, such as
        cancelled ones.
        """
        counted: dict[str, bool] = {}
        for request_id, at_ms in self.claims.items():
            request = self.simulation.cluster.requests[request_id]
            started_ms = request.started_at_ms
            in_time = started_ms is not None and started_ms - at_ms <= CLAIM_LIMIT_MS
            ended_ms = request.outcome.at_ms if request.outcome else RUN_LIMIT_MS
            if in_time or ended_ms - at_ms > CLAIM_LIMIT_MS:
                counted[request_id] = in_time
        return counted

    def _accelerator_ms(self, request: Request) -> int:
        run_ms = self.accepted[request.id].run_ms
        return run_ms * max(1, request.spec.shape.total.accelerators)


def _short_classes(trace: Trace) -> list[JobClass]:
    rush = trace.deployment.rush
    classes = [*trace.deployment.classes, *([rush] if rush else [])]
    return [job for job in classes if job.short]


def _completed(request: Request) -> bool:
    outcome = request.outcome
    return outcome is not None and outcome.outcome is Outcome.COMPLETED


def _ended_in_time(request: Request) -> bool:
    return request.outcome is not None and request.outcome.at_ms <= HORIZON_MS


def _completion_ms(request: Request) -> int:
    return (request.outcome.at_ms if request.outcome else 0) - request.accepted_at_ms


def _slowdowns(
    completed: list[Request], accepted: dict[str, Arrival]
) -> dict[str, float]:
    values: dict[str, list[float]] = {}
    for request in completed:
        slowdown = _completion_ms(request) / accepted[request.id].run_ms
        values.setdefault(request.spec.job_class, []).append(slowdown)
    return {
        name: sum(class_slowdowns) / len(class_slowdowns)
        for name, class_slowdowns in values.items()
    }


def _lower_bound_ms(arrivals: list[Arrival], accelerators: int) -> float:
    """Return a lower bound of the mean completion time over all schedules.

    The larger of two bounds: the mean run time, and the mean completion time
    of shortest-remaining-work-first on one machine as fast as all
    accelerators together, on which any job may use the whole machine.
    """
    if not arrivals:
        return 0.0
    run_ms = sum(a.run_ms for a in arrivals) / len(arrivals)
    flow_ms, now_ms = 0.0, 0.0
    heap: list[tuple[float, int]] = []
    for arrival in (*arrivals, None):
        next_arrival_ms = arrival.at_ms if arrival else float("inf")
        while heap and now_ms < next_arrival_ms:
            remaining_ms, at_ms = heapq.heappop(heap)
            if now_ms + remaining_ms <= next_arrival_ms:
                now_ms += remaining_ms
                flow_ms += now_ms - at_ms
            else:
                heapq.heappush(heap, (remaining_ms - (next_arrival_ms - now_ms), at_ms))
                now_ms = next_arrival_ms
        if arrival:
            now_ms = max(now_ms, next_arrival_ms)
            accelerator_count = max(1, arrival.spec.shape.total.accelerators)
            heapq.heappush(
                heap, (arrival.run_ms * accelerator_count / accelerators, arrival.at_ms)
            )
    return max(run_ms, flow_ms / len(arrivals))
