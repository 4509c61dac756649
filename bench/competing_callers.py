"""Callers who compete for one fleet, of which one may flood it.

    python -m bench.competing_callers

plays named loads with and without the admission of jobs and prints what each
workspace got.
"""

import argparse
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import attrs

from bench.fleet_simulation import FleetSimulation
from bench.load_outcomes import SubmittedJob, summarise
from bench.loads import Burst, JobClass, Load, load_named
from bench.simulated_workers import NEVER_MS
from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_core.jobs.job_commands import SubmitJob
from crocuswell_core.runtime.effects import EmitLogEvent

WORKSPACES = 10
ADMISSION = DispatchFeatures(admission=True)
# A caller gives up after this many refusals of a job.
MAX_REFUSALS = 6


@attrs.frozen
class Flood:
    """Additional jobs of one workspace.

    Attributes
    ----------
    factor : float
        Rate of the additional jobs, as a multiple of the workspace's own.
    renames : bool
        Whether refused jobs are submitted again at once under new ids.
    """

    factor: float
    at_ms: int = 4_000
    for_ms: int = 24_000
    workspace: int = 0
    renames: bool = False


@attrs.frozen
class Competition:
    """A load and what one of its callers adds to it."""

    load: Load
    flood: Flood | None = None


@attrs.frozen
class CallerOutcome:
    """What the caller of one workspace, or several, got.

    Attributes
    ----------
    value, owed : float
        Value that was earned, and that of all jobs in time.
    work_core_s : float
        Core seconds of the jobs that ended before they had lost their value.
    waited_ms : tuple of int
        Times in ms from the first submission to the start, in order.
    declined, refusals : int
        Jobs that were refused at least once, and all refusals.
    """

    jobs: int
    value: float
    owed: float
    work_core_s: float
    waited_ms: tuple[int, ...]
    declined: int
    refusals: int

    def waited(self, percent: float) -> int:
        """Return a percentile of the time in ms until a job's start."""
        if not self.waited_ms:
            return 0
        index = int(len(self.waited_ms) * percent / 100)
        return self.waited_ms[min(len(self.waited_ms) - 1, index)]


class CompetingCallers(FleetSimulation):
    """A simulated fleet with callers who come back when they are refused."""

    def __init__(
        self,
        competition: Competition,
        seed: int = 1,
        features: DispatchFeatures = DispatchFeatures(),  # noqa: B008
    ) -> None:
        super().__init__(competition.load, seed, features)
        self.flood = competition.flood
        self.refusals: dict[str, int] = {}
        self.broken_promises = 0
        self._flood_random = random.Random(f"flood {seed}")
        self._commands: dict[str, SubmitJob] = {}

    def callers(self, *workspaces: int) -> CallerOutcome:
        """Return what the callers of workspaces got."""
        jobs = {
            id_: job for id_, job in self.jobs.items() if job.workspace in workspaces
        }
        outcome = summarise(
            self.load.classes, jobs.values(), {}, 0, {}, self._fleet_rate()
        )
        return CallerOutcome(
            len(jobs),
            outcome.value,
            outcome.owed_value,
            sum(job.work_core_s for job in jobs.values() if _has_value(job)),
            tuple(
                sorted(
                    job.started_ms - job.submitted_ms if job.started_ms else NEVER_MS
                    for job in jobs.values()
                    if not job.cancelled
                )
            ),
            sum(id_ in self.refusals for id_ in jobs),
            sum(self.refusals.get(id_, 0) for id_ in jobs),
        )

    def _schedule_arrivals(self, job_class: JobClass) -> None:
        super()._schedule_arrivals(job_class)
        flood = self.flood
        if flood is None:
            return
        rate = job_class.per_s * self.load.intensity / self.load.workspaces
        at_ms = float(flood.at_ms)
        while True:
            at_ms += self._flood_random.expovariate(rate * flood.factor) * 1_000
            if at_ms >= flood.at_ms + flood.for_ms:
                return
            submit = partial(self._submit, job_class, flood.workspace)
            self._schedule(self.load.lead_ms + at_ms, submit)

    def _send_job(self, command: SubmitJob) -> None:
        self._commands[command.job_id] = command
        index = self.leader.state.consensus.commit_index
        super()._send_job(attrs.evolve(command, known_index=index))

    def _note_log(self, effect: EmitLogEvent) -> None:
        super()._note_log(effect)
        if effect.event != "job_declined":
            return
        labels = {label.name: label.value for label in effect.ids}
        job_id = labels["job"]
        self.refusals[job_id] = self.refusals.get(job_id, 0) + 1
        job = self.jobs[job_id]
        if self.refusals[job_id] >= MAX_REFUSALS:
            return
        if self.flood and self.flood.renames and job.workspace == self.flood.workspace:
            self._schedule(50, partial(self._submit, job.job_class, job.workspace))
            self.refusals[job_id] = MAX_REFUSALS
            return
        delay_ms = int(labels["retry_after_ms"])
        self._schedule(delay_ms, partial(self._send_job, self._commands[job_id]))


def _has_value(job: SubmittedJob) -> bool:
    took_ms = job.completed_ms - job.submitted_ms
    return bool(job.completed_ms) and took_ms <= 3 * job.objective_ms


def base_load(intensity: float = 1.0) -> Load:
    """Return the load of ten equal callers."""
    return attrs.evolve(load_named("callers"), intensity=intensity)


def _with_burst(load: Load, burst: Burst) -> Load:
    classes = tuple(attrs.evolve(each, burst=burst) for each in load.classes)
    return attrs.evolve(load, classes=classes)


COMPETITIONS: dict[str, Callable[[], Competition]] = {
    "even": lambda: Competition(base_load()),
    "one large caller against nine": lambda: Competition(base_load(), Flood(9.0)),
    "a flood of the whole fleet": lambda: Competition(
        base_load(), Flood(40.0, for_ms=8_000)
    ),
    "all at once": lambda: Competition(
        _with_burst(base_load(), Burst(8_000, 2_000, 12.0))
    ),
    "a wave": lambda: Competition(_with_burst(base_load(), Burst(6_000, 14_000, 2.5))),
    "resubmissions under new ids": lambda: Competition(
        base_load(), Flood(20.0, for_ms=8_000, renames=True)
    ),
}


def play_one(
    named: tuple[str, int, DispatchFeatures],
) -> tuple[CallerOutcome, CallerOutcome, list[float]]:
    """Play one competition; return what the first and the others got."""
    name, seed, features = named
    played = CompetingCallers(COMPETITIONS[name](), seed, features)
    played.play()
    each = [played.callers(index) for index in range(WORKSPACES)]
    shares = [o.value / o.owed if o.owed else 1.0 for o in each]
    return each[0], played.callers(*range(1, WORKSPACES)), shares


def main() -> None:
    """Play the named competitions, by default all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", default=list(COMPETITIONS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    plays = [
        (name, seed, features)
        for name in options.names
        for features in (DispatchFeatures(), ADMISSION)
        for seed in range(1, options.seeds + 1)
    ]
    with ProcessPoolExecutor(options.jobs) as pool:
        for play, (first, others, shares) in zip(
            plays, pool.map(play_one, plays), strict=True
        ):
            name, seed, features = play
            print(
                f"{name}, seed {seed}, {'with' if features.admission else 'without'}: "
                f"work {first.work_core_s + others.work_core_s:,.0f} core-s"
            )
            for label, got in (("first", first), ("others", others)):
                print(
                    f"  {label:7} {got.jobs:4} jobs, value {got.value:7.1f} of "
                    f"{got.owed:7.1f}, work {got.work_core_s:8,.0f}, waited p50 "
                    f"{got.waited(50)} p90 {got.waited(90)} ms, {got.declined} "
                    f"declined {got.refusals} times"
                )
            worst = min(shares[1:])
            print(f"  worst other workspace {worst:.2f}", flush=True)


if __name__ == "__main__":
    main()
