"""Run entry hosts, agents and stand-ins as processes on loopback addresses.

Each host has its own loopback address and data folder, so that the settings
resemble those of separate hosts.
"""

import contextlib
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import urllib3
import yaml

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
STOP_LIMIT_S = 30
START_LIMIT_S = 20
ENTRY_NETWORK = "127.0.1"
WORKER_NETWORK = "127.0.2"


def free_port(address: str) -> int:
    """Return a port that is currently free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return int(sock.getsockname()[1])


def free_address(address: str) -> str:
    """Return `host:port` with a free port."""
    return f"{address}:{free_port(address)}"


@attrs.define
class Process:
    """A child process and its log file."""

    name: str
    command: list[str]
    log: Path
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, appending its output to the log file."""
        with self.log.open("ab") as log_file:
            self.popen = subprocess.Popen(
                self.command, stdout=log_file, stderr=subprocess.STDOUT, cwd=ROOT
            )

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def kill(self) -> None:
        """Kill the process without notice, as a host failure would."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.popen is not None:
            self.popen.send_signal(number)

    def stop(self) -> int:
        """Terminate the process and return its exit status.

        Kills it after `STOP_LIMIT_S` and then returns -1.
        """
        if self.popen is None:
            return 0
        self.popen.terminate()
        try:
            return self.popen.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return -1


@attrs.define
class EntryProcess:
    """An entry host with its addresses."""

    id: str
    callers: str
    peers: str
    agents: str
    failure_domain: str
    process: Process


@attrs.define
class WorkerProcess:
    """A worker: a stand-in backend server and its agent."""

    id: str
    backend: str
    backend_process: Process
    agent_process: Process


@attrs.define
class LocalHosts:
    """All processes of a local deployment."""

    folder: Path
    entries: list[EntryProcess] = attrs.Factory(list)
    workers: list[WorkerProcess] = attrs.Factory(list)

    def endpoints(self) -> list[str]:
        """Return the callers' addresses of all entry hosts."""
        return [entry.callers for entry in self.entries]

    def backends(self) -> list[str]:
        """Return the addresses of all stand-in backend servers."""
        return [worker.backend for worker in self.workers]

    def processes(self) -> list[Process]:
        """Return all processes in stop order: dependents first."""
        agents = [worker.agent_process for worker in self.workers]
        entries = [entry.process for entry in self.entries]
        backends = [worker.backend_process for worker in self.workers]
        return agents + entries + backends


def prepare(
    folder: Path,
    entries: int = 3,
    workers: int = 3,
    worker_options: tuple[str, ...] = (),
    timing: dict[str, Any] | None = None,
) -> LocalHosts:
    """Write the settings of all hosts to `folder` without starting them."""
    hosts = LocalHosts(folder)
    for number in range(1, entries + 1):
        address = f"{ENTRY_NETWORK}.{number}"
        hosts.entries.append(
            EntryProcess(
                id=f"entry-{number}",
                callers=free_address(address),
                peers=free_address(address),
                agents=free_address(address),
                failure_domain=f"fd-{number}",
                process=_daemon_process(folder, f"entry-{number}"),
            )
        )
    for entry in hosts.entries:
        _write_settings(folder, entry.id, _entry_settings(hosts, entry, timing or {}))
    for number in range(1, workers + 1):
        hosts.workers.append(_prepare_worker(hosts, number, worker_options))
    return hosts


def _entry_settings(
    hosts: LocalHosts, entry: EntryProcess, timing: dict[str, Any]
) -> dict[str, Any]:
    members = [
        {
            "id": other.id,
            "address": other.peers,
            "failure_domain": other.failure_domain,
            "has_disk": True,
        }
        for other in hosts.entries
    ]
    return {
        "role": "entry",
        "id": entry.id,
        "failure_domain": entry.failure_domain,
        "data_folder": str(hosts.folder / entry.id),
        "listen": {
            "callers": entry.callers,
            "peers": entry.peers,
            "agents": entry.agents,
        },
        "hosts": members,
        "voters": [other.id for other in hosts.entries],
        "insecure_loopback": True,
        **timing,
    }


def _prepare_worker(
    hosts: LocalHosts, number: int, options: tuple[str, ...]
) -> WorkerProcess:
    name = f"worker-{number}"
    backend = free_address(f"{WORKER_NETWORK}.{number}")
    settings = {
        "role": "agent",
        "backend_server": f"http://{backend}",
        "entries": [entry.agents for entry in hosts.entries],
        "insecure_loopback": True,
    }
    _write_settings(hosts.folder, f"agent-{number}", settings)
    command = [
        sys.executable,
        str(ROOT / "standins" / "backend_server.py"),
        "--listen",
        backend,
        "--worker",
        name,
        "--rack",
        "rack-1",
        "--failure-domain",
        "fd-1",
        *options,
    ]
    return WorkerProcess(
        id=name,
        backend=backend,
        backend_process=Process(name, command, hosts.folder / f"{name}.log"),
        agent_process=_daemon_process(hosts.folder, f"agent-{number}"),
    )


def _daemon_process(folder: Path, name: str) -> Process:
    command = [str(BIN / "crocuswelld"), str(folder / f"{name}.yaml")]
    return Process(name, command, folder / f"{name}.log")


def _write_settings(folder: Path, name: str, settings: dict[str, Any]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings, sort_keys=False), encoding="utf-8")


@contextlib.contextmanager
def running(hosts: LocalHosts) -> Iterator[LocalHosts]:
    """Start all processes and wait until ready; kill them on exit."""
    with contextlib.ExitStack() as stack:
        for process in reversed(hosts.processes()):
            stack.callback(process.kill)
            process.start()
        wait_until_ready(hosts)
        yield hosts


def stop_all(hosts: LocalHosts) -> list[str]:
    """Stop all processes in order; return daemons that stopped uncleanly.

    Each item is the name and the non-zero exit status of a daemon.
    """
    failed: list[str] = []
    for process in hosts.processes():
        status = process.stop()
        is_daemon = process.command[0].endswith("crocuswelld")
        if is_daemon and status != 0:
            failed.append(f"{process.name} (status {status})")
    return failed


def wait_until_entry_ready(entry: EntryProcess) -> None:
    """Wait until an entry host reports that it is ready."""
    retries = urllib3.Retry(
        total=START_LIMIT_S * 4,
        backoff_factor=0.25,
        backoff_max=0.25,
        status_forcelist=[503],
    )
    with urllib3.PoolManager() as pool:
        url = f"http://{entry.callers}/readyz"
        pool.request("GET", url, retries=retries, timeout=5)


def wait_until_ready(hosts: LocalHosts) -> None:
    """Wait until all entry hosts are ready and all workers are registered.

    Raises
    ------
    RuntimeError
        If workers are missing after the last retry.
    """
    for entry in hosts.entries:
        wait_until_entry_ready(entry)
    pool = urllib3.PoolManager()
    retry = urllib3.Retry(total=START_LIMIT_S * 4, backoff_factor=0.25)
    for _ in range(START_LIMIT_S * 4):
        url = f"http://{hosts.endpoints()[0]}/v1/workers"
        answer = pool.request("GET", url, timeout=5)
        if len(answer.json()["workers"]) == len(hosts.workers):
            return
        retry = retry.increment("GET", url, response=answer)
        retry.sleep()
    raise RuntimeError("not all workers registered in time; see the log files")
