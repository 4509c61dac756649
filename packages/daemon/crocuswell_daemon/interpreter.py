"""Executes effects through adapters, dispatched on the effect's type.

The protocols describe what the adapters of each role must offer.
"""

from collections.abc import Iterable
from functools import singledispatch
from typing import Protocol

import attrs

from crocuswell_core.agent.agent_messages import AgentMessage, EntryMessage
from crocuswell_core.agent.backend import BackendCall
from crocuswell_core.cluster.commands import CommandReply, EntryHost
from crocuswell_core.consensus.peer_messages import PeerMessage
from crocuswell_core.entry.replies import ReadReply
from crocuswell_core.links.link_messages import ClientMessage, HostMessage
from crocuswell_core.runner.worker_calls import WorkerCall
from crocuswell_core.runtime import effects as fx
from crocuswell_core.runtime.timers import Timer


class Timers(Protocol):
    """One-shot timers."""

    def start(self, timer: Timer, delay_ms: int) -> None:
        """Start a timer, or restart it if it is running."""

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer, if it is running."""


class Counters(Protocol):
    """Counters, histograms and gauges."""

    def count(self, name: str, amount: int, labels: tuple[fx.Label, ...]) -> None:
        """Add to a counter."""

    def observe(self, name: str, value: float, labels: tuple[fx.Label, ...]) -> None:
        """Record a value in a histogram."""

    def set_gauge(self, name: str, value: float, labels: tuple[fx.Label, ...]) -> None:
        """Set a gauge."""


class EventLog(Protocol):
    """The operators' log."""

    def write(self, effect: fx.EmitLogEvent) -> None:
        """Write one line."""


class PeerSender(Protocol):
    """Links to the other entry hosts."""

    def send(self, to: str, message: PeerMessage) -> None:
        """Send without waiting; the message may be lost."""

    def set_hosts(self, hosts: tuple[EntryHost, ...]) -> None:
        """Keep links to exactly these hosts and close all others."""


class AgentSender(Protocol):
    """Streams that agents and other clients have opened to this process."""

    def send(self, stream_id: int, message: EntryMessage | HostMessage) -> None:
        """Send without waiting; the message may be lost."""

    def close_stream(self, stream_id: int) -> None:
        """Close a stream, if it is open."""


class CallAnswerer(Protocol):
    """The HTTP listener for callers and operators."""

    def answer(self, call_id: int, reply: CommandReply | ReadReply) -> None:
        """Answer a call, unless its caller has gone."""

    def set_ready(self, ready: bool) -> None:
        """Set whether `/readyz` reports this process as ready."""


class EntryStreams(Protocol):
    """Streams that this process opens to entry hosts."""

    def open(self, stream_id: int, address: str) -> None:
        """Begin to open a stream; does not wait for the connection."""

    def send(self, stream_id: int, message: AgentMessage | ClientMessage) -> None:
        """Send without waiting; the message may be lost."""

    def close(self, stream_id: int) -> None:
        """Close a stream, if it is open."""


class WorkerCaller(Protocol):
    """Calls to the worker process that a runner controls."""

    def call(self, call: WorkerCall) -> None:
        """Start a call; its result arrives as `WorkerReplied`."""


class BackendCaller(Protocol):
    """Calls to the backend server."""

    def call(self, call: BackendCall) -> None:
        """Start a call; its result arrives as `BackendReplied`."""


@attrs.frozen
class Adapters:
    """Adapters that every role has."""

    timers: Timers
    counters: Counters
    log: EventLog


@attrs.frozen
class EntryAdapters(Adapters):
    """Adapters of an entry host."""

    peers: PeerSender
    agents: AgentSender
    callers: CallAnswerer
    entry: EntryStreams


@attrs.frozen
class FrontAdapters(Adapters):
    """Adapters of a front."""

    entry: EntryStreams
    callers: CallAnswerer
    agents: AgentSender


@attrs.frozen
class RunnerAdapters(Adapters):
    """Adapters of a runner."""

    entry: EntryStreams
    callers: CallAnswerer
    worker: WorkerCaller


@attrs.frozen
class AgentAdapters(Adapters):
    """Adapters of an agent."""

    entry: EntryStreams
    backend: BackendCaller


StreamAdapters = AgentAdapters | EntryAdapters | FrontAdapters | RunnerAdapters
CallerAdapters = EntryAdapters | FrontAdapters | RunnerAdapters


class Interpreter:
    """Executes effects through the adapters of one role."""

    def __init__(self, adapters: Adapters) -> None:
        self._adapters = adapters

    def execute(self, effects: Iterable[fx.Effect]) -> fx.Halt | None:
        """Execute effects in order; stop at a `Halt` and return it."""
        for effect in effects:
            if isinstance(effect, fx.Halt):
                return effect
            execute(effect, self._adapters)
        return None


@singledispatch
def execute(effect: fx.Effect, adapters: Adapters) -> None:
    """Execute one effect other than `Persist` and `Halt`.

    The runtime handles those two.
    """
    raise NotImplementedError(type(effect).__name__)


@execute.register
def _(effect: fx.StartTimer, adapters: Adapters) -> None:
    adapters.timers.start(effect.timer, effect.delay_ms)


@execute.register
def _(effect: fx.CancelTimer, adapters: Adapters) -> None:
    adapters.timers.cancel(effect.timer)


@execute.register
def _(effect: fx.Count, adapters: Adapters) -> None:
    adapters.counters.count(effect.counter, effect.amount, effect.labels)


@execute.register
def _(effect: fx.Observe, adapters: Adapters) -> None:
    adapters.counters.observe(effect.histogram, effect.value, effect.labels)


@execute.register
def _(effect: fx.SetGauge, adapters: Adapters) -> None:
    adapters.counters.set_gauge(effect.gauge, effect.value, effect.labels)


@execute.register
def _(effect: fx.EmitLogEvent, adapters: Adapters) -> None:
    adapters.log.write(effect)


@execute.register
def _(effect: fx.SendPeer, adapters: EntryAdapters) -> None:
    adapters.peers.send(effect.to, effect.message)


@execute.register
def _(effect: fx.SetPeers, adapters: EntryAdapters) -> None:
    adapters.peers.set_hosts(effect.hosts)


@execute.register
def _(effect: fx.SendAgent, adapters: EntryAdapters | FrontAdapters) -> None:
    adapters.agents.send(effect.stream_id, effect.message)


@execute.register
def _(effect: fx.CloseAgentStream, adapters: EntryAdapters | FrontAdapters) -> None:
    adapters.agents.close_stream(effect.stream_id)


@execute.register
def _(effect: fx.CallWorker, adapters: RunnerAdapters) -> None:
    adapters.worker.call(effect.call)


@execute.register
def _(effect: fx.AnswerCall, adapters: CallerAdapters) -> None:
    adapters.callers.answer(effect.call_id, effect.reply)


@execute.register
def _(effect: fx.SetReady, adapters: CallerAdapters) -> None:
    adapters.callers.set_ready(effect.ready)


@execute.register
def _(effect: fx.OpenEntryStream, adapters: StreamAdapters) -> None:
    adapters.entry.open(effect.stream_id, effect.address)


@execute.register
def _(effect: fx.SendEntry, adapters: StreamAdapters) -> None:
    adapters.entry.send(effect.stream_id, effect.message)


@execute.register
def _(effect: fx.CloseEntryStream, adapters: StreamAdapters) -> None:
    adapters.entry.close(effect.stream_id)


@execute.register
def _(effect: fx.CallBackend, adapters: AgentAdapters) -> None:
    adapters.backend.call(effect.call)
