"""Application of committed log entries, with deduplication of commands."""

from functools import singledispatch

import attrs

from crocuswell_core.cluster.cluster_state import CachedReply, ClusterState
from crocuswell_core.cluster.commands import CommandReply, LogEntry, Refused
from crocuswell_core.cluster.due import ReplyExpiryDue
from crocuswell_core.cluster.due_queue import add_due, start_cluster_timer
from crocuswell_core.cluster.index_updates import index_of
from crocuswell_core.cluster.invariants import check_sample
from crocuswell_core.cluster.outcomes import RECORD_RETENTION_MS
from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.consensus.content_sizes import content_bytes
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.policy.scheduling import schedule
from crocuswell_core.runtime.dispatch import apply_command, notify, translate_effect
from crocuswell_core.runtime.effects import (
    ApplyResult,
    Count,
    Effect,
    EmitLogEvent,
    Label,
    Observe,
)
from crocuswell_core.runtime.errors import ERROR_CONTRACTS, ErrorKind
from crocuswell_core.runtime.notices import CommandApplied, EntriesApplied, JobsChanged

# Commands with these id prefixes come from callers and operators, who may
# resend a command. Its first reply is stored and returned again.
DEDUPLICATED_ID_PREFIXES = ("workspace/", "operator:")


def apply_entry(cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    """Apply one committed entry to the replicated state.

    Parameters
    ----------
    cluster : ClusterState
        Changed in place.
    entry : LogEntry
        The next committed entry.

    Returns
    -------
    ApplyResult
        The reply and the effects, identical on every entry host.
    """
    cluster.now_ms = max(cluster.now_ms, entry.at_ms)
    # Build the index before any table changes; building it afterwards would
    # count the change twice.
    index_of(cluster)
    proposal = entry.proposal
    cached_reply = cluster.cached_replies.get(proposal.command_id)
    if cached_reply is not None:
        if cached_reply.digest == proposal.digest:
            return ApplyResult(cached_reply.reply)
        detail = "send other content with another key"
        return ApplyResult(Refused(ErrorKind.KEY_REUSED, detail))
    applied = apply_command(proposal.command, cluster, entry)
    if proposal.command_id.startswith(DEDUPLICATED_ID_PREFIXES) and _is_final(
        applied.reply
    ):
        cluster.cached_replies[proposal.command_id] = CachedReply(
            proposal.digest, applied.reply, cluster.now_ms
        )
        due = ReplyExpiryDue(proposal.command_id)
        add_due(cluster, cluster.now_ms + RECORD_RETENTION_MS, due)
    effects = (*applied.effects, *schedule(cluster))
    check_sample(cluster, entry.index)
    return ApplyResult(applied.reply, effects)


def apply_committed(state: EntryState) -> list[Effect]:
    """Apply all entries up to the commit index.

    Returns
    -------
    list of Effect
        Replies, orders and acknowledgements that this host must send.
    """
    consensus = state.consensus
    revision = state.cluster.jobs.revision
    effects: list[Effect] = []
    while consensus.applied_index < consensus.commit_index:
        entry = consensus.entries[consensus.applied_index - consensus.snapshot_index]
        applied = apply_entry(state.cluster, entry)
        consensus.applied_index += 1
        consensus.unsaved_bytes += content_bytes(entry.proposal.command)
        # Metrics and log lines for an entry of an earlier term were emitted
        # by the leader of that term.
        is_current_term = entry.term == consensus.term
        for effect in applied.effects:
            if isinstance(effect, EmitLogEvent):
                effects += (
                    translate_effect(_with_log_position(effect, entry), state)
                    * is_current_term
                )
            elif is_current_term or not isinstance(effect, Count | Observe):
                effects += translate_effect(effect, state)
        effects += notify(CommandApplied(entry.proposal, applied.reply), state)
    effects += notify(EntriesApplied(), state)
    if state.cluster.jobs.revision != revision:
        effects += notify(JobsChanged(), state)
    return effects + start_cluster_timer(state)


def _with_log_position(effect: EmitLogEvent, entry: LogEntry) -> EmitLogEvent:
    """Label an event with its log position, to order lines across hosts."""
    log_position = (
        Label("log_term", str(entry.term)),
        Label("log_index", str(entry.index)),
    )
    return attrs.evolve(effect, ids=(*effect.ids, *log_position))


@singledispatch
def _is_final(reply: CommandReply) -> bool:
    """Return whether a resent command gets the same reply again."""
    return True


@_is_final.register
def _(reply: Refused) -> bool:
    return not ERROR_CONTRACTS[reply.kind].resend


@translate_effect.register(Count)
@translate_effect.register(Observe)
@translate_effect.register(EmitLogEvent)
def _(effect: Count | Observe | EmitLogEvent, state: EntryState) -> list[Effect]:
    return [effect] if state.consensus.role is Role.LEADER else []
