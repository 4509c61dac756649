"""The searches of the specifications, and the faults planted in them."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
from minicheck import Protocol, check_safety

from tests.agreement_model import Bounds, agreement_protocol
from tests.lease_model import LeaseBounds, lease_protocol

# Far above the searches below, so that each of them is exhaustive.
MAX_STATES = 2_000_000
# A failure that was found is valid even if the search ends at this limit.
SMALL_PLANTED_STATES = 40_000

SearchBounds = Bounds | LeaseBounds

SMALL: tuple[SearchBounds, ...] = (
    Bounds(terms=2, entries=1),
    LeaseBounds(terms=2, messages=1),
)
LARGE: tuple[SearchBounds, ...] = (
    Bounds(terms=2, entries=2),
    Bounds(terms=3, entries=1),
    LeaseBounds(terms=2, messages=2),
    LeaseBounds(terms=3, messages=1),
)


@attrs.frozen
class PlantedFault:
    """A fault within bounds in which an invariant must fail."""

    bounds: SearchBounds
    invariant: str


SMALL_PLANTED = (
    PlantedFault(
        Bounds(terms=1, entries=1, fault="vote not persisted"), "one leader per term"
    ),
    PlantedFault(
        Bounds(terms=2, entries=2, fault="previous term not compared"), "logs match"
    ),
    PlantedFault(
        Bounds(terms=1, entries=1, fault="own unsynced counted"),
        "committed entries are on a majority",
    ),
    PlantedFault(
        Bounds(terms=2, entries=1, fault="vote for a shorter log"),
        "whoever can be elected holds committed entries",
    ),
    *(
        PlantedFault(LeaseBounds(terms=2, messages=1, fault=fault), "at most one lease")
        for fault in (
            "lease from receipt",
            "restart forgets the leader",
            "vote not refused",
            "lease kept after hand-over",
        )
    ),
)
# The course of events needs three terms, most of the states in its bounds.
LARGE_PLANTED = (
    PlantedFault(
        Bounds(terms=3, entries=1, fault="older term committed"),
        "whoever can be elected holds committed entries",
    ),
)


@attrs.frozen
class Found:
    """Result of a search; `broken` names failed invariants."""

    states: int
    depth: int
    invariants: tuple[str, ...]
    broken: tuple[str, ...]


def search(bounds: SearchBounds, max_states: int = MAX_STATES) -> Found:
    """Search the states within the bounds.

    Raises
    ------
    RuntimeError
        If the search was not exhaustive and nothing failed.
    """
    if isinstance(bounds, Bounds):
        protocol = agreement_protocol(bounds)
    else:
        protocol = lease_protocol(bounds)
    depths: dict[Any, int] = {protocol.initial: 0}
    protocol.transitions = _noting_depth(protocol, depths)
    result = check_safety(protocol, max_states=max_states)
    properties = result["properties"]
    broken = tuple(name for name in properties if properties[name]["holds"] is False)
    if not result["exhaustive"] and not broken:
        raise RuntimeError(result["incomplete_reason"])
    return Found(
        result["reachable_states"],
        max(depths.values()),
        tuple(properties),
        broken,
    )


def _noting_depth(
    protocol: Protocol, depths: dict[Any, int]
) -> Callable[[Any], Iterable[tuple[str, Any]]]:
    transitions = protocol.transitions

    def noting(state: Any) -> Iterable[tuple[str, Any]]:
        steps = list(transitions(state))
        # The search is breadth-first: the first path to a state is a shortest.
        for _, after in steps:
            depths.setdefault(after, depths[state] + 1)
        return steps

    return noting
