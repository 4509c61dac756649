"""Measure how the cost of an entry host grows from 10 to 640 agents.

The fitted lines are the figures of docs/CAPACITY.md.

Starts one real entry host that leads a group of one, opens N streams from a
few processes, and measures the entry host's processor time, memory, bytes
per agent, and the time from the acceptance of a configuration change until
it is in force.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

from local_hosts import prepare, running  # noqa: E402
from platform_calls import PlatformClient  # noqa: E402

SIZES = (10, 80, 320, 640)
STREAMS_PER_PROCESS = 160
SETTLE_S = 6.0
MEASURE_S = 10.0
IN_FORCE_LIMIT_S = 7.0
CONTROL_HOSTS = 7
POLL_S = 0.05


@attrs.frozen
class Measurement:
    """Figures measured with one number of streams."""

    agents: int
    processor_share: float
    memory_mb: float
    bytes_per_agent_s: float
    in_force_s: float


def main() -> int:
    """Measure all sizes, print the rows and the fits."""
    measurements = [measure(size) for size in SIZES]
    print("agents  processor  memory MB  bytes/agent/s  in force s")
    for row in measurements:
        print(
            f"{row.agents:6}  {row.processor_share:8.1%}  {row.memory_mb:9.1f}  "
            f"{row.bytes_per_agent_s:13.0f}  {row.in_force_s:10.2f}"
        )
    agents = [float(row.agents) for row in measurements]
    print_fit(
        "processor share",
        agents,
        [row.processor_share for row in measurements],
    )
    print_fit("memory MB", agents, [row.memory_mb for row in measurements])
    return 0


def print_fit(name: str, xs: list[float], ys: list[float]) -> None:
    """Print a least-squares line and its largest error."""
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    slope /= sum((x - mean_x) ** 2 for x in xs)
    intercept = mean_y - slope * mean_x
    max_error = max(abs(y - intercept - slope * x) for x, y in zip(xs, ys, strict=True))
    print(
        f"fit {name}: {intercept:.4f} + {slope:.6f} x agents, "
        f"largest error {max_error:.4f}"
    )


def measure(size: int) -> Measurement:
    """Measure an entry host with `size` streams."""
    with tempfile.TemporaryDirectory(prefix="crocuswell-capacity-") as folder:
        hosts = prepare(Path(folder), entries=1, workers=0)
        with running(hosts):
            entry = hosts.entries[0]
            if entry.process.popen is None:
                raise RuntimeError("the entry host did not start")
            pid = entry.process.popen.pid
            stubs = start_stubs(entry.agents, size)
            time.sleep(SETTLE_S)
            processor_before_s = processor_s(pid)
            time.sleep(MEASURE_S)
            share = (processor_s(pid) - processor_before_s) / MEASURE_S
            in_force_s = time_configuration_change(PlatformClient(hosts.endpoints()))
            memory_mb = resident_bytes(pid) / 1e6
            summaries = stop_stubs(stubs)
    elapsed_s = SETTLE_S + MEASURE_S + in_force_s
    total = sum(s["sent_bytes"] + s["received_bytes"] for s in summaries)
    confirmed = sum(s["confirmed"] for s in summaries)
    if confirmed != size:
        raise RuntimeError(f"{confirmed} of {size} agents hold a lease")
    return Measurement(size, share, memory_mb, total / size / elapsed_s, in_force_s)


def start_stubs(address: str, size: int) -> list[subprocess.Popen[str]]:
    """Start the processes that open the streams."""
    started = []
    for first in range(1, size + 1, STREAMS_PER_PROCESS):
        count = min(STREAMS_PER_PROCESS, size - first + 1)
        command = [sys.executable, "-m", "bench.agent_stubs", address]
        started.append(
            subprocess.Popen(
                [*command, str(first), str(count)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
                cwd=ROOT,
            )
        )
    return started


def stop_stubs(stubs: list[subprocess.Popen[str]]) -> list[dict[str, Any]]:
    """Stop the processes and return their counters."""
    return [json.loads(process.communicate("")[0]) for process in stubs]


def time_configuration_change(platform: PlatformClient) -> float:
    """Return the time in s from accepting a change until it is in force."""
    configuration = {"workspaces": [{"name": "quotes"}], "limits": {"attempts": 4}}
    number = platform.apply(configuration)
    accepted_s = time.monotonic()
    while time.monotonic() - accepted_s < IN_FORCE_LIMIT_S:
        view = platform.call("GET", "/v1/configuration").json()
        if view["in_force"] >= number:
            break
        time.sleep(POLL_S)
    return time.monotonic() - accepted_s


def processor_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


if __name__ == "__main__":
    sys.exit(main())
