"""Log replication: proposals, `AppendEntries`, heartbeat rounds and commit."""

import attrs

from crocuswell_core.cluster.commands import ChangeMembers, LogEntry, Proposal
from crocuswell_core.consensus import (
    consensus_log,
    leadership,
    log_application,
    members,
    snapshots,
)
from crocuswell_core.consensus.consensus_state import PeerProgress, Role
from crocuswell_core.consensus.peer_messages import (
    AppendEntries,
    AppendEntriesReply,
    ForwardProposal,
    TimeoutNow,
)
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.dispatch import (
    handle,
    handle_peer_message,
    handle_timer,
    may_append,
    review_command,
)
from crocuswell_core.runtime.effects import (
    Effect,
    EmitLogEvent,
    EntriesRecord,
    Label,
    Observe,
    Persist,
    SendPeer,
    SetPeers,
    StartTimer,
)
from crocuswell_core.runtime.events import EntriesSynced, PeerMessageReceived
from crocuswell_core.runtime.timers import LeaderTimer

# --- proposals -----------------------------------------------------------


def propose(state: EntryState, proposal: Proposal) -> list[Effect]:
    """Append a proposal if this host leads, else forward it to the leader.

    Delivery is not guaranteed: a proposal may be lost in transit or with
    its leader, and is resent by the host on which its caller waits. A
    leader drops proposals during a leadership transfer, and those that
    `may_append` does not allow at the moment.
    """
    consensus = state.consensus
    if consensus.role is not Role.LEADER:
        if consensus.leader is None:
            return []
        return [SendPeer(consensus.leader, ForwardProposal(proposal))]
    if consensus.transfer_target is not None:
        return []
    command = proposal.command
    if not may_append(command, state):
        return []
    reviewed = review_command(command, state)
    if reviewed is not command:
        proposal = attrs.evolve(proposal, command=reviewed)
    return append(state, proposal)


def append(state: EntryState, proposal: Proposal) -> list[Effect]:
    """Append a proposal to the leader's log and replicate it."""
    consensus = state.consensus
    newest = consensus.entries[-1].at_ms if consensus.entries else 0
    entry = LogEntry(
        consensus.term,
        consensus_log.last_index(consensus) + 1,
        max(state.wall_ms, newest, state.cluster.now_ms),
        proposal,
    )
    effects = _extend_log(state, (entry,))
    if isinstance(proposal.command, ChangeMembers):
        leadership.track_members(state)
    return [*effects, *replicate(state)]


def _extend_log(state: EntryState, entries: tuple[LogEntry, ...]) -> list[Effect]:
    consensus = state.consensus
    consensus.entries.extend(entries)
    effects: list[Effect] = []
    if state.cfg.host.has_disk:
        effects.append(Persist(EntriesRecord(entries)))
    if members.activate_appended(consensus, entries):
        effects.append(SetPeers(consensus.hosts))
    return effects


@handle.register
def _(event: PeerMessageReceived, state: EntryState) -> list[Effect]:
    return handle_peer_message(event.message, state, event.sender)


@handle_peer_message.register
def _(message: ForwardProposal, state: EntryState, sender: str) -> list[Effect]:
    # A host that is not the leader drops the proposal, so that it cannot be
    # forwarded in a loop.
    if state.consensus.role is not Role.LEADER:
        return []
    return propose(state, message.proposal)


# --- leader --------------------------------------------------------------


def replicate(state: EntryState) -> list[Effect]:
    """Send every other host its missing entries, or an empty message."""
    effects: list[Effect] = []
    for id_, progress in state.consensus.progress.items():
        effects += _send_append(state, id_, progress)
    return effects


def _send_append(state: EntryState, to: str, progress: PeerProgress) -> list[Effect]:
    """Send the entries from `next_index` on, without waiting for replies.

    If an `AppendEntries` is lost, the host rejects the next one and replies
    with the index after which to resume.
    """
    consensus = state.consensus
    effects: list[Effect] = []
    if progress.next_index <= consensus.snapshot_index:
        effects = snapshots.send(state, to, progress)
        previous = consensus.snapshot_index
        entries: tuple[LogEntry, ...] = ()
    else:
        previous = progress.next_index - 1
        entries = consensus_log.entries_from(
            consensus, progress.next_index, state.cfg.append_entries
        )
        progress.next_index += len(entries)
    previous_term = consensus_log.term_at(consensus, previous)
    if previous_term is None:
        raise ValueError(
            f"cannot replicate to {to}: no log entry in memory at index {previous}"
        )
    message = AppendEntries(
        consensus.term,
        previous,
        previous_term,
        entries,
        consensus.commit_index,
        consensus.round,
    )
    return [*effects, SendPeer(to, message)]


def heartbeat(state: EntryState) -> list[Effect]:
    """Start a heartbeat round and schedule the next one."""
    leadership.start_heartbeat_round(state)
    return [
        StartTimer(LeaderTimer(), state.cfg.heartbeat_ms),
        *replicate(state),
    ]


@handle_timer.register
def _(timer: LeaderTimer, state: EntryState) -> list[Effect]:
    consensus = state.consensus
    if consensus.role is not Role.LEADER:
        return []
    if consensus.transfer_target and state.now_ms >= consensus.transfer_deadline_ms:
        consensus.transfer_target = None
    effects = heartbeat(state)
    change = members.next_change(state)
    if change is None:
        return effects
    return [
        *effects,
        EmitLogEvent(
            "members_changing",
            (
                Label("before", ",".join(consensus.voters)),
                Label("after", ",".join(change.voters)),
            ),
        ),
        *_observe_catch_up(state, change),
        *propose(state, Proposal("", "", change)),
    ]


def _observe_catch_up(state: EntryState, change: ChangeMembers) -> list[Effect]:
    """Record how long a new voter took to catch up with the log."""
    consensus = state.consensus
    return [
        Observe(
            "host_catch_up_seconds",
            (state.now_ms - consensus.progress[id_].tracked_since_ms) / 1_000,
        )
        for id_ in change.voters
        if id_ not in consensus.voters and id_ in consensus.progress
    ]


@handle_peer_message.register
def _(message: AppendEntriesReply, state: EntryState, sender: str) -> list[Effect]:
    consensus = state.consensus
    if message.term > consensus.term:
        return leadership.enter_term(state, message.term)
    if consensus.role is not Role.LEADER or message.term < consensus.term:
        return []
    progress = consensus.progress.get(sender)
    if progress is None:
        return []
    leadership.acknowledge_round(state, progress, message.round)
    if not message.success:
        return _resume_from(state, sender, progress, message.match_index)
    progress.match_index = max(progress.match_index, message.match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    if progress.match_index >= consensus.snapshot_index:
        progress.snapshot_sent_ms = None
    effects = advance_commit(state)
    if consensus.role is not Role.LEADER:
        return effects
    if sender == consensus.transfer_target and _is_caught_up(state, sender):
        return [*effects, *complete_transfer(state, sender)]
    if progress.next_index <= consensus_log.last_index(consensus):
        effects += _send_append(state, sender, progress)
    return effects


def _resume_from(
    state: EntryState, sender: str, progress: PeerProgress, hint: int
) -> list[Effect]:
    if sender not in state.consensus.voters:
        # A learner without a disk restarts with an empty log.
        progress.match_index = min(progress.match_index, hint)
    if hint + 1 >= progress.next_index:
        return []
    progress.next_index = hint + 1
    if hint < state.consensus.snapshot_index:
        return snapshots.send(state, sender, progress)
    return _send_append(state, sender, progress)


def _is_caught_up(state: EntryState, id_: str) -> bool:
    match_index = state.consensus.progress[id_].match_index
    return match_index == consensus_log.last_index(state.consensus)


def begin_transfer(state: EntryState) -> list[Effect]:
    """Start to transfer leadership to the live voter with the longest log.

    Does nothing if no other voter is live.
    """
    consensus = state.consensus
    if consensus.role is not Role.LEADER:
        return []
    live = [
        id_
        for id_ in members.other_voters(state)
        if state.now_ms - consensus.progress[id_].last_heard_ms
        < state.cfg.election_min_ms
    ]
    if not live:
        return []
    target = max(live, key=lambda id_: consensus.progress[id_].match_index)
    if _is_caught_up(state, target):
        return complete_transfer(state, target)
    consensus.transfer_target = target
    consensus.transfer_deadline_ms = state.now_ms + state.cfg.election_min_ms
    return _send_append(state, target, consensus.progress[target])


def complete_transfer(state: EntryState, target: str) -> list[Effect]:
    """Let a voter start an election that ignores this leader's lease.

    The leader steps down first, since voters may now replace it before its
    lease ends.
    """
    term = state.consensus.term
    return [
        *leadership.step_down(state, "transfer"),
        SendPeer(target, TimeoutNow(term)),
    ]


# --- commit --------------------------------------------------------------


@handle.register
def _(event: EntriesSynced, state: EntryState) -> list[Effect]:
    consensus = state.consensus
    # A different term means that the entry was replaced after the write.
    if consensus_log.term_at(consensus, event.index) != event.term:
        return []
    consensus.synced_index = max(consensus.synced_index, event.index)
    if consensus.role is not Role.LEADER:
        return []
    return advance_commit(state)


def advance_commit(state: EntryState) -> list[Effect]:
    """Commit the entries that a majority of voters has on disk.

    Only entries of the current term are committed by counting replicas. An
    entry of an earlier term can be overwritten by a later leader even if a
    majority holds it.
    """
    consensus = state.consensus
    durable_indexes = [
        consensus.progress[id_].match_index for id_ in members.other_voters(state)
    ]
    if state.cfg.host.id in consensus.voters:
        durable_indexes.append(consensus.synced_index)
    index = sorted(durable_indexes, reverse=True)[members.majority(consensus) - 1]
    if index <= consensus.commit_index or index < consensus.term_start_index:
        return []
    effects = commit_up_to(state, index)
    if consensus.role is not Role.LEADER:
        return effects
    if state.cfg.host.id not in consensus.voters and (
        consensus.memberships[-1].index <= index
    ):
        return [*effects, *replicate(state), *begin_transfer(state)]
    return [*effects, *replicate(state)]


def commit_up_to(state: EntryState, index: int) -> list[Effect]:
    """Advance the commit index, apply, and save a snapshot if due."""
    state.consensus.commit_index = index
    effects = log_application.apply_committed(state)
    members.prune_committed(state.consensus)
    return [*effects, *snapshots.save_if_due(state)]


# --- follower ------------------------------------------------------------


@handle_peer_message.register
def _(message: AppendEntries, state: EntryState, sender: str) -> list[Effect]:
    consensus = state.consensus
    if message.term < consensus.term:
        reply = AppendEntriesReply(consensus.term, False, 0, message.round)
        return [SendPeer(sender, reply)]
    effects = leadership.follow_leader(state, sender, message.term)
    hint = _mismatch(state, message)
    if hint is not None:
        reply = AppendEntriesReply(consensus.term, False, hint, message.round)
        return [*effects, SendPeer(sender, reply)]
    effects += _append_missing(state, message.entries)
    match_index = message.previous_index + len(message.entries)
    reply = AppendEntriesReply(consensus.term, True, match_index, message.round)
    effects.append(SendPeer(sender, reply))
    commit_index = min(message.commit_index, match_index)
    if commit_index > consensus.commit_index:
        effects += commit_up_to(state, commit_index)
    return effects


def _mismatch(state: EntryState, message: AppendEntries) -> int | None:
    """Return the index after which to resume, or None if the logs match."""
    consensus = state.consensus
    previous = message.previous_index
    # Committed entries are identical to the leader's.
    if previous <= consensus.commit_index:
        return None
    term = consensus_log.term_at(consensus, previous)
    if term is None:
        return consensus_log.last_index(consensus)
    if term == message.previous_term:
        return None
    # Skip all entries of the conflicting term, so that one rejection covers
    # the whole term.
    while (
        previous > consensus.commit_index
        and consensus_log.term_at(consensus, previous) == term
    ):
        previous -= 1
    return previous


def _append_missing(state: EntryState, entries: tuple[LogEntry, ...]) -> list[Effect]:
    """Append missing entries, replacing any that conflict."""
    consensus = state.consensus
    for position, entry in enumerate(entries):
        if entry.index <= consensus.commit_index:
            continue
        term = consensus_log.term_at(consensus, entry.index)
        if term == entry.term:
            continue
        effects: list[Effect] = []
        if term is not None:
            consensus_log.truncate_from(consensus, entry.index)
            if members.revert_truncated(consensus, entry.index):
                effects.append(SetPeers(consensus.hosts))
        return [*_extend_log(state, entries[position:]), *effects]
    return []
