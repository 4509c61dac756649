"""Committed entries: dropping doubles, application, effects on this host."""

from functools import singledispatch

import attrs

from crocuswell_core.agreement.consensus_state import Role
from crocuswell_core.cluster.agenda import add_due, start_cluster_timer
from crocuswell_core.cluster.cluster_state import AnsweredCommand, ClusterState
from crocuswell_core.cluster.commands import CommandReply, LogEntry, Refused
from crocuswell_core.cluster.due import AnswerDue
from crocuswell_core.cluster.index import index_of
from crocuswell_core.cluster.invariants import check_sample
from crocuswell_core.cluster.outcomes import RECORD_RETENTION_MS
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.policy.scheduling import schedule
from crocuswell_core.runtime.dispatch import apply_command, notify, pass_on
from crocuswell_core.runtime.effects import (
    Applied,
    Count,
    Effect,
    Label,
    LogChange,
    Observe,
)
from crocuswell_core.runtime.errors import PROMISES, ErrorKind
from crocuswell_core.runtime.notices import CommandApplied, EntriesApplied, JobsChanged

# Command ids with these prefixes come from callers and operators, who may send
# a command again; its first answer is kept for them.
ANSWERED_PREFIXES = ("workspace/", "operator:")


def apply_entry(cluster: ClusterState, entry: LogEntry) -> Applied:
    """Apply one committed entry to the replicated state.

    Parameters
    ----------
    cluster : ClusterState
        Changed in place.
    entry : LogEntry
        The next committed entry.

    Returns
    -------
    Applied
        The reply and the effects, equal on every entry host.
    """
    cluster.now_ms = max(cluster.now_ms, entry.at_ms)
    # Built before any table changes, so that no change is counted twice.
    index_of(cluster)
    proposal = entry.proposal
    first = cluster.answered.get(proposal.command_id)
    if first is not None:
        if first.digest == proposal.digest:
            return Applied(first.reply)
        detail = "send other content with another key"
        return Applied(Refused(ErrorKind.KEY_REUSED, detail))
    applied = apply_command(proposal.command, cluster, entry)
    if proposal.command_id.startswith(ANSWERED_PREFIXES) and _is_final(applied.reply):
        cluster.answered[proposal.command_id] = AnsweredCommand(
            proposal.digest, applied.reply, cluster.now_ms
        )
        due = AnswerDue(proposal.command_id)
        add_due(cluster, cluster.now_ms + RECORD_RETENTION_MS, due)
    effects = (*applied.effects, *schedule(cluster))
    check_sample(cluster, entry.index)
    return Applied(applied.reply, effects)


def apply_committed(state: EntryState) -> list[Effect]:
    """Apply all entries up to the commit index.

    Returns
    -------
    list of Effect
        Answers, orders and acknowledgements that this host must send.
    """
    consensus = state.consensus
    revision = state.cluster.jobs.revision
    effects: list[Effect] = []
    while consensus.applied_index < consensus.commit_index:
        entry = consensus.entries[consensus.applied_index - consensus.snapshot_index]
        applied = apply_entry(state.cluster, entry)
        consensus.applied_index += 1
        # An entry of an earlier term was reported by its own leader.
        reported = entry.term == consensus.term
        for effect in applied.effects:
            if isinstance(effect, LogChange):
                effects += pass_on(_with_place(effect, entry), state) * reported
            elif reported or not isinstance(effect, Count | Observe):
                effects += pass_on(effect, state)
        effects += notify(CommandApplied(entry.proposal, applied.reply), state)
    effects += notify(EntriesApplied(), state)
    if state.cluster.jobs.revision != revision:
        effects += notify(JobsChanged(), state)
    return effects + start_cluster_timer(state)


def _with_place(change: LogChange, entry: LogEntry) -> LogChange:
    """Add an entry's place in the log, by which lines of hosts are ordered."""
    place = (Label("log_term", str(entry.term)), Label("log_index", str(entry.index)))
    return attrs.evolve(change, ids=(*change.ids, *place))


@singledispatch
def _is_final(reply: CommandReply) -> bool:
    """Tell whether a reply stays the answer when the command is resent."""
    return True


@_is_final.register
def _(reply: Refused) -> bool:
    return not PROMISES[reply.kind].resend


@pass_on.register(Count)
@pass_on.register(Observe)
@pass_on.register(LogChange)
def _(effect: Count | Observe | LogChange, state: EntryState) -> list[Effect]:
    return [effect] if state.consensus.role is Role.LEADER else []
