"""The interpreter: effects that reach no adapter or the wrong one."""

import typing
from typing import Any

import pytest

from crocuswell_core.agent import backend
from crocuswell_core.agent.agent_messages import Goodbye
from crocuswell_core.cluster.commands import Done, EntryHost
from crocuswell_core.consensus.peer_messages import TimeoutNow
from crocuswell_core.runtime import effects as fx
from crocuswell_core.runtime.timers import ElectionTimer
from crocuswell_daemon.interpreter import (
    AgentAdapters,
    EntryAdapters,
    Interpreter,
    execute,
)


class FakeAdapter:
    """Records the calls to it under its name."""

    def __init__(self, name: str, trace: list[Any]) -> None:
        self._name, self._trace = name, trace

    def __getattr__(self, method: str) -> Any:
        return lambda *args: self._trace.append((f"{self._name}.{method}", *args))


def make_adapters(role: type) -> tuple[Any, list[Any]]:
    trace: list[Any] = []
    names = [name for name in role.__attrs_attrs__ if name]  # type: ignore[attr-defined]
    return role(
        **{field.name: FakeAdapter(field.name, trace) for field in names}
    ), trace


HOST = EntryHost("b", "127.0.0.1:1", "d")
LABELS = (fx.Label("workspace", "w"),)
LOG_EVENT = fx.EmitLogEvent("changed")
ENTRY_CASES: list[tuple[fx.Effect, tuple[Any, ...]]] = [
    (fx.SendPeer("b", TimeoutNow(1)), ("peers.send", "b", TimeoutNow(1))),
    (fx.SetPeers((HOST,)), ("peers.set_hosts", (HOST,))),
    (fx.SendAgent(3, Goodbye()), ("agents.send", 3, Goodbye())),
    (fx.CloseAgentStream(3), ("agents.close_stream", 3)),
    (fx.AnswerCall(4, Done()), ("callers.answer", 4, Done())),
    (fx.SetReady(True), ("callers.set_ready", True)),
    (fx.StartTimer(ElectionTimer(), 7), ("timers.start", ElectionTimer(), 7)),
    (fx.CancelTimer(ElectionTimer()), ("timers.cancel", ElectionTimer())),
    (fx.Count("c", 2, LABELS), ("counters.count", "c", 2, LABELS)),
    (fx.Observe("h", 0.5, LABELS), ("counters.observe", "h", 0.5, LABELS)),
    (LOG_EVENT, ("log.write", LOG_EVENT)),
]
AGENT_CASES: list[tuple[fx.Effect, tuple[Any, ...]]] = [
    (fx.OpenEntryStream(1, "a:1"), ("entry.open", 1, "a:1")),
    (fx.CloseEntryStream(1), ("entry.close", 1)),
    (fx.SendEntry(1, Goodbye()), ("entry.send", 1, Goodbye())),  # type: ignore[arg-type]
    (fx.CallBackend(backend.Describe()), ("backend.call", backend.Describe())),
]
CASES = [
    *[(EntryAdapters, effect, call) for effect, call in ENTRY_CASES],
    *[(AgentAdapters, effect, call) for effect, call in AGENT_CASES],
]


@pytest.mark.parametrize(("role", "effect", "call"), CASES)
def test_an_effect_reaches_its_adapter(
    role: type, effect: fx.Effect, call: tuple[Any, ...]
) -> None:
    """Guards against swapped arguments and adapters."""
    adapters, trace = make_adapters(role)
    assert Interpreter(adapters).execute([effect]) is None
    assert trace == [call]


def test_every_effect_has_a_handler() -> None:
    """Guards against an effect without a handler, which halts the host."""
    # The runtime handles these itself.
    handled_by_runtime = {fx.Persist, fx.SaveSnapshot, fx.SendSnapshot, fx.Halt}
    for cls in set(typing.get_args(fx.Effect)) - handled_by_runtime:
        assert execute.dispatch(cls) is not execute.dispatch(object), cls


def test_effects_are_executed_in_order_up_to_a_halt() -> None:
    """Guards against reordered effects and effects after a halt."""
    adapters, trace = make_adapters(EntryAdapters)
    halt = fx.Halt(detail="end")
    effects = [fx.SetReady(False), fx.CloseAgentStream(1), halt, fx.SetReady(True)]
    assert Interpreter(adapters).execute(effects) == halt
    assert trace == [("callers.set_ready", False), ("agents.close_stream", 1)]


def test_an_effect_without_a_handler_raises() -> None:
    """Guards against effects that are silently ignored."""
    adapters, _ = make_adapters(EntryAdapters)
    with pytest.raises(NotImplementedError):
        Interpreter(adapters).execute([fx.Persist(fx.TermRecord(1, None))])
