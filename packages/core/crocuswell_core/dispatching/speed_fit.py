"""Order of workers for a step by how fast they are.

A step with little slack goes to workers on which it ends in time, and leaves
slow ones to steps with more slack. These prefer slow workers, and workers of
which the speed is not known yet, to keep the fast ones free.
"""

import math
from collections.abc import Iterable

import attrs

from crocuswell_core.dispatching import expectations
from crocuswell_core.dispatching.expectations import Slowdown
from crocuswell_core.dispatching.fleet import CandidateWorker
from crocuswell_core.dispatching.waiting_steps import RankedStep
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import Job

# Time from the decision to start a task until it is at work.
START_ALLOWANCE_MS = 250
# A step leaves fast workers to others only while one more attempt of about
# half its time would still end in time.
SLACK_FACTOR = 1.5
# Workers within this range count as equally fast, so that the order by free
# resources decides among them.
ALIKE_FACTOR = 1.2


@attrs.frozen
class SpeedFit:
    """What a step asks of the speed of its workers.

    Attributes
    ----------
    tolerated : float
        Largest slowdown with which its job can still meet its objective.
    has_slack : bool
        Whether the step leaves fast workers to others.
    """

    tolerated: float = math.inf
    has_slack: bool = False

    def is_late_on(self, slowdown: Slowdown) -> bool:
        """Tell whether the step would certainly end late on a worker."""
        return slowdown.is_known and slowdown.factor > self.tolerated

    def rank(self, slowdown: Slowdown) -> int:
        """Return the place of a worker in the step's order; 0 comes first."""
        if self.is_late_on(slowdown):
            return 4
        if not slowdown.is_known:
            return 1
        if not self.has_slack or slowdown.factor * SLACK_FACTOR > self.tolerated:
            return 0
        if slowdown.factor > ALIKE_FACTOR:
            return 0
        return 2 if slowdown.factor * ALIKE_FACTOR >= 1 else 3


def find_speed_fit(state: EntryState, ranked: RankedStep) -> SpeedFit:
    """Return what a step asks of the speed of its workers."""
    if not state.cfg.features.worker_speeds or ranked.step.long_running:
        return SpeedFit()
    path_ms = path_from_ms(ranked.job, ranked.step_index)
    if not path_ms:
        return SpeedFit()
    left_ms = ranked.deadline_ms - state.cluster.now_ms - START_ALLOWANCE_MS
    if left_ms < path_ms:
        # It ends late anywhere, and sooner on a fast worker.
        return SpeedFit()
    return SpeedFit(left_ms / path_ms, ranked.priority > 0)


def path_from_ms(job: Job, step_index: int) -> int:
    """Return the declared time in ms of the longest chain from a step on."""
    longest = [step.estimated_ms for step in job.steps]
    for index in range(len(job.steps) - 1, -1, -1):
        for earlier in job.steps[index].after:
            through_ms = job.steps[earlier].estimated_ms + longest[index]
            longest[earlier] = max(longest[earlier], through_ms)
    return longest[step_index]


def rank_by_speed(
    state: EntryState, ranked: RankedStep, candidates: Iterable[CandidateWorker]
) -> None:
    """Note the place of each worker in a step's order by speed."""
    fit = find_speed_fit(state, ranked)
    for candidate in candidates:
        if math.isinf(fit.tolerated):
            candidate.speed_rank = 0
            continue
        slowdown = expectations.slowdown(state, candidate.worker.machine)
        candidate.speed_rank = fit.rank(slowdown)
