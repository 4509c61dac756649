"""Order of workers for a step by how fast they are.

A step with little slack goes to workers on which it ends in time, and leaves
slow ones to steps with more slack. These prefer slow workers, and workers of
which the speed is not known yet, to keep the fast ones free.
"""

import enum
import math
from collections.abc import Iterable

import attrs

from crocuswell_core.dispatching import expectations
from crocuswell_core.dispatching.expectations import Slowdown
from crocuswell_core.dispatching.fleet import CandidateWorker
from crocuswell_core.dispatching.step_chains import paths_after_ms
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
# Largest ratio between the paces of workers that count as of one speed.
CLUSTER_SPAN = 1.35


class SpeedRank(enum.IntEnum):
    """Place of a worker in a step's order; the least comes first."""

    SUITED = 0
    UNKNOWN = 1
    USUAL_IF_SLACK = 2
    FAST_IF_SLACK = 3
    LATE = 4


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

    def rank(self, slowdown: Slowdown) -> SpeedRank:
        """Return the place of a worker in the step's order."""
        if self.is_late_on(slowdown):
            return SpeedRank.LATE
        if not slowdown.is_known:
            return SpeedRank.UNKNOWN
        if not self.has_slack or slowdown.factor * SLACK_FACTOR > self.tolerated:
            return SpeedRank.SUITED
        if slowdown.factor > ALIKE_FACTOR:
            return SpeedRank.SUITED
        is_fast = slowdown.factor * ALIKE_FACTOR < 1
        return SpeedRank.FAST_IF_SLACK if is_fast else SpeedRank.USUAL_IF_SLACK


def find_speed_fit(state: EntryState, ranked: RankedStep) -> SpeedFit:
    """Return what a step asks of the speed of its workers."""
    if ranked.step.long_running:
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
    times_ms = [step.estimated_ms for step in job.steps]
    return times_ms[step_index] + paths_after_ms(job.steps, times_ms)[step_index]


def rank_by_speed(
    state: EntryState, ranked: RankedStep, candidates: Iterable[CandidateWorker]
) -> None:
    """Note the place of each worker in a step's order by speed."""
    if not state.cfg.features.worker_speeds:
        return
    fit = find_speed_fit(state, ranked)
    for candidate in candidates:
        slowdown = expectations.slowdown(state, candidate.worker.machine)
        candidate.pace = slowdown.factor
        candidate.speed_rank = fit.rank(slowdown)


# --- gangs -----------------------------------------------------------------

# Whether the gang ends late, the work that its fast members could have done
# while they wait for the slowest one, and its place in the step's order.
GangFit = tuple[bool, float, int]


@attrs.frozen
class GangGroup:
    """Workers that could hold a whole gang, and how well they suit it."""

    fit: GangFit
    candidates: list[CandidateWorker]


def gang_groups(
    candidates: Iterable[CandidateWorker], copies: dict[str, int], needed: int
) -> list[GangGroup]:
    """Return groups of workers that could hold a gang, the best first.

    The members of a gang wait for the slowest one, so that workers of one
    speed waste least.

    Parameters
    ----------
    copies : dict
        Number of members that fit on a worker, by its key.
    needed : int
        Number of members.
    """
    clusters = _clusters_by_pace(candidates)
    found: list[GangGroup] = []
    for first in range(len(clusters)):
        group: list[CandidateWorker] = []
        for cluster in clusters[first:]:
            group = [*group, *cluster]
            if sum(copies[c.key] for c in group) >= needed:
                found.append(GangGroup(_gang_fit(group, copies), group))
    return sorted(found, key=lambda each: each.fit)


def _clusters_by_pace(
    candidates: Iterable[CandidateWorker],
) -> list[list[CandidateWorker]]:
    """Return the workers by pace, those that are nearly as fast together."""
    clusters: list[list[CandidateWorker]] = []
    for candidate in sorted(candidates, key=lambda c: c.pace):
        if clusters and candidate.pace <= clusters[-1][0].pace * CLUSTER_SPAN:
            clusters[-1].append(candidate)
        else:
            clusters.append([candidate])
    return clusters


def _gang_fit(group: list[CandidateWorker], copies: dict[str, int]) -> GangFit:
    slowest = max(candidate.pace for candidate in group)
    total = sum(copies[candidate.key] for candidate in group)
    used = sum(slowest / c.pace * copies[c.key] for c in group) / total
    rank = max(candidate.speed_rank for candidate in group)
    # Differences within a cluster of workers do not count.
    wasted = max(0.0, round(used / ALIKE_FACTOR - 1, 1))
    return rank == SpeedRank.LATE, wasted, rank
