"""Membership of the control group: voters, learners, replacement."""

from collections import Counter

from crocuswell_core.agreement.consensus_state import ConsensusState, Membership
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import ChangeMembers, Done, EntryHost, LogEntry
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.dispatch import apply_command
from crocuswell_core.runtime.effects import Applied


@apply_command.register
def _(command: ChangeMembers, cluster: ClusterState, entry: LogEntry) -> Applied:
    # A membership is in effect from when it was appended, not applied.
    return Applied(Done())


def majority(consensus: ConsensusState) -> int:
    """Return the number of voters that decide."""
    return len(consensus.voters) // 2 + 1


def other_voters(state: EntryState) -> list[str]:
    """Return the voters without this host, in order."""
    return [id_ for id_ in state.consensus.voters if id_ != state.cfg.host.id]


def other_hosts(state: EntryState) -> list[EntryHost]:
    """Return the hosts without this one, in order."""
    return [host for host in state.consensus.hosts if host.id != state.cfg.host.id]


def may_campaign(state: EntryState) -> bool:
    """Tell whether this host may start an election.

    A voter whose removal is not committed may: if only its log holds the
    removal, the remaining voters can elect nobody else.
    """
    return state.cfg.host.has_disk and any(
        state.cfg.host.id in membership.voters
        for membership in state.consensus.memberships
    )


def reset(consensus: ConsensusState, membership: Membership) -> None:
    """Start from a known membership, such as a snapshot's."""
    consensus.memberships = [membership]
    _use_newest(consensus)


def note_appended(consensus: ConsensusState, entries: tuple[LogEntry, ...]) -> bool:
    """Put memberships of new entries into effect; tell whether any changed."""
    changed = False
    for entry in entries:
        command = entry.proposal.command
        if isinstance(command, ChangeMembers):
            consensus.memberships.append(
                Membership(entry.index, command.hosts, command.voters)
            )
            changed = True
    if changed:
        _use_newest(consensus)
    return changed


def note_truncated(consensus: ConsensusState, first: int) -> bool:
    """Return to the membership before index `first`; tell if it changed."""
    changed = False
    while len(consensus.memberships) > 1 and consensus.memberships[-1].index >= first:
        consensus.memberships.pop()
        changed = True
    if changed:
        _use_newest(consensus)
    return changed


def note_committed(consensus: ConsensusState) -> None:
    """Forget memberships that no truncation can bring back."""
    memberships = consensus.memberships
    while len(memberships) > 1 and memberships[1].index <= consensus.applied_index:
        del memberships[0]


def membership_at(consensus: ConsensusState, index: int) -> Membership:
    """Return the membership in effect at an index, the oldest if unknown."""
    for membership in reversed(consensus.memberships):
        if membership.index <= index:
            return membership
    return consensus.memberships[0]


def _use_newest(consensus: ConsensusState) -> None:
    newest = consensus.memberships[-1]
    consensus.hosts = newest.hosts
    consensus.voters = newest.voters


def is_allowed(state: EntryState, change: ChangeMembers) -> bool:
    """Tell whether the leader may append a change of members now.

    Majorities of two memberships intersect only if they differ by one
    voter. Two changes must not be open at once, and the leader must have
    committed an entry of its own term, since an uncommitted change of an
    earlier leader may still be in another log.
    """
    consensus = state.consensus
    if consensus.commit_index < consensus.term_start_index:
        return False
    if consensus.memberships[-1].index > consensus.commit_index:
        return False
    if len(set(change.voters) ^ set(consensus.voters)) > 1 or not change.voters:
        return False
    with_disk = {host.id for host in change.hosts if host.has_disk}
    return with_disk.issuperset(change.voters)


def replacement(state: EntryState) -> ChangeMembers | None:
    """Return the next step of replacing a silent voter, if one is due.

    The spare becomes a voter before the silent voter is removed, so that
    the number of live voters never falls below a majority in between.
    """
    consensus = state.consensus
    target = state.cfg.voter_target or len(state.cfg.voters)
    silent = [
        id_
        for id_ in other_voters(state)
        if _silence_ms(state, id_) > state.cfg.replace_voter_ms
    ]
    if len(consensus.voters) > target:
        surplus = silent[0] if silent else _surplus_voter(state)
        kept = tuple(id_ for id_ in consensus.voters if id_ != surplus)
        change = ChangeMembers(consensus.hosts, kept)
    elif silent:
        spare = _best_spare(state, silent[0])
        if spare is None:
            return None
        change = ChangeMembers(consensus.hosts, (*consensus.voters, spare))
    elif len(consensus.voters) < target:
        spare = _best_spare(state, "")
        if spare is None:
            return None
        change = ChangeMembers(consensus.hosts, (*consensus.voters, spare))
    else:
        gone = _forgotten_host(state)
        if gone is None:
            return None
        remaining = tuple(host for host in consensus.hosts if host.id != gone)
        change = ChangeMembers(remaining, consensus.voters)
    return change if is_allowed(state, change) else None


def founding_change(state: EntryState) -> ChangeMembers | None:
    """Return the first membership of a new group, None if there is one."""
    if not state.cfg.founds_group or state.consensus.memberships[-1].index:
        return None
    return ChangeMembers(state.cfg.hosts, state.cfg.voters)


def _forgotten_host(state: EntryState) -> str | None:
    """Return a host that was silent for too long and is no voter."""
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
    return state.now_ms - state.consensus.progress[id_].heard_ms


def _domain_counts(consensus: ConsensusState, voters: list[str]) -> Counter[str]:
    domains = {host.id: host.failure_domain for host in consensus.hosts}
    return Counter(domains[id_] for id_ in voters)


def _best_spare(state: EntryState, silent: str) -> str | None:
    consensus = state.consensus
    remaining = [id_ for id_ in consensus.voters if id_ != silent]
    counts = _domain_counts(consensus, remaining)
    spares = [
        host
        for host in other_hosts(state)
        if host.has_disk
        and host.id not in consensus.voters
        and consensus.progress[host.id].match_index > 0
        and _silence_ms(state, host.id) <= state.cfg.election_min_ms
        and _lag(state, host.id) <= state.cfg.append_entries
    ]
    if not spares:
        return None
    return min(spares, key=lambda host: counts[host.failure_domain]).id


def _lag(state: EntryState, id_: str) -> int:
    consensus = state.consensus
    return consensus.commit_index - consensus.progress[id_].match_index


def _surplus_voter(state: EntryState) -> str:
    """Return the newest voter in the failure domain with the most voters."""
    consensus = state.consensus
    counts = _domain_counts(consensus, list(consensus.voters))
    domains = {host.id: host.failure_domain for host in consensus.hosts}
    return max(reversed(other_voters(state)), key=lambda id_: counts[domains[id_]])
