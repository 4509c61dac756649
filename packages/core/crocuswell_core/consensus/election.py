"""Elections: start-up, pre-votes, votes and leadership transfer."""

from typing import cast

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import NoOperation, Proposal
from crocuswell_core.consensus import consensus_log, leadership, members, replication
from crocuswell_core.consensus.consensus_state import ConsensusState, Membership, Role
from crocuswell_core.consensus.leadership import holds_lease
from crocuswell_core.consensus.peer_messages import TimeoutNow, VoteReply, VoteRequest
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.dispatch import (
    handle,
    handle_peer_message,
    handle_timer,
    notify,
)
from crocuswell_core.runtime.effects import (
    Count,
    Effect,
    SendPeer,
    SetPeers,
    StartTimer,
)
from crocuswell_core.runtime.events import EntryBooted
from crocuswell_core.runtime.notices import HostBooted
from crocuswell_core.runtime.timers import ElectionTimer, LeaderTimer

__all__ = ["holds_lease", "transfer_leadership"]


def transfer_leadership(state: EntryState) -> list[Effect]:
    """Transfer leadership to another voter, if this host is the leader."""
    return replication.begin_transfer(state)


@handle.register
def _(event: EntryBooted, state: EntryState) -> list[Effect]:
    consensus = ConsensusState(
        term=event.term,
        voted_for=event.voted_for,
        entries=list(event.entries),
        snapshot_index=event.snapshot_index,
        snapshot_term=event.snapshot_term,
        saved_snapshot_index=event.snapshot_index,
        commit_index=event.snapshot_index,
        applied_index=event.snapshot_index,
        # This host may have acknowledged a leader just before it stopped,
        # so it must not vote for another one within that leader's lease.
        last_leader_contact_ms=state.now_ms,
    )
    consensus.synced_index = consensus_log.last_index(consensus)
    members.reset(
        consensus,
        Membership(
            event.snapshot_index,
            event.hosts or state.cfg.hosts,
            event.voters or state.cfg.voters,
        ),
    )
    members.activate_appended(consensus, event.entries)
    state.consensus = consensus
    if event.snapshot_state is not None:
        state.cluster = cast(ClusterState, event.snapshot_state)
    return [
        SetPeers(consensus.hosts),
        StartTimer(ElectionTimer(), leadership.postpone_election(state)),
        *notify(HostBooted(), state),
    ]


# --- candidate -----------------------------------------------------------


@handle_timer.register
def _(timer: ElectionTimer, state: EntryState) -> list[Effect]:
    consensus = state.consensus
    if consensus.role is Role.LEADER:
        return []
    # A message from the leader postpones `election_due_ms` but leaves the
    # timer running, so that heartbeats do not restart it.
    wait_ms = consensus.election_due_ms - state.now_ms
    if wait_ms > 0:
        return [StartTimer(ElectionTimer(), wait_ms)]
    restart = StartTimer(ElectionTimer(), leadership.postpone_election(state))
    if not members.may_campaign(state):
        consensus.leader = None
        return [restart]
    return [restart, *_request_pre_votes(state)]


def _request_pre_votes(state: EntryState) -> list[Effect]:
    consensus = state.consensus
    consensus.role = Role.PRE_CANDIDATE
    consensus.leader = None
    consensus.votes = {state.cfg.host.id: True}
    if _has_majority(consensus):
        return _start_election(state, transfer=False)
    return _request_votes(state, consensus.term + 1, pre_vote=True, transfer=False)


def _start_election(state: EntryState, *, transfer: bool) -> list[Effect]:
    consensus = state.consensus
    consensus.role = Role.CANDIDATE
    consensus.leader = None
    consensus.term += 1
    consensus.voted_for = state.cfg.host.id
    consensus.votes = {state.cfg.host.id: True}
    effects = [*leadership.persist_term(state), Count("elections_total")]
    if _has_majority(consensus):
        return [*effects, *_win_election(state)]
    return [
        *effects,
        *_request_votes(state, consensus.term, pre_vote=False, transfer=transfer),
    ]


def _request_votes(
    state: EntryState, term: int, *, pre_vote: bool, transfer: bool
) -> list[Effect]:
    consensus = state.consensus
    request = VoteRequest(
        term,
        consensus_log.last_index(consensus),
        consensus_log.last_term(consensus),
        pre_vote,
        transfer,
    )
    return [SendPeer(id_, request) for id_ in members.other_voters(state)]


def _has_majority(consensus: ConsensusState) -> bool:
    granted = sum(consensus.votes.get(id_, False) for id_ in consensus.voters)
    return granted >= members.majority(consensus)


def _win_election(state: EntryState) -> list[Effect]:
    effects = leadership.become_leader(state)
    leadership.start_heartbeat_round(state)
    first_command = members.founding_change(state) or NoOperation()
    return [
        *effects,
        StartTimer(LeaderTimer(), state.cfg.heartbeat_ms),
        *replication.append(state, Proposal("", "", first_command)),
    ]


@handle_peer_message.register
def _(message: VoteReply, state: EntryState, sender: str) -> list[Effect]:
    consensus = state.consensus
    if message.pre_vote and message.granted:
        if consensus.role is not Role.PRE_CANDIDATE:
            return []
        if message.term != consensus.term + 1:
            return []
        consensus.votes[sender] = True
        if _has_majority(consensus):
            return _start_election(state, transfer=False)
        return []
    if message.term > consensus.term:
        return leadership.enter_term(state, message.term)
    if message.pre_vote or message.term < consensus.term:
        return []
    if consensus.role is not Role.CANDIDATE:
        return []
    consensus.votes[sender] = message.granted
    if _has_majority(consensus):
        return _win_election(state)
    return []


@handle_peer_message.register
def _(message: TimeoutNow, state: EntryState, sender: str) -> list[Effect]:
    consensus = state.consensus
    # Only the leader of the current term may waive its own lease.
    if message.term != consensus.term or sender != consensus.leader:
        return []
    # Two hosts that stop at the same time must not transfer leadership back
    # and forth between them.
    if state.stopping or not members.may_campaign(state):
        return []
    leadership.postpone_election(state)
    return _start_election(state, transfer=True)


# --- voter ---------------------------------------------------------------


@handle_peer_message.register
def _(message: VoteRequest, state: EntryState, sender: str) -> list[Effect]:
    if not state.cfg.host.has_disk:
        return []
    if message.pre_vote:
        return [SendPeer(sender, _answer_pre_vote(state, message))]
    return _answer_vote(state, message, sender)


def _answer_pre_vote(state: EntryState, message: VoteRequest) -> VoteReply:
    consensus = state.consensus
    granted = (
        message.term > consensus.term
        and not leadership.heard_leader_lately(state)
        and _is_candidate_up_to_date(consensus, message)
    )
    # A granted pre-vote carries the requested term; a refusal carries this
    # host's own term, so that a candidate with an older term can adopt it.
    return VoteReply(message.term if granted else consensus.term, granted, True)


def _answer_vote(state: EntryState, message: VoteRequest, sender: str) -> list[Effect]:
    consensus = state.consensus
    protected = leadership.heard_leader_lately(state) and not message.transfer
    if message.term < consensus.term or protected:
        # Adopting the higher term would depose a healthy leader.
        return [SendPeer(sender, VoteReply(consensus.term, False, False))]
    effects: list[Effect] = []
    if message.term > consensus.term:
        effects = leadership.enter_term(state, message.term)
    granted = consensus.voted_for in (None, sender) and _is_candidate_up_to_date(
        consensus, message
    )
    if granted and consensus.voted_for is None:
        consensus.voted_for = sender
        effects += leadership.persist_term(state)
    if granted:
        leadership.postpone_election(state)
    return [*effects, SendPeer(sender, VoteReply(consensus.term, granted, False))]


def _is_candidate_up_to_date(consensus: ConsensusState, message: VoteRequest) -> bool:
    return consensus_log.is_up_to_date(consensus, message.last_index, message.last_term)
