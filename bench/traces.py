"""Seeded traces of arrivals and disturbances for both deployments."""

import random

import attrs

from crocuswell_core.cluster.configuration import Configuration, Preset, Workspace
from crocuswell_core.cluster.records import JobSpec, WorkerInfo
from crocuswell_core.cluster.resources import Adjacency, Resources, Shape

MINUTE_MS = 60_000
HORIZON_MS = 120 * MINUTE_MS

# Mean share of the accelerators that the arrivals request.
LOAD = 0.8


@attrs.frozen
class Arrival:
    """A request with its arrival time and actual run time in ms."""

    at_ms: int
    request_id: str
    workspace: str
    spec: JobSpec
    run_ms: int


@attrs.frozen
class Cancellation:
    """Cancellation of all requests of a job class in a workspace."""

    at_ms: int
    workspace: str
    job_class: str


@attrs.frozen
class Outage:
    """A period in which a worker does not respond."""

    at_ms: int
    worker: str
    down_ms: int


@attrs.frozen
class Fault:
    """A period in which a worker looks healthy but fails every task."""

    at_ms: int
    worker: str
    duration_ms: int


@attrs.frozen
class JobClass:
    """A job class of a deployment.

    Attributes
    ----------
    share : float
        Share of the requested accelerator time.
    run_ms : tuple of int
        Shortest and longest actual run time in ms.
    short : bool
        Whether its jobs count as short work in the metrics.
    burst : int
        Number of jobs that arrive together; 1 for single arrivals.
    idempotent, urgent : float
        Probability that a job is idempotent or urgent.
    """

    name: str
    shape: Shape
    share: float
    run_ms: tuple[int, int]
    idempotent: float = 1.0
    checkpoint_ms: int | None = None
    urgent: float = 0.0
    short: bool = False
    burst: int = 1


@attrs.frozen
class Deployment:
    """A deployment: its workers, configuration and job classes.

    Attributes
    ----------
    capacity : Resources
        Capacity of each worker.
    failure_domains : int
        Number of failure domains.
    rush : JobClass or None
        Job class that arrives once, as one large burst within a minute.
    """

    name: str
    capacity: Resources
    failure_domains: int
    configuration: Configuration
    classes: tuple[JobClass, ...]
    rush: JobClass | None = None


@attrs.frozen
class Trace:
    """Input of one replay."""

    deployment: Deployment
    workers: tuple[WorkerInfo, ...]
    arrivals: tuple[Arrival, ...]
    cancellations: tuple[Cancellation, ...]
    outages: tuple[Outage, ...]
    faults: tuple[Fault, ...]


def _shape(members: int, accelerators: int, adjacency: Adjacency) -> Shape:
    per_member = Resources(accelerators, 2 * accelerators, 4_096 * accelerators)
    return Shape(members, per_member, adjacency)


# Shapes of one member, by its number of accelerators.
ONE = _shape(1, 1, Adjacency.NONE)
TWO = _shape(1, 2, Adjacency.WORKER)
FOUR = _shape(1, 4, Adjacency.WORKER)
WHOLE_WORKER = _shape(1, 8, Adjacency.WORKER)
RACK_16 = _shape(4, 4, Adjacency.RACK)

BRACKETWORKS = Deployment(
    "Bracketworks",
    Resources(8, 128, 262_144),
    3,
    Configuration(
        workspaces=(
            Workspace("shelving", (RACK_16,), weight=2, queue_limit=400),
            Workspace("kitchens", (WHOLE_WORKER, FOUR), weight=2, queue_limit=400),
            Workspace("stairs", (FOUR, ONE, ONE), queue_limit=400),
            Workspace("trade", (TWO, ONE, ONE), queue_limit=400),
        ),
        presets=(Preset("ordinary", 2.0, 1.0),),
    ),
    (
        JobClass("tables_rack", RACK_16, 0.12, (900_000, 2_400_000), 0.5, 900),
        JobClass("tables_worker", WHOLE_WORKER, 0.22, (600_000, 2_400_000), 0.5, 900),
        JobClass("tables_half", FOUR, 0.20, (600_000, 1_800_000), 0.5, 900),
        JobClass("pricing", ONE, 0.14, (4_000, 60_000), 0.8, None, 0.1, short=True),
        JobClass("cut_list", TWO, 0.32, (60_000, 300_000), 0.3, 400, burst=20),
    ),
)

SKUPNI_TISK = Deployment(
    "Skupni Tisk",
    Resources(8, 32, 65_536),
    4,
    Configuration(
        workspaces=(
            Workspace("theatres", (FOUR, ONE, ONE), weight=1, queue_limit=400),
            Workspace("stadiums", (WHOLE_WORKER, FOUR), weight=2, queue_limit=400),
            Workspace("festivals", (FOUR, TWO), weight=1, queue_limit=400),
            Workspace("gates", (TWO, ONE, ONE, ONE), weight=1, queue_limit=400),
        ),
        presets=(Preset("ordinary", 1.0, 2.0),),
    ),
    (
        JobClass("seat_map", ONE, 0.12, (4_000, 40_000), 0.9, None, 0.1, short=True),
        JobClass("layout", TWO, 0.18, (10_000, 90_000), 0.9, 300, 0.0, short=True),
        JobClass("barcodes", ONE, 0.25, (60_000, 400_000), 0.0, 600, burst=12),
        JobClass("stadium", WHOLE_WORKER, 0.20, (300_000, 1_200_000), 0.5, 900),
        JobClass("poster", FOUR, 0.25, (200_000, 900_000), 0.5, 900),
    ),
    JobClass("rush", ONE, 0.0, (5_000, 30_000), 1.0, None, short=True, burst=300),
)
DEPLOYMENTS = (BRACKETWORKS, SKUPNI_TISK)


def make_trace(
    deployment: Deployment, seed: int, load: float = LOAD, disturbed: bool = True
) -> Trace:
    """Return the trace of a deployment for a seed.

    Parameters
    ----------
    load : float
        Ratio of requested to available accelerator time, without the rush.
    disturbed : bool
        Whether the trace has outages, faults, cancellations, a rush, and
        requests that no worker can hold.
    """
    rng = random.Random(f"{deployment.name}/{seed}")
    workers = make_workers(deployment)
    total_ms = 8 * len(workers) * HORIZON_MS * load
    estimate_bias = {
        (workspace.name, job.name): rng.choice([0.4, 0.7, 1.0, 1.5, 3.0])
        for workspace in deployment.configuration.workspaces
        for job in (*deployment.classes, deployment.rush)
        if job is not None
    }
    arrivals: list[Arrival] = []
    for job in deployment.classes:
        arrivals += _arrivals_of(
            rng, deployment, job, total_ms * job.share, estimate_bias
        )
    if deployment.rush is not None and disturbed:
        arrivals += _rush_arrivals(rng, deployment.rush, estimate_bias)
    if disturbed:
        arrivals += _infeasible_arrivals(rng)
    arrivals.sort(key=lambda arrival: (arrival.at_ms, arrival.request_id))
    return Trace(
        deployment,
        workers,
        tuple(arrivals),
        _cancellations(rng, deployment) if disturbed else (),
        _outages(rng, workers) if disturbed else (),
        _faults(rng, workers) if disturbed else (),
    )


def make_workers(deployment: Deployment, count: int = 10) -> tuple[WorkerInfo, ...]:
    """Return the workers, 3 per rack, racks spread over failure domains."""
    return tuple(
        WorkerInfo(
            f"w{number:03}",
            f"r{number // 3:03}",
            f"fd{number // 3 % deployment.failure_domains}",
            deployment.capacity,
        )
        for number in range(count)
    )


def _arrivals_of(
    rng: random.Random,
    deployment: Deployment,
    job: JobClass,
    remaining_work_ms: float,
    estimate_bias: dict[tuple[str, str], float],
) -> list[Arrival]:
    names = [w.name for w in deployment.configuration.workspaces]
    arrivals: list[Arrival] = []
    burst = 0
    while remaining_work_ms > 0:
        burst += 1
        start_ms = rng.randrange(HORIZON_MS)
        workspace = rng.choice(names)
        for number in range(job.burst):
            at_ms = start_ms + number * rng.randrange(1, 500)
            request_id = f"{job.name}-{burst}-{number}"
            arrival = _arrival(rng, job, at_ms, request_id, workspace, estimate_bias)
            arrivals.append(arrival)
            remaining_work_ms -= arrival.run_ms * job.shape.total.accelerators
    return arrivals


def _arrival(
    rng: random.Random,
    job: JobClass,
    at_ms: int,
    request_id: str,
    workspace: str,
    estimate_bias: dict[tuple[str, str], float],
) -> Arrival:
    run_ms = round(rng.triangular(*job.run_ms, job.run_ms[0]))
    estimate_factor = estimate_bias[workspace, job.name] * rng.lognormvariate(0, 0.3)
    idempotent = rng.random() < job.idempotent
    spec = JobSpec(
        job_class=job.name,
        shape=job.shape,
        run_time_ms=max(1, round(run_ms * estimate_factor)),
        idempotent=idempotent,
        checkpoint_ms=job.checkpoint_ms,
        urgent=rng.random() < job.urgent,
    )
    return Arrival(at_ms, request_id, workspace, spec, run_ms)


def _rush_arrivals(
    rng: random.Random, job: JobClass, estimate_bias: dict[tuple[str, str], float]
) -> list[Arrival]:
    start_ms = rng.randrange(HORIZON_MS // 4, HORIZON_MS // 2)
    return [
        _arrival(
            rng,
            job,
            start_ms + rng.randrange(60_000),
            f"rush-{number}",
            "festivals",
            estimate_bias,
        )
        for number in range(job.burst)
    ]


def _infeasible_arrivals(rng: random.Random) -> list[Arrival]:
    """Return jobs that exceed the capacity of the fleet."""
    shapes = [
        Shape(1, Resources(16, 8, 4_096)),
        Shape(4, Resources(8, 8, 4_096), Adjacency.RACK),
        Shape(1, Resources(1, 1_000, 4_096)),
    ]
    return [
        Arrival(
            rng.randrange(HORIZON_MS),
            f"never-{number}",
            rng.choice(["theatres", "stadiums", "shelving", "trade"]),
            JobSpec(job_class="never", shape=rng.choice(shapes)),
            1_000,
        )
        for number in range(6)
    ]


def _cancellations(
    rng: random.Random, deployment: Deployment
) -> tuple[Cancellation, ...]:
    bursts = [job.name for job in deployment.classes if job.burst > 1]
    names = [w.name for w in deployment.configuration.workspaces]
    return tuple(
        Cancellation(rng.randrange(HORIZON_MS), rng.choice(names), rng.choice(bursts))
        for _ in range(3)
    )


def _outages(rng: random.Random, workers: tuple[WorkerInfo, ...]) -> tuple[Outage, ...]:
    return tuple(
        Outage(
            rng.randrange(HORIZON_MS),
            rng.choice(workers).worker,
            rng.choice([5_000, 90_000, 300_000]),
        )
        for _ in range(3)
    )


def _faults(rng: random.Random, workers: tuple[WorkerInfo, ...]) -> tuple[Fault, ...]:
    at_ms = rng.randrange(HORIZON_MS * 3 // 4)
    return (Fault(at_ms, rng.choice(workers).worker, 15 * MINUTE_MS),)
