"""Assembles and runs an agent; started by `lean`."""

import asyncio
import base64
import os
import random
import sys
from contextlib import AsyncExitStack
from functools import partial

import attrs
import msgpack

from crocuswell_core.agent import agent  # noqa: F401  (registers its handlers)
from crocuswell_core.agent.agent_messages import EntryMessage
from crocuswell_core.agent.agent_state import AgentState
from crocuswell_core.runtime.effects import Halt
from crocuswell_core.runtime.events import AgentBooted, AgentStopRequested
from crocuswell_core.runtime.reduction import reduce
from crocuswell_daemon import logs, wire
from crocuswell_daemon.backend_client import BackendClient
from crocuswell_daemon.counters import PlainCounters
from crocuswell_daemon.entry_stream import EntryStreamClient
from crocuswell_daemon.interpreter import AgentAdapters, Interpreter
from crocuswell_daemon.process import (
    EXIT_FAILURE,
    choose_seed,
    log_process_started,
    log_process_stopped,
    post_on_stop_signals,
    startup_failure,
)
from crocuswell_daemon.roles import AgentSettings
from crocuswell_daemon.runtime import Runtime
from crocuswell_daemon.timer_service import TimerService

SETTINGS_VARIABLE = "CROCUSWELL_AGENT_SETTINGS"


def pack_settings(settings: AgentSettings) -> str:
    """Encode validated settings for the environment variable."""
    return base64.b64encode(msgpack.packb(attrs.asdict(settings))).decode()


def unpack_settings(text: str) -> AgentSettings:
    """Decode the output of `pack_settings`."""
    fields = msgpack.unpackb(base64.b64decode(text), use_list=False)
    return AgentSettings(**fields)


def run(settings: AgentSettings) -> int:
    """Run an agent until it is stopped and return the exit status."""
    # New at each start, so that entry hosts can distinguish a restarted agent
    # from the earlier one.
    incarnation = os.urandom(8).hex()
    with logs.write_to_stdout(f"agent-{incarnation}"):
        log = logs.LogWriter()
        try:
            halt = asyncio.run(_serve(settings, incarnation, log))
        except OSError as exc:
            halt = startup_failure(exc)
        return log_process_stopped(log, halt)


async def _serve(
    settings: AgentSettings, incarnation: str, log: logs.LogWriter
) -> Halt:
    seed = choose_seed(settings.seed)
    cfg = settings.core_config(seed, incarnation)
    # Agents with the same seed must not draw the same reconnect delays.
    state = AgentState(cfg, random.Random(f"{seed}:{settings.backend_server}"))
    async with AsyncExitStack() as stack:
        runtime = stack.enter_context(Runtime(reduce, state))
        runtime.post(AgentBooted())
        loop = asyncio.get_running_loop()
        timers = stack.enter_context(TimerService(runtime.post, loop))
        backend = stack.enter_context(
            BackendClient(settings.backend_address, runtime.post)
        )
        decode = partial(wire.decode, expected=EntryMessage)
        entry = await stack.enter_async_context(
            EntryStreamClient(wire.encode, decode, runtime.post)
        )
        adapters = AgentAdapters(timers, PlainCounters(), log, entry, backend)
        post_on_stop_signals(runtime.post, AgentStopRequested())
        log_process_started(log, settings.role)
        return await runtime.run(Interpreter(adapters))


def main() -> int:
    """Run an agent with the settings that `crocuswelld` has validated."""
    text = os.environ.pop(SETTINGS_VARIABLE, None)
    if text is None:
        print("start agents with crocuswelld SETTINGS.yaml", file=sys.stderr)
        return EXIT_FAILURE
    return run(unpack_settings(text))
