"""Small model of the leader's lease, independent of the implementation.

There are three voters. Time passes in ticks that all clocks count alike,
since the difference between `LEASE_TICKS` and `REFUSAL_TICKS` covers the clock
drift. A heartbeat and its acknowledgement carry the time since the round was
sent. A message older than a lease cannot extend one any more and is dropped.
"""

from collections.abc import Iterator

import attrs
from minicheck import Protocol

HOSTS = range(3)
# The implementation uses 500 ms and 600 ms.
LEASE_TICKS = 2
REFUSAL_TICKS = 3


@attrs.frozen
class LeaseBounds:
    """Bounds of the search; `fault` names a planted fault, if any."""

    terms: int = 3
    messages: int = 2
    fault: str = ""


@attrs.frozen
class Voter:
    """One voter; `lease` and `refusal` hold the remaining ticks.

    While `refusal` lasts, the voter elects no other leader.
    """

    term: int = 0
    leading: bool = False
    lease: int = 0
    refusal: int = 0


@attrs.frozen
class RoundMessage:
    """A heartbeat or its acknowledgement in transit; `age` is in ticks."""

    sender: int
    to: int
    term: int
    age: int
    acknowledged: bool


@attrs.frozen
class Group:
    """All voters and the messages in transit."""

    voters: tuple[Voter, ...] = (Voter(),) * len(HOSTS)
    in_transit: frozenset[RoundMessage] = frozenset()


def _with_voter(state: Group, id_: int, **changes: object) -> Group:
    voters = list(state.voters)
    voters[id_] = attrs.evolve(voters[id_], **changes)  # type: ignore[arg-type]
    return attrs.evolve(state, voters=tuple(voters))


def _steps(state: Group, bounds: LeaseBounds) -> Iterator[tuple[str, Group]]:
    yield "tick", _tick(state)
    for id_ in HOSTS:
        voter = state.voters[id_]
        forgets_leader = bounds.fault == "restart forgets the leader"
        yield (
            f"restart {id_}",
            _with_voter(
                state,
                id_,
                leading=False,
                lease=0,
                refusal=0 if forgets_leader else REFUSAL_TICKS,
            ),
        )
        if voter.leading and voter.lease == 0:
            yield f"step down {id_}", _with_voter(state, id_, leading=False)
        if voter.leading:
            yield from _leader_steps(state, id_, bounds)
        elif voter.refusal == 0:
            yield from _elections(state, id_, bounds)
    for message in state.in_transit:
        yield "lose", attrs.evolve(state, in_transit=state.in_transit - {message})
        yield "deliver", _deliver(state, message, bounds)


def _tick(state: Group) -> Group:
    return Group(
        tuple(
            attrs.evolve(
                voter,
                lease=max(0, voter.lease - 1),
                refusal=max(0, voter.refusal - 1),
            )
            for voter in state.voters
        ),
        frozenset(
            attrs.evolve(message, age=message.age + 1)
            for message in state.in_transit
            if message.age < LEASE_TICKS
        ),
    )


def _leader_steps(
    state: Group, id_: int, bounds: LeaseBounds
) -> Iterator[tuple[str, Group]]:
    voter = state.voters[id_]
    for to in HOSTS:
        if to == id_:
            continue
        if len(state.in_transit) < bounds.messages:
            heartbeat = RoundMessage(id_, to, voter.term, 0, False)
            yield (
                f"heartbeat {id_}",
                attrs.evolve(state, in_transit=state.in_transit | {heartbeat}),
            )
        target = state.voters[to]
        if target.term != voter.term or voter.term == bounds.terms:
            continue
        # Leadership transfer: the target needs only the third voter's vote.
        third = 3 - id_ - to
        if state.voters[third].term <= voter.term:
            after = state
            if bounds.fault != "lease kept after hand-over":
                after = _with_voter(after, id_, leading=False, lease=0)
            yield f"hand over {id_}", _elect(after, to, third, voter.term + 1)


def _elections(
    state: Group, id_: int, bounds: LeaseBounds
) -> Iterator[tuple[str, Group]]:
    term = state.voters[id_].term + 1
    if term > bounds.terms:
        return
    for other in HOSTS:
        voter = state.voters[other]
        protects = voter.leading or voter.refusal > 0
        if bounds.fault == "vote not refused":
            protects = voter.leading
        if other != id_ and voter.term < term and not protects:
            yield f"elect {id_}", _elect(state, id_, other, term)


def _elect(state: Group, id_: int, voter: int, term: int) -> Group:
    after = _with_voter(state, voter, term=term, leading=False, lease=0)
    return _with_voter(after, id_, term=term, leading=True, lease=0, refusal=0)


def _deliver(state: Group, message: RoundMessage, bounds: LeaseBounds) -> Group:
    state = attrs.evolve(state, in_transit=state.in_transit - {message})
    voter = state.voters[message.to]
    if message.acknowledged:
        if not voter.leading or voter.term != message.term:
            return state
        # The leader and one other voter are a majority.
        from_receipt = bounds.fault == "lease from receipt"
        lease = LEASE_TICKS if from_receipt else LEASE_TICKS - message.age
        return _with_voter(state, message.to, lease=max(voter.lease, lease))
    if voter.term > message.term:
        return state
    reply = attrs.evolve(
        message, sender=message.to, to=message.sender, acknowledged=True
    )
    state = attrs.evolve(state, in_transit=state.in_transit | {reply})
    return _with_voter(
        state,
        message.to,
        term=message.term,
        leading=False,
        lease=0,
        refusal=REFUSAL_TICKS,
    )


def lease_protocol(bounds: LeaseBounds) -> Protocol:
    """Return the model of the leader's lease within the bounds."""

    def transitions(state: tuple[Group]) -> list[tuple[str, tuple[Group]]]:
        return [(label, (after,)) for label, after in _steps(state[0], bounds)]

    def one_lease(fields: dict[str, Group]) -> bool:
        return sum(voter.lease > 0 for voter in fields["group"].voters) <= 1

    return Protocol(
        name="lease",
        candidate=False,
        fields=("group",),
        initial=(Group(),),
        transitions=transitions,
        invariants={"at most one lease": one_lease},
    )
