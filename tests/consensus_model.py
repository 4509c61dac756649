"""Small model of elections and commits, independent of the implementation.

`minicheck` explores every execution within the bounds. Term and vote are
durable at once, because no message that relies on them is sent earlier. A
leader's own entries become durable in a separate step and may be sent before
it; the implementation is stricter. Any host may restart at any time.

Messages can be lost, delayed, reordered and duplicated although they are not
part of the state. A voter receives a request that reflects the candidate's
current state, and a follower receives any part of the leader's current log.
Candidate and leader act later on the replies that they recorded. A message
that arrives after its sender has moved on needs no step of its own: the
receiver is either past its term, or in the same state as if the message had
arrived in time.
"""

from collections.abc import Iterator
from typing import Any

import attrs
from minicheck import Protocol

FOLLOWER, CANDIDATE, LEADER = range(3)
NOBODY = -1


@attrs.frozen
class Bounds:
    """Bounds of the search; `fault` names a planted fault, if any."""

    hosts: int = 3
    terms: int = 3
    entries: int = 2
    fault: str = ""

    @property
    def majority(self) -> int:
        return self.hosts // 2 + 1


@attrs.frozen
class Host:
    """A host; `log` holds the term of each entry.

    `votes` holds the voters that granted a candidate their vote, `match` the
    length of each host's log that is known to match the leader's.
    """

    term: int = 0
    vote: int = NOBODY
    role: int = FOLLOWER
    votes: tuple[int, ...] = ()
    log: tuple[int, ...] = ()
    synced: int = 0
    match: tuple[int, ...] = ()


@attrs.frozen
class Group:
    """All hosts and the history of elections and commits.

    `elected` holds the winners of each term, `committed` the longest log
    prefix that a leader committed. `conflict` is set if two committed
    prefixes differ.
    """

    hosts: tuple[Host, ...]
    elected: tuple[tuple[int, ...], ...] = ()
    committed: tuple[int, ...] = ()
    conflict: bool = False


def _replace_at(items: tuple[Any, ...], position: int, item: Any) -> tuple[Any, ...]:
    return (*items[:position], item, *items[position + 1 :])


def _with_host(group: Group, id_: int, **changes: Any) -> Group:
    host = attrs.evolve(group.hosts[id_], **changes)
    return attrs.evolve(group, hosts=_replace_at(group.hosts, id_, host))


def _adopt_term(group: Group, id_: int, term: int) -> Group:
    """Adopt a higher term as a follower."""
    if term <= group.hosts[id_].term:
        return group
    return _with_host(
        group, id_, term=term, vote=NOBODY, role=FOLLOWER, votes=(), match=()
    )


def _steps(group: Group, bounds: Bounds) -> Iterator[tuple[str, Group]]:
    for id_ in range(bounds.hosts):
        yield from _own_steps(group, id_, bounds)
        yield from _vote_steps(group, id_, bounds)
        yield from _append_steps(group, id_, bounds)


def _own_steps(group: Group, id_: int, bounds: Bounds) -> Iterator[tuple[str, Group]]:
    host = group.hosts[id_]
    restarted = {"role": FOLLOWER, "votes": (), "match": ()}
    if bounds.fault == "vote not persisted":
        restarted["vote"] = NOBODY
    log = host.log[: host.synced]
    yield f"restart {id_}", _with_host(group, id_, log=log, **restarted)
    if host.role != LEADER and host.term < bounds.terms:
        yield (
            f"campaign {id_}",
            _with_host(
                group, id_, term=host.term + 1, vote=id_, role=CANDIDATE, votes=(id_,)
            ),
        )
    if host.role == CANDIDATE and len(host.votes) >= bounds.majority:
        winners = group.elected[host.term]
        elected = _replace_at(group.elected, host.term, tuple(sorted({*winners, id_})))
        match = (0,) * bounds.hosts
        yield (
            f"win {id_}",
            _with_host(
                attrs.evolve(group, elected=elected),
                id_,
                role=LEADER,
                votes=(),
                match=match,
            ),
        )
    if host.role == LEADER and len(host.log) < bounds.entries:
        yield f"append {id_}", _with_host(group, id_, log=(*host.log, host.term))
    if host.synced < len(host.log):
        yield f"sync {id_}", _with_host(group, id_, synced=len(host.log))
    if host.role == LEADER:
        committed = _commit(group, id_, bounds)
        if committed is not None:
            yield f"commit {id_}", committed


def _commit(group: Group, id_: int, bounds: Bounds) -> Group | None:
    host = group.hosts[id_]
    own = len(host.log) if bounds.fault == "own unsynced counted" else host.synced
    held = sorted(_replace_at(host.match, id_, own), reverse=True)
    index = held[bounds.majority - 1]
    any_term = bounds.fault == "older term committed"
    if index == 0 or (host.log[index - 1] != host.term and not any_term):
        return None
    prefix = host.log[:index]
    known = group.committed
    shared = min(len(prefix), len(known))
    if prefix[:shared] != known[:shared]:
        return attrs.evolve(group, conflict=True)
    return attrs.evolve(group, committed=max(prefix, known, key=len))


def _vote_steps(group: Group, id_: int, bounds: Bounds) -> Iterator[tuple[str, Group]]:
    """Deliver a candidate's vote request; the reply arrives or is lost."""
    candidate = group.hosts[id_]
    if candidate.role != CANDIDATE:
        return
    for voter in range(bounds.hosts):
        if voter == id_ or group.hosts[voter].term > candidate.term:
            continue
        after = _adopt_term(group, voter, candidate.term)
        host = after.hosts[voter]
        longer = (host.log[-1:], len(host.log)) > (
            candidate.log[-1:],
            len(candidate.log),
        )
        shorter_allowed = bounds.fault == "vote for a shorter log"
        if host.vote not in (NOBODY, id_) or (longer and not shorter_allowed):
            yield f"refuse {voter}", after
            continue
        after = _with_host(after, voter, vote=id_)
        yield f"vote {voter}, reply lost", after
        votes = tuple(sorted({*candidate.votes, voter}))
        yield f"vote {voter}", _with_host(after, id_, votes=votes)


def _append_steps(
    group: Group, id_: int, bounds: Bounds
) -> Iterator[tuple[str, Group]]:
    """Deliver any part of a leader's log; the reply arrives or is lost."""
    leader = group.hosts[id_]
    if leader.role != LEADER:
        return
    for to in range(bounds.hosts):
        if to == id_ or group.hosts[to].term > leader.term:
            continue
        for previous in range(len(leader.log)):
            for end in range(previous + 1, len(leader.log) + 1):
                after = _append_entries(group, id_, to, previous, end, bounds)
                yield f"append {id_} to {to}, reply lost", after
                if after.hosts[to].log[:end][previous:] != leader.log[previous:end]:
                    continue
                match = _replace_at(leader.match, to, max(leader.match[to], end))
                yield f"append {id_} to {to}", _with_host(after, id_, match=match)


def _append_entries(
    group: Group, id_: int, to: int, previous: int, end: int, bounds: Bounds
) -> Group:
    leader = group.hosts[id_]
    after = _adopt_term(group, to, leader.term)
    after = _with_host(after, to, role=FOLLOWER, votes=())
    log = after.hosts[to].log
    compared = bounds.fault != "previous term not compared"
    if previous > len(log):
        return after
    if previous and compared and log[previous - 1] != leader.log[previous - 1]:
        return after
    entries = leader.log[previous:end]
    if log[previous:end] != entries:
        log = (*log[:previous], *entries)
    return _with_host(after, to, log=log, synced=len(log))


# --- invariants ----------------------------------------------------------


def _one_leader_per_term(group: Group) -> bool:
    return all(len(winners) <= 1 for winners in group.elected)


def _logs_match(group: Group) -> bool:
    """Logs with equal terms at an index are equal up to that index."""
    for a in group.hosts:
        for b in group.hosts:
            for index in range(min(len(a.log), len(b.log)), 0, -1):
                if a.log[index - 1] == b.log[index - 1]:
                    if a.log[:index] != b.log[:index]:
                        return False
                    break
    return True


def _durable(host: Host) -> tuple[int, ...]:
    return host.log[: host.synced]


def _holds_committed(group: Group, host: Host) -> bool:
    return _durable(host)[: len(group.committed)] == group.committed


def _committed_on_majority(group: Group) -> bool:
    holding = sum(_holds_committed(group, host) for host in group.hosts)
    return not group.conflict and holding > len(group.hosts) // 2


def _committed_on_electable(group: Group) -> bool:
    """Every host that can win an election holds all committed entries."""
    for host in group.hosts:
        log = _durable(host)
        voters = sum(
            (log[-1:], len(log)) >= (_durable(v)[-1:], len(_durable(v)))
            for v in group.hosts
        )
        if voters > len(group.hosts) // 2 and not _holds_committed(group, host):
            return False
    return True


INVARIANTS = {
    "one leader per term": _one_leader_per_term,
    "logs match": _logs_match,
    "committed entries are on a majority": _committed_on_majority,
    "whoever can be elected holds committed entries": _committed_on_electable,
}


def consensus_protocol(bounds: Bounds) -> Protocol:
    """Return the model of elections and commits within the bounds."""
    initial = Group((Host(),) * bounds.hosts, elected=((),) * (bounds.terms + 1))

    def transitions(state: tuple[Group]) -> list[tuple[str, tuple[Group]]]:
        return [(label, (after,)) for label, after in _steps(state[0], bounds)]

    return Protocol(
        name="consensus",
        candidate=False,
        fields=("group",),
        initial=(initial,),
        transitions=transitions,
        invariants={
            name: lambda fields, holds=holds: holds(fields["group"])
            for name, holds in INVARIANTS.items()
        },
    )
