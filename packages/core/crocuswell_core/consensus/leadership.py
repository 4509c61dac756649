"""Terms, role changes and the leader's lease."""

from crocuswell_core.consensus import consensus_log, members
from crocuswell_core.consensus.consensus_state import PeerProgress, Role
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.dispatch import notify
from crocuswell_core.runtime.effects import (
    CancelTimer,
    Effect,
    EmitLogEvent,
    Label,
    Observe,
    Persist,
    StartTimer,
    TermRecord,
)
from crocuswell_core.runtime.notices import LeadershipGained, LeadershipLost
from crocuswell_core.runtime.timers import ElectionTimer, LeaderTimer


def holds_lease(state: EntryState) -> bool:
    """Return whether this host is a leader that may serve reads.

    It must hold the lease and have committed an entry of its own term.
    Before that, its commit index may be lower than what an earlier leader
    committed.
    """
    consensus = state.consensus
    return (
        consensus.role is Role.LEADER
        and state.now_ms < consensus.lease_until_ms
        and consensus.commit_index >= consensus.term_start_index
    )


def persist_term(state: EntryState) -> list[Effect]:
    """Return the effects that make the term and the vote durable."""
    if not state.cfg.host.has_disk:
        return []
    consensus = state.consensus
    return [Persist(TermRecord(consensus.term, consensus.voted_for))]


def postpone_election(state: EntryState) -> int:
    """Draw a random election timeout in ms, schedule it and return it."""
    delay_ms = state.rng.randint(state.cfg.election_min_ms, state.cfg.election_max_ms)
    state.consensus.election_due_ms = state.now_ms + delay_ms
    return delay_ms


def step_down(state: EntryState, reason: str) -> list[Effect]:
    """Become a follower in the same term, without a known leader."""
    consensus = state.consensus
    was_leader = consensus.role is Role.LEADER
    consensus.role = Role.FOLLOWER
    consensus.leader = None
    consensus.votes = {}
    if not was_leader:
        return []
    consensus.lease_until_ms = 0
    consensus.round_sent_ms = {}
    consensus.progress = {}
    consensus.transfer_target = None
    return [
        CancelTimer(LeaderTimer()),
        StartTimer(ElectionTimer(), postpone_election(state)),
        EmitLogEvent(
            "leadership_lost",
            (Label("term", str(consensus.term)), Label("reason", reason)),
        ),
        *notify(LeadershipLost(), state),
    ]


def enter_term(state: EntryState, term: int) -> list[Effect]:
    """Adopt a higher term seen in a message and become a follower."""
    effects = step_down(state, "higher_term")
    state.consensus.term = term
    state.consensus.voted_for = None
    return [*persist_term(state), *effects]


def follow_leader(state: EntryState, leader: str, term: int) -> list[Effect]:
    """Follow the leader of a term that is not below this host's term.

    Raises
    ------
    ValueError
        If this host is itself the leader of that term.
    """
    consensus = state.consensus
    effects: list[Effect] = []
    if term > consensus.term:
        effects = enter_term(state, term)
    elif consensus.role is Role.LEADER:
        raise ValueError(f"second leader {leader!r} in term {term}")
    consensus.role = Role.FOLLOWER
    consensus.leader = leader
    consensus.last_leader_contact_ms = state.now_ms
    postpone_election(state)
    return effects


def heard_leader_lately(state: EntryState) -> bool:
    """Return whether a leader may still hold its lease."""
    consensus = state.consensus
    if consensus.role is Role.LEADER:
        return True
    return state.now_ms - consensus.last_leader_contact_ms < state.cfg.election_min_ms


def start_heartbeat_round(state: EntryState) -> None:
    """Start a heartbeat round; the lease is counted from its sending time."""
    consensus = state.consensus
    consensus.round += 1
    consensus.round_sent_ms[consensus.round] = state.now_ms
    # Rounds older than the lease can no longer extend it.
    oldest = next(iter(consensus.round_sent_ms))
    while state.now_ms - consensus.round_sent_ms[oldest] > state.cfg.leader_lease_ms:
        del consensus.round_sent_ms[oldest]
        oldest = next(iter(consensus.round_sent_ms))
    if members.majority(consensus) == 1:
        extend_lease(state)


def acknowledge_round(state: EntryState, progress: PeerProgress, round_: int) -> None:
    """Record that a host acknowledged a heartbeat round."""
    progress.last_heard_ms = state.now_ms
    sent_ms = state.consensus.round_sent_ms.get(round_)
    if sent_ms is None or round_ <= progress.acknowledged_round:
        return
    progress.acknowledged_round = round_
    progress.acknowledged_ms = sent_ms
    extend_lease(state)


def extend_lease(state: EntryState) -> None:
    """Extend the lease from the newest round that a majority acknowledged."""
    consensus = state.consensus
    acknowledged_times_ms = [
        acknowledged_ms
        for id_ in members.other_voters(state)
        if (acknowledged_ms := consensus.progress[id_].acknowledged_ms) is not None
    ]
    if state.cfg.host.id in consensus.voters:
        acknowledged_times_ms.append(state.now_ms)
    needed = members.majority(consensus)
    if len(acknowledged_times_ms) < needed:
        return
    lease_start_ms = sorted(acknowledged_times_ms, reverse=True)[needed - 1]
    consensus.lease_until_ms = max(
        consensus.lease_until_ms, lease_start_ms + state.cfg.leader_lease_ms
    )


def check_lease(state: EntryState) -> list[Effect]:
    """Step down if the lease has expired; called whenever time advances.

    A process that was paused thus steps down before it handles any queued
    event. A new leader has the duration of one lease to be acknowledged by
    a majority.
    """
    consensus = state.consensus
    if consensus.role is not Role.LEADER:
        return []
    first_lease_end_ms = consensus.leader_since_ms + state.cfg.leader_lease_ms
    if state.now_ms < max(consensus.lease_until_ms, first_lease_end_ms):
        return []
    return step_down(state, "lease_over")


def become_leader(state: EntryState) -> list[Effect]:
    """Become leader of the current term; the caller appends an entry."""
    consensus = state.consensus
    consensus.role = Role.LEADER
    consensus.leader = state.cfg.host.id
    consensus.votes = {}
    consensus.leader_since_ms = state.now_ms
    consensus.lease_until_ms = 0
    consensus.round_sent_ms = {}
    consensus.transfer_target = None
    consensus.progress = {}
    consensus.term_start_index = consensus_log.last_index(consensus) + 1
    track_members(state)
    return [
        CancelTimer(ElectionTimer()),
        EmitLogEvent("leadership_gained", (Label("term", str(consensus.term)),)),
        Observe(
            "election_seconds",
            (state.now_ms - consensus.last_leader_contact_ms) / 1_000,
        ),
        *notify(LeadershipGained(), state),
    ]


def track_members(state: EntryState) -> None:
    """Track progress of exactly the other hosts in the membership."""
    consensus = state.consensus
    next_index = consensus_log.last_index(consensus) + 1
    consensus.progress = {
        host.id: consensus.progress.get(host.id)
        or PeerProgress(
            next_index, last_heard_ms=state.now_ms, tracked_since_ms=state.now_ms
        )
        for host in members.other_hosts(state)
    }
