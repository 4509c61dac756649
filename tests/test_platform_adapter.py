"""Tests of the platform adapter: settings, JSON bodies and responses."""

import json
from typing import Any

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from crocuswell_core.cluster.commands import Refused
from crocuswell_core.entry.entry_state import EntryConfig
from crocuswell_core.jobs.job_commands import (
    CancelJob,
    CatalogInForce,
    CatalogView,
    CountPending,
    GetCatalog,
    GetJob,
    JobAccepted,
    JobView,
    PendingJobs,
    PutCatalog,
    QueueAddress,
    SubmitJob,
)
from crocuswell_core.jobs.job_records import (
    JobPhase,
    ResourceVector,
    RunEnd,
    RunEndKind,
    RunId,
    RunProgress,
    Schedule,
    StepSpec,
    TaskId,
)
from crocuswell_core.runner.worker_calls import ListRuns, StartOnWorker, StopOnWorker
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_daemon.http_messages import HttpRequest
from crocuswell_daemon.storage import Storage
from crocuswell_platform import control_node
from crocuswell_platform.caller_json import (
    UnsupportedFieldError,
    as_operator_response,
    parse_caller_call,
    parse_operator_call,
    to_response,
)
from crocuswell_platform.json_fields import BadBodyError, read_object
from crocuswell_platform.node_settings import NodeSettingsError, parse_node_settings
from crocuswell_platform.worker_json import parse_heartbeat, parse_run_lists, to_request

JOB_ID = "5c0e7a21d94b36f8"
PATH = f"/queue/{JOB_ID}"
ADDRESS = QueueAddress("a.example", PATH, "key-1")
RUN = RunId(TaskId(JOB_ID, 1, 17), 2)

JOB = {
    "spec": "(text)",
    "steps": [
        {
            "count": 4,
            "cpu": 500,
            "mem_mb": 256,
            "estimated_ms": 900,
            "data_rack": "r1-3",
        },
        {
            "count": 20,
            "cpu": 2000,
            "mem_mb": 1024,
            "gpus": 2,
            "estimated_ms": 7000,
            "after": [0],
            "checkpointing": True,
            "gang": True,
            "rack_sensitive": True,
        },
    ],
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path_prefix": "/queue/",
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 250,
            "priority": 0,
            "service": "press",
            "max_attempts": 2,
            "stretch": 1.5,
            "allow_anonymous": False,
        }
    ],
    "services": [{"name": "press", "enforces_capacity": False, "standby": False}],
    "limits": {"max_body_bytes": 262144},
    "tenants": [
        {"name": "t", "api_keys": ["k"], "priority": 1, "guaranteed": {"gpus": 16}}
    ],
    "a_new_field": [1],
}
HEARTBEAT = {
    "service": "press",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "sequence": 4,
    "born": 1700000000000,
}
RUN_LISTS = {
    "clock_ms": 482113,
    "running": [[f"{JOB_ID}.0.1.17", 2, "00000bb87a21d94b", 41, 900]],
    "ended": [[58, f"{JOB_ID}.0.1.9", 1, "done", ""]],
}
NODE_SETTINGS = {
    "node_name": "frontend-a-1",
    "zone": "a",
    "ip": "10.1.0.19",
    "listen": {"frontend": "10.1.0.19:8521", "control": "10.1.0.19:8526"},
    "internal_ports": [7000, 7015],
    "seeds": ["10.1.0.19:8526", "10.2.0.35:8526"],
    "bootstrap": True,
    "data_directory": "/data/x",
    "bounds": {"max_hold_ms": 6000, "grace_s": 6},
    "fault_tolerance": {"machines": 1},
    "unknown": {"a": 1},
}


def parse_call(method: str, body: object = b"", path: str = PATH):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return parse_caller_call(
        HttpRequest(
            method, path, body=data, host="a.example:80", authorization="Token key-1"
        )
    )


def test_job_is_read_with_all_its_steps() -> None:
    """Guards against a JSON field that is dropped or mapped wrongly."""
    submitted = parse_call("POST", JOB).proposal.command
    assert submitted == SubmitJob(
        JOB_ID,
        ADDRESS,
        "(text)",
        (
            StepSpec(4, ResourceVector(500, 256, 0), 900, data_rack="r1-3"),
            StepSpec(20, ResourceVector(2000, 1024, 2), 7000, (0,), True, True, True),
        ),
    )


def test_calls_on_jobs_and_queues_are_told_apart() -> None:
    """Guards against a queue request that is parsed as a job request."""
    assert parse_call("GET") == GetJob(JOB_ID, ADDRESS)
    assert parse_call("DELETE").proposal.command == CancelJob(JOB_ID, ADDRESS)
    queue = QueueAddress("a.example", "/queue/", "key-1")
    assert parse_call("GET", path="/queue/") == CountPending(queue)
    assert parse_call("PUT", path="/queue/") is None


@pytest.mark.parametrize(
    "change",
    [
        {"steps": []},
        {"steps": [{"count": 0}]},
        {"steps": [{"count": True}]},
        {"steps": [{"count": 1, "after": [0]}]},
        {"steps": [{"count": 1, "cpu": "many"}]},
        {"steps": "none"},
        {"spec": 7},
        {"spec": "x" * 4001},
    ],
)
def test_malformed_jobs_are_refused(change) -> None:
    """Guards against an accepted job that cannot run as requested."""
    with pytest.raises(BadBodyError):
        parse_call("POST", {**JOB, **change})


def test_jobs_with_unsupported_fields_are_refused() -> None:
    """Guards against a job that is accepted and then never run."""
    with pytest.raises(UnsupportedFieldError, match="fills"):
        parse_call("POST", {"spec": "", "steps": [{"count": 1, "fills": True}]})


def test_repeated_and_long_running_jobs_are_read() -> None:
    """Guards against repetitions that all start immediately."""
    body = {
        "spec": "",
        "steps": [{"count": 1, "long_running": True, "miss_budget": 2}],
        "repeat_count": 3,
        "start_at_ms": 1_700_000_000_000,
        "interval_ms": 2_000,
    }
    command = parse_call("POST", body).proposal.command
    assert command.schedule == Schedule(3, 1_700_000_000_000, 2_000)
    assert command.schedule.due_ms(2) == 1_700_000_004_000
    assert (command.steps[0].long_running, command.steps[0].max_unavailable) == (
        True,
        2,
    )


@pytest.mark.parametrize("count", [-1, 1_025, True, "3"])
def test_malformed_schedules_are_refused(count) -> None:
    """Guards against a repeat count that exhausts the memory of a host."""
    body = {**JOB, "repeat_count": count, "start_at_ms": 5}
    with pytest.raises(BadBodyError):
        parse_call("POST", body)


def test_configuration_is_read_and_kept_as_it_was_sent() -> None:
    """Guards against a configuration that differs when it is read back."""
    request = HttpRequest("PUT", "/config", body=json.dumps(CONFIG).encode())
    command = parse_operator_call(request).proposal.command
    assert isinstance(command, PutCatalog)
    stored = command.catalog
    assert (stored.version, stored.queues[0].stretch) == (7, 1.5)
    assert stored.workspaces[0].guaranteed_accelerators == 16
    assert json.loads(stored.document) == CONFIG
    assert parse_operator_call(HttpRequest("GET", "/config")) == GetCatalog()
    assert parse_operator_call(HttpRequest("POST", "/other")) is None


@pytest.mark.parametrize(
    "change",
    [
        {"routes": [{**CONFIG["routes"][0], "timeout_ms": 0}]},
        {"routes": [{**CONFIG["routes"][0], "service": "other"}]},
        {"routes": CONFIG["routes"] * 2},
        {"tenants": CONFIG["tenants"] * 2},
        {"version": "7"},
        {"routes": None},
    ],
)
def test_invalid_configurations_are_refused(change) -> None:
    """Guards against an invalid configuration that is accepted."""
    body = json.dumps({**CONFIG, **change}).encode()
    with pytest.raises(BadBodyError):
        parse_operator_call(HttpRequest("PUT", "/config", body=body))


@pytest.mark.parametrize(
    ("reply", "status", "body"),
    [
        (JobAccepted("j"), 200, {}),
        (CatalogInForce(7), 200, {}),
        (JobView("j", JobPhase.QUEUED), 200, {"state": "queued"}),
        (PendingJobs(12), 200, {"pending": 12}),
        (CatalogView(7, '{"version":7}'), 200, {"version": 7}),
        (Refused(ErrorKind.RESULT_EXPIRED, "d"), 410, {"detail": "d"}),
        (Refused(ErrorKind.UNAUTHORISED, "d"), 401, {"detail": "d"}),
        (Refused(ErrorKind.NOT_FOUND, "d"), 404, {"detail": "d"}),
        (Refused(ErrorKind.CONFLICT, "d"), 409, {"detail": "d"}),
        (Refused(ErrorKind.OVERLOADED, "d"), 503, {"detail": "d"}),
        (Refused(ErrorKind.UNAVAILABLE, "d"), 504, {"detail": "d"}),
    ],
)
def test_answers_have_the_status_that_the_platform_expects(reply, status, body) -> None:
    """Guards against a status that claims an outcome that is not known."""
    response = to_response(reply)
    assert (response.status, json.loads(response.body)) == (status, body)


def test_refusal_has_a_retry_after_header() -> None:
    """Guards against callers that retry too often without a leader."""
    response = to_response(Refused(ErrorKind.OVERLOADED, "d", 1_500))
    assert [(h.name, h.value) for h in response.headers] == [("Retry-After", "2")]


def test_operator_is_sent_to_another_host() -> None:
    """Guards against operators that keep using a host without a leader."""
    response = to_response(Refused(ErrorKind.UNAVAILABLE, "d"))
    assert as_operator_response(response).status == 503


# --- workers -------------------------------------------------------------


def test_heartbeat_is_read() -> None:
    """Guards against a wrong rack or start time of a worker."""
    heartbeat = parse_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert (heartbeat.id, heartbeat.born_ms, heartbeat.rack) == (
        "i-1",
        1700000000000,
        "r1-3",
    )
    assert heartbeat.capacity == ResourceVector(16000, 32768, 0)
    assert not heartbeat.draining


@pytest.mark.parametrize(
    "change",
    [{"state": "tired"}, {"sequence": "4"}, {"capacity": []}, {"born": 1.5}],
)
def test_malformed_heartbeats_are_refused(change) -> None:
    """Guards against a worker that is registered by an invalid heartbeat."""
    with pytest.raises(BadBodyError):
        parse_heartbeat("i-1", json.dumps({**HEARTBEAT, **change}).encode())


def test_orders_are_written_with_the_platforms_names() -> None:
    """Guards against orders that the worker misinterprets."""
    start = to_request(StartOnWorker("i-1", RUN, "(text)", 486000, 7, "c"))
    assert start.path == "/run-start"
    assert start.body == {
        "task": f"{JOB_ID}.0.1.17",
        "run": 2,
        "spec": "(text)",
        "deadline_ms": 486000,
        "fencing_token": 7,
        "checkpoint": "c",
    }
    stop = to_request(StopOnWorker("i-1", RUN, 7))
    assert (stop.path, stop.body["run"]) == ("/run-stop", 2)
    hold = to_request(ListRuns("i-1", 7, 57, 486000, 1000))
    assert hold.body == {
        "fencing_token": 7,
        "last_seen": 57,
        "deadline_ms": 486000,
        "wait_ms": 1000,
    }


def test_run_lists_are_read() -> None:
    """Guards against a run end that is read as another kind of end."""
    listed = parse_run_lists(RUN_LISTS)
    assert listed.running == (RunProgress(RUN, "00000bb87a21d94b", 41),)
    ended = RunId(TaskId(JOB_ID, 1, 9), 1)
    assert listed.ended == (RunEnd(58, ended, RunEndKind.DONE, ""),)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*JOB, *HEARTBEAT, *RUN_LISTS, *CONFIG]), inner
        )
    ),
    max_leaves=8,
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.binary(max_size=40) | json_values.map(lambda v: json.dumps(v).encode()))
def test_random_bodies_raise_only_refusals(body) -> None:
    """Guards against bodies that crash a process or are accepted in part."""
    for parse in (
        lambda: parse_call("POST", body),
        lambda: parse_operator_call(HttpRequest("PUT", "/config", body=body)),
        lambda: parse_heartbeat("i-1", body),
        lambda: parse_run_lists(read_object(body)),
    ):
        try:
            parse()
        except (BadBodyError, UnsupportedFieldError):
            continue


# --- settings ------------------------------------------------------------


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    """Guards against wrong ports and unknown keys that are refused."""
    node = parse_node_settings(NODE_SETTINGS)
    assert node.streams_address == "10.1.0.19:7001"
    assert node.seeds == ("10.1.0.19:7001", "10.2.0.35:7001")
    assert node.is_first_seed
    assert node.data_folder == "/data/x/control"
    assert node.bounds.max_lease_ms == 6000


def test_founder_is_told_by_its_disk_once_the_first_start_is_over(tmp_path) -> None:
    """Guards against a group that never forms after a kill of its founder.

    It was killed between the creation of its log and the first entry.
    """

    def host_config(first_start: bool, folder: str = "founder") -> EntryConfig:
        changed = NODE_SETTINGS | {"bootstrap": first_start}
        node = parse_node_settings(changed)
        return control_node.host_config(node, tmp_path / folder, 1)

    first = host_config(first_start=True)
    with Storage(tmp_path / "founder") as storage:
        storage.load()
    again = host_config(first_start=False)
    assert (again.founds_group, again.voters) == (True, first.voters)
    empty = host_config(first_start=False, folder="empty disk")
    assert (empty.founds_group, empty.voters) == (False, ())


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"ip": None}, "ip"),
        ({"seeds": []}, "seeds"),
        ({"bootstrap": "yes"}, "bootstrap"),
        ({"bounds": {"grace_s": 6}}, "bounds.max_hold_ms"),
        ({"internal_ports": ["a"]}, "internal_ports"),
        ({"data_directory": 7}, "data_directory"),
    ],
)
def test_error_for_invalid_settings_names_the_key(change, key) -> None:
    """Guards against an error that does not say which setting is wrong."""
    with pytest.raises(NodeSettingsError, match=key):
        parse_node_settings({**NODE_SETTINGS, **change})


def nested(depth: int) -> list[Any]:
    value: list[Any] = []
    for _ in range(depth):
        value = [value]
    return value


ODD_ROWS = [
    None,
    7,
    [],
    {},
    nested(500),
    ["a.0.0.\u00b2", 1, "", 5],
    ["a.0.0." + "9" * 5_000, 1, "", 5],
    ["a.0.0", 1, "", 5],
    ["a.0.0.0", 10**400, "", 5],
    ["a.0.0.0", 2**53 + 1, "", 5],
    ["a.0.0.0", True, "", 5],
    ["a.0.0.0", 0, "", 5],
    [nested(500), 1, "", 5],
]
REAL_ROW = [f"{JOB_ID}.0.1.17", 2, "c", 41]


@pytest.mark.parametrize("row", ODD_ROWS)
def test_rows_beside_an_odd_one_are_read(row) -> None:
    """Guards against a worker that is lost for one row that names no run."""
    end_row = [58, *row[:2], "done", ""] if isinstance(row, list) else row
    lists = parse_run_lists(
        {
            "clock_ms": 1,
            "running": [row, REAL_ROW],
            "ended": [end_row, [59, REAL_ROW[0], 1, "done", ""]],
        }
    )
    assert lists.running == (RunProgress(RUN, "c", 41),)
    assert lists.ended == (RunEnd(59, attrs.evolve(RUN, number=1), RunEndKind.DONE),)
    assert lists.unread_rows == 2


@pytest.mark.parametrize(
    "percent", [float("nan"), float("inf"), -1, "41", None, nested(500), 10**400]
)
def test_run_with_an_odd_percentage_stays_listed(percent) -> None:
    """Guards against a run that counts as absent while it is at work."""
    row = [*REAL_ROW[:2], "c", percent]
    lists = parse_run_lists({"clock_ms": 1, "running": [row], "ended": []})
    assert lists.running == (RunProgress(RUN, "c", 0),)


@pytest.mark.parametrize("how", ["vanished", None, 7, nested(500)])
def test_run_that_ended_in_an_unknown_way_starts_again(how) -> None:
    """Guards against a task that waits for the end of a run for good."""
    row = [58, REAL_ROW[0], 2, how, None]
    lists = parse_run_lists({"clock_ms": 1, "running": [], "ended": [row]})
    assert lists.ended == (RunEnd(58, RUN, RunEndKind.LAPSED),)


@pytest.mark.parametrize("key", ["clock_ms", "born"])
@pytest.mark.parametrize("value", [10**400, 1e999, nested(500), "1"])
def test_run_lists_without_their_fields_are_refused(key, value) -> None:
    """Guards against a list that is read though its clock or boot is not."""
    lists = {"clock_ms": 1, "born": 5, "running": [], "ended": []}
    with pytest.raises(BadBodyError):
        parse_run_lists({**lists, key: value})


@pytest.mark.parametrize(
    "port", ["", "x", "0", "65536", "99999", "-1", "9" * 5_000, "\u0661"]
)
def test_heartbeat_with_a_port_out_of_range_is_refused(port) -> None:
    """Guards against an address that no connection can be made to."""
    body = {**HEARTBEAT, "address": f"10.128.0.9:{port}"}
    with pytest.raises(BadBodyError, match="address"):
        parse_heartbeat("i-1", json.dumps(body).encode())


@pytest.mark.parametrize(
    "key", ["sequence", "clock_ms", "born", "remaining_ms", "cold_remaining_ms"]
)
@pytest.mark.parametrize("value", ["1" + "0" * 400, "1" + "0" * 5_000, "1e999", "-1"])
def test_heartbeat_with_a_number_out_of_range_is_refused(key, value) -> None:
    """Guards against a number that a message cannot hold."""
    text = json.dumps({**HEARTBEAT, key: "NUMBER"}).replace('"NUMBER"', value)
    with pytest.raises(BadBodyError):
        parse_heartbeat("i-1", text.encode())


@pytest.mark.parametrize("depth", [1_000, 100_000])
def test_deeply_nested_bodies_are_refused(depth) -> None:
    """Guards against a body that exhausts the stack."""
    text = json.dumps({**HEARTBEAT, "labels": "DEEP"})
    deep = "[" * depth + "]" * depth
    body = text.replace('"DEEP"', deep).encode()
    with pytest.raises(BadBodyError):
        parse_heartbeat("i-1", body)
    config = json.dumps({**CONFIG, "a_new_field": "DEEP"}).replace('"DEEP"', deep)
    with pytest.raises(BadBodyError):
        parse_operator_call(HttpRequest("PUT", "/config", body=config.encode()))


@pytest.mark.parametrize("worker_id", ["", "a b", "a\r\nX: 1", "\u00e9", "i" * 201])
def test_worker_id_that_cannot_be_sent_in_a_header_is_refused(worker_id) -> None:
    """Guards against calls to a worker that cannot be made."""
    with pytest.raises(BadBodyError, match="id"):
        parse_heartbeat(worker_id, json.dumps(HEARTBEAT).encode())


@pytest.mark.parametrize("value", [2**53 + 1, 10**400])
@pytest.mark.parametrize("key", ["estimated_ms", "cpu", "mem_mb", "gpus"])
def test_amounts_out_of_range_are_refused(key, value) -> None:
    """Guards against numbers that overflow when the leader plans."""
    with pytest.raises(BadBodyError):
        parse_call("POST", {"spec": "", "steps": [{"count": 1, key: value}]})
