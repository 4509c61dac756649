"""Terms, the leader that this host follows, and the leader's lease."""

from crocuswell_core.agreement import consensus_log, members
from crocuswell_core.agreement.consensus_state import PeerProgress, Role
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.dispatch import notify
from crocuswell_core.runtime.effects import (
    CancelTimer,
    Effect,
    Label,
    LogChange,
    Observe,
    Persist,
    StartTimer,
    TermRecord,
)
from crocuswell_core.runtime.notices import LeadershipGained, LeadershipLost
from crocuswell_core.runtime.timers import ElectionTimer, LeaderTimer


def holds_lease(state: EntryState) -> bool:
    """Tell whether this host is a leader that may answer for the group.

    True only under the lease, and only once an entry of the leader's own
    term is committed: before that, its commit index may lie behind what
    an earlier leader committed.
    """
    consensus = state.consensus
    return (
        consensus.role is Role.LEADER
        and state.now_ms < consensus.lease_until_ms
        and consensus.commit_index >= consensus.term_start_index
    )


def persist_term(state: EntryState) -> list[Effect]:
    """Return the effect that makes term and vote durable."""
    if not state.cfg.host.has_disk:
        return []
    consensus = state.consensus
    return [Persist(TermRecord(consensus.term, consensus.voted_for))]


def postpone_election(state: EntryState) -> int:
    """Set the time of the next election and return the delay in ms."""
    delay_ms = state.rng.randint(state.cfg.election_min_ms, state.cfg.election_max_ms)
    state.consensus.election_due_ms = state.now_ms + delay_ms
    return delay_ms


def step_down(state: EntryState, reason: str) -> list[Effect]:
    """Become a follower without a known leader, in the same term."""
    consensus = state.consensus
    was_leader = consensus.role is Role.LEADER
    consensus.role = Role.FOLLOWER
    consensus.leader = None
    consensus.votes = {}
    if not was_leader:
        return []
    consensus.lease_until_ms = 0
    consensus.rounds = {}
    consensus.progress = {}
    consensus.transferring_to = None
    return [
        CancelTimer(LeaderTimer()),
        StartTimer(ElectionTimer(), postpone_election(state)),
        LogChange(
            "leadership_lost",
            (Label("term", str(consensus.term)), Label("reason", reason)),
        ),
        *notify(LeadershipLost(), state),
    ]


def enter_term(state: EntryState, term: int) -> list[Effect]:
    """Take over a higher term seen in a message."""
    effects = step_down(state, "higher_term")
    state.consensus.term = term
    state.consensus.voted_for = None
    return [*persist_term(state), *effects]


def follow(state: EntryState, leader: str, term: int) -> list[Effect]:
    """Follow the leader of a term that is not below this host's term."""
    consensus = state.consensus
    effects: list[Effect] = []
    if term > consensus.term:
        effects = enter_term(state, term)
    elif consensus.role is Role.LEADER:
        raise ValueError(f"two leaders in term {term}: {leader}")
    consensus.role = Role.FOLLOWER
    consensus.leader = leader
    consensus.heard_leader_ms = state.now_ms
    postpone_election(state)
    return effects


def heard_leader_lately(state: EntryState) -> bool:
    """Tell whether a leader may still be under its lease."""
    consensus = state.consensus
    if consensus.role is Role.LEADER:
        return True
    return state.now_ms - consensus.heard_leader_ms < state.cfg.election_min_ms


def start_round(state: EntryState) -> None:
    """Begin a heartbeat round; the lease runs from its time of sending."""
    consensus = state.consensus
    consensus.round += 1
    consensus.rounds[consensus.round] = state.now_ms
    # Rounds older than the lease can no longer extend it.
    oldest = next(iter(consensus.rounds))
    while state.now_ms - consensus.rounds[oldest] > state.cfg.leader_lease_ms:
        del consensus.rounds[oldest]
        oldest = next(iter(consensus.rounds))
    if members.majority(consensus) == 1:
        extend_lease(state)


def acknowledge_round(state: EntryState, progress: PeerProgress, round_: int) -> None:
    """Note that a host heard this leader in a round."""
    progress.heard_ms = state.now_ms
    sent_ms = state.consensus.rounds.get(round_)
    if sent_ms is None or round_ <= progress.acknowledged_round:
        return
    progress.acknowledged_round = round_
    progress.acknowledged_ms = sent_ms
    extend_lease(state)


def extend_lease(state: EntryState) -> None:
    """Let the lease run from the newest round that a majority heard."""
    consensus = state.consensus
    heard = [
        acknowledged_ms
        for id_ in members.other_voters(state)
        if (acknowledged_ms := consensus.progress[id_].acknowledged_ms) is not None
    ]
    if state.cfg.host.id in consensus.voters:
        heard.append(state.now_ms)
    needed = members.majority(consensus)
    if len(heard) < needed:
        return
    from_ms = sorted(heard, reverse=True)[needed - 1]
    consensus.lease_until_ms = max(
        consensus.lease_until_ms, from_ms + state.cfg.leader_lease_ms
    )


def check_lease(state: EntryState) -> list[Effect]:
    """Step down if the lease is over; called whenever time advances.

    A process that was paused thereby notices it before it handles any
    event that waited. A new leader has the length of one lease to be heard
    by a majority.
    """
    consensus = state.consensus
    if consensus.role is not Role.LEADER:
        return []
    first_lease_ms = consensus.leader_since_ms + state.cfg.leader_lease_ms
    if state.now_ms < max(consensus.lease_until_ms, first_lease_ms):
        return []
    return step_down(state, "lease_over")


def lead(state: EntryState) -> list[Effect]:
    """Become the leader of the current term; the caller appends to the log."""
    consensus = state.consensus
    consensus.role = Role.LEADER
    consensus.leader = state.cfg.host.id
    consensus.votes = {}
    consensus.leader_since_ms = state.now_ms
    consensus.lease_until_ms = 0
    consensus.rounds = {}
    consensus.transferring_to = None
    consensus.progress = {}
    consensus.term_start_index = consensus_log.last_index(consensus) + 1
    track_members(state)
    return [
        CancelTimer(ElectionTimer()),
        LogChange("leadership_gained", (Label("term", str(consensus.term)),)),
        Observe("election_seconds", (state.now_ms - consensus.heard_leader_ms) / 1_000),
        *notify(LeadershipGained(), state),
    ]


def track_members(state: EntryState) -> None:
    """Hold progress for exactly the other hosts of the membership."""
    consensus = state.consensus
    next_index = consensus_log.last_index(consensus) + 1
    consensus.progress = {
        host.id: consensus.progress.get(host.id)
        or PeerProgress(next_index, heard_ms=state.now_ms, since_ms=state.now_ms)
        for host in members.other_hosts(state)
    }
