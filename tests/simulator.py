"""Deterministic simulation of entry hosts, network, disks and clocks.

Time is in ms. One random generator makes all choices, so a seed replays
exactly.
"""

import copy
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from typing import Protocol

import attrs

from crocuswell_core.cluster.commands import (
    AdvanceTime,
    ChangeMembers,
    EntryHost,
    Proposal,
)
from crocuswell_core.consensus import election, replication
from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.entry.entry_state import EntryConfig, EntryState
from crocuswell_core.runtime.effects import (
    CancelTimer,
    Effect,
    EntriesRecord,
    Persist,
    SaveSnapshot,
    SendPeer,
    SendSnapshot,
    StartTimer,
)
from crocuswell_core.runtime.events import (
    ClockAdvanced,
    EntriesSynced,
    Event,
    PeerMessageReceived,
    SnapshotReceived,
    TimerFired,
)
from crocuswell_core.runtime.reducer import reduce
from crocuswell_core.runtime.timers import ElectionTimer, LeaderTimer, Timer
from tests.simulated_host import Action, Disk, Host, InvariantError

MAX_DRIFT = 0.05
# Time without faults within which every host must have applied all entries.
SETTLE_MS = 8_000


@attrs.define
class FaultProfile:
    """Fault rates of one run."""

    loss: float
    duplication: float
    slow: float
    crash_in_batch: float
    slow_sync: float
    fault_every_ms: float


class Observer(Protocol):
    """Observes every reduced event, every sync and every crash."""

    def __call__(
        self, simulation: "Simulation", host: Host, event: object, new: list[Effect]
    ) -> None: ...

    def on_sync(self, host: Host) -> None: ...

    def on_crash(self, host: Host) -> None: ...


class Simulation:
    """A group of hosts whose events are checked by an observer."""

    def __init__(self, seed: int, check: Observer, voters: int | None = None):
        self.rng = random.Random(seed)
        self.check = check
        self.time_ms = 0.0
        self.steps = 0
        self.faults: Counter[str] = Counter()
        self.faults_disabled = False
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._blocked: dict[tuple[str, str], int] = {}
        self._delivered: Counter[tuple[str, str]] = Counter()
        self._commands = itertools.count(1)
        self.profile = self._make_profile()
        voters = voters or self.rng.choice((1, 3, 3, 3, 5))
        self.hosts = {host.id: host for host in self._make_hosts(voters)}
        for host in self.hosts.values():
            self._boot(host)
        self._schedule(self.profile.fault_every_ms, self._inject_faults)
        self._schedule(50, self._propose)

    def _make_profile(self) -> FaultProfile:
        rng = self.rng
        return FaultProfile(
            loss=rng.choice((0.0, 0.02, 0.1)),
            duplication=rng.choice((0.0, 0.05)),
            slow=rng.choice((0.0, 0.03, 0.15)),
            crash_in_batch=rng.choice((0.0, 0.001, 0.005)),
            slow_sync=rng.choice((0.0, 0.02, 0.1)),
            fault_every_ms=rng.choice((300, 1_000, 3_000)),
        )

    def _make_hosts(self, voters: int) -> Iterable[Host]:
        ids = [f"h{n}" for n in range(1, voters + 3)]
        hosts = tuple(
            EntryHost(id_, f"{id_}:1", f"domain{n % 3}", has_disk=n < voters + 1)
            for n, id_ in enumerate(ids)
        )
        for host in hosts:
            cfg = EntryConfig(
                host,
                hosts,
                tuple(ids[:voters]),
                snapshot_entries=self.rng.choice((10, 60)),
                append_entries=self.rng.choice((1, 3, 128)),
                replace_voter_ms=3_000,
            )
            yield Host(cfg, 1 + self.rng.uniform(-MAX_DRIFT, MAX_DRIFT))
            self.faults["clock_drift"] += 1

    # --- the event loop --------------------------------------------------

    def run(self, steps: int) -> None:
        """Run with faults until `steps` events in total were reduced."""
        while self.steps < steps:
            self._run_next()

    def settle(self) -> None:
        """End all faults and check that every host applies all entries.

        Raises
        ------
        InvariantError
            If the group has no leader or a host lags after `SETTLE_MS`.
        """
        self.faults_disabled = True
        self._blocked.clear()
        for host in self.hosts.values():
            host.paused_until = min(host.paused_until, self.time_ms)
            if host.state is None:
                self._boot(host)
            self._schedule_batch(host)
        self._run_until(self.time_ms + SETTLE_MS)
        running = {h.id: h.state for h in self.hosts.values() if h.state is not None}
        leaders = [id_ for id_ in running if election.holds_lease(running[id_])]
        if len(leaders) != 1:
            raise InvariantError("no leader without faults", leaders)
        proposal = Proposal("last", "", AdvanceTime())
        self._post(
            self.hosts[leaders[0]], lambda state: replication.propose(state, proposal)
        )
        self._run_until(self.time_ms + 1_000)
        leader = running[leaders[0]].consensus
        applied = {id_: running[id_].consensus.applied_index for id_ in self.hosts}
        if set(applied.values()) != {leader.commit_index}:
            raise InvariantError("not applied everywhere", leader.commit_index, applied)
        if leader.entries[-1].proposal != proposal:
            raise InvariantError("last proposal is not in the log")

    def _run_until(self, end_ms: float) -> None:
        while self._heap[0][0] <= end_ms:
            self._run_next()
        self.time_ms = end_ms

    def _run_next(self) -> None:
        self.time_ms, _, action = heapq.heappop(self._heap)
        action()

    def _schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._heap, (self.time_ms + delay_ms, next(self._sequence), action)
        )

    # --- hosts -----------------------------------------------------------

    def _boot(self, host: Host) -> None:
        host.incarnation += 1
        host.offset_ms = self.rng.randint(0, 100_000)
        host.state = EntryState(host.cfg, random.Random(self.rng.random()))
        if not host.cfg.host.has_disk:
            host.disk = Disk()
        self._post(host, host.disk.booted())

    def _crash(self, host: Host) -> None:
        self.faults["crash"] += 1
        kept = self.rng.randint(0, len(host.disk.unsynced))
        if kept < len(host.disk.unsynced):
            self.faults["lost_write"] += 1
        host.disk.sync(kept)
        host.disk.unsynced.clear()
        self.check.on_crash(host)
        host.state = None
        host.queue.clear()
        host.timers.clear()
        host.busy = False
        host.paused_until = 0
        delay_ms = self.rng.choice(
            (self.rng.uniform(1, 500), self.rng.uniform(1, 6_000))
        )
        incarnation = host.incarnation

        def restart() -> None:
            if host.state is None and host.incarnation == incarnation:
                self._boot(host)

        self._schedule(delay_ms, restart)

    def _post(self, host: Host, event: Event | Action) -> None:
        if host.state is None:
            return
        host.queue.append(event)
        if len(host.queue) == 1:
            self._schedule_batch(host)

    def _schedule_batch(self, host: Host) -> None:
        self._schedule(
            max(0.0, host.paused_until - self.time_ms), lambda: self._run_batch(host)
        )

    def _run_batch(self, host: Host) -> None:
        state = host.state
        if state is None or host.busy or not host.queue:
            return
        if host.paused_until > self.time_ms:
            self._schedule_batch(host)
            return
        now_ms = host.local_ms(self.time_ms)
        effects: list[Effect] = []
        events = [ClockAdvanced(now_ms, int(self.time_ms)), *host.queue]
        host.queue.clear()
        for event in events:
            self.steps += 1
            if callable(event):
                new = event(state)
            else:
                _, new = reduce(state, event)
            host.disk.unsynced += [
                copy.deepcopy(effect) if isinstance(effect, SaveSnapshot) else effect
                for effect in new
                if isinstance(effect, Persist | SaveSnapshot)
            ]
            new = [
                copy.deepcopy(effect) if isinstance(effect, SendSnapshot) else effect
                for effect in new
                if not isinstance(effect, Persist | SaveSnapshot)
            ]
            self.check(self, host, event, new)
            effects += new
        host.busy = True
        self._schedule(
            self._sync_ms(host),
            partial(self._finish_batch, host, host.incarnation, effects),
        )

    def _sync_ms(self, host: Host) -> float:
        if not host.disk.unsynced:
            return 0.0
        if not self.faults_disabled and self.rng.random() < self.profile.slow_sync:
            self.faults["slow_sync"] += 1
            return self.rng.uniform(10, 400)
        return self.rng.uniform(0.1, 2)

    def _finish_batch(
        self, host: Host, incarnation: int, effects: list[Effect]
    ) -> None:
        """Sync and execute the effects, with a possible crash in between."""
        if host.incarnation != incarnation or host.state is None:
            return
        if host.paused_until > self.time_ms:
            self._schedule(
                host.paused_until - self.time_ms,
                lambda: self._finish_batch(host, incarnation, effects),
            )
            return
        records = len(host.disk.unsynced)
        crash_at = None
        if not self.faults_disabled and self.rng.random() < self.profile.crash_in_batch:
            self.faults["crash_between_effects"] += 1
            crash_at = self.rng.randint(0, records + len(effects))
        if crash_at is not None and crash_at < records:
            self._crash(host)
            return
        written = [
            r.record.entries[-1]
            for r in host.disk.unsynced
            if isinstance(r, Persist) and isinstance(r.record, EntriesRecord)
        ]
        host.disk.sync(records)
        self.check.on_sync(host)
        host.busy = False
        if written:
            self._post(host, EntriesSynced(written[-1].index, written[-1].term))
        elif host.queue:
            self._schedule_batch(host)
        for position, effect in enumerate(effects):
            if crash_at == records + position:
                break
            self._execute(host, effect)
        if crash_at is not None:
            self._crash(host)
        elif host.queue:
            self._schedule_batch(host)

    def _execute(self, host: Host, effect: Effect) -> None:
        match effect:
            case SendPeer(to, message):
                self._send(host, to, PeerMessageReceived(host.id, message))
            case SendSnapshot():
                received = SnapshotReceived(
                    host.id,
                    effect.term,
                    effect.index,
                    effect.entry_term,
                    effect.hosts,
                    effect.voters,
                    effect.state,
                    effect.round,
                )
                self._send(host, effect.to, received)
            case StartTimer(timer=(ElectionTimer() | LeaderTimer()) as timer):
                self._start_timer(host, timer, effect.delay_ms)
            case CancelTimer(timer):
                host.timers.pop(timer, None)

    def _start_timer(self, host: Host, timer: Timer, delay_ms: int) -> None:
        token = next(self._sequence)
        host.timers[timer] = token

        def fire() -> None:
            if host.timers.get(timer) == token:
                del host.timers[timer]
                self._post(host, TimerFired(timer))

        self._schedule(delay_ms / host.rate, fire)

    # --- the network -----------------------------------------------------

    def _send(self, sender: Host, to: str, event: Event) -> None:
        pair = (sender.id, to)
        copies = 1
        if not self.faults_disabled:
            if pair in self._blocked:
                return
            if self.rng.random() < self.profile.loss:
                self.faults["loss"] += 1
                return
            if self.rng.random() < self.profile.duplication:
                self.faults["duplicate"] += 1
                copies = 2
        for _ in range(copies):
            delay_ms = self.rng.uniform(0.5, 3)
            if not self.faults_disabled and self.rng.random() < self.profile.slow:
                self.faults["delay"] += 1
                delay_ms += self.rng.uniform(1, 800)
            number = next(self._sequence)
            self._schedule(delay_ms, partial(self._deliver, pair, number, event))

    def _deliver(self, pair: tuple[str, str], number: int, event: Event) -> None:
        if number < self._delivered[pair]:
            self.faults["reorder"] += 1
        self._delivered[pair] = max(number, self._delivered[pair])
        if isinstance(event, SnapshotReceived):
            event = attrs.evolve(event, state=copy.deepcopy(event.state))
        self._post(self.hosts[pair[1]], event)

    # --- load and faults -------------------------------------------------

    def _propose(self) -> None:
        self._schedule(self.rng.expovariate(1 / 40), self._propose)
        if self.faults_disabled:
            return
        host = self.rng.choice(list(self.hosts.values()))
        proposal = Proposal(f"command{next(self._commands)}", "", AdvanceTime())
        self._post(host, lambda state: replication.propose(state, proposal))

    def _inject_faults(self) -> None:
        self._schedule(
            self.rng.expovariate(1 / self.profile.fault_every_ms), self._inject_faults
        )
        if self.faults_disabled:
            return
        host = self.rng.choice(list(self.hosts.values()))
        leaders = [
            h
            for h in self.hosts.values()
            if h.state and h.state.consensus.role is Role.LEADER
        ]
        if leaders and self.rng.random() < 0.3:
            host = self.rng.choice(leaders)
        kinds = [
            self._crash_one,
            self._crash_many,
            self._pause,
            self._partition_one_way,
            self._partition_two_way,
        ]
        kinds += [self._transfer, self._change_members]
        # Simultaneous faults reveal more than the same faults one by one.
        for kind in self.rng.sample(kinds, self.rng.choice((1, 1, 2, 3))):
            kind(host)

    def _crash_one(self, host: Host) -> None:
        if host.state is not None:
            self._crash(host)

    def _crash_many(self, host: Host) -> None:
        """Crash several hosts at once, as a failed rack or switch would."""
        self.faults["crash_of_several"] += 1
        hosts = list(self.hosts.values())
        for other in self.rng.sample(hosts, self.rng.randint(1, len(hosts))):
            self._crash_one(other)

    def _pause(self, host: Host) -> None:
        self.faults["pause"] += 1
        host.paused_until = self.time_ms + self.rng.uniform(50, 1_500)

    def _partition_one_way(self, host: Host) -> None:
        self.faults["one_way_partition"] += 1
        others = [id_ for id_ in self.hosts if id_ != host.id]
        cut = self.rng.sample(others, self.rng.randint(1, len(others)))
        if self.rng.random() < 0.5:
            self._block([(host.id, id_) for id_ in cut])
        else:
            self._block([(id_, host.id) for id_ in cut])

    def _partition_two_way(self, host: Host) -> None:
        self.faults["two_way_partition"] += 1
        ids = list(self.hosts)
        side = self.rng.sample(ids, self.rng.randint(1, len(ids) - 1))
        self._block([(a, b) for a in ids for b in ids if (a in side) != (b in side)])

    def _block(self, pairs: list[tuple[str, str]]) -> None:
        token = next(self._sequence)
        self._blocked.update(dict.fromkeys(pairs, token))

        def heal() -> None:
            for pair in pairs:
                if self._blocked.get(pair) == token:
                    del self._blocked[pair]

        self._schedule(self.rng.choice((300, 2_000, 6_000)) * self.rng.random(), heal)

    def _transfer(self, host: Host) -> None:
        self.faults["transfer"] += 1
        self._post(host, election.transfer_leadership)

    def _change_members(self, host: Host) -> None:
        """Propose random voters; most of these changes are not allowed."""
        self.faults["member_change"] += 1
        hosts = host.cfg.hosts
        disks = [h.id for h in hosts if h.has_disk]
        voters = tuple(self.rng.sample(disks, self.rng.randint(1, len(disks))))
        proposal = Proposal("", "", ChangeMembers(hosts, voters))
        self._post(host, lambda state: replication.propose(state, proposal))
