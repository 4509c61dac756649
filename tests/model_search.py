"""Bounds for model checking, planted faults and the search itself."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
from minicheck import Protocol, check_safety

from tests.consensus_model import Bounds, consensus_protocol
from tests.lease_model import LeaseBounds, lease_protocol

# Well above the number of states within the bounds below, so that each search
# is exhaustive.
MAX_STATES = 2_000_000
# A violation found before this limit is valid, although the search may not be
# exhaustive.
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
    """Bounds with a planted fault, and the invariant that must fail."""

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
# Reaching the violation takes three terms and most states in these bounds.
LARGE_PLANTED = (
    PlantedFault(
        Bounds(terms=3, entries=1, fault="older term committed"),
        "whoever can be elected holds committed entries",
    ),
)


@attrs.frozen
class SearchResult:
    """Result of a search; `violated` names the violated invariants."""

    states: int
    depth: int
    invariants: tuple[str, ...]
    violated: tuple[str, ...]


def search(bounds: SearchBounds, max_states: int = MAX_STATES) -> SearchResult:
    """Explore the states within the bounds and check the invariants.

    Raises
    ------
    RuntimeError
        If the search was not exhaustive and found no violation.
    """
    if isinstance(bounds, Bounds):
        protocol = consensus_protocol(bounds)
    else:
        protocol = lease_protocol(bounds)
    depths: dict[Any, int] = {protocol.initial: 0}
    protocol.transitions = _record_depths(protocol, depths)
    result = check_safety(protocol, max_states=max_states)
    properties = result["properties"]
    violated = tuple(name for name in properties if properties[name]["holds"] is False)
    if not result["exhaustive"] and not violated:
        raise RuntimeError(result["incomplete_reason"])
    return SearchResult(
        result["reachable_states"],
        max(depths.values()),
        tuple(properties),
        violated,
    )


def _record_depths(
    protocol: Protocol, depths: dict[Any, int]
) -> Callable[[Any], Iterable[tuple[str, Any]]]:
    transitions = protocol.transitions

    def recording_transitions(state: Any) -> Iterable[tuple[str, Any]]:
        steps = list(transitions(state))
        # In a breadth-first search, the first path to a state is a shortest.
        for _, after in steps:
            depths.setdefault(after, depths[state] + 1)
        return steps

    return recording_transitions
