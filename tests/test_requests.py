"""Outcomes of requests when members of their attempts fail or are lost."""

import pytest

from crocuswell_core.agent.agent_messages import ReserveTask, StartTask, StopTask
from crocuswell_core.cluster.commands import (
    CancelRequests,
    DeclareSilent,
    EndEvacuation,
    ModeSet,
    RecordReports,
    Refused,
    RequestAccepted,
    SetWorkerMode,
    StartEvacuation,
    SubmitRequest,
    TaskFailed,
    TaskFinished,
    TaskLost,
    TaskRefused,
    TaskReserved,
    TaskStopped,
)
from crocuswell_core.cluster.configuration import Workspace
from crocuswell_core.cluster.records import AttemptId, JobSpec, Outcome, WorkerMode
from crocuswell_core.cluster.resources import Adjacency, Resources, Shape
from crocuswell_core.policy.scheduling import explain_waiting
from crocuswell_core.runtime.errors import ErrorKind
from tests.clusters import Cluster, gang, small_cluster

SINGLE = JobSpec(shape=gang(1))
NON_IDEMPOTENT = JobSpec(shape=gang(1), idempotent=False)
GANG = JobSpec(shape=gang(2, 8))
NON_IDEMPOTENT_GANG = JobSpec(shape=gang(2, 8), idempotent=False)
FIRST_ATTEMPT = AttemptId("q", 1)


def running_gang(spec: JobSpec = GANG) -> Cluster:
    cluster = small_cluster()
    cluster.submit("q", spec)
    cluster.report("w1", TaskReserved(FIRST_ATTEMPT, 0))
    cluster.report("w2", TaskReserved(FIRST_ATTEMPT, 1))
    cluster.orders()
    return cluster


def test_single_task_is_started_and_completed() -> None:
    cluster = small_cluster()
    assert cluster.submit("q", SINGLE) == RequestAccepted("q")
    [(worker, order)] = cluster.orders()
    assert worker == "w1"
    assert type(order) is StartTask
    cluster.report("w1", TaskFinished(FIRST_ATTEMPT, 0, b"answer", "digest"))
    outcome = cluster.request("q").outcome
    assert outcome is not None
    assert outcome.outcome is Outcome.COMPLETED
    assert (outcome.result, outcome.length) == (b"answer", 6)
    assert cluster.state.allocations["w1"].free.accelerators == 8


def test_gang_starts_only_after_all_members_reserved() -> None:
    """Guards against a gang that starts before all members have capacity."""
    cluster = small_cluster()
    cluster.submit("q", GANG)
    assert [type(order) for _, order in cluster.orders()] == [ReserveTask, ReserveTask]
    cluster.report("w1", TaskReserved(FIRST_ATTEMPT, 0))
    assert cluster.orders() == []
    cluster.report("w2", TaskReserved(FIRST_ATTEMPT, 1))
    assert [type(order) for _, order in cluster.orders()] == [StartTask, StartTask]


def test_refused_member_stops_the_gang_and_it_is_placed_again() -> None:
    cluster = small_cluster()
    cluster.submit("q", GANG)
    cluster.report("w1", TaskReserved(FIRST_ATTEMPT, 0))
    cluster.orders()
    cluster.report("w2", TaskRefused(FIRST_ATTEMPT, 1))
    assert [(w, type(o)) for w, o in cluster.orders()] == [("w1", StopTask)]
    cluster.report("w1", TaskRefused(FIRST_ATTEMPT, 0))
    cluster.advance(60_000)
    assert cluster.request("q").attempts_made == 2


@pytest.mark.parametrize(
    ("spec", "report", "expected"),
    [
        (NON_IDEMPOTENT, TaskFailed(FIRST_ATTEMPT, 0, "exit code 1"), Outcome.FAILED),
        (NON_IDEMPOTENT, TaskLost(FIRST_ATTEMPT, 0), Outcome.OUTCOME_UNKNOWN),
        (NON_IDEMPOTENT, TaskStopped(FIRST_ATTEMPT, 0), Outcome.FAILED),
        (NON_IDEMPOTENT, TaskRefused(FIRST_ATTEMPT, 0), None),
        (SINGLE, TaskFailed(FIRST_ATTEMPT, 0, "exit code 1"), None),
        (SINGLE, TaskLost(FIRST_ATTEMPT, 0), None),
        (SINGLE, TaskStopped(FIRST_ATTEMPT, 0), None),
    ],
)
def test_retries_only_requests_that_are_idempotent_or_did_not_run(
    spec: JobSpec, report: TaskFailed, expected: Outcome | None
) -> None:
    """Guards against a second run of a non-idempotent request."""
    cluster = small_cluster()
    cluster.submit("q", spec)
    cluster.report("w1", report)
    cluster.advance(60_000)
    assert cluster.outcome("q") is expected
    assert cluster.request("q").attempts_made == (2 if expected is None else 1)


@pytest.mark.parametrize(
    ("report", "expected"),
    [
        (TaskFinished(FIRST_ATTEMPT, 0, b"late", "d"), Outcome.COMPLETED),
        (TaskFailed(FIRST_ATTEMPT, 0), Outcome.FAILED),
        (TaskStopped(FIRST_ATTEMPT, 0), Outcome.FAILED),
        (TaskRefused(FIRST_ATTEMPT, 0), Outcome.NOT_RUN),
        (TaskFinished(AttemptId("q", 7), 0, b"x", "d"), Outcome.OUTCOME_UNKNOWN),
    ],
)
def test_unknown_outcome_is_resolved_when_the_worker_returns(
    report: TaskFinished, expected: Outcome
) -> None:
    cluster = small_cluster(workers=1)
    cluster.submit("q", NON_IDEMPOTENT)
    cluster.apply(DeclareSilent("w1", "i1"))
    assert cluster.outcome("q") is Outcome.OUTCOME_UNKNOWN
    cluster.announce("w1")
    cluster.report("w1", report)
    assert cluster.outcome("q") is expected


def test_lost_member_stops_the_rest_of_the_gang() -> None:
    cluster = running_gang()
    cluster.apply(DeclareSilent("w2", "i1"))
    assert [(w, type(o)) for w, o in cluster.orders()] == [("w1", StopTask)]
    assert cluster.state.allocations["w1"].free.accelerators == 0
    cluster.report("w1", TaskStopped(FIRST_ATTEMPT, 0))
    assert cluster.state.allocations["w1"].free.accelerators == 8
    assert cluster.outcome("q") is None


def test_lost_member_of_a_non_idempotent_gang_is_an_unknown_outcome() -> None:
    cluster = running_gang(NON_IDEMPOTENT_GANG)
    cluster.apply(DeclareSilent("w2", "i1"))
    cluster.report("w1", TaskStopped(FIRST_ATTEMPT, 0))
    assert cluster.outcome("q") is Outcome.OUTCOME_UNKNOWN


def test_duplicate_and_late_reports_are_dropped() -> None:
    """Guards against capacity that is released twice."""
    cluster = running_gang()
    for _ in range(2):
        cluster.report("w1", TaskFinished(FIRST_ATTEMPT, 0, b"a", "d"))
    cluster.report("w2", TaskFinished(FIRST_ATTEMPT, 1, b"b", "d"))
    cluster.report("w2", TaskFinished(FIRST_ATTEMPT, 1, b"c", "d"))
    outcome = cluster.request("q").outcome
    assert outcome is not None
    assert outcome.result == b"a"
    assert [r.free.accelerators for r in cluster.state.allocations.values()] == [8, 8]


def test_new_agent_incarnation_is_asked_to_reserve_again() -> None:
    """Guards against a gang start on a reservation lost in a restart."""
    cluster = small_cluster()
    cluster.submit("q", GANG)
    cluster.report("w1", TaskReserved(FIRST_ATTEMPT, 0))
    cluster.announce("w1", incarnation="i2")
    cluster.orders()
    cluster.report("w2", TaskReserved(FIRST_ATTEMPT, 1))
    assert cluster.orders() == []
    cluster.report("w1", TaskReserved(FIRST_ATTEMPT, 0))
    assert len(cluster.orders()) == 2


def test_tasks_of_an_earlier_backend_incarnation_are_lost() -> None:
    cluster = small_cluster(workers=1)
    cluster.submit("q", NON_IDEMPOTENT)
    cluster.announce("w1", incarnation="i2", backend_incarnation="b2")
    assert cluster.outcome("q") is Outcome.OUTCOME_UNKNOWN


def test_resent_command_gets_the_first_reply_and_is_applied_once() -> None:
    cluster = small_cluster()
    first = cluster.apply(
        SubmitRequest("a", "quotes", NON_IDEMPOTENT), "workspace/quotes:k", "d"
    )
    again = cluster.apply(
        SubmitRequest("b", "quotes", NON_IDEMPOTENT), "workspace/quotes:k", "d"
    )
    assert first == again == RequestAccepted("a")
    other = cluster.apply(
        SubmitRequest("c", "quotes", NON_IDEMPOTENT), "workspace/quotes:k", "e"
    )
    assert type(other) is Refused
    assert other.kind is ErrorKind.KEY_REUSED
    assert list(cluster.state.requests) == ["a"]


@pytest.mark.parametrize(
    ("workspace", "spec", "kind"),
    [
        ("nobody", SINGLE, ErrorKind.NOT_FOUND),
        ("quotes", JobSpec(shape=gang(0)), ErrorKind.INVALID_REQUEST),
        ("quotes", JobSpec(shape=gang(1, -1)), ErrorKind.INVALID_REQUEST),
        ("quotes", JobSpec(shape=gang(1), run_time_ms=0), ErrorKind.INVALID_REQUEST),
        ("quotes", JobSpec(shape=gang(3, 8)), ErrorKind.NEVER_FITS),
        (
            "quotes",
            JobSpec(shape=gang(2, 8, Adjacency.WORKER)),
            ErrorKind.NEVER_FITS,
        ),
        ("small", JobSpec(shape=gang(2, 1)), ErrorKind.OVER_QUOTA),
    ],
)
def test_refusals(workspace: str, spec: JobSpec, kind: ErrorKind) -> None:
    cluster = small_cluster()
    cluster.configure(
        Workspace("quotes"), Workspace("small", quota=Resources(1, 8, 8_192))
    )
    reply = cluster.submit("q", spec, workspace)
    assert type(reply) is Refused
    assert reply.kind is kind
    assert cluster.state.requests == {}


def test_overload_is_refused_early_and_can_be_resent() -> None:
    cluster = Cluster()
    cluster.configure(Workspace("quotes", queue_limit=1))
    command = SubmitRequest("b", "quotes", SINGLE)
    cluster.submit("a", SINGLE)
    reply = cluster.apply(command, "workspace/quotes:k", "d")
    assert type(reply) is Refused
    assert reply.kind is ErrorKind.OVERLOADED
    assert reply.retry_after_ms > 0
    cluster.apply(CancelRequests("quotes"))
    assert cluster.apply(command, "workspace/quotes:k", "d") == RequestAccepted("b")


@pytest.mark.parametrize("spec", [SINGLE, NON_IDEMPOTENT])
def test_cancelled_request_ends_once_its_task_has_stopped(spec: JobSpec) -> None:
    cluster = small_cluster(workers=1)
    cluster.submit("q", spec)
    cluster.apply(CancelRequests("quotes", ("q",)))
    assert cluster.outcome("q") is None
    cluster.report("w1", TaskStopped(FIRST_ATTEMPT, 0))
    assert cluster.outcome("q") is Outcome.CANCELLED


def test_request_whose_deadline_passes_in_the_queue_is_not_run() -> None:
    cluster = small_cluster(workers=1)
    full = Shape(1, Resources(8, 1, 1))
    cluster.submit("a", JobSpec(shape=full))
    cluster.submit("b", JobSpec(shape=full, deadline_ms=5_000))
    cluster.advance(5_000)
    outcome = cluster.request("b").outcome
    assert outcome is not None
    assert outcome.outcome is Outcome.NOT_RUN
    assert outcome.reason is ErrorKind.DEADLINE_PASSED


def test_draining_worker_gets_no_start() -> None:
    cluster = small_cluster(workers=1)
    cluster.apply(SetWorkerMode("w1", WorkerMode.DRAINING, "op"))
    cluster.submit("q", SINGLE)
    assert cluster.orders() == []
    cluster.apply(SetWorkerMode("w1", WorkerMode.ACTIVE, "op"))
    assert len(cluster.orders()) == 1


def test_request_waits_while_its_only_domain_is_evacuated() -> None:
    """Guards against attempts in a domain that is about to go dark."""
    cluster = small_cluster()
    cluster.submit("reserving", JobSpec(shape=gang(2)))
    cluster.orders()
    cluster.apply(StartEvacuation("fd-a"))
    assert {type(order) for _, order in cluster.orders()} == {StopTask}
    cluster.submit("q", SINGLE)
    assert cluster.orders() == []
    waiting = explain_waiting(cluster.state, cluster.request("q"))
    assert waiting.reason.endswith("evacuated: fd-a")
    cluster.apply(EndEvacuation("fd-a"))
    assert StartTask in {type(order) for _, order in cluster.orders()}


def test_attempt_on_a_draining_worker_is_moved_with_its_checkpoint() -> None:
    cluster = small_cluster()
    cluster.submit("q", JobSpec(shape=gang(1), idempotent=False, checkpoint_ms=500))
    cluster.apply(SetWorkerMode("w1", WorkerMode.DRAINING, "op"))
    cluster.orders()
    cluster.report("w1", TaskStopped(FIRST_ATTEMPT, 0, b"token"))
    [(worker, order)] = cluster.orders()
    assert worker == "w2"
    assert type(order) is StartTask
    assert order.checkpoint == b"token"


def test_result_and_record_are_dropped_after_their_retention() -> None:
    cluster = small_cluster(workers=1)
    cluster.submit("q", SINGLE)
    cluster.report("w1", TaskFinished(FIRST_ATTEMPT, 0, b"answer", "digest"))
    cluster.advance(3_600_000)
    outcome = cluster.request("q").outcome
    assert outcome is not None
    assert (outcome.outcome, outcome.result) == (Outcome.COMPLETED, None)
    cluster.advance(24 * 3_600_000)
    assert "q" not in cluster.state.requests


def test_an_operator_can_drain_a_worker_that_is_silent() -> None:
    """Guards against a crash: a silent worker has no allocation record."""
    cluster = small_cluster()
    cluster.apply(DeclareSilent("w1", "i1"))
    reply = cluster.apply(SetWorkerMode("w1", WorkerMode.DRAINING))
    assert reply == ModeSet("w1", WorkerMode.DRAINING)


def test_reports_after_a_gap_are_not_acknowledged() -> None:
    """Guards against acknowledging a report that was lost in transit."""
    cluster = small_cluster()
    cluster.submit("q", SINGLE)
    report = TaskFinished(FIRST_ATTEMPT, 0, b"answer", "digest")
    cluster.apply(RecordReports("w1", "i1", 2, (report,)))
    assert cluster.state.report_sequences["w1"] == 0
    assert cluster.outcome("q") is None


def lose_each_attempt(run_ms: int, attempts: int) -> Cluster:
    """Return a cluster whose backend servers restart under a request."""
    cluster = small_cluster()
    cluster.submit("q", SINGLE)
    for _ in range(attempts):
        if cluster.outcome("q") is not None:
            break
        cluster.advance(run_ms)
        running = cluster.attempt("q")
        cluster.report(running.members[0].worker, TaskLost(running.id, 0))
        cluster.advance(60_000)
    return cluster


def test_request_that_takes_its_backend_server_down_is_given_up() -> None:
    """Guards against a request that takes down server after server."""
    cluster = lose_each_attempt(run_ms=500, attempts=20)
    outcome = cluster.request("q").outcome
    assert outcome is not None
    assert outcome.outcome is Outcome.FAILED
    assert "its backend server crashed" in outcome.detail
    assert cluster.request("q").attempts_made <= 5


def test_restarts_under_long_work_do_not_end_its_request() -> None:
    """Guards against giving up long work under rolling restarts."""
    cluster = lose_each_attempt(run_ms=120_000, attempts=20)
    assert cluster.outcome("q") is None
    assert cluster.request("q").attempts_made == 21


def test_workers_that_fall_silent_do_not_count_against_a_request() -> None:
    """Guards against blaming a request for hosts that are cut off."""
    cluster = small_cluster()
    cluster.submit("q", SINGLE)
    for number in range(8):
        worker = cluster.attempt("q").members[0].worker
        incarnation = cluster.state.workers[worker].incarnation
        cluster.advance(500)
        cluster.apply(DeclareSilent(worker, incarnation))
        cluster.announce(worker, incarnation=f"again-{number}")
        cluster.advance(60_000)
    assert not cluster.state.crash_histories
    assert cluster.outcome("q") is None
