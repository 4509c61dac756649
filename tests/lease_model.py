"""A small specification of the leader's lease, apart from the code.

Three voters; time passes in ticks that all clocks count alike, since the
drift is covered by the difference between `LEASE` and `REFUSAL`. A heartbeat
and its acknowledgement carry the time since the round was sent. A message
that is older than a lease can no longer extend one and is dropped.
"""

from collections.abc import Iterator

import attrs
from minicheck import Protocol

HOSTS = range(3)
# In ticks; the code has 500 ms and 600 ms.
LEASE = 2
REFUSAL = 3


@attrs.frozen
class LeaseBounds:
    """Bounds of the search; `fault` names a planted fault."""

    terms: int = 3
    messages: int = 2
    fault: str = ""


@attrs.frozen
class Voter:
    """`lease` and `refusal` are the ticks that remain."""

    term: int = 0
    leading: bool = False
    lease: int = 0
    refusal: int = 0


@attrs.frozen
class Round:
    """A heartbeat, or its acknowledgement, on the way to `to`."""

    sender: int
    to: int
    term: int
    age: int
    acknowledged: bool


@attrs.frozen
class Voters:
    """All voters and the messages in transit."""

    voters: tuple[Voter, ...] = (Voter(),) * len(HOSTS)
    rounds: frozenset[Round] = frozenset()


def _with(state: Voters, id_: int, **changes: object) -> Voters:
    voters = list(state.voters)
    voters[id_] = attrs.evolve(voters[id_], **changes)  # type: ignore[arg-type]
    return attrs.evolve(state, voters=tuple(voters))


def _steps(state: Voters, bounds: LeaseBounds) -> Iterator[tuple[str, Voters]]:
    yield "tick", _tick(state)
    for id_ in HOSTS:
        voter = state.voters[id_]
        forgets = bounds.fault == "restart forgets the leader"
        yield (
            f"restart {id_}",
            _with(
                state, id_, leading=False, lease=0, refusal=0 if forgets else REFUSAL
            ),
        )
        if voter.leading and voter.lease == 0:
            yield f"step down {id_}", _with(state, id_, leading=False)
        if voter.leading:
            yield from _leader_steps(state, id_, bounds)
        elif voter.refusal == 0:
            yield from _elections(state, id_, bounds)
    for round_ in state.rounds:
        yield "lose", attrs.evolve(state, rounds=state.rounds - {round_})
        yield "deliver", _deliver(state, round_, bounds)


def _tick(state: Voters) -> Voters:
    return Voters(
        tuple(
            attrs.evolve(
                voter,
                lease=max(0, voter.lease - 1),
                refusal=max(0, voter.refusal - 1),
            )
            for voter in state.voters
        ),
        frozenset(
            attrs.evolve(round_, age=round_.age + 1)
            for round_ in state.rounds
            if round_.age < LEASE
        ),
    )


def _leader_steps(
    state: Voters, id_: int, bounds: LeaseBounds
) -> Iterator[tuple[str, Voters]]:
    voter = state.voters[id_]
    for to in HOSTS:
        if to == id_:
            continue
        if len(state.rounds) < bounds.messages:
            beat = Round(id_, to, voter.term, 0, False)
            yield f"beat {id_}", attrs.evolve(state, rounds=state.rounds | {beat})
        target = state.voters[to]
        if target.term != voter.term or voter.term == bounds.terms:
            continue
        # The hand-over: the target asks the third voter, not this one.
        third = 3 - id_ - to
        if state.voters[third].term <= voter.term:
            after = state
            if bounds.fault != "lease kept after hand-over":
                after = _with(after, id_, leading=False, lease=0)
            yield f"hand over {id_}", _elect(after, to, third, voter.term + 1)


def _elections(
    state: Voters, id_: int, bounds: LeaseBounds
) -> Iterator[tuple[str, Voters]]:
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


def _elect(state: Voters, id_: int, voter: int, term: int) -> Voters:
    after = _with(state, voter, term=term, leading=False, lease=0)
    return _with(after, id_, term=term, leading=True, lease=0, refusal=0)


def _deliver(state: Voters, round_: Round, bounds: LeaseBounds) -> Voters:
    state = attrs.evolve(state, rounds=state.rounds - {round_})
    voter = state.voters[round_.to]
    if round_.acknowledged:
        if not voter.leading or voter.term != round_.term:
            return state
        # The leader and one other voter are a majority.
        from_receipt = bounds.fault == "lease from receipt"
        lease = LEASE if from_receipt else LEASE - round_.age
        return _with(state, round_.to, lease=max(voter.lease, lease))
    if voter.term > round_.term:
        return state
    reply = attrs.evolve(round_, sender=round_.to, to=round_.sender, acknowledged=True)
    state = attrs.evolve(state, rounds=state.rounds | {reply})
    return _with(
        state, round_.to, term=round_.term, leading=False, lease=0, refusal=REFUSAL
    )


def lease_protocol(bounds: LeaseBounds) -> Protocol:
    """Return the specification within its bounds."""

    def transitions(state: tuple[Voters]) -> list[tuple[str, tuple[Voters]]]:
        return [(label, (after,)) for label, after in _steps(state[0], bounds)]

    def one_lease(fields: dict[str, Voters]) -> bool:
        return sum(voter.lease > 0 for voter in fields["group"].voters) <= 1

    return Protocol(
        name="lease",
        candidate=False,
        fields=("group",),
        initial=(Voters(),),
        transitions=transitions,
        invariants={"at most one lease": one_lease},
    )
