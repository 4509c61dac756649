"""A group of one entry host, for tests without a network."""

import random
from typing import TypeVar

import attrs

from crocuswell_core.agent.agent_messages import AgentHeartbeat, Hello
from crocuswell_core.cluster.commands import Command, EntryHost, Proposal
from crocuswell_core.cluster.records import WorkerInfo
from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.entry.calls import Call, CommandCall
from crocuswell_core.entry.entry_state import EntryConfig, EntryState
from crocuswell_core.runtime.effects import (
    AnswerCall,
    Effect,
    EntriesRecord,
    Persist,
    SendAgent,
    StartTimer,
)
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    CallReceived,
    ClockAdvanced,
    EntriesSynced,
    EntryBooted,
    Event,
    TimerFired,
)
from crocuswell_core.runtime.reducer import reduce
from crocuswell_core.runtime.timers import Timer
from tests.clusters import CAPACITY

HOST = EntryHost("e1", "127.0.0.1:1", "fd-a")
Found = TypeVar("Found")


@attrs.define
class Host:
    """An entry host with virtual time whose records are durable at once."""

    state: EntryState
    now_ms: int = 10_000
    effects: list[Effect] = attrs.Factory(list)
    timers: dict[Timer, int] = attrs.Factory(dict)
    calls: int = 0

    def post(self, event: Event) -> None:
        """Reduce an event and the syncs of the records that it writes."""
        reduce(self.state, ClockAdvanced(self.now_ms, self.now_ms))
        _, effects = reduce(self.state, event)
        self.effects += effects
        for effect in effects:
            if type(effect) is StartTimer:
                self.timers[effect.timer] = self.now_ms + effect.delay_ms
            if type(effect) is Persist and type(effect.record) is EntriesRecord:
                last = effect.record.entries[-1]
                self.post(EntriesSynced(last.index, last.term))

    def advance(self, ms: int, sending: tuple[int, ...] = ()) -> None:
        """Advance the time; agents on streams in `sending` send heartbeats."""
        end_ms = self.now_ms + ms
        while True:
            due = min(self.timers, key=lambda timer: self.timers[timer], default=None)
            if due is None or self.timers[due] > end_ms:
                break
            self.now_ms = max(self.now_ms, self.timers.pop(due))
            self.post(TimerFired(due))
            for stream_id in sending:
                self.heartbeat(stream_id)
        self.now_ms = end_ms

    def hello(
        self, stream_id: int, worker: str = "w1", incarnation: str = "i1"
    ) -> None:
        """Open an agent's stream with a `Hello`."""
        info = WorkerInfo(worker, "r1", "fd-a", CAPACITY)
        message = Hello(info, incarnation, "b1", (), 1)
        self.post(AgentMessageReceived(stream_id, message))

    def heartbeat(self, stream_id: int) -> None:
        """Send a heartbeat that confirms the newest configuration."""
        worker = self.state.streams.get(stream_id)
        if worker is None:
            return
        sequence = self.state.sessions[worker].received_sequence + 1
        message = AgentHeartbeat(sequence, self.state.cluster.number)
        self.post(AgentMessageReceived(stream_id, message))

    def call(self, call: Call) -> int:
        """Make a call and return its id."""
        self.calls += 1
        self.post(CallReceived(self.calls, call))
        return self.calls

    def command(self, command: Command, key: str = "k", digest: str = "d") -> int:
        """Make a call that changes state."""
        proposal = Proposal(f"operator:{key}", digest, command)
        return self.call(CommandCall(proposal))

    def take(self, kind: type[Found]) -> list[Found]:
        """Remove and return the collected effects of one type."""
        found = [effect for effect in self.effects if type(effect) is kind]
        self.effects = [effect for effect in self.effects if type(effect) is not kind]
        return found

    def answers(self) -> dict[int, object]:
        """Return the collected replies by call id."""
        return {effect.call_id: effect.reply for effect in self.take(AnswerCall)}

    def sent(self, stream_id: int) -> list[object]:
        """Return the collected messages to an agent's stream."""
        return [
            effect.message
            for effect in self.take(SendAgent)
            if effect.stream_id == stream_id
        ]


def leading_host() -> Host:
    """Return a host that leads a group of one."""
    cfg = EntryConfig(HOST, (HOST,), (HOST.id,))
    host = Host(EntryState(cfg, random.Random(1)))
    host.post(EntryBooted())
    host.advance(2_000)
    assert host.state.consensus.role is Role.LEADER
    host.effects.clear()
    return host
