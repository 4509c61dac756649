"""Invariants of the consensus protocol, checked after every event."""

import hashlib

import attrs

from crocuswell_core.cluster.commands import LogEntry
from crocuswell_core.consensus import consensus_log, election
from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.consensus.peer_messages import (
    AppendEntries,
    VoteReply,
    VoteRequest,
)
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.effects import Effect, SendPeer
from crocuswell_core.runtime.events import (
    EntryBooted,
    PeerMessageReceived,
    SnapshotReceived,
)
from tests.simulated_host import Host, InvariantError
from tests.simulator import Simulation


@attrs.frozen
class CommittedEntry:
    """An entry with the term of the leader that committed it."""

    entry: LogEntry
    leader_term: int


class ConsensusChecks:
    """Checks invariants against the history of all hosts."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}
        self.entries: dict[tuple[int, int], tuple[LogEntry, int]] = {}
        self.unsynced: dict[str, list[tuple[int, int]]] = {}
        self.committed: dict[int, CommittedEntry] = {}
        self.applied: dict[int, str] = {}
        self.votes: dict[tuple[int, str], str] = {}
        # Time until which each voter refuses to elect another leader.
        self.vote_refusal_ends_ms: dict[str, float] = {}
        self.checked_incarnations: dict[str, int] = {}
        self.last_commit_index: dict[str, int] = {}
        self.last_lease_until_ms: dict[str, int] = {}

    def __call__(
        self, simulation: Simulation, host: Host, event: object, new: list[Effect]
    ) -> None:
        state = host.state
        if state is None:
            return
        if isinstance(event, EntryBooted):
            self.checked_incarnations[host.id] = host.incarnation
            self.last_commit_index[host.id] = event.snapshot_index
            self.last_lease_until_ms[host.id] = 0
        elif self.checked_incarnations.get(host.id) != host.incarnation:
            return
        self.check_votes(simulation, host, event, new)
        self.check_leader(host.id, state)
        self.check_log(host.id, state)
        self.check_commit(simulation, host, state)
        self.check_applied(state)
        self.check_lease(simulation, host, state)

    def on_sync(self, host: Host) -> None:
        """Record that the records of the host's batch are on its disk."""
        self.unsynced.pop(host.id, None)

    def on_crash(self, host: Host) -> None:
        """Forget entries that existed only in a batch lost in the crash.

        A single voter can win a term and append entries in one batch. If
        that batch is lost, it may win the same term again and append other
        entries.
        """
        for key in self.unsynced.pop(host.id, []):
            del self.entries[key]

    # --- terms and votes -------------------------------------------------

    def check_votes(
        self, simulation: Simulation, host: Host, event: object, effects: list[Effect]
    ) -> None:
        """Check that no voter votes twice in a term or against a leader."""
        request = None
        if isinstance(event, PeerMessageReceived):
            request = event.message
        for effect in effects:
            if not isinstance(effect, SendPeer):
                continue
            reply = effect.message
            if not isinstance(reply, VoteReply) or not reply.granted:
                continue
            if not reply.pre_vote:
                first = self.votes.setdefault((reply.term, host.id), effect.to)
                if first != effect.to:
                    raise InvariantError("two votes in a term", host.id, reply)
            transfer = isinstance(request, VoteRequest) and request.transfer
            if not transfer and simulation.time_ms < self._refusal_end_ms(host) - 2:
                raise InvariantError("vote against a live leader", host.id, reply)
        self._note_leader_heard(simulation, host, event)

    def _refusal_end_ms(self, host: Host) -> float:
        return self.vote_refusal_ends_ms.get(host.id, 0.0)

    def _note_leader_heard(
        self, simulation: Simulation, host: Host, event: object
    ) -> None:
        term = None
        if isinstance(event, PeerMessageReceived):
            if isinstance(event.message, AppendEntries):
                term = event.message.term
        elif isinstance(event, SnapshotReceived):
            term = event.term
        if term is None or host.state is None or term < host.state.consensus.term:
            return
        wait_ms = host.cfg.election_min_ms / host.rate
        self.vote_refusal_ends_ms[host.id] = simulation.time_ms + wait_ms

    def check_leader(self, id_: str, state: EntryState) -> None:
        """Check for one leader per term that holds all committed entries."""
        consensus = state.consensus
        if consensus.role is not Role.LEADER:
            return
        if consensus.term in self.leaders:
            if self.leaders[consensus.term] != id_:
                raise InvariantError("two leaders in a term", id_, consensus.term)
            return
        self.leaders[consensus.term] = id_
        for index, committed in self.committed.items():
            if (
                committed.leader_term >= consensus.term
                or index <= consensus.snapshot_index
            ):
                continue
            if consensus_log.entry_at(consensus, index) != committed.entry:
                raise InvariantError("leader lacks a committed entry", id_, index)

    # --- log -------------------------------------------------------------

    def check_log(self, id_: str, state: EntryState) -> None:
        """Check that logs with equal index and term match up to that index."""
        consensus = state.consensus
        index, previous = consensus.snapshot_index, consensus.snapshot_term
        for entry in consensus.entries:
            index += 1
            if entry.index != index:
                raise InvariantError("gap in the log", index)
            key = (index, entry.term)
            if key not in self.entries:
                self.unsynced.setdefault(id_, []).append(key)
            known = self.entries.setdefault(key, (entry, previous))
            if known[1] != previous or known[0] != entry:
                raise InvariantError("logs do not match", index, known, entry)
            previous = entry.term

    def check_commit(
        self, simulation: Simulation, host: Host, state: EntryState
    ) -> None:
        """Check that committed entries never change and are durable."""
        consensus = state.consensus
        seen = self.last_commit_index[host.id]
        if consensus.commit_index < seen:
            raise InvariantError("commit index went back", host.id, seen)
        first = max(seen, consensus.snapshot_index) + 1
        self.last_commit_index[host.id] = consensus.commit_index
        if consensus.role is Role.LEADER and consensus.commit_index > seen:
            newest = consensus_log.term_at(consensus, consensus.commit_index)
            if newest != consensus.term:
                raise InvariantError("older term committed by count", host.id, newest)
        for index in range(first, consensus.commit_index + 1):
            entry = consensus_log.entry_at(consensus, index)
            if entry is None:
                raise InvariantError("committed entry is missing", host.id, index)
            known = self.committed.get(index)
            if known is None:
                self.committed[index] = CommittedEntry(entry, consensus.term)
                self._check_durable(simulation, state, entry)
            elif known.entry != entry:
                raise InvariantError("committed entry changed", host.id, known, entry)

    def _check_durable(
        self, simulation: Simulation, state: EntryState, entry: LogEntry
    ) -> None:
        voters = state.consensus.voters
        holding = [
            id_
            for id_ in voters
            if simulation.hosts[id_].disk.holds(entry.index, entry.term)
        ]
        if len(holding) <= len(voters) // 2:
            raise InvariantError("commit is not durable", entry, voters, holding)

    def check_applied(self, state: EntryState) -> None:
        """Check that all hosts have the same state at the same index."""
        consensus = state.consensus
        if consensus.applied_index > consensus.commit_index:
            raise InvariantError("applied before commit", state.cfg.host.id)
        digest = hashlib.sha256(repr(state.cluster).encode()).hexdigest()
        if self.applied.setdefault(consensus.applied_index, digest) != digest:
            raise InvariantError(
                "applied states differ", state.cfg.host.id, consensus.applied_index
            )

    # --- lease -----------------------------------------------------------

    def check_lease(
        self, simulation: Simulation, host: Host, state: EntryState
    ) -> None:
        """Check that a majority protects each lease and only one is valid."""
        consensus = state.consensus
        if consensus.role is Role.LEADER:
            lease_ms = state.cfg.leader_lease_ms
            first_lease_end_ms = consensus.leader_since_ms + lease_ms
            if state.now_ms >= max(consensus.lease_until_ms, first_lease_end_ms):
                raise InvariantError("leader without lease", host.id)
            if consensus.lease_until_ms != self.last_lease_until_ms[host.id]:
                self.last_lease_until_ms[host.id] = consensus.lease_until_ms
                self._check_protected(host, state)
        holders = [
            other
            for other in simulation.hosts.values()
            if other.state is not None
            and other.state.consensus.role is Role.LEADER
            and other.local_ms(simulation.time_ms)
            < other.state.consensus.lease_until_ms
        ]
        if len(holders) > 1:
            raise InvariantError("two leases", [h.id for h in holders])
        if host in holders and election.holds_lease(state):
            newest = max(self.committed, default=0)
            if consensus.commit_index < newest:
                raise InvariantError("stale reads under a lease", host.id, newest)

    def _check_protected(self, host: Host, state: EntryState) -> None:
        consensus = state.consensus
        end_ms = (consensus.lease_until_ms - host.offset_ms) / host.rate
        protecting = [
            id_
            for id_ in consensus.voters
            if id_ == host.id or self.vote_refusal_ends_ms.get(id_, 0.0) >= end_ms
        ]
        if len(protecting) <= len(consensus.voters) // 2:
            raise InvariantError("lease is not protected", host.id, end_ms)


def run_seed(seed: int, steps: int, voters: int | None = None) -> Simulation:
    """Simulate one seed with faults, then without.

    Raises
    ------
    InvariantError
        If an invariant does not hold.
    """
    simulation = Simulation(seed, ConsensusChecks(), voters)
    simulation.run(steps)
    simulation.settle()
    return simulation
