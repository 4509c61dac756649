"""Resident memory and control traffic of an agent under full load.

Starts a real agent process with 8 running tasks and 64 open connections to
the stand-in backend server, and an entry host's listener in this process
that confirms heartbeats. Prints the agent's peak resident memory, the bytes
on its stream, and its processor time.
"""

import argparse
import asyncio
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager
from functools import partial, singledispatch
from pathlib import Path

import attrs
import yaml

from crocuswell_core.agent.agent_messages import (
    AgentHeartbeat,
    AgentMessage,
    EntryHeartbeat,
    EntryMessage,
    Hello,
    ReportAck,
    SendReports,
    StartTask,
    Welcome,
)
from crocuswell_core.cluster.records import AttemptId
from crocuswell_core.cluster.resources import CONNECTIONS_PER_WORKER, Resources
from crocuswell_core.runtime.effects import Count
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    AgentStreamClosed,
    Event,
)
from crocuswell_daemon.agent_streams import AgentListener
from crocuswell_daemon.wire import decode, encode

ROOT = Path(__file__).resolve().parent.parent
MEMORY_LIMIT_BYTES = 32_000_000
STREAM_LIMIT_BYTES_PER_S = 4_000
PROCESSOR_SHARE_LIMIT = 0.023
SLOTS = 8
RUN_LEASE_MS = 15_000
WARM_UP_S = 40
MEASURE_S = 60
# After the measurement all tasks end at once, each with a result of the
# largest size that the default configuration permits.
RESULT_BYTES = 65_536
RESULTS_S = 20
RUN_MS = (WARM_UP_S + MEASURE_S + RESULTS_S // 2) * 1_000

# The agent's LIFO pool reuses the most recently used connection and so opens
# only a few. With a FIFO queue it rotates through the pool until all 64 are
# open. The hook imports no library, since the agent controls which modules it
# loads and in which order.
FIFO_POOL_HOOK = """
import queue
queue.LifoQueue = queue.Queue
"""


@attrs.define
class Traffic:
    """Bytes transferred on the agent's stream, including framing."""

    sent: int = 0
    received: int = 0


# --- the entry host ------------------------------------------------------


@singledispatch
def answer(message: AgentMessage) -> list[EntryMessage]:
    """Return the replies of an entry host that confirms each heartbeat."""
    return []


@answer.register
def _(message: Hello) -> list[EntryMessage]:
    orders = tuple(
        StartTask(
            attempt=AttemptId(f"request-{number:024}", 1),
            rank=0,
            members=1,
            resources=Resources(1, 4, 1_024),
            accelerators=(number,),
            payload=b'{"run_ms": %d, "result_bytes": %d}' % (RUN_MS, RESULT_BYTES),
            idempotent=True,
            run_time_ms=RUN_MS,
        )
        for number in range(SLOTS)
    )
    confirmed = message.sequence
    return [Welcome(orders, 1, RUN_LEASE_MS, acknowledged=0, confirmed=confirmed)]


@answer.register
def _(message: AgentHeartbeat) -> list[EntryMessage]:
    return [EntryHeartbeat(message.sequence, 1, RUN_LEASE_MS)]


@answer.register
def _(message: SendReports) -> list[EntryMessage]:
    return [ReportAck(message.first_sequence + len(message.reports) - 1)]


async def serve_agent(stack: AsyncExitStack) -> AgentListener:
    """Start the entry host's side of the agent's stream."""
    events: asyncio.Queue[Event] = asyncio.Queue()
    listener = await stack.enter_async_context(
        AgentListener(
            "127.0.0.1",
            0,
            encode=encode,
            decode=partial(decode, expected=AgentMessage),
            post=events.put_nowait,
            count=_ignore_count,
        )
    )

    async def handle_events() -> None:
        while True:
            event = await events.get()
            if isinstance(event, AgentMessageReceived):
                for reply in answer(event.message):  # type: ignore[arg-type]
                    listener.send(event.stream_id, reply)
            elif isinstance(event, AgentStreamClosed):
                print("the agent's stream closed", file=sys.stderr)

    task = asyncio.get_running_loop().create_task(handle_events())
    stack.callback(task.cancel)
    return listener


def _ignore_count(count: Count) -> None:
    """Discard the listener's counters."""


async def relay(stack: AsyncExitStack, port: int, traffic: Traffic) -> int:
    """Start a TCP proxy to `port` that counts bytes; return its port."""

    async def connect(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(
            "127.0.0.1", port
        )
        await asyncio.gather(
            _pump(reader, upstream_writer, traffic, "sent"),
            _pump(upstream_reader, writer, traffic, "received"),
        )

    server = await asyncio.start_server(connect, "127.0.0.1", 0)
    stack.callback(server.close)
    return int(server.sockets[0].getsockname()[1])


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    traffic: Traffic,
    direction: str,
) -> None:
    while data := await reader.read(65_536):
        setattr(traffic, direction, getattr(traffic, direction) + len(data))
        writer.write(data)
        await writer.drain()
    writer.close()


# --- processes -----------------------------------------------------------


@contextmanager
def process(
    command: list[str], environment: dict[str, str]
) -> Iterator["subprocess.Popen[str]"]:
    """Run a child process; terminate it on leaving the context."""
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, cwd=ROOT, env=environment, text=True
    ) as child:
        try:
            yield child
        finally:
            child.terminate()


def agent_environment(
    folder: Path, hook_folder: Path, bytecode_cached: bool
) -> dict[str, str]:
    """Return an environment with or without cached bytecode.

    Without the cache, as in a folder that the agent cannot write to, Python
    compiles each module at start-up, and part of the memory that this takes
    is not returned to the system.
    """
    environment = {**os.environ, "PYTHONPATH": str(hook_folder)}
    if not bytecode_cached:
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        return environment
    environment["PYTHONPYCACHEPREFIX"] = str(folder / "bytecode")
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    command = [sys.executable, "-OO", "-c", "import crocuswell_daemon.agent_main"]
    subprocess.run(command, env=environment, cwd=ROOT, check=True)
    return environment


def read_memory_bytes(pid: int, field: str) -> int:
    """Return `VmRSS` (current) or `VmHWM` (peak resident memory) in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) * 1_024
    raise RuntimeError(f"process {pid} has no {field}")


def read_processor_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def count_connections(pid: int, port: int) -> int:
    """Return the number of a process's established connections to a port."""
    open_sockets = set()
    for link in Path(f"/proc/{pid}/fd").iterdir():
        try:
            open_sockets.add(os.readlink(link))
        except FileNotFoundError:
            continue
    connection_count = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        is_remote_port = int(fields[2].rpartition(":")[2], 16) == port
        if (
            is_remote_port
            and fields[3] == "01"
            and f"socket:[{fields[9]}]" in open_sockets
        ):
            connection_count += 1
    return connection_count


# --- measurement ---------------------------------------------------------


async def measure(folder: Path, bytecode_cached: bool) -> bool:
    """Measure one agent, print the figures and return whether all pass."""
    traffic = Traffic()
    hook_folder = folder / "hook"
    hook_folder.mkdir()
    (hook_folder / "sitecustomize.py").write_text(FIFO_POOL_HOOK)
    async with AsyncExitStack() as stack:
        listener = await serve_agent(stack)
        entry_port = await relay(stack, listener.port, traffic)
        standin = [sys.executable, "standins/backend_server.py", "--worker", "w1"]
        backend = stack.enter_context(process(standin, dict(os.environ)))
        address = await asyncio.to_thread(_read_first_line, backend)
        settings = folder / "agent.yaml"
        settings.write_text(
            yaml.safe_dump(
                {
                    "role": "agent",
                    "backend_server": f"http://{address}",
                    "entries": [f"127.0.0.1:{entry_port}"],
                    "insecure_loopback": True,
                }
            )
        )
        binary = str(Path(sys.executable).parent / "crocuswelld")
        environment = agent_environment(folder, hook_folder, bytecode_cached)
        command = [binary, str(settings)]
        agent = stack.enter_context(process(command, environment))
        await asyncio.sleep(WARM_UP_S)
        return await _sample(agent.pid, address, traffic)


def _read_first_line(child: "subprocess.Popen[str]") -> str:
    if child.stdout is None:
        raise RuntimeError("the stand-in has no output")
    return child.stdout.readline().strip()


async def _sample(pid: int, address: str, traffic: Traffic) -> bool:
    port = int(address.rpartition(":")[2])
    sent_at_start, received_at_start = traffic.sent, traffic.received
    processor_s = read_processor_s(pid)
    memory = 0
    for _ in range(MEASURE_S):
        memory = max(memory, read_memory_bytes(pid, "VmRSS"))
        await asyncio.sleep(1)
    connections = count_connections(pid, port)
    share = (read_processor_s(pid) - processor_s) / MEASURE_S
    traffic_at_end = attrs.evolve(traffic)
    peak_memory = read_memory_bytes(pid, "VmHWM")
    await asyncio.sleep(RESULTS_S)
    print(f"bytes sent while the tasks ended: {traffic.sent - traffic_at_end.sent:,}")
    print(f"open connections: {connections} (wanted {CONNECTIONS_PER_WORKER})")
    return all(
        [
            connections == CONNECTIONS_PER_WORKER,
            report("resident memory, bytes", memory, MEMORY_LIMIT_BYTES),
            report(
                "resident memory at most since the start, bytes",
                peak_memory,
                MEMORY_LIMIT_BYTES,
            ),
            report(
                f"the same after {SLOTS} results of {RESULT_BYTES} bytes",
                read_memory_bytes(pid, "VmHWM"),
                MEMORY_LIMIT_BYTES,
            ),
            report(
                "stream, bytes sent a second",
                (traffic_at_end.sent - sent_at_start) / MEASURE_S,
                STREAM_LIMIT_BYTES_PER_S,
            ),
            report(
                "stream, bytes received a second",
                (traffic_at_end.received - received_at_start) / MEASURE_S,
                STREAM_LIMIT_BYTES_PER_S,
            ),
            report("processor time, share of a core", share, PROCESSOR_SHARE_LIMIT),
        ]
    )


def report(name: str, value: float, limit: float) -> bool:
    """Print a figure with its limit and return whether the limit is met."""
    is_met = value <= limit
    verdict = "met" if is_met else "missed"
    print(f"{name}: {value:,.8g} of {limit:,.8g}, {verdict}")
    return is_met


def main() -> int:
    """Run the measurement and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--without-bytecode",
        action="store_true",
        help="start the agent without cached bytecode",
    )
    bytecode_cached = not parser.parse_args().without_bytecode
    with tempfile.TemporaryDirectory(prefix="crocuswell-bench-") as folder:
        return 0 if asyncio.run(measure(Path(folder), bytecode_cached)) else 1


if __name__ == "__main__":
    sys.exit(main())
