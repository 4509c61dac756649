"""Builds and runs an entry host."""

import asyncio
import random
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path

from crocuswell_core.agent.agent_messages import AgentMessage
from crocuswell_core.agreement.peer_messages import PeerMessage
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.effects import ChangeLevel, Halt, Label, LogChange
from crocuswell_core.runtime.events import EntryStopRequested
from crocuswell_core.runtime.reducer import reduce
from crocuswell_daemon import logs, wire
from crocuswell_daemon.agent_streams import AgentListener
from crocuswell_daemon.frames import StorageError
from crocuswell_daemon.http_api import CallerListener
from crocuswell_daemon.interpreter import EntryParts, Interpreter
from crocuswell_daemon.metrics import Metrics
from crocuswell_daemon.peers import PeerLinks
from crocuswell_daemon.process import (
    choose_seed,
    halt_at_start,
    log_start,
    log_stop,
    post_on_stop_signals,
)
from crocuswell_daemon.roles import EntrySettings
from crocuswell_daemon.runtime import Runtime
from crocuswell_daemon.storage import Storage, TornTail, VolatileStorage
from crocuswell_daemon.streams import split_address
from crocuswell_daemon.timer_service import TimerService


def run(settings: EntrySettings) -> int:
    """Run an entry host until it is stopped and return the exit status."""
    logs.configure()
    log = logs.LogWriter(settings.id)
    try:
        halt = asyncio.run(_serve(settings, log))
    except StorageError as exc:
        halt = Halt(exc.kind, str(exc))
    except OSError as exc:
        halt = halt_at_start(exc)
    return log_stop(log, halt)


async def _serve(settings: EntrySettings, log: logs.LogWriter) -> Halt:
    seed = choose_seed(settings.seed)
    # Hosts with the same seed must not draw the same election timeouts.
    rng = random.Random(f"{seed}:{settings.id}")
    state = EntryState(settings.core_config(seed), rng)
    metrics = Metrics()
    async with AsyncExitStack() as stack:
        storage = _open_storage(settings, stack)
        booted = storage.load()
        if storage.torn:
            log.write(_torn_tail_cut(storage.torn))
        runtime = stack.enter_context(Runtime(reduce, state, storage))
        runtime.post(booted)
        loop = asyncio.get_running_loop()
        timers = stack.enter_context(TimerService(runtime.post, loop))
        peers = await stack.enter_async_context(
            PeerLinks(
                settings.id,
                *split_address(settings.listen.peers),
                encode=wire.encode,
                decode=partial(wire.decode, expected=PeerMessage),
                post=runtime.post,
                count=metrics.add,
            )
        )
        agents = await stack.enter_async_context(
            AgentListener(
                *split_address(settings.listen.agents),
                encode=wire.encode,
                decode=partial(wire.decode, expected=AgentMessage),
                post=runtime.post,
                count=metrics.add,
            )
        )
        callers = CallerListener(
            *split_address(settings.listen.callers),
            post=runtime.post,
            metrics=metrics.render,
            count=metrics.add,
        )
        callers.__enter__()
        # Its exit waits for threads, and the streams must go on meanwhile.
        stack.push_async_callback(asyncio.to_thread, callers.__exit__)
        parts = EntryParts(timers, metrics, log, peers, agents, callers)
        post_on_stop_signals(runtime.post, EntryStopRequested())
        log_start(log, settings.role)
        return await runtime.run(Interpreter(parts))


def _open_storage(
    settings: EntrySettings, stack: AsyncExitStack
) -> Storage | VolatileStorage:
    if settings.data_folder is None:
        return VolatileStorage()
    return stack.enter_context(Storage(Path(settings.data_folder)))


def _torn_tail_cut(torn: TornTail) -> LogChange:
    labels = (
        Label("path", torn.path),
        Label("offset", str(torn.offset)),
        Label("bytes", str(torn.length)),
    )
    return LogChange("torn_tail_cut", labels, ChangeLevel.WARNING)
