"""Tests of the upper bound on the value that a load can earn."""

import pytest

from bench.crashing_fleet import CrashingFleet
from bench.loads import load_named
from bench.value_bound import FleetRate, JobWindow, bound_value

RATE = FleetRate(accelerators=8, cores=100)


def job(from_s: int, until_s: int, accelerator_s: float, value: float) -> JobWindow:
    return JobWindow(from_s * 1_000, until_s * 1_000, accelerator_s, 1.0, value)


@pytest.mark.parametrize(
    ("jobs", "bound"),
    [
        ([], 0.0),
        ([job(0, 10, 80, 5.0)], 5.0),
        # Half of the work fits; the better half by value is taken.
        ([job(0, 10, 80, 5.0), job(0, 10, 80, 3.0)], 5.0),
        ([job(0, 10, 160, 6.0)], 3.0),
        # Later jobs do not help those that must end before.
        ([job(0, 10, 160, 6.0), job(50, 60, 8, 2.0)], 5.0),
        ([JobWindow(0, 10_000, 0.0, 2_000.0, 4.0)], 2.0),
    ],
)
def test_bound_is_what_fits_in_the_tightest_interval(jobs, bound) -> None:
    """Guards against a bound that a scheduler could exceed, or a loose one."""
    assert bound_value(jobs, RATE) == pytest.approx(bound)


@pytest.mark.parametrize("name", ["van", "large-losses"])
def test_no_play_earns_more_than_its_bound(name: str) -> None:
    """Guards against a bound that leaves out what a fleet can do."""
    outcome = CrashingFleet(load_named(name), 1).play()
    assert 0 < outcome.value <= outcome.bound_value <= outcome.owed_value
