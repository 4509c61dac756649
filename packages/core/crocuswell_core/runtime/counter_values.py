"""Counts of processes without metrics, which travel to an entry host."""

from collections.abc import Iterator

import attrs


@attrs.frozen
class CounterValue:
    """Value of one of a process's counters since its start."""

    name: str
    value: int


def take_growth(
    counters: tuple[CounterValue, ...], known: dict[str, int]
) -> Iterator[tuple[str, int]]:
    """Yield the names of the counters that have grown, and by how much.

    Notes the values in `known`, so that one that is sent twice counts once.
    """
    for counter in counters:
        added = counter.value - known.get(counter.name, 0)
        known[counter.name] = counter.value
        if added > 0:
            yield counter.name, added
