"""One run of a trace under one policy, with what is measured."""

import heapq

import attrs

from bench.fake_workers import Apply, Fail, SetFaulty, World
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

# Time in ms from claim to start that a guarantee promises.
CLAIM_LIMIT_MS = 2_200

# A run ends at this time even if work is left.
LIMIT_MS = 4 * HORIZON_MS


@attrs.define
class Ledger:
    """Which guaranteed shapes a workspace's outstanding requests occupy.

    Independent of the policy: a request is a guaranteed claim if it and
    all outstanding requests of its workspace have a shape of their own.
    """

    shapes: dict[str, list[Shape]]
    taken: dict[str, dict[int, str]] = attrs.Factory(dict)
    outside: dict[str, set[str]] = attrs.Factory(dict)

    def arrive(self, arrival: Arrival) -> bool:
        """Count an accepted request; tell whether it is a claim."""
        taken = self.taken.setdefault(arrival.workspace, {})
        outside = self.outside.setdefault(arrival.workspace, set())
        wanted = arrival.spec.shape
        shapes = self.shapes[arrival.workspace]
        fitting = [
            (shape.total.accelerators, position)
            for position, shape in enumerate(shapes)
            if position not in taken and _fits(wanted, shape)
        ]
        if not fitting or outside:
            outside.add(arrival.request_id)
            return False
        taken[min(fitting)[1]] = arrival.request_id
        return True

    def end(self, workspace: str, request_id: str) -> None:
        """Count the end of a request."""
        self.outside.get(workspace, set()).discard(request_id)
        taken = self.taken.get(workspace, {})
        for position, taker in list(taken.items()):
            if taker == request_id:
                del taken[position]


def _fits(wanted: Shape, shape: Shape) -> bool:
    return (
        wanted.members <= shape.members
        and wanted.per_member.fits_in(shape.per_member)
        and wanted.adjacency in {Adjacency.NONE, shape.adjacency}
    ) or (
        wanted.members == 1
        and shape.members == 1
        and wanted.per_member.fits_in(shape.per_member)
    )


@attrs.frozen
class Result:
    """What one run gave; times in ms.

    Attributes
    ----------
    slowdowns : dict
        Mean of completion over run time by class.
    fragmentation : float
        Time-weighted, see `docs/measures.md`.
    wasted : float
        Accelerator time thrown away over that of completed work.
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
    wasted: float
    work_ms: int
    partial_gangs: int
    doubled: int
    false_not_run: int
    refused: int
    failed: int
    unfinished: int
    events: int


@attrs.define
class Meter:
    """Integrates over time."""

    shapes: tuple[tuple[Shape, float], ...]
    last_ms: int = 0
    fragmentation: float = 0.0
    used: float = 0.0
    span_ms: int = 0

    def advance(self, world: World) -> None:
        """Add the time since the last call with the state it had."""
        if world.now_ms > HORIZON_MS:
            return
        passed_ms = world.now_ms - self.last_ms
        self.last_ms = world.now_ms
        self.span_ms += passed_ms
        self.fragmentation += passed_ms * measure(world.cluster, self.shapes)
        total = sum(w.info.capacity.accelerators for w in world.workers.values())
        free = sum(r.free.accelerators for r in world.cluster.allocations.values())
        self.used += passed_ms * (total - free) / total


def declared_shapes(classes: tuple[JobClass, ...]) -> tuple[tuple[Shape, float], ...]:
    """Return the shapes of several accelerators with their share of work."""
    shares: dict[Shape, float] = {}
    for job in classes:
        if job.shape.total.accelerators > 1:
            shares[job.shape] = shares.get(job.shape, 0.0) + job.share
    total = sum(shares.values())
    return tuple((shape, share / total) for shape, share in shares.items())


def measure(cluster: ClusterState, shapes: tuple[tuple[Shape, float], ...]) -> float:
    """Return the fragmentation of the free accelerators now, 0 to 1."""
    free = sum(
        allocation.free.accelerators for allocation in cluster.allocations.values()
    )
    total = 0.0
    for shape, share in shapes:
        ideal = min(free // shape.total.accelerators, _held(cluster, shape, True))
        if ideal:
            total += share * (1 - _held(cluster, shape, False) / ideal)
    return total


def _held(cluster: ClusterState, shape: Shape, idle: bool) -> int:
    """Return how many of a shape the fleet could hold, idle or as it is."""
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
    world = World(ClusterState(policy=policy))
    world.apply(ChangeConfiguration(0, trace.deployment.configuration, "bench"))
    for info in trace.workers:
        world.announce(info)
    for outage in trace.outages:
        world.at(outage.at_ms, Fail(outage.worker, outage.down_ms))
    for fault in trace.faults:
        world.at(fault.at_ms, SetFaulty(fault.worker, True))
        world.at(fault.at_ms + fault.for_ms, SetFaulty(fault.worker, False))
    for wave in trace.cancellations:
        command = CancelRequests(wave.workspace, job_class=wave.job_class)
        world.at(wave.at_ms, Apply(command))
    return _Run(trace, world).go()


@attrs.define
class _Run:
    trace: Trace
    world: World
    claims: dict[str, int] = attrs.Factory(dict)
    accepted: dict[str, Arrival] = attrs.Factory(dict)
    refused: int = 0
    events: int = 0

    def go(self) -> Result:
        deployment = self.trace.deployment
        workspaces = deployment.configuration.workspaces
        ledger = Ledger({w.name: list(w.guarantees) for w in workspaces})
        meter = Meter(declared_shapes(deployment.classes))
        arrivals = iter(self.trace.arrivals)
        coming = next(arrivals, None)
        outstanding: dict[str, str] = {}
        while coming is not None or (self.world.events and outstanding):
            world = self.world
            if world.now_ms > LIMIT_MS:
                break
            next_ms = world.events[0][0] if world.events else LIMIT_MS
            if coming is not None and coming.at_ms <= next_ms:
                world.now_ms = coming.at_ms
                meter.advance(world)
                self._submit(coming, ledger, outstanding)
                coming = next(arrivals, None)
            else:
                world.now_ms = next_ms
                meter.advance(world)
                world.step()
            self.events += 1
            self._notice_ends(ledger, outstanding)
        return self._result(meter, outstanding)

    def _submit(
        self, arrival: Arrival, ledger: Ledger, outstanding: dict[str, str]
    ) -> None:
        world = self.world
        world.run_ms[arrival.request_id] = arrival.run_ms
        if arrival.workspace not in ledger.shapes:
            return
        command = SubmitRequest(arrival.request_id, arrival.workspace, arrival.spec)
        if type(world.apply(command)) is not RequestAccepted:
            self.refused += 1
            return
        self.accepted[arrival.request_id] = arrival
        outstanding[arrival.request_id] = arrival.workspace
        if ledger.arrive(arrival):
            self.claims[arrival.request_id] = arrival.at_ms

    def _notice_ends(self, ledger: Ledger, outstanding: dict[str, str]) -> None:
        for request_id in self.world.take_ended():
            workspace = outstanding.pop(request_id, None)
            if workspace is not None:
                ledger.end(workspace, request_id)

    def _result(self, meter: Meter, outstanding: dict[str, str]) -> Result:
        requests = self.world.cluster.requests
        done = [
            requests[i]
            for i in self.accepted
            if i in requests and _completed(requests[i])
        ]
        names = {job.name for job in _short_classes(self.trace)}
        times = {r.id: _completion_ms(r) for r in done}
        starts = self.world.starts
        work_ms = sum(self._area_ms(r) for r in done if _ended_in_time(r))
        return Result(
            completions=tuple(times.values()),
            short_completions=tuple(
                times[r.id] for r in done if r.spec.job_class in names
            ),
            lower_bound_ms=_lower_bound_ms(
                [self.accepted[r.id] for r in done], len(self.trace.workers) * 8
            ),
            slowdowns=_slowdowns(done, self.accepted),
            fragmentation=meter.fragmentation / max(1, meter.span_ms),
            utilisation=meter.used / max(1, meter.span_ms),
            claims=len(self._counted_claims()),
            claims_in_time=sum(self._counted_claims().values()),
            preemptions=self.world.preemptions,
            wasted=self.world.wasted_ms / max(1, work_ms),
            work_ms=work_ms,
            partial_gangs=self.world.partial_gangs,
            doubled=sum(
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

        A claim that its caller cancelled within the limit is left out.
        """
        counted: dict[str, bool] = {}
        for request_id, at_ms in self.claims.items():
            request = self.world.cluster.requests[request_id]
            started_ms = request.started_at_ms
            in_time = started_ms is not None and started_ms - at_ms <= CLAIM_LIMIT_MS
            ended_ms = request.outcome.at_ms if request.outcome else LIMIT_MS
            if in_time or ended_ms - at_ms > CLAIM_LIMIT_MS:
                counted[request_id] = in_time
        return counted

    def _area_ms(self, request: Request) -> int:
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


def _slowdowns(done: list[Request], accepted: dict[str, Arrival]) -> dict[str, float]:
    values: dict[str, list[float]] = {}
    for request in done:
        slowdown = _completion_ms(request) / accepted[request.id].run_ms
        values.setdefault(request.spec.job_class, []).append(slowdown)
    return {name: sum(found) / len(found) for name, found in values.items()}


def _lower_bound_ms(arrivals: list[Arrival], accelerators: int) -> float:
    """Return a mean completion time that no schedule can beat.

    No job ends sooner than its run time. And no schedule beats shortest
    remaining work first on one machine that does the work of all
    accelerators, to which any job may be spread. The larger one counts.
    """
    if not arrivals:
        return 0.0
    run_ms = sum(a.run_ms for a in arrivals) / len(arrivals)
    flow_ms, now_ms = 0.0, 0.0
    heap: list[tuple[float, int]] = []
    for arrival in (*arrivals, None):
        until_ms = arrival.at_ms if arrival else float("inf")
        while heap and now_ms < until_ms:
            rest_ms, at_ms = heapq.heappop(heap)
            if now_ms + rest_ms <= until_ms:
                now_ms += rest_ms
                flow_ms += now_ms - at_ms
            else:
                heapq.heappush(heap, (rest_ms - (until_ms - now_ms), at_ms))
                now_ms = until_ms
        if arrival:
            now_ms = max(now_ms, until_ms)
            size = max(1, arrival.spec.shape.total.accelerators)
            heapq.heappush(heap, (arrival.run_ms * size / accelerators, arrival.at_ms))
    return max(run_ms, flow_ms / len(arrivals))
