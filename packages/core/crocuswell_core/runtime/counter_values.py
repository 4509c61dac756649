"""Counters that processes without a metrics endpoint report to a host."""

from collections.abc import Iterator

import attrs


@attrs.frozen
class CounterValue:
    """Value of a counter, accumulated since its process started."""

    name: str
    value: int


def iter_increases(
    counters: tuple[CounterValue, ...], last_values: dict[str, int]
) -> Iterator[tuple[str, int]]:
    """Yield the name and the increase of each counter that has increased.

    Updates `last_values`, so that a value that is sent twice counts once.
    """
    for counter in counters:
        increase = counter.value - last_values.get(counter.name, 0)
        last_values[counter.name] = counter.value
        if increase > 0:
            yield counter.name, increase
