"""Random commands and faults; the invariants hold after each event."""

import random

import pytest

from bench.fake_workers import Apply, Fail, SetFaulty, SimulatedCluster
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    CancelRequests,
    ChangeConfiguration,
    SetWorkerMode,
    SubmitRequest,
    SwitchPreset,
)
from crocuswell_core.cluster.configuration import Configuration, Preset, Workspace
from crocuswell_core.cluster.invariants import check_all
from crocuswell_core.cluster.records import (
    JobSpec,
    Outcome,
    RequestPhase,
    WorkerInfo,
    WorkerMode,
)
from crocuswell_core.cluster.resources import Adjacency, Resources, Shape

CAPACITY = Resources(8, 32, 65_536)
PRESETS = (
    Preset("ordinary"),
    Preset("peak", reserve_share=0.2),
    Preset("closed", borrowing=False),
    Preset("maintenance", placement=False),
)
HOUR_MS = 3_600_000


def random_shape(rng: random.Random) -> Shape:
    return rng.choice(
        [
            Shape(1, Resources(1, 2, 1_024)),
            Shape(1, Resources(0, 8, 30_000)),
            Shape(1, Resources(4, 4, 8_192), Adjacency.WORKER),
            Shape(4, Resources(2, 2, 1_024), Adjacency.RACK),
            Shape(5, Resources(1, 1, 256)),
            Shape(2, Resources(8, 8, 8_192), Adjacency.RACK),
        ]
    )


def random_configuration(rng: random.Random) -> Configuration:
    workspaces = tuple(
        Workspace(
            name,
            guarantees=tuple(random_shape(rng) for _ in range(rng.randint(0, 2))),
            weight=rng.randint(1, 3),
            queue_limit=20,
        )
        for name in ("a", "b", "c")
    )
    return Configuration(workspaces, PRESETS, rng.choice(PRESETS).name)


def random_spec(rng: random.Random) -> JobSpec:
    return JobSpec(
        job_class=rng.choice(["long", "short"]),
        shape=random_shape(rng),
        run_time_ms=rng.choice([500, 20_000, 200_000]),
        idempotent=rng.random() < 0.6,
        checkpoint_ms=rng.choice([None, 300, 1_500, 8_000]),
        urgent=rng.random() < 0.1,
        deadline_ms=rng.choice([None, None, 30_000]),
    )


def add_arrivals(simulation: SimulatedCluster, rng: random.Random, count: int) -> None:
    for number in range(count):
        request_id = f"q{number}"
        spec = random_spec(rng)
        simulation.run_ms[request_id] = max(
            1, round(spec.run_time_ms * rng.uniform(0.2, 4))
        )
        command = SubmitRequest(request_id, rng.choice("abc"), spec)
        simulation.schedule(rng.randrange(600_000), Apply(command))


def add_faults(simulation: SimulatedCluster, rng: random.Random) -> None:
    names = list(simulation.workers)
    modes = [WorkerMode.ACTIVE, WorkerMode.ACTIVE, WorkerMode.DRAINING]
    for _ in range(12):
        worker = rng.choice(names)
        down_ms = rng.choice([1_000, 9_000, 60_000])
        simulation.schedule(rng.randrange(600_000), Fail(worker, down_ms))
        mode = SetWorkerMode(rng.choice(names), rng.choice(modes))
        simulation.schedule(rng.randrange(600_000), Apply(mode))
        cancel = CancelRequests(rng.choice("abc"), job_class=rng.choice(["", "long"]))
        if rng.random() < 0.4:
            simulation.schedule(rng.randrange(600_000), Apply(cancel))
    fault_start_ms = rng.randrange(300_000)
    simulation.schedule(fault_start_ms, SetFaulty(names[0], True))
    simulation.schedule(fault_start_ms + 200_000, SetFaulty(names[0], False))


def apply_random_changes(simulation: SimulatedCluster, rng: random.Random) -> None:
    number = simulation.cluster.number
    if rng.random() < 0.01:
        changed = random_configuration(rng)
        simulation.apply(ChangeConfiguration(number, changed, "test"))
    elif rng.random() < 0.01:
        simulation.apply(SwitchPreset(number, rng.choice(PRESETS).name, "test"))


def build_simulation(rng: random.Random) -> SimulatedCluster:
    simulation = SimulatedCluster(ClusterState())
    simulation.apply(ChangeConfiguration(0, random_configuration(rng), "test"))
    for number in range(7):
        info = WorkerInfo(f"w{number}", f"r{number // 3}", "fd", CAPACITY)
        simulation.announce(info)
    return simulation


@pytest.mark.parametrize("seed", range(12))
def test_invariants_hold_after_every_event(seed: int) -> None:
    """Guards against wrong accounting, broken guarantees and double starts.

    Random jobs, worker faults and configuration changes run against fake
    workers.
    """
    rng = random.Random(seed)
    simulation = build_simulation(rng)
    add_arrivals(simulation, rng, 150)
    add_faults(simulation, rng)
    while simulation.events and simulation.now_ms < 600_000:
        simulation.step()
        apply_random_changes(simulation, rng)
        check_all(simulation.cluster)
    run_remaining(simulation)
    for request in simulation.cluster.requests.values():
        check_outcome(simulation, request.id)


def run_remaining(simulation: SimulatedCluster) -> None:
    """Run the remaining requests to their ends.

    All workers are active, and no preset or guarantee holds requests back.
    """
    ordinary = Configuration(tuple(Workspace(n) for n in "abc"))
    simulation.apply(ChangeConfiguration(simulation.cluster.number, ordinary, "test"))
    for name in simulation.workers:
        simulation.apply(SetWorkerMode(name, WorkerMode.ACTIVE))
    end_ms = simulation.now_ms + HOUR_MS
    while simulation.events and simulation.now_ms < end_ms:
        simulation.step()
        check_all(simulation.cluster)


def check_outcome(simulation: SimulatedCluster, request_id: str) -> None:
    request = simulation.cluster.requests[request_id]
    assert request.phase is RequestPhase.DONE, request
    assert request.outcome is not None
    starts = simulation.starts.get(request_id, 0)
    if request.outcome.outcome is Outcome.NOT_RUN:
        assert not starts, "reported as not run, but it was started"
    if not request.spec.idempotent:
        assert starts <= 1, "a non-idempotent request ran twice"


@pytest.mark.parametrize("seed", range(100, 106))
def test_a_rebuilt_index_leads_to_the_same_decisions(seed: int) -> None:
    """Guards against hosts that diverge after installing a snapshot.

    The scheduling index is not part of a snapshot and is rebuilt from it.
    """
    simulations = []
    for _ in range(2):
        rng = random.Random(seed)
        simulation = build_simulation(rng)
        add_arrivals(simulation, rng, 120)
        add_faults(simulation, rng)
        simulations.append(simulation)
    original, rebuilt = simulations
    while original.events and original.now_ms < 300_000:
        original.step()
        rebuilt.cluster.index = None
        rebuilt.step()
        assert original.cluster.attempts == rebuilt.cluster.attempts
    assert original.cluster.requests == rebuilt.cluster.requests
    assert original.cluster.plan == rebuilt.cluster.plan
