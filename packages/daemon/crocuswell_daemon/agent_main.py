"""Builds and runs an agent; started by `main` in a lean interpreter."""

import asyncio
import base64
import os
import random
import sys
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack

import attrs
import msgpack

from crocuswell_core.effects import Halt
from crocuswell_core.events import AgentBooted, AgentStopRequested
from crocuswell_core.reducer import reduce
from crocuswell_core.state import AgentState
from crocuswell_daemon import logs
from crocuswell_daemon.counters import PlainCounters
from crocuswell_daemon.interpreter import (
    AgentParts,
    BackendCaller,
    EntryStreams,
    Interpreter,
)
from crocuswell_daemon.process import (
    EXIT_FAULT,
    Post,
    choose_seed,
    halt_at_start,
    log_start,
    log_stop,
    post_on_stop_signals,
)
from crocuswell_daemon.roles import AgentSettings
from crocuswell_daemon.runtime import Runtime
from crocuswell_daemon.timer_service import TimerService

SETTINGS_VARIABLE = "CROCUSWELL_AGENT_SETTINGS"


@attrs.frozen
class AgentFactories:
    """Makers of the parts that talk to the network."""

    entry: Callable[[AgentSettings, Post], AbstractAsyncContextManager[EntryStreams]]
    backend: Callable[[AgentSettings, Post], AbstractAsyncContextManager[BackendCaller]]


def pack_settings(settings: AgentSettings) -> str:
    """Return checked settings as text for `SETTINGS_VARIABLE`."""
    return base64.b64encode(msgpack.packb(attrs.asdict(settings))).decode()


def unpack_settings(text: str) -> AgentSettings:
    """Return the settings that `pack_settings` was given."""
    fields = msgpack.unpackb(base64.b64decode(text), use_list=False)
    return AgentSettings(**fields)


def run(settings: AgentSettings, factories: AgentFactories) -> int:
    """Run an agent until it is stopped and return the exit status."""
    logs.configure()
    # Changes at each start, so that entry hosts tell the runs apart.
    incarnation = os.urandom(8).hex()
    log = logs.LogWriter(f"agent-{incarnation}")
    try:
        halt = asyncio.run(_serve(settings, factories, incarnation, log))
    except OSError as exc:
        halt = halt_at_start(exc)
    return log_stop(log, halt)


async def _serve(
    settings: AgentSettings,
    factories: AgentFactories,
    incarnation: str,
    log: logs.LogWriter,
) -> Halt:
    seed = choose_seed(settings.seed)
    cfg = settings.core_config(seed, incarnation)
    # Agents with the same seed must not reconnect at the same moment.
    state = AgentState(cfg, random.Random(f"{seed}:{settings.backend_server}"))
    async with AsyncExitStack() as stack:
        runtime = stack.enter_context(Runtime(reduce, state))
        runtime.post(AgentBooted())
        loop = asyncio.get_running_loop()
        timers = stack.enter_context(TimerService(runtime.post, loop))
        enter = stack.enter_async_context
        parts = AgentParts(
            timers=timers,
            counters=PlainCounters(),
            log=log,
            entry=await enter(factories.entry(settings, runtime.post)),
            backend=await enter(factories.backend(settings, runtime.post)),
        )
        post_on_stop_signals(runtime.post, AgentStopRequested())
        log_start(log, settings.role)
        return await runtime.run(Interpreter(parts))


def main() -> int:
    """Run an agent with the settings that `crocuswelld` has checked."""
    text = os.environ.pop(SETTINGS_VARIABLE, None)
    if text is None:
        print("start agents with crocuswelld SETTINGS.yaml", file=sys.stderr)
        return EXIT_FAULT
    return run(unpack_settings(text), make_factories())


def make_factories() -> AgentFactories:
    """Return the makers of the real parts."""
    raise NotImplementedError("entry_stream and backend_client are not merged yet")


if __name__ == "__main__":
    sys.exit(main())
