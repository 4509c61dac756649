"""Builds and runs an entry host."""

import asyncio
import random
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from pathlib import Path

import attrs
from prometheus_client import CollectorRegistry

from crocuswell_core.effects import ChangeLevel, Halt, Label, LogChange
from crocuswell_core.events import EntryStopRequested
from crocuswell_core.reducer import reduce
from crocuswell_core.state import EntryState
from crocuswell_daemon import logs
from crocuswell_daemon.frames import StorageError
from crocuswell_daemon.interpreter import (
    AgentSender,
    CallAnswerer,
    EntryParts,
    Interpreter,
    PeerSender,
)
from crocuswell_daemon.metrics import Metrics
from crocuswell_daemon.process import (
    Post,
    choose_seed,
    halt_at_start,
    log_start,
    log_stop,
    post_on_stop_signals,
)
from crocuswell_daemon.roles import EntrySettings
from crocuswell_daemon.runtime import Runtime
from crocuswell_daemon.storage import Storage, TornTail, VolatileStorage
from crocuswell_daemon.timer_service import TimerService


@attrs.frozen
class EntryFactories:
    """Makers of the parts that talk to the network."""

    peers: Callable[[EntrySettings, Post], AbstractAsyncContextManager[PeerSender]]
    agents: Callable[[EntrySettings, Post], AbstractAsyncContextManager[AgentSender]]
    callers: Callable[
        [EntrySettings, Post, CollectorRegistry],
        AbstractAsyncContextManager[CallAnswerer],
    ]


def run(settings: EntrySettings, factories: EntryFactories) -> int:
    """Run an entry host until it is stopped and return the exit status."""
    logs.configure()
    log = logs.LogWriter(settings.id)
    try:
        halt = asyncio.run(_serve(settings, factories, log))
    except StorageError as exc:
        halt = Halt(exc.kind, str(exc))
    except OSError as exc:
        halt = halt_at_start(exc)
    return log_stop(log, halt)


async def _serve(
    settings: EntrySettings, factories: EntryFactories, log: logs.LogWriter
) -> Halt:
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
        enter = stack.enter_async_context
        parts = EntryParts(
            timers=timers,
            counters=metrics,
            log=log,
            peers=await enter(factories.peers(settings, runtime.post)),
            agents=await enter(factories.agents(settings, runtime.post)),
            callers=await enter(
                factories.callers(settings, runtime.post, metrics.registry)
            ),
        )
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
