"""Upper bound on the value that any scheduler could earn on a load.

A job is worth something only if it ends before a time. What the jobs that
must run within an interval take must fit into what the fleet gives in that
interval, even if their work is divisible and the fleet is never idle, lost or
fragmented. The interval in which most value is lost gives the bound.
"""

import itertools

import attrs

# Number of times of which each pair is an interval.
GRID = 48


@attrs.frozen
class JobWindow:
    """When a job must run, what it takes and what it is worth.

    Attributes
    ----------
    from_ms, until_ms : int
        Time of submission, and the latest end at which it is worth anything.
    accelerator_s, core_s : float
        Accelerator and processor seconds that its work takes.
    value : float
        Its value if it ends in time.
    """

    from_ms: int
    until_ms: int
    accelerator_s: float
    core_s: float
    value: float


@attrs.frozen
class FleetRate:
    """What a fleet gives each second.

    Attributes
    ----------
    accelerators, cores : float
        Number of accelerators and of processor cores.
    """

    accelerators: float
    cores: float


def bound_value(jobs: list[JobWindow], rate: FleetRate) -> float:
    """Return an upper bound on the value that can be earned."""
    if not jobs:
        return 0.0
    starts = _grid(sorted(job.from_ms for job in jobs))
    ends = _grid(sorted(job.until_ms for job in jobs))
    least_loss = max(
        (
            _least_loss(jobs, rate, start, end)
            for start, end in itertools.product(starts, ends)
            if start < end
        ),
        default=0.0,
    )
    return sum(job.value for job in jobs) - least_loss


def _grid(times: list[int]) -> list[int]:
    """Return at most `GRID` of some ascending times, with the outermost."""
    step = max(1, len(times) // GRID)
    return sorted({*times[::step], times[-1]})


def _least_loss(
    jobs: list[JobWindow], rate: FleetRate, start_ms: int, end_ms: int
) -> float:
    """Return the value that is lost at least within an interval."""
    inside = [j for j in jobs if start_ms <= j.from_ms and j.until_ms <= end_ms]
    seconds = (end_ms - start_ms) / 1_000
    total = sum(job.value for job in inside)
    return total - min(
        _fill(
            [(j.value, j.accelerator_s) for j in inside], rate.accelerators * seconds
        ),
        _fill([(j.value, j.core_s) for j in inside], rate.cores * seconds),
    )


def _fill(items: list[tuple[float, float]], supply: float) -> float:
    """Return the most value that divisible items give within a supply."""
    if sum(amount for _, amount in items) <= supply:
        return sum(value for value, _ in items)
    total, left = 0.0, supply
    for value, amount in sorted(
        items, key=lambda item: item[0] / max(item[1], 1e-9), reverse=True
    ):
        share = min(1.0, left / amount) if amount > 0 else 1.0
        total += value * share
        left -= amount * share
    return total
