"""Save, send and install snapshots of the replicated state."""

from typing import cast

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.consensus import (
    consensus_log,
    leadership,
    log_application,
    members,
)
from crocuswell_core.consensus.consensus_state import Membership, PeerProgress
from crocuswell_core.consensus.content_sizes import content_bytes
from crocuswell_core.consensus.peer_messages import AppendEntriesReply
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.dispatch import handle, notify
from crocuswell_core.runtime.effects import (
    Count,
    Effect,
    EmitLogEvent,
    EntriesRecord,
    Label,
    Persist,
    SaveSnapshot,
    SendPeer,
    SendSnapshot,
    SetPeers,
)
from crocuswell_core.runtime.events import SnapshotReceived
from crocuswell_core.runtime.notices import SnapshotInstalled

# Time before an unacknowledged snapshot is sent again. At the target fleet
# size a snapshot has several megabytes and takes much longer than a heartbeat.
SNAPSHOT_RETRY_MS = 2_000


def save_if_due(state: EntryState) -> list[Effect]:
    """Save a snapshot if enough entries were applied since the last one.

    The limit is on their number and on the size of their content. The newest
    applied entries, up to half of either limit, stay in memory, so that a host
    that lags slightly needs no snapshot.
    """
    consensus = state.consensus
    applied = consensus.applied_index
    has_many = applied - consensus.saved_snapshot_index > state.cfg.snapshot_entries
    if not has_many and consensus.unsaved_bytes <= state.cfg.snapshot_bytes:
        return []
    consensus.saved_snapshot_index = applied
    consensus.unsaved_bytes = 0
    keep_from = _keep_from(state)
    effects = _save(state) if state.cfg.host.has_disk else []
    if keep_from > consensus.snapshot_index:
        consensus_log.compact_up_to(consensus, keep_from)
    return effects


def _keep_from(state: EntryState) -> int:
    """Return the index after which applied entries stay in memory."""
    consensus = state.consensus
    first = consensus.applied_index - state.cfg.snapshot_entries // 2
    room = state.cfg.snapshot_bytes // 2
    for index in range(consensus.applied_index, max(first, 0), -1):
        entry = consensus_log.entry_at(consensus, index)
        if entry is None:
            break
        room -= content_bytes(entry.proposal.command)
        if room < 0:
            return index
    return first


def _save(state: EntryState) -> list[Effect]:
    consensus = state.consensus
    index = consensus.applied_index
    membership = members.membership_at(consensus, index)
    return [
        Count("snapshots_saved_total"),
        SaveSnapshot(
            index,
            _applied_term(state),
            membership.hosts,
            membership.voters,
            state.cluster,
        ),
    ]


def _applied_term(state: EntryState) -> int:
    index = state.consensus.applied_index
    term = consensus_log.term_at(state.consensus, index)
    if term is None:
        raise ValueError(f"no term in memory for applied index {index}")
    return term


def send(state: EntryState, to: str, progress: PeerProgress) -> list[Effect]:
    """Send a snapshot to a host that needs entries no longer in memory."""
    consensus = state.consensus
    sent_ms = progress.snapshot_sent_ms
    if sent_ms is not None and state.now_ms - sent_ms < SNAPSHOT_RETRY_MS:
        return []
    progress.snapshot_sent_ms = state.now_ms
    index = consensus.applied_index
    membership = members.membership_at(consensus, index)
    return [
        SendSnapshot(
            to,
            consensus.term,
            index,
            _applied_term(state),
            membership.hosts,
            membership.voters,
            state.cluster,
            consensus.round,
        )
    ]


@handle.register
def _(event: SnapshotReceived, state: EntryState) -> list[Effect]:
    consensus = state.consensus
    if event.term < consensus.term:
        reply = AppendEntriesReply(consensus.term, False, 0, event.round)
        return [SendPeer(event.sender, reply)]
    effects = leadership.follow_leader(state, event.sender, event.term)
    if event.index > consensus.commit_index:
        effects += _install(state, event)
    reply = AppendEntriesReply(
        consensus.term, True, consensus.commit_index, event.round
    )
    return [*effects, SendPeer(event.sender, reply)]


def _install(state: EntryState, event: SnapshotReceived) -> list[Effect]:
    consensus = state.consensus
    has_disk = state.cfg.host.has_disk
    effects: list[Effect] = []
    if consensus_log.term_at(consensus, event.index) == event.entry_term:
        consensus_log.compact_up_to(consensus, event.index)
    else:
        conflicting = consensus_log.entry_at(consensus, event.index)
        if conflicting is not None and has_disk:
            # Rewriting this entry removes all later ones from the disk.
            # They conflict with the committed log, and a restart would
            # otherwise load them after the snapshot. Earlier entries must
            # stay until the snapshot is saved, since they may be committed.
            effects.append(Persist(EntriesRecord((conflicting,))))
        consensus.entries.clear()
        consensus.snapshot_index = event.index
        consensus.snapshot_term = event.entry_term
        consensus.synced_index = event.index
    consensus.synced_index = max(consensus.synced_index, event.index)
    consensus.saved_snapshot_index = event.index
    consensus.unsaved_bytes = 0
    consensus.commit_index = event.index
    consensus.applied_index = event.index
    state.cluster = cast(ClusterState, event.state)
    members.reset(consensus, Membership(event.index, event.hosts, event.voters))
    members.activate_appended(consensus, tuple(consensus.entries))
    if has_disk:
        effects += _save(state)
    return [
        *effects,
        SetPeers(consensus.hosts),
        EmitLogEvent("snapshot_installed", (Label("index", str(event.index)),)),
        Count("snapshots_installed_total"),
        *notify(SnapshotInstalled(), state),
        *log_application.apply_committed(state),
    ]
