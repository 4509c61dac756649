"""Membership of the control group: voters, learners and changes."""

from collections import Counter

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import ChangeMembers, Done, EntryHost, LogEntry
from crocuswell_core.consensus.consensus_state import ConsensusState, Membership
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_commands import PutCatalog
from crocuswell_core.runtime.dispatch import apply_command, may_append
from crocuswell_core.runtime.effects import ApplyResult

# The hosts that were to be voters may not exist.
FORMING_LIMIT_MS = 3_000


@apply_command.register
def _(command: ChangeMembers, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    # A membership takes effect when it is appended, not when it is applied.
    return ApplyResult(Done())


@may_append.register
def _(command: ChangeMembers, state: EntryState) -> bool:
    return is_allowed(state, command)


@may_append.register
def _(command: PutCatalog, state: EntryState) -> bool:
    # The first catalog may reach a group that is still forming; its sender is
    # answered once enough disks hold it.
    return state.cluster.jobs.catalog is not None or not _lacks_voters(state)


def majority(consensus: ConsensusState) -> int:
    """Return the number of voters that form a majority."""
    return len(consensus.voters) // 2 + 1


def other_voters(state: EntryState) -> list[str]:
    """Return the voters other than this host, in membership order."""
    return [id_ for id_ in state.consensus.voters if id_ != state.cfg.host.id]


def other_hosts(state: EntryState) -> list[EntryHost]:
    """Return the hosts other than this one, in membership order."""
    return [host for host in state.consensus.hosts if host.id != state.cfg.host.id]


def may_campaign(state: EntryState) -> bool:
    """Return whether this host may start an election.

    A voter may do so until its removal is committed: if its log is the only
    one with the removal, the remaining voters can elect no other host.
    """
    return state.cfg.host.has_disk and any(
        state.cfg.host.id in membership.voters
        for membership in state.consensus.memberships
    )


def reset(consensus: ConsensusState, membership: Membership) -> None:
    """Replace all memberships by a known one, such as that of a snapshot."""
    consensus.memberships = [membership]
    _activate_newest(consensus)


def activate_appended(consensus: ConsensusState, entries: tuple[LogEntry, ...]) -> bool:
    """Activate memberships in new entries; return whether there were any."""
    changed = False
    for entry in entries:
        command = entry.proposal.command
        if isinstance(command, ChangeMembers):
            consensus.memberships.append(
                Membership(entry.index, command.hosts, command.voters)
            )
            changed = True
    if changed:
        _activate_newest(consensus)
    return changed


def revert_truncated(consensus: ConsensusState, first: int) -> bool:
    """Revert to the membership before `first`; return whether it changed."""
    changed = False
    while len(consensus.memberships) > 1 and consensus.memberships[-1].index >= first:
        consensus.memberships.pop()
        changed = True
    if changed:
        _activate_newest(consensus)
    return changed


def prune_committed(consensus: ConsensusState) -> None:
    """Drop memberships to which no truncation can revert."""
    memberships = consensus.memberships
    while len(memberships) > 1 and memberships[1].index <= consensus.applied_index:
        del memberships[0]


def membership_at(consensus: ConsensusState, index: int) -> Membership:
    """Return the membership in effect at an index, or the oldest known."""
    for membership in reversed(consensus.memberships):
        if membership.index <= index:
            return membership
    return consensus.memberships[0]


def _activate_newest(consensus: ConsensusState) -> None:
    newest = consensus.memberships[-1]
    consensus.hosts = newest.hosts
    consensus.voters = newest.voters


def is_allowed(state: EntryState, change: ChangeMembers) -> bool:
    """Return whether the leader may append a membership change now.

    Majorities of two memberships are sure to intersect only if the
    memberships differ by at most one voter. No other change may be
    uncommitted, and the leader must have committed an entry of its own
    term, since another log may still hold an uncommitted change of an
    earlier leader.
    """
    consensus = state.consensus
    if consensus.commit_index < consensus.term_start_index:
        return False
    if consensus.memberships[-1].index > consensus.commit_index:
        return False
    if len(set(change.voters) ^ set(consensus.voters)) > 1 or not change.voters:
        return False
    disk_host_ids = {host.id for host in change.hosts if host.has_disk}
    return disk_host_ids.issuperset(change.voters)


def next_change(state: EntryState) -> ChangeMembers | None:
    """Return the next membership change that is due, or None.

    Replaces silent voters, restores the target number of voters and removes
    silent hosts. A learner is promoted before the silent voter is removed,
    so that the live voters never fall short of a majority in between.
    """
    consensus = state.consensus
    target = _voter_target(state)
    silent_voters = [
        id_
        for id_ in other_voters(state)
        if _silence_ms(state, id_) > state.cfg.replace_voter_ms
    ]
    if len(consensus.voters) > target:
        surplus = silent_voters[0] if silent_voters else _surplus_voter(state)
        kept = tuple(id_ for id_ in consensus.voters if id_ != surplus)
        change = ChangeMembers(consensus.hosts, kept)
    elif silent_voters:
        learner = _best_learner(state, silent_voters[0])
        if learner is None:
            return None
        change = ChangeMembers(consensus.hosts, (*consensus.voters, learner))
    elif len(consensus.voters) < target:
        learner = _best_learner(state, "")
        if learner is None:
            return None
        change = ChangeMembers(consensus.hosts, (*consensus.voters, learner))
    else:
        expired = _expired_host(state)
        if expired is None:
            return None
        remaining = tuple(host for host in consensus.hosts if host.id != expired)
        change = ChangeMembers(remaining, consensus.voters)
    return change if is_allowed(state, change) else None


def _voter_target(state: EntryState) -> int:
    return state.cfg.voter_target or len(state.cfg.voters)


def _lacks_voters(state: EntryState) -> bool:
    """Tell whether a new leader may still get the voters that it lacks.

    What it commits before may be on a single disk.
    """
    consensus = state.consensus
    led_ms = state.now_ms - consensus.leader_since_ms
    return len(consensus.voters) < _voter_target(state) and led_ms < FORMING_LIMIT_MS


def founding_change(state: EntryState) -> ChangeMembers | None:
    """Return the first membership of a group that this host founds.

    None if this host founds no group or the log holds a membership.
    """
    if not state.cfg.founds_group or state.consensus.memberships[-1].index:
        return None
    return ChangeMembers(state.cfg.hosts, state.cfg.voters)


def _expired_host(state: EntryState) -> str | None:
    """Return a non-voter that was silent for longer than the limit."""
    limit_ms = state.cfg.forget_host_ms
    if not limit_ms:
        return None
    for host in other_hosts(state):
        if host.id in state.consensus.voters:
            continue
        if _silence_ms(state, host.id) > limit_ms:
            return host.id
    return None


def _silence_ms(state: EntryState, id_: str) -> int:
    return state.now_ms - state.consensus.progress[id_].last_heard_ms


def _voters_per_domain(consensus: ConsensusState, voters: list[str]) -> Counter[str]:
    domains = {host.id: host.failure_domain for host in consensus.hosts}
    return Counter(domains[id_] for id_ in voters)


def _best_learner(state: EntryState, replaced: str) -> str | None:
    consensus = state.consensus
    remaining = [id_ for id_ in consensus.voters if id_ != replaced]
    counts = _voters_per_domain(consensus, remaining)
    learners = [
        host
        for host in other_hosts(state)
        if host.has_disk
        and host.id not in consensus.voters
        and consensus.progress[host.id].match_index > 0
        and _silence_ms(state, host.id) <= state.cfg.election_min_ms
        and _lag(state, host.id) <= state.cfg.append_entries
    ]
    if not learners:
        return None
    return min(learners, key=lambda host: counts[host.failure_domain]).id


def _lag(state: EntryState, id_: str) -> int:
    consensus = state.consensus
    return consensus.commit_index - consensus.progress[id_].match_index


def _surplus_voter(state: EntryState) -> str:
    """Return the last-added voter of the failure domain with most voters."""
    consensus = state.consensus
    counts = _voters_per_domain(consensus, list(consensus.voters))
    domains = {host.id: host.failure_domain for host in consensus.hosts}
    return max(reversed(other_voters(state)), key=lambda id_: counts[domains[id_]])
