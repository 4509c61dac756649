"""Processes: start, stop, exit status and memory use."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
import yaml

from crocuswell_core.runtime.effects import TermRecord
from crocuswell_daemon.main import LEAN_ENVIRONMENT
from crocuswell_daemon.storage import Storage

BINARY = Path(sys.executable).with_name("crocuswelld")
# Time limit of a test that hangs.
HANG_LIMIT_S = 60
AGENT_MEMORY_BYTES = 32_000_000
FORBIDDEN_MODULES = ("prometheus_client", "cheroot", "yaml", "cattrs", "typer")


def free_addresses(count: int) -> list[str]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


def write_entry(folder: Path, name: str = "e1", data: str = "data") -> Path:
    callers, peers, agents = free_addresses(3)
    host = {"id": "e1", "address": peers, "failure_domain": "d1"}
    raw = {
        "role": "entry",
        "id": "e1",
        "failure_domain": "d1",
        "data_folder": str(folder / data),
        "listen": {"callers": callers, "peers": peers, "agents": agents},
        "hosts": [host],
        "voters": ["e1"],
        "insecure_loopback": True,
    }
    return write(folder / f"{name}.yaml", raw)


def write_agent(folder: Path) -> Path:
    backend, entry = free_addresses(2)
    raw = {
        "role": "agent",
        "backend_server": f"http://{backend}",
        "entries": [entry],
        "insecure_loopback": True,
    }
    return write(folder / "agent.yaml", raw)


def write(path: Path, raw: dict[str, Any]) -> Path:
    path.write_text(yaml.safe_dump(raw), encoding="utf-8")
    return path


@contextmanager
def started(path: Path) -> Iterator[subprocess.Popen[str]]:
    with subprocess.Popen(
        [str(BINARY), str(path)], stdout=subprocess.PIPE, text=True
    ) as process:
        try:
            yield process
        finally:
            process.kill()


def wait_for(process: subprocess.Popen[str], event: str) -> None:
    """Read log lines up to the given event."""
    assert process.stdout is not None
    seen = []
    for line in process.stdout:
        seen.append(line)
        if json.loads(line)["event"] == event:
            return
    pytest.fail(f"{event} was never logged: {seen}")


def run(path: Path, *options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [str(BINARY), str(path), *options],
        capture_output=True,
        text=True,
        timeout=HANG_LIMIT_S,
        check=False,
    )


def test_check_accepts_valid_settings_and_starts_nothing(tmp_path: Path) -> None:
    """Guards against a check that starts the role."""
    for path in (write_entry(tmp_path), write_agent(tmp_path)):
        result = run(path, "--check")
        assert (result.returncode, result.stderr) == (0, "")
    assert not (tmp_path / "data").exists()


@pytest.mark.parametrize("options", [(), ("--check",)])
def test_wrong_settings_end_with_one_line_and_status_2(
    tmp_path: Path, options: tuple[str, ...]
) -> None:
    """Guards against a traceback, or a start, with wrong settings."""
    path = write(tmp_path / "wrong.yaml", {"role": "agent", "insecure_loopback": 1})
    result = run(path, *options)
    assert result.returncode == 2
    assert re.fullmatch(rf"{re.escape(str(path))}: \S+: found .*\n", result.stderr)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_an_entry_host_stops_with_status_0(tmp_path: Path, number: int) -> None:
    """Guards against a planned stop that is reported as a failure."""
    with started(write_entry(tmp_path)) as process:
        wait_for(process, "process_started")
        process.send_signal(number)
        wait_for(process, "process_stopped")
        assert process.wait(HANG_LIMIT_S) == 0


def test_an_agent_keeps_its_pid_and_stops_with_status_0(tmp_path: Path) -> None:
    """Guards against a supervisor that loses the agent's process."""
    with started(write_agent(tmp_path)) as process:
        wait_for(process, "process_started")
        arguments = Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")
        assert b"-OO" in arguments
        assert b"crocuswell_daemon.lean" in arguments
        process.send_signal(signal.SIGTERM)
        wait_for(process, "process_stopped")
        assert process.wait(HANG_LIMIT_S) == 0


def test_a_second_process_on_a_data_folder_ends_with_status_1(tmp_path: Path) -> None:
    """Guards against two writers of one log."""
    with started(write_entry(tmp_path)) as process:
        wait_for(process, "process_started")
        result = run(write_entry(tmp_path, "other"))
        assert result.returncode == 1
        assert "another process uses this data folder" in result.stdout
        assert "Traceback" not in result.stdout + result.stderr


def test_a_damaged_log_ends_with_status_1_and_is_named(tmp_path: Path) -> None:
    """Guards against a host that runs with corrupt state."""
    path = write_entry(tmp_path)
    with Storage(tmp_path / "data") as storage:
        storage.load()
        for term in (1, 2):
            storage.append([TermRecord(term, "e1")])
            storage.sync()
    log = tmp_path / "data" / "log"
    data = bytearray(log.read_bytes())
    data[32] ^= 1
    log.write_bytes(data)
    result = run(path)
    assert result.returncode == 1
    assert f"{log}: offset 20: damaged record" in result.stdout
    assert '"kind": "corrupt_state"' in result.stdout
    assert "Traceback" not in result.stdout + result.stderr


def test_a_killed_host_starts_again_in_a_later_term(tmp_path: Path) -> None:
    """Guards against a host that forgets the term it voted in."""
    path = write_entry(tmp_path)
    terms = []
    for _ in range(2):
        with started(path) as process:
            assert process.stdout is not None
            for line in process.stdout:
                entry = json.loads(line)
                if entry["event"] == "leadership_gained":
                    terms.append(int(entry["term"]))
                    break
            process.kill()
            process.wait(HANG_LIMIT_S)
    assert len(terms) == 2
    assert terms[0] < terms[1]


REPORT_SCRIPT = """
import json, re, sys
from crocuswell_daemon import lean
lean.load_agent()
status = open("/proc/self/status").read()
memory = int(re.search(r"VmRSS:\\s+(\\d+)", status)[1]) * 1024
print(json.dumps({"modules": sorted(sys.modules), "memory": memory}))
"""


@pytest.fixture(scope="module")
def agent_report() -> dict[str, Any]:
    """Modules and memory after importing the agent, from the second start.

    The first start may have to compile the modules, which needs more memory.
    """
    for _ in range(2):
        result = subprocess.run(
            [sys.executable, "-OO", "-c", REPORT_SCRIPT],
            env={**os.environ, **LEAN_ENVIRONMENT},
            capture_output=True,
            text=True,
            timeout=HANG_LIMIT_S,
            check=True,
        )
    report: dict[str, Any] = json.loads(result.stdout)
    return report


def test_the_agent_loads_no_library_of_the_entry_host(
    agent_report: dict[str, Any],
) -> None:
    """Guards against imports that exceed the agent's memory limit."""
    loaded = {name.partition(".")[0] for name in agent_report["modules"]}
    assert loaded.isdisjoint(FORBIDDEN_MODULES)
    assert "crocuswell_daemon.agent_main" in agent_report["modules"]


def test_the_agents_imports_stay_below_its_memory_limit(
    agent_report: dict[str, Any],
) -> None:
    """Guards against an agent over 32 MB before it holds any connection."""
    assert agent_report["memory"] < AGENT_MEMORY_BYTES
