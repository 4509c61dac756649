"""Settings: invalid ones must be reported before the process starts."""

import copy
import socket
from pathlib import Path
from typing import Any

import pytest
import yaml
from hypothesis import given, settings, strategies as st

from crocuswell_core.agent.agent_state import AgentConfig
from crocuswell_core.cluster.commands import EntryHost
from crocuswell_core.entry.entry_state import EntryConfig
from crocuswell_daemon.agent_main import pack_settings, unpack_settings
from crocuswell_daemon.roles import AgentSettings, EntrySettings, timing_keys
from crocuswell_daemon.setting_rules import Mismatch
from crocuswell_daemon.settings import SettingsError, load_settings, parse_settings

REPEATABLE = settings(derandomize=True, deadline=None, database=None)

ENTRY: dict[str, Any] = {
    "role": "entry",
    "id": "e1",
    "failure_domain": "d1",
    "data_folder": "/var/lib/crocuswell",
    "listen": {
        "callers": "127.0.1.1:8000",
        "peers": "127.0.1.1:8001",
        "agents": "127.0.1.1:8002",
    },
    "hosts": [
        {"id": "e1", "address": "127.0.1.1:8001", "failure_domain": "d1"},
        {
            "id": "e2",
            "address": "127.0.1.2:8001",
            "failure_domain": "d2",
            "has_disk": False,
        },
    ],
    "voters": ["e1"],
    "insecure_loopback": True,
}
AGENT: dict[str, Any] = {
    "role": "agent",
    "backend_server": "http://127.0.2.1:9000",
    "entries": ["127.0.1.1:8002", "127.0.1.2:8002"],
    "insecure_loopback": True,
}
MISSING = object()


def with_value(base: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    result = copy.deepcopy(base)
    *parents, last = path.split(".")
    inner: Any = result
    for key in parents:
        inner = inner[int(key) if isinstance(inner, list) else key]
    if value is MISSING:
        del inner[last]
    else:
        inner[int(last) if isinstance(inner, list) else last] = value
    return result


def find_problem(raw: Any) -> str:
    with pytest.raises(Mismatch) as caught:
        parse_settings(yaml.safe_dump(raw))
    return str(caught.value)


def test_entry_settings_are_read() -> None:
    """Guards against a key that is parsed but ignored."""
    raw = {**ENTRY, "seed": 5, "heartbeat_ms": 100, "snapshot_entries": 50}
    found = parse_settings(yaml.safe_dump(raw))
    assert isinstance(found, EntrySettings)
    cfg = found.core_config(5)
    assert cfg == EntryConfig(
        host=EntryHost("e1", "127.0.1.1:8001", "d1"),
        hosts=(
            EntryHost("e1", "127.0.1.1:8001", "d1"),
            EntryHost("e2", "127.0.1.2:8001", "d2", has_disk=False),
        ),
        voters=("e1",),
        seed=5,
        heartbeat_ms=100,
        snapshot_entries=50,
    )


def test_agent_settings_are_read() -> None:
    """Guards against a key that is parsed but ignored."""
    found = parse_settings(yaml.safe_dump({**AGENT, "poll_ms": 50}))
    assert isinstance(found, AgentSettings)
    assert found.backend_address == "127.0.2.1:9000"
    assert found.core_config(3, "i") == AgentConfig(
        ("127.0.1.1:8002", "127.0.1.2:8002"), "i", seed=3, poll_ms=50
    )


def test_agent_settings_survive_the_replacement_of_the_process() -> None:
    """Guards against an agent that runs with settings that differ."""
    found = parse_settings(yaml.safe_dump({**AGENT, "seed": 2**63 - 1, "poll_ms": 50}))
    assert isinstance(found, AgentSettings)
    assert unpack_settings(pack_settings(found)) == found


def test_every_timing_key_of_the_core_can_be_set() -> None:
    """Guards against a timing key that the settings reject."""
    for base, cls in ((ENTRY, EntryConfig), (AGENT, AgentConfig)):
        for key in timing_keys(cls):
            field = next(f for f in cls.__attrs_attrs__ if f.name == key)
            parse_settings(yaml.safe_dump({**base, key: field.default}))


CASES = [
    (ENTRY, "role", MISSING, "role: found nothing, expected entry or agent"),
    (ENTRY, "role", "entri", "role: found 'entri', expected entry or agent"),
    (ENTRY, "role", ["entry"], "role: found ['entry'], expected entry or agent"),
    (ENTRY, "id", MISSING, "id: found nothing, expected a value"),
    (ENTRY, "id", 7, "id: found 7, expected text"),
    (ENTRY, "id", "e9", "id: found 'e9', expected an id of hosts (e1, e2)"),
    (ENTRY, "id", "", "id: found '', expected a name without blanks"),
    (ENTRY, "failure_domain", "d2", "failure_domain: found 'd2', expected 'd1'"),
    (ENTRY, "data_folder", MISSING, "data_folder: found nothing, expected a folder"),
    (ENTRY, "data_folder", None, "data_folder: found None, expected a folder if"),
    (ENTRY, "data_folder", 5, "data_folder: found 5, expected text or null"),
    (ENTRY, "hosts.0.has_disk", False, "voters.0: found 'e1' without a disk"),
    (ENTRY, "listen", "127.0.0.1:1", "listen: found '127.0.0.1:1', expected a map"),
    (ENTRY, "listen.calers", "127.0.0.1:1", "listen.calers: found an unknown key"),
    (ENTRY, "listen.agents", MISSING, "listen.agents: found nothing, expected"),
    (ENTRY, "listen.peers", "127.0.1.1:9", "listen.peers: found '127.0.1.1:9'"),
    (ENTRY, "listen.callers", "127.0.1.1:8001", "listen: found '127.0.1.1:8001' tw"),
    (ENTRY, "hosts", {}, "hosts: found {}, expected a list"),
    (ENTRY, "hosts.0", "e1", "hosts.0: found 'e1', expected a mapping of keys"),
    (ENTRY, "hosts.1.id", "e1", "hosts: found 'e1' twice, expected values that"),
    (ENTRY, "hosts.1.address", "127.0.1.1:8001", "hosts: found '127.0.1.1:8001'"),
    (ENTRY, "hosts.1.has_disk", "yes", "hosts.1.has_disk: found 'yes', expected"),
    (ENTRY, "hosts.1.zone", "z", "hosts.1.zone: found an unknown key, expected one"),
    (ENTRY, "voters", [], "voters: found an empty list, expected one id or more"),
    (ENTRY, "voters", "e1", "voters: found 'e1', expected a list"),
    (ENTRY, "voters", ["e1", "e1"], "voters: found 'e1' twice"),
    (ENTRY, "voters", ["e1", 2], "voters.1: found 2, expected text"),
    (ENTRY, "voters", ["e3"], "voters.0: found 'e3', expected one of e1, e2"),
    (ENTRY, "voters", ["e2"], "voters.0: found 'e2' without a disk, expected"),
    (ENTRY, "insecure_loopback", False, "insecure_loopback: found false, expected"),
    (ENTRY, "insecure_loopback", "true", "insecure_loopback: found 'true', expec"),
    (ENTRY, "insecure_loopback", MISSING, "insecure_loopback: found nothing"),
    (ENTRY, "seed", 1.5, "seed: found 1.5, expected a whole number or null"),
    (ENTRY, "seed", True, "seed: found True, expected a whole number or null"),
    (ENTRY, "seed", -1, "seed: found -1, expected 0 to 9223372036854775807"),
    (AGENT, "seed", 2**63, "seed: found 9223372036854775808, expected 0 to"),
    (ENTRY, "timing", {}, "timing: found an unknown key"),
    (ENTRY, "heartbeat_s", 1, "heartbeat_s: found an unknown key, expected one of"),
    (ENTRY, "poll_ms", 1, "poll_ms: found an unknown key, expected one of"),
    (ENTRY, "heartbeat_ms", "150ms", "heartbeat_ms: found '150ms', expected a who"),
    (ENTRY, "heartbeat_ms", 0.15, "heartbeat_ms: found 0.15, expected a whole"),
    (ENTRY, "heartbeat_ms", 0, "heartbeat_ms: found 0, expected 1 to 3600000 ms"),
    (ENTRY, "heartbeat_ms", None, "heartbeat_ms: found nothing, expected a whole"),
    (ENTRY, "heartbeat_ms", 500, "heartbeat_ms: found heartbeat_ms 500 ms and"),
    (ENTRY, "leader_lease_ms", 600, "leader_lease_ms: found leader_lease_ms 600 ms"),
    (ENTRY, "election_max_ms", 600, "election_max_ms: found election_min_ms 600 ms"),
    (AGENT, "id", "a1", "id: found an unknown key, expected one of role, backend"),
    (AGENT, "entries", [], "entries: found an empty list, expected one address"),
    (AGENT, "entries", ["127.0.0.1:1"] * 2, "entries: found '127.0.0.1:1' twice"),
    (AGENT, "silence_ms", 5_000, "silence_ms: found silence_ms 5000 ms and admiss"),
    (AGENT, "heartbeat_ms", 3_600_001, "heartbeat_ms: found 3600001, expected 1 to"),
]


@pytest.mark.parametrize(("base", "path", "value", "expected"), CASES)
def test_a_wrong_key_is_named(
    base: dict[str, Any], path: str, value: Any, expected: str
) -> None:
    """Guards against a process that starts with settings it can't run with."""
    assert find_problem(with_value(base, path, value)).startswith(expected)


ADDRESSES = [
    *("127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536"),
    *("127.0.0.1:-1", "127.0.0.1:٣", "127.0.0.1: 80", "localhost:80", "a:b:80"),
    *("::1:80", "[127.0.0.1]:80", "127.1:80", "http://127.0.0.1:80", "", "[]:80"),
]


@pytest.mark.parametrize("address", ADDRESSES)
def test_a_malformed_address_is_named(address: str) -> None:
    """Guards against missing ports and host names, which need a resolver."""
    problem = find_problem(with_value(ENTRY, "listen.callers", address))
    assert problem == (
        f"listen.callers: found {address!r}, expected host:port with an IP number"
    )
    assert find_problem(with_value(AGENT, "entries.1", address)).startswith(
        "entries.1: "
    )


@pytest.mark.parametrize("address", ["10.0.0.1:80", "0.0.0.0:80", "[fe80::1]:80"])
def test_an_address_beyond_loopback_is_named(address: str) -> None:
    """Guards against ports open to the network while there are no keys."""
    for base, path in ((ENTRY, "listen.agents"), (AGENT, "entries.0")):
        assert "loopback" in find_problem(with_value(base, path, address))


def test_an_ipv6_loopback_address_is_valid() -> None:
    """Guards against a check that accepts only IPv4 addresses."""
    parse_settings(yaml.safe_dump(with_value(AGENT, "entries.0", "[::1]:80")))


@pytest.mark.parametrize(
    "url",
    [
        *("127.0.0.1:80", "https://127.0.0.1:80", "http://127.0.0.1:80/", "http://"),
        *(
            "http://127.0.0.1",
            "http://localhost:80",
            "http://[",
            "http://u@127.0.0.1:1",
        ),
    ],
)
def test_a_malformed_url_is_named(url: str) -> None:
    """Guards against an agent that can't reach its backend server."""
    problem = find_problem(with_value(AGENT, "backend_server", url))
    assert problem.startswith("backend_server: found ")


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "file: found nothing, expected a mapping of keys"),
        ("- role", "file: found ['role'], expected a mapping of keys"),
        ("role: [", "line 1: found "),
        ("role: entry\nid: a\nid: b\n", "id: found the key twice, expected it once"),
        ("role: !!python/object:os.system x", "line 1: found "),
        ("role: \x00", "file: found "),
        ("? [a]\n: b", "line 1: found unhashable key, expected YAML"),
        ("{a: 1}: b", "line 1: found "),
        ("role: entry\n<<: 5", "line 2: found "),
        ("x: 2001-99-99", "file: found a value that can't be read, expected YAML"),
    ],
)
def test_what_is_not_a_mapping_in_yaml_is_named(text: str, expected: str) -> None:
    """Guards against a traceback instead of a one-line error."""
    with pytest.raises(Mismatch) as caught:
        parse_settings(text)
    assert str(caught.value).startswith(expected)


@given(st.text(alphabet="role: entyagid\n-[]{}?!&*#|>'\"%@`,\t0x", max_size=60))
@settings(REPEATABLE, max_examples=500)
def test_any_text_gives_one_line(text: str) -> None:
    """Guards against a traceback instead of a one-line error."""
    with pytest.raises(Mismatch):
        parse_settings(text)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4) | st.integers(), inner, max_size=3)
    ),
    max_leaves=5,
)


@given(
    st.sampled_from([ENTRY, AGENT]),
    st.sampled_from([*ENTRY, *AGENT, "heartbeat_ms", "unknown"]),
    VALUES,
)
@settings(REPEATABLE, max_examples=600)
def test_any_value_gives_settings_or_one_line(
    base: dict[str, Any], key: str, value: Any
) -> None:
    """Guards against a traceback instead of a one-line error."""
    try:
        parse_settings(yaml.safe_dump({**base, key: value}, allow_unicode=True))
    except Mismatch:
        return


def write(folder: Path, raw: dict[str, Any]) -> Path:
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(raw), encoding="utf-8")
    return path


def local_entry(folder: Path) -> dict[str, Any]:
    ports = []
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
    for sock in sockets:
        ports.append(sock.getsockname()[1])
        sock.close()
    raw = with_value(ENTRY, "data_folder", str(folder / "data"))
    for key, port in zip(("callers", "peers", "agents"), ports, strict=True):
        raw["listen"][key] = f"127.0.0.1:{port}"
    raw["hosts"][0]["address"] = raw["listen"]["peers"]
    return raw


def load_problem(path: Path) -> str:
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    message = str(caught.value)
    assert message.startswith(f"{path}: ")
    assert "\n" not in message
    return message.removeprefix(f"{path}: ")


def test_valid_settings_leave_nothing_behind(tmp_path: Path) -> None:
    """Guards against a check that creates the folder or keeps ports open."""
    path = write(tmp_path, local_entry(tmp_path))
    for _ in range(2):
        load_settings(path)
    assert [item.name for item in tmp_path.iterdir()] == ["settings.yaml"]


def test_an_address_in_use_is_named(tmp_path: Path) -> None:
    """Guards against a host that starts without one of its listeners."""
    raw = local_entry(tmp_path)
    host, port = raw["listen"]["agents"].split(":")
    with socket.create_server((host, int(port))):
        problem = load_problem(write(tmp_path, raw))
    assert problem == (
        f"listen.agents: found {host}:{port} in use, expected an address that is free"
    )


@pytest.mark.parametrize(
    ("place", "expected"),
    [
        ("missing/data", "is not a folder, expected a folder"),
        ("settings.yaml", "is not a folder, expected a folder"),
        ("/proc/self/data", "expected a writable folder"),
        ("/proc/self", "expected a writable folder"),
    ],
)
def test_a_data_folder_that_cannot_be_written_is_named(
    tmp_path: Path, place: str, expected: str
) -> None:
    """Guards against a host that can't store its first vote."""
    raw = with_value(local_entry(tmp_path), "data_folder", str(tmp_path / place))
    problem = load_problem(write(tmp_path, raw))
    assert problem.startswith("data_folder: found ")
    assert problem.endswith(expected)


def test_a_file_that_cannot_be_read_is_named(tmp_path: Path) -> None:
    """Guards against a traceback instead of a one-line error."""
    assert "No such file" in load_problem(tmp_path / "absent.yaml")
    assert "directory" in load_problem(tmp_path)
    path = tmp_path / "bytes.yaml"
    path.write_bytes(b"\xff\xfe\xff")
    assert "UTF-8" in load_problem(path)
