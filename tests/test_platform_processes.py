"""Tests of the program `control` as real processes."""

import json
import os
import socket
import subprocess
import sys
import time
import tomllib
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import yaml

from crocuswell_platform import control_node, front_node
from crocuswell_platform.listeners import METRICS_PATH
from tests.test_platform_adapter import CONFIG, NODE_SETTINGS

ROOT = Path(__file__).resolve().parent.parent
HOST_IP, GATEWAY_IP = "127.0.0.1", "127.0.0.2"
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0


def free_ports(count: int) -> int:
    """Return the first of `count` consecutive free ports."""
    for first in range(20_000, 30_000, 16):
        with ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((HOST_IP, port))
            except OSError:
                continue
            return first
    raise RuntimeError("no free ports")


def settings(ip: str, first_port: int, folder: Path | None) -> dict[str, object]:
    control_port = first_port + 8
    return {
        **NODE_SETTINGS,
        "node_name": f"frontend-{ip}",
        "ip": ip,
        "listen": {"control": f"{ip}:{control_port}"},
        "internal_ports": [first_port, first_port + 4],
        "seeds": [f"{HOST_IP}:{control_port}", f"{GATEWAY_IP}:{control_port}"],
        "data_directory": str(folder) if folder else None,
        "fault_tolerance": {"machines": 0},
    }


@contextmanager
def control_process(path: Path, document: dict[str, object]) -> Iterator[None]:
    path.write_text(yaml.safe_dump(document))
    process = subprocess.Popen(
        [sys.executable, "-m", "crocuswell_platform", "control"],
        env={**os.environ, "CROCUSWELL_BOOT": str(path)},
        stdout=subprocess.DEVNULL,
    )
    try:
        yield
        process.terminate()
        assert process.wait(STOP_TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()


def call_config(address: str, body: bytes | None = None) -> tuple[int, bytes]:
    """Call `/config`, retrying until there is an answer other than 5xx."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    method = "GET" if body is None else "PUT"
    while True:
        request = urllib.request.Request(
            f"http://{address}/config", data=body, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=3) as resp:
                return resp.status, resp.read()
        except OSError as exc:
            final = isinstance(exc, urllib.error.HTTPError) and exc.code < 500
            if final or time.monotonic() > deadline_s:
                raise
            time.sleep(0.1)


def test_gateway_without_a_disk_answers_operators(tmp_path: Path) -> None:
    """Guards against a machine without a disk that exits at its start."""
    first_port = free_ports(10)
    host = settings(HOST_IP, first_port, tmp_path / "data")
    gateway = settings(GATEWAY_IP, first_port, None)
    with (
        control_process(tmp_path / "host.yaml", host),
        control_process(tmp_path / "gateway.yaml", gateway),
    ):
        address = f"{GATEWAY_IP}:{first_port + 8}"
        assert call_config(address, json.dumps(CONFIG).encode())[0] == 200
        status, body = call_config(address)
        assert (status, json.loads(body)) == (200, CONFIG)
        assert call_config(f"{HOST_IP}:{first_port + 8}")[1] == body


def test_deploy_file_names_the_ports_that_metrics_are_served_on() -> None:
    """Guards against scraping metrics at a port that is not served."""
    deploy = tomllib.loads(
        (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    )
    ports = {
        role: fields["metrics"]
        for role, fields in deploy["roles"].items()
        if "metrics" in fields
    }
    assert ports == {
        "control": f"{control_node.METRICS_PORT}{METRICS_PATH}",
        "front": f"{front_node.METRICS_PORT}{METRICS_PATH}",
    }
