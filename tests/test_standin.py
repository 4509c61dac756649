"""The stand-in of the backend server keeps to docs/backend-protocol.md."""

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
from standins.backend_tasks import USAGE_LAG_MS, Backend, serve

ROOT = Path(__file__).resolve().parent.parent
INFO = WorkerInfo("w1", "r1", "fd-a", Resources(8, 32, 64_000))
LEASE_MS = 10_000
START = StartOnBackend(
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
STOP = StopOnBackend(START.attempt, 0, None)


def backend() -> Backend:
    return Backend(INFO, "b1")


def state(found: Backend, now_ms: int) -> str:
    reply = serve(Describe(), found, now_ms)
    assert isinstance(reply, Described)
    return reply.tasks[0].state if reply.tasks else ""


def test_task_finishes_with_its_result() -> None:
    """Guards against a stand-in that loses results."""
    found = backend()
    assert serve(START, found, 0) == Accepted()
    assert state(found, 4_999) == "running"
    assert state(found, 5_000) == "finished"
    reply = serve(FetchResult(START.attempt, 0), found, 5_000)
    assert isinstance(reply, ResultFetched)
    assert reply.result == b"hello"
    assert serve(ForgetOnBackend(START.attempt, 0), found, 5_000) == Accepted()
    assert state(found, 5_000) == ""
    assert serve(START, found, 5_000) == Rejected("the member is known", known=True)
    assert found.starts == {"q1.1.0": 1}
    assert found.key_starts == {"k1": 1}


def test_lease_ends_a_task_unless_it_is_renewed() -> None:
    """Guards against tasks that outlive the agent's lease."""
    long = attrs.evolve(START, payload=b'{"run_ms": 60000}')
    found = backend()
    serve(long, found, 0)
    serve(Describe(1, 20_000), found, 9_000)
    assert state(found, 19_999) == "running"
    assert state(found, 20_000) == "stopped"


@pytest.mark.parametrize(
    ("change", "detail"),
    [
        ({"start_by_ms": 0}, "too late"),
        ({"lease_until_ms": 0}, "too late"),
        ({"resources": Resources(1, 33, 1)}, "the resources are in use"),
    ],
)
def test_start_is_refused(change: dict, detail: str) -> None:
    """Guards against a start that the protocol forbids."""
    found = backend()
    assert serve(attrs.evolve(START, **change), found, 0) == Rejected(detail)
    assert found.starts == {}


def test_room_is_bounded() -> None:
    """Guards against a ninth task and an accelerator used twice."""
    found = backend()
    for number in range(8):
        order = attrs.evolve(
            START, attempt=AttemptId(f"q{number}", 1), accelerators=(number,)
        )
        assert serve(order, found, 0) == Accepted()
    other = attrs.evolve(START, attempt=AttemptId("other", 1), accelerators=())
    assert serve(other, found, 0) == Rejected("no slot is free")
    serve(StopOnBackend(AttemptId("q1", 1), 0, None), found, 0)
    taken = attrs.evolve(other, accelerators=(2,))
    assert serve(taken, found, 0) == Rejected("an accelerator is in use")
    assert serve(other, found, 0) == Accepted()


def test_drain_refuses_starts() -> None:
    """Guards against new work on a server that is leaving."""
    found = backend()
    found.info = attrs.evolve(INFO, draining=True)
    assert serve(START, found, 0) == Rejected("draining")


def test_stop_of_an_unknown_member_fences_it() -> None:
    """Guards against a late start after the refusal was reported."""
    found = backend()
    assert serve(STOP, found, 0) == Accepted()
    assert state(found, 0) == "fenced"
    assert serve(START, found, 0) == Rejected("the member is known", known=True)


@pytest.mark.parametrize(("checkpoint_ms", "token"), [(None, False), (500, True)])
def test_stop(checkpoint_ms: int | None, token: bool) -> None:
    """Guards against a stop without its checkpoint."""
    found = backend()
    serve(START, found, 0)
    serve(attrs.evolve(STOP, checkpoint_ms=checkpoint_ms), found, 1_000)
    reply = serve(Describe(), found, 1_500)
    assert isinstance(reply, Described)
    (task,) = reply.tasks
    assert task.state == "stopped"
    assert (task.checkpoint is not None) is token


def test_resumed_task_runs_for_the_rest() -> None:
    """Guards against a checkpoint that loses the work."""
    found = backend()
    serve(START, found, 0)
    serve(attrs.evolve(STOP, checkpoint_ms=0), found, 4_000)
    reply = serve(Describe(), found, 4_000)
    assert isinstance(reply, Described)
    resumed = attrs.evolve(
        START, attempt=AttemptId("q1", 2), checkpoint=reply.tasks[0].checkpoint
    )
    serve(resumed, found, 4_000)
    reply = serve(Describe(), found, 5_000)
    assert isinstance(reply, Described)
    assert [task.state for task in reply.tasks] == ["stopped", "finished"]


def test_usage_lags_and_follows_the_throttle() -> None:
    """Guards against usage that is known too early."""
    found = backend()
    serve(START, found, 0)
    serve(ThrottleOnBackend(START.attempt, 0, 50), found, 0)
    early = serve(Describe(), found, USAGE_LAG_MS - 1)
    late = serve(Describe(), found, USAGE_LAG_MS)
    assert isinstance(early, Described)
    assert isinstance(late, Described)
    assert early.tasks[0].used.processors == 0
    assert late.tasks[0].used.processors == 2


def test_failing_server_fails_every_task() -> None:
    """Guards against a fault mode that does nothing."""
    found = backend()
    found.fail_all = True
    serve(START, found, 0)
    assert state(found, 0) == "failed"


@pytest.fixture
def standin() -> Iterator[Standin]:
    with Standin(INFO) as running:
        yield running


def test_control(standin: Standin) -> None:
    """Guards against orders to the stand-in that are ignored."""
    http = urllib3.PoolManager(retries=False, timeout=5)
    url = f"http://{standin.address}/control"
    orders = {"draining": True, "fail_all": True, "restart": True}
    before = standin.app.backend.incarnation
    http.request("POST", url, json=orders)
    assert standin.app.backend.info.draining
    assert standin.app.backend.fail_all
    assert standin.app.backend.incarnation != before
    counts = http.request("GET", url).json()
    assert counts["starts"] == {}


def test_sixty_four_connections_are_served(standin: Standin) -> None:
    """Guards against a stand-in that limits what it stands in for."""
    path = "/v1/state?lease_until_ms=0"
    conns = [urllib3.HTTPConnectionPool(standin.address) for _ in range(64)]
    statuses = [conn.urlopen("GET", path, retries=False).status for conn in conns]
    again = [conn.urlopen("GET", path, retries=False).status for conn in conns]
    assert statuses == again == [200] * 64
    assert [conn.num_connections for conn in conns] == [1] * 64
    for conn in conns:
        conn.close()


def test_process_prints_its_address() -> None:
    """Guards against a start by command line that does not work."""
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
