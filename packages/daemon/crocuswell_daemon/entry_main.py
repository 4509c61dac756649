"""Assembles and runs an entry host."""

import asyncio
import random
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from functools import partial
from pathlib import Path
from typing import Protocol, Self

import attrs

from crocuswell_core.agent.agent_messages import AgentMessage
from crocuswell_core.cluster.commands import CommandReply
from crocuswell_core.consensus.peer_messages import PeerMessage
from crocuswell_core.entry import handlers  # noqa: F401  (registers the handlers)
from crocuswell_core.entry.entry_state import EntryConfig, EntryState
from crocuswell_core.entry.replies import ReadReply
from crocuswell_core.links.link_messages import ClientMessage, HostMessage
from crocuswell_core.runtime.effects import EmitLogEvent, Halt, Label, LogLevel
from crocuswell_core.runtime.events import EntryStopRequested
from crocuswell_core.runtime.reduction import reduce
from crocuswell_daemon import logs, wire
from crocuswell_daemon.agent_streams import AgentListener
from crocuswell_daemon.entry_stream import EntryStreamClient
from crocuswell_daemon.frames import StorageError
from crocuswell_daemon.http_api import CallerListener
from crocuswell_daemon.interpreter import EntryAdapters, Interpreter
from crocuswell_daemon.metrics import Metrics
from crocuswell_daemon.peers import PeerLinks
from crocuswell_daemon.process import (
    Post,
    choose_seed,
    log_process_started,
    log_process_stopped,
    post_on_stop_signals,
    startup_failure,
)
from crocuswell_daemon.roles import EntrySettings
from crocuswell_daemon.runtime import Runtime
from crocuswell_daemon.storage import Storage, TornTail, VolatileStorage
from crocuswell_daemon.streams import split_address
from crocuswell_daemon.timer_service import TimerService


def run(settings: EntrySettings) -> int:
    """Run an entry host until it is stopped and return the exit status."""
    with logs.write_to_stdout(settings.id):
        log = logs.LogWriter()
        try:
            halt = asyncio.run(serve(_make_control_host(settings), log))
        except StorageError as exc:
            halt = Halt(exc.kind, str(exc))
        except OSError as exc:
            halt = startup_failure(exc)
        return log_process_stopped(log, halt)


class CallListener(Protocol):
    """A listener for calls; its exit waits for its threads to end."""

    def __enter__(self) -> Self:
        """Start to listen."""

    def __exit__(self, *exc_info: object) -> None:
        """Wait for the calls in progress, then close."""

    def answer(self, call_id: int, reply: CommandReply | ReadReply) -> None:
        """Answer a call, unless its caller has gone."""

    def set_ready(self, ready: bool) -> None:
        """Set whether readiness checks of a load balancer succeed."""


@attrs.frozen
class ControlHost:
    """Configuration and factories from which an entry host is assembled.

    Attributes
    ----------
    folder : str or None
        Data folder; None for a host without a disk.
    peers, agents : str
        `host:port` of the listeners for other hosts and for agents or
        clients.
    callers : callable
        Creates the listener for callers from `post` and the metrics.
    settings_watcher : callable or None
        Creates a context that watches the settings while the host runs.
    """

    role: str
    cfg: EntryConfig
    seed: int
    folder: str | None
    peers: str
    agents: str
    callers: Callable[[Post, Metrics], CallListener]
    settings_watcher: Callable[[Post], AbstractAsyncContextManager[object]] | None = (
        None
    )


def _make_control_host(settings: EntrySettings) -> ControlHost:
    def callers(post: Post, metrics: Metrics) -> CallListener:
        return CallerListener(
            *split_address(settings.listen.callers),
            post=post,
            metrics=metrics.render,
            count=metrics.add,
        )

    seed = choose_seed(settings.seed)
    return ControlHost(
        role=settings.role,
        cfg=settings.core_config(seed),
        seed=seed,
        folder=settings.data_folder,
        peers=settings.listen.peers,
        agents=settings.listen.agents,
        callers=callers,
    )


async def serve(host: ControlHost, log: logs.LogWriter) -> Halt:
    """Run an entry host on the event loop until it halts."""
    # Hosts with the same seed must not draw the same election timeouts.
    rng = random.Random(f"{host.seed}:{host.cfg.host.id}")
    state = EntryState(host.cfg, rng)
    metrics = Metrics()
    metrics.set_gauge_function("log_lines_dropped", log.count_dropped)
    async with AsyncExitStack() as stack:
        storage = _open_storage(host.folder, stack)
        booted = storage.load()
        if storage.torn_tail:
            log.write(_torn_tail_event(storage.torn_tail))
        runtime = stack.enter_context(Runtime(reduce, state, storage))
        runtime.post(booted)
        loop = asyncio.get_running_loop()
        timers = stack.enter_context(TimerService(runtime.post, loop))
        peers = await stack.enter_async_context(
            PeerLinks(
                host.cfg.host.id,
                *split_address(host.peers),
                encode=wire.encode,
                decode=partial(wire.decode, expected=PeerMessage),
                post=runtime.post,
                count=metrics.add,
            )
        )
        agents = await stack.enter_async_context(
            AgentListener(
                *split_address(host.agents),
                encode=wire.encode,
                decode=partial(wire.decode, expected=AgentMessage | ClientMessage),
                post=runtime.post,
                count=metrics.add,
            )
        )
        decode = partial(wire.decode, expected=HostMessage)
        entry = await stack.enter_async_context(
            EntryStreamClient(wire.encode, decode, runtime.post)
        )
        callers = host.callers(runtime.post, metrics)
        callers.__enter__()
        # The exit waits for threads; it must not block the event loop, which
        # the streams need meanwhile.
        stack.push_async_callback(asyncio.to_thread, callers.__exit__)
        adapters = EntryAdapters(timers, metrics, log, peers, agents, callers, entry)
        if host.settings_watcher is not None:
            await stack.enter_async_context(host.settings_watcher(runtime.post))
        post_on_stop_signals(runtime.post, EntryStopRequested())
        log_process_started(log, host.role)
        return await runtime.run(Interpreter(adapters))


def _open_storage(
    folder: str | None, stack: AsyncExitStack
) -> Storage | VolatileStorage:
    if folder is None:
        return VolatileStorage()
    return stack.enter_context(Storage(Path(folder)))


def _torn_tail_event(torn_tail: TornTail) -> EmitLogEvent:
    labels = (
        Label("path", torn_tail.path),
        Label("offset", str(torn_tail.offset)),
        Label("bytes", str(torn_tail.length)),
    )
    return EmitLogEvent("torn_tail_cut", labels, LogLevel.WARNING)
