"""Lengths of the chains of steps that wait for each other."""

from collections.abc import Sequence

from crocuswell_core.jobs.job_records import StepSpec


def paths_after_ms(steps: Sequence[StepSpec], times_ms: Sequence[int]) -> list[int]:
    """Return the length in ms of the longest chain after each step.

    Parameters
    ----------
    times_ms : sequence of int
        Run time of each step's tasks in ms.
    """
    after_ms = [0] * len(steps)
    for index in range(len(steps) - 1, -1, -1):
        for earlier in steps[index].after:
            path_ms = times_ms[index] + after_ms[index]
            after_ms[earlier] = max(after_ms[earlier], path_ms)
    return after_ms
