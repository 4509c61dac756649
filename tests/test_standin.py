"""Tests that the stand-in backend server follows docs/backend-protocol.md."""

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import attrs
import pytest
import urllib3

from crocuswell_core.agent.backend import (
    Accepted,
    Describe,
    Described,
    FetchResult,
    ForgetOnBackend,
    Rejected,
    ResultFetched,
    StartOnBackend,
    StopOnBackend,
    ThrottleOnBackend,
)
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.cluster.resources import Resources
from standins.backend_server import Standin
from standins.backend_tasks import USAGE_LAG_MS, Backend, execute_call

ROOT = Path(__file__).resolve().parent.parent
INFO = WorkerInfo("w1", "r1", "fd-a", Resources(8, 32, 64_000))
LEASE_MS = 10_000
START_CALL = StartOnBackend(
    AttemptId("q1", 1),
    0,
    1,
    Resources(1, 4, 1_000),
    (0,),
    b'{"run_ms": 5000, "echo": "hello", "key": "k1"}',
    1_000,
    None,
    LEASE_MS,
    LEASE_MS,
)
STOP_CALL = StopOnBackend(START_CALL.attempt, 0, None)


def make_backend() -> Backend:
    return Backend(INFO, "b1")


def first_task_state(server: Backend, now_ms: int) -> str:
    reply = execute_call(Describe(), server, now_ms)
    assert isinstance(reply, Described)
    return reply.tasks[0].state if reply.tasks else ""


def test_task_finishes_with_its_result() -> None:
    """Guards against a finished task whose result cannot be fetched."""
    server = make_backend()
    assert execute_call(START_CALL, server, 0) == Accepted()
    assert first_task_state(server, 4_999) == "running"
    assert first_task_state(server, 5_000) == "finished"
    reply = execute_call(FetchResult(START_CALL.attempt, 0), server, 5_000)
    assert isinstance(reply, ResultFetched)
    assert reply.result == b"hello"
    assert (
        execute_call(ForgetOnBackend(START_CALL.attempt, 0), server, 5_000)
        == Accepted()
    )
    assert first_task_state(server, 5_000) == ""
    assert execute_call(START_CALL, server, 5_000) == Rejected(
        "the member is known", known=True
    )
    assert server.starts == {"q1.1.0": 1}
    assert server.key_starts == {"k1": 1}


def test_lease_ends_a_task_unless_it_is_renewed() -> None:
    """Guards against tasks that run past the end of the agent's lease."""
    long = attrs.evolve(START_CALL, payload=b'{"run_ms": 60000}')
    server = make_backend()
    execute_call(long, server, 0)
    execute_call(Describe(1, 20_000), server, 9_000)
    assert first_task_state(server, 19_999) == "running"
    assert first_task_state(server, 20_000) == "stopped"


@pytest.mark.parametrize(
    ("change", "detail"),
    [
        ({"start_by_ms": 0}, "too late"),
        ({"lease_until_ms": 0}, "too late"),
        ({"resources": Resources(1, 33, 1)}, "the resources are in use"),
    ],
)
def test_start_is_refused(change: dict, detail: str) -> None:
    """Guards against accepting a start that the protocol forbids."""
    server = make_backend()
    assert execute_call(attrs.evolve(START_CALL, **change), server, 0) == Rejected(
        detail
    )
    assert server.starts == {}


def test_slots_and_accelerators_are_bounded() -> None:
    """Guards against a ninth task on 8 slots and a shared accelerator."""
    server = make_backend()
    for number in range(8):
        start = attrs.evolve(
            START_CALL, attempt=AttemptId(f"q{number}", 1), accelerators=(number,)
        )
        assert execute_call(start, server, 0) == Accepted()
    other = attrs.evolve(START_CALL, attempt=AttemptId("other", 1), accelerators=())
    assert execute_call(other, server, 0) == Rejected("no slot is free")
    execute_call(StopOnBackend(AttemptId("q1", 1), 0, None), server, 0)
    taken = attrs.evolve(other, accelerators=(2,))
    assert execute_call(taken, server, 0) == Rejected("an accelerator is in use")
    assert execute_call(other, server, 0) == Accepted()


def test_drain_refuses_starts() -> None:
    """Guards against new tasks on a draining server."""
    server = make_backend()
    server.info = attrs.evolve(INFO, draining=True)
    assert execute_call(START_CALL, server, 0) == Rejected("draining")


def test_stop_of_an_unknown_member_fences_it() -> None:
    """Guards against a delayed start that arrives after its stop."""
    server = make_backend()
    assert execute_call(STOP_CALL, server, 0) == Accepted()
    assert first_task_state(server, 0) == "fenced"
    assert execute_call(START_CALL, server, 0) == Rejected(
        "the member is known", known=True
    )


@pytest.mark.parametrize(("checkpoint_ms", "token"), [(None, False), (500, True)])
def test_stop(checkpoint_ms: int | None, token: bool) -> None:
    """Guards against a missing checkpoint, or one that was not requested."""
    server = make_backend()
    execute_call(START_CALL, server, 0)
    execute_call(attrs.evolve(STOP_CALL, checkpoint_ms=checkpoint_ms), server, 1_000)
    reply = execute_call(Describe(), server, 1_500)
    assert isinstance(reply, Described)
    (task,) = reply.tasks
    assert task.state == "stopped"
    assert (task.checkpoint is not None) is token


def test_resumed_task_runs_for_the_rest() -> None:
    """Guards against a resumed task that repeats checkpointed work."""
    server = make_backend()
    execute_call(START_CALL, server, 0)
    execute_call(attrs.evolve(STOP_CALL, checkpoint_ms=0), server, 4_000)
    reply = execute_call(Describe(), server, 4_000)
    assert isinstance(reply, Described)
    resumed = attrs.evolve(
        START_CALL, attempt=AttemptId("q1", 2), checkpoint=reply.tasks[0].checkpoint
    )
    execute_call(resumed, server, 4_000)
    reply = execute_call(Describe(), server, 5_000)
    assert isinstance(reply, Described)
    assert [task.state for task in reply.tasks] == ["stopped", "finished"]


def test_usage_lags_and_follows_the_throttle() -> None:
    """Guards against reporting usage without the lag of a real server."""
    server = make_backend()
    execute_call(START_CALL, server, 0)
    execute_call(ThrottleOnBackend(START_CALL.attempt, 0, 50), server, 0)
    early = execute_call(Describe(), server, USAGE_LAG_MS - 1)
    late = execute_call(Describe(), server, USAGE_LAG_MS)
    assert isinstance(early, Described)
    assert isinstance(late, Described)
    assert early.tasks[0].used.processors == 0
    assert late.tasks[0].used.processors == 2


def test_failing_server_fails_every_task() -> None:
    """Guards against a `fail_all` setting without effect."""
    server = make_backend()
    server.fail_all = True
    execute_call(START_CALL, server, 0)
    assert first_task_state(server, 0) == "failed"


@pytest.fixture
def standin() -> Iterator[Standin]:
    with Standin(INFO) as running:
        yield running


def test_control(standin: Standin) -> None:
    """Guards against settings of `POST /control` that are ignored."""
    http = urllib3.PoolManager(retries=False, timeout=5)
    url = f"http://{standin.address}/control"
    settings = {"draining": True, "fail_all": True, "restart": True}
    before = standin.app.backend.incarnation
    http.request("POST", url, json=settings)
    assert standin.app.backend.info.draining
    assert standin.app.backend.fail_all
    assert standin.app.backend.incarnation != before
    counts = http.request("GET", url).json()
    assert counts["starts"] == {}


def test_sixty_four_connections_are_served(standin: Standin) -> None:
    """Guards against a connection limit below that of the protocol."""
    path = "/v1/state?lease_until_ms=0"
    pools = [urllib3.HTTPConnectionPool(standin.address) for _ in range(64)]
    statuses = [pool.urlopen("GET", path, retries=False).status for pool in pools]
    again = [pool.urlopen("GET", path, retries=False).status for pool in pools]
    assert statuses == again == [200] * 64
    assert [pool.num_connections for pool in pools] == [1] * 64
    for pool in pools:
        pool.close()


def test_process_prints_its_address() -> None:
    """Guards against a broken command line, which scripts depend on."""
    command = [sys.executable, "standins/backend_server.py", "--worker", "w7"]
    with subprocess.Popen(
        [*command, "--processors", "16"], cwd=ROOT, stdout=subprocess.PIPE, text=True
    ) as process:
        try:
            assert process.stdout is not None
            address = process.stdout.readline().strip()
            body = urllib3.request(
                "GET", f"http://{address}/v1/state?lease_until_ms=0", timeout=5
            ).data
        finally:
            process.terminate()
    description = json.loads(body)
    assert description["worker"] == "w7"
    assert description["capacity"]["processors"] == 16
