"""Guarantees, ordering, quarantine and preemption in the scheduler."""

import attrs
import pytest

from crocuswell_core.agent.agent_messages import StopTask, TaskUsage
from crocuswell_core.cluster.commands import (
    ChangeConfiguration,
    Refused,
    SetWorkerMode,
    SuspectWorker,
    TaskFailed,
    TaskFinished,
    TaskReserved,
    TaskStopped,
)
from crocuswell_core.cluster.configuration import Configuration, Preset, Workspace
from crocuswell_core.cluster.invariants import InvariantViolation, check_all
from crocuswell_core.cluster.records import (
    AttemptId,
    JobSpec,
    RequestPhase,
    WorkerMode,
)
from crocuswell_core.cluster.resources import NO_RESOURCES, Adjacency, Resources, Shape
from crocuswell_core.cluster.usage import check_usage
from crocuswell_core.policy.scheduling import explain_waiting
from crocuswell_core.runtime.errors import ErrorKind
from tests.clusters import Cluster, gang

FULL_WORKER = gang(1, 8, Adjacency.WORKER)
NON_PREEMPTIBLE = JobSpec(shape=gang(1, 8), idempotent=False)
PREEMPTIBLE = JobSpec(shape=gang(1, 8), idempotent=False, checkpoint_ms=1_500)
SLOW_CHECKPOINT = JobSpec(shape=gang(1, 8), idempotent=False, checkpoint_ms=1_501)
FULL_WORKER_JOB = JobSpec(shape=FULL_WORKER, idempotent=False)


def shared_cluster(
    workers: int = 2,
    guarantees: tuple[Shape, ...] = (FULL_WORKER,),
    preset: Preset | None = None,
    **workspace: object,
) -> Cluster:
    """Return a cluster with two workspaces.

    The workspace `owner` has guarantees and `other` has none.
    """
    cluster = Cluster()
    owner = attrs.evolve(Workspace("owner", guarantees), **workspace)
    presets = (preset or Preset("ordinary"),)
    configuration = Configuration((owner, Workspace("other")), presets, presets[0].name)
    cluster.apply(ChangeConfiguration(0, configuration, "test"))
    for number in range(1, workers + 1):
        cluster.announce(f"w{number}")
    cluster.effects.clear()
    return cluster


def active_requests(cluster: Cluster) -> list[str]:
    return [i.request_id for i in cluster.state.attempts]


@pytest.mark.parametrize(
    ("spec", "started"), [(NON_PREEMPTIBLE, 1), (SLOW_CHECKPOINT, 1), (PREEMPTIBLE, 2)]
)
def test_borrower_that_cannot_be_moved_in_time_avoids_planned_workers(
    spec: JobSpec, started: int
) -> None:
    """Guards against borrowers that block a guarantee they cannot vacate."""
    cluster = shared_cluster()
    cluster.submit("q1", spec, "other")
    cluster.submit("q2", spec, "other")
    assert len(active_requests(cluster)) == started
    check_all(cluster.state)


def test_claim_preempts_a_borrower_and_gets_its_worker() -> None:
    """Guards against a third job that takes resources freed for a claim.

    An urgent request of another workspace arrives while the borrower stops.
    """
    cluster = shared_cluster()
    cluster.submit("q1", PREEMPTIBLE, "other")
    cluster.submit("q2", PREEMPTIBLE, "other")
    cluster.orders()
    cluster.submit("claim", FULL_WORKER_JOB, "owner")
    [(worker, order)] = cluster.orders()
    assert type(order) is StopTask
    assert order.checkpoint_ms == 1_500
    cluster.submit("q3", attrs.evolve(PREEMPTIBLE, urgent=True), "other")
    cluster.report(worker, TaskStopped(order.attempt, 0, b"saved"))
    assert cluster.attempt("claim").members[0].worker == worker
    assert cluster.request(order.attempt.request_id).checkpoint == b"saved"
    check_all(cluster.state)


def test_claim_is_replanned_on_free_workers_instead_of_preempting() -> None:
    """Guards against preemption although other workers are free."""
    cluster = shared_cluster()
    cluster.submit("q1", PREEMPTIBLE, "other")
    cluster.submit("claim", FULL_WORKER_JOB, "owner")
    assert active_requests(cluster) == ["q1", "claim"]


def test_urgent_work_evicts_a_movable_claim_of_its_own_workspace() -> None:
    """Guards against urgent requests that wait for preemptible claims."""
    cluster = shared_cluster(workers=1)
    cluster.submit("q1", PREEMPTIBLE, "owner")
    cluster.submit("urgent", attrs.evolve(FULL_WORKER_JOB, urgent=True), "owner")
    cluster.report("w1", TaskStopped(AttemptId("q1", 1), 0, b"saved"))
    assert active_requests(cluster) == ["urgent"]


def test_borrowing_leaves_quota_for_own_guarantees() -> None:
    """Guards against claims that wait because borrowing used up the quota."""
    cluster = shared_cluster(workers=3, quota=Resources(16, 128, 262_144))
    for number in range(3):
        cluster.submit(
            f"q{number}", attrs.evolve(PREEMPTIBLE, shape=FULL_WORKER), "owner"
        )
    assert len(active_requests(cluster)) == 2
    check_all(cluster.state)


def test_gang_that_is_not_confirmed_is_placed_elsewhere() -> None:
    """Guards against a claim that waits for an unreachable agent."""
    pair = gang(2, 8)
    cluster = shared_cluster(workers=3, guarantees=(pair,))
    cluster.submit("q", attrs.evolve(FULL_WORKER_JOB, shape=pair), "owner")
    first, second = (m.worker for m in cluster.attempt("q").members)
    cluster.report(first, TaskReserved(AttemptId("q", 1), 0))
    cluster.advance(800)
    assert second not in [m.worker for m in cluster.attempt("q").members]
    assert cluster.attempt("q").id.epoch == 2
    check_all(cluster.state)


@pytest.mark.parametrize(
    ("preset", "reason"),
    [
        (Preset("closed", borrowing=False), "inside guarantees only"),
        (Preset("shut", placement=False), "places no new work"),
        (Preset("idle", reserve_share=0.8), "share of accelerators idle"),
    ],
)
def test_explanation_names_the_blocking_reason(preset: Preset, reason: str) -> None:
    """Guards against an explanation that omits the effect of the preset."""
    cluster = shared_cluster(workers=1, preset=preset)
    cluster.submit("q", attrs.evolve(PREEMPTIBLE, shape=gang(1, 2)), "other")
    assert reason in explain_waiting(cluster.state, cluster.request("q")).reason


def test_later_small_jobs_do_not_delay_a_reserved_start() -> None:
    """Guards against starvation of a large job by later small ones."""
    cluster = shared_cluster(workers=1, guarantees=())
    small = JobSpec(shape=gang(1, 4), run_time_ms=10_000)
    cluster.submit("first", small, "other")
    cluster.submit("large", attrs.evolve(NON_PREEMPTIBLE), "owner")
    cluster.submit("long", attrs.evolve(small, run_time_ms=20_000), "other")
    cluster.submit("short", attrs.evolve(small, run_time_ms=9_000), "other")
    assert active_requests(cluster) == ["first", "short"]
    waiting = explain_waiting(cluster.state, cluster.request("large"))
    assert waiting.expected_start_ms == cluster.now_ms + 10_000


def test_declared_run_time_is_corrected_by_what_was_observed() -> None:
    """Guards against estimates based on wrong declared run times."""
    cluster = shared_cluster(guarantees=())
    spec = JobSpec(shape=gang(1, 1), run_time_ms=1_000)
    for number in range(3):
        cluster.submit(f"q{number}", spec, "other")
        cluster.now_ms += 5_000
        worker = cluster.attempt(f"q{number}").members[0].worker
        cluster.report(worker, TaskFinished(AttemptId(f"q{number}", 1), 0, b"", ""))
    cluster.submit("q", spec, "other")
    assert cluster.attempt("q").expected_end_ms == cluster.now_ms + 5_000


def fail_on(cluster: Cluster, worker: str, request_id: str, spec: JobSpec) -> None:
    """Make a new request fail on a worker, with all others draining."""
    others = [w for w in cluster.state.workers if w != worker]
    for name in others:
        cluster.apply(SetWorkerMode(name, WorkerMode.DRAINING))
    cluster.submit(request_id, spec, "other")
    cluster.report(worker, TaskFailed(AttemptId(request_id, 1), 0))
    for name in others:
        cluster.apply(SetWorkerMode(name, WorkerMode.ACTIVE))


def test_failing_worker_is_quarantined_probed_and_returned() -> None:
    """Guards against a worker that reports as healthy but fails all jobs."""
    cluster = shared_cluster(workers=5, guarantees=())
    once = JobSpec(shape=gang(1, 1), idempotent=False)
    for number in range(6):
        fail_on(cluster, "w1", f"q{number}", once)
    assert cluster.state.workers["w1"].mode is WorkerMode.QUARANTINED
    for name in ("w2", "w3", "w4", "w5"):
        cluster.apply(SetWorkerMode(name, WorkerMode.DRAINING))
    cluster.submit("once", once, "other")
    probe = JobSpec(shape=gang(1, 1))
    for number in range(2):
        cluster.advance(30_000)
        cluster.submit(f"p{number}", probe, "other")
        assert cluster.attempt(f"p{number}").members[0].worker == "w1"
        assert cluster.request("once").phase is RequestPhase.QUEUED
        cluster.report("w1", TaskFinished(AttemptId(f"p{number}", 1), 0, b"", ""))
    assert cluster.state.workers["w1"].mode is WorkerMode.ACTIVE
    assert cluster.request("once").phase is RequestPhase.ACTIVE


def test_job_that_fails_everywhere_quarantines_no_worker() -> None:
    """Guards against a faulty job that gets all workers quarantined."""
    cluster = shared_cluster(workers=5, guarantees=())
    for number in range(8):
        cluster.submit(f"q{number}", JobSpec(shape=gang(1, 1)), "other")
        while cluster.request(f"q{number}").phase is not RequestPhase.DONE:
            attempt = cluster.attempt(f"q{number}")
            worker = attempt.members[0].worker
            cluster.report(worker, TaskFailed(attempt.id, 0))
            cluster.apply(SetWorkerMode(worker, WorkerMode.DRAINING))
            cluster.advance(60_000)
        for worker in cluster.state.workers:
            cluster.apply(SetWorkerMode(worker, WorkerMode.ACTIVE))
    modes = {w.mode for w in cluster.state.workers.values()}
    assert modes == {WorkerMode.ACTIVE}


def test_small_jobs_are_consolidated_for_a_large_one() -> None:
    """Guards against a large job that is blocked by fragmentation."""
    cluster = shared_cluster(workers=2, guarantees=())
    small = JobSpec(
        shape=gang(1, 3), run_time_ms=600_000, idempotent=False, checkpoint_ms=500
    )
    for number, other in (("1", "w2"), ("2", "w1")):
        cluster.apply(SetWorkerMode(other, WorkerMode.DRAINING))
        cluster.submit(f"q{number}", small, "other")
        cluster.apply(SetWorkerMode(other, WorkerMode.ACTIVE))
    cluster.orders()
    cluster.submit("large", attrs.evolve(FULL_WORKER_JOB), "owner")
    [(worker, order)] = cluster.orders()
    assert type(order) is StopTask
    cluster.report(worker, TaskStopped(order.attempt, 0, b"saved"))
    assert sorted(active_requests(cluster)) == ["large", "q1", "q2"]


@pytest.mark.parametrize(
    ("attempt", "used", "kind"),
    [
        (AttemptId("q", 1), Resources(1, 1, 256), ""),
        (AttemptId("q", 1), Resources(1, 1, 257), "above_lease"),
        (AttemptId("x", 1), NO_RESOURCES, "no_lease"),
    ],
)
def test_usage_that_contradicts_the_lease_is_counted(
    attempt: AttemptId, used: Resources, kind: str
) -> None:
    """Guards against unnoticed tasks without a lease or above its amounts."""
    cluster = shared_cluster(workers=1, guarantees=())
    cluster.submit("q", JobSpec(shape=gang(1, 1)), "other")
    counts = check_usage(cluster.state, "w1", (TaskUsage(attempt, 0, used),))
    assert [c.labels[0].value for c in counts] == ([kind] if kind else [])


def test_job_that_fits_only_on_planned_workers_is_refused() -> None:
    """Guards against a job that is queued but can never start."""
    cluster = shared_cluster(workers=1)
    reply = cluster.submit("q", NON_PREEMPTIBLE, "other")
    assert type(reply) is Refused
    assert reply.kind is ErrorKind.NEVER_FITS


def test_guarantee_is_replanned_away_from_a_suspect_worker() -> None:
    """Guards against a guarantee planned on a worker that starts nothing."""
    cluster = shared_cluster()
    [name] = cluster.state.plan["owner/0"].workers
    cluster.apply(SuspectWorker(name, "i1", True))
    assert cluster.state.plan["owner/0"].workers not in {(), (name,)}


def test_invariants_detect_inconsistent_state() -> None:
    """Guards against invariant checks that accept inconsistent state."""
    cluster = shared_cluster()
    cluster.submit("q", PREEMPTIBLE, "other")
    cluster.state.allocations["w1"].accelerators.append(3)
    with pytest.raises(InvariantViolation):
        check_all(cluster.state)


def test_long_borrower_is_preempted_for_a_waiting_short_job() -> None:
    """Guards against short jobs that wait for hours behind long ones."""
    cluster = shared_cluster(workers=1, guarantees=())
    long = attrs.evolve(PREEMPTIBLE, run_time_ms=3_600_000, job_class="long")
    cluster.submit("long", long, "other")
    cluster.advance(60_000)
    cluster.submit("short", JobSpec(shape=gang(1, 1)), "owner")
    cluster.orders()
    cluster.advance(10_001)
    cluster.submit("next", attrs.evolve(long, urgent=True), "other")
    [(worker, order)] = cluster.orders()
    assert type(order) is StopTask
    cluster.report(worker, TaskStopped(order.attempt, 0, b"saved"))
    assert active_requests(cluster) == ["short"]
