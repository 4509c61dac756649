"""What the callers of a simulated load got."""

from collections.abc import Collection

import attrs

from bench.loads import JobClass
from bench.value_bound import FleetRate, JobWindow, bound_value
from crocuswell_core.dispatching.ranking import ZERO_VALUE_FACTOR


@attrs.define
class SubmittedJob:
    """A job of the load and what its caller saw of it.

    Attributes
    ----------
    objective_ms, completed_ms : int
        Objective as a duration, and time of completion, in ms.
    accelerator_s, core_s : float
        Accelerator and processor seconds that its work takes, as expected.
    """

    job_class: JobClass
    submitted_ms: int
    objective_ms: int
    work_core_s: float
    cancelled: bool = False
    hopeless: bool = False
    crashes_workers: bool = False
    started_ms: int = 0
    completed_ms: int = 0
    accelerator_s: float = 0.0
    core_s: float = 0.0
    workspace: int = 0

    @property
    def is_owed(self) -> bool:
        """Whether the job counts for the value of the load."""
        return not (self.cancelled or self.hopeless or self.crashes_workers)


@attrs.define
class ClassOutcome:
    """What the callers of one class of jobs got."""

    owed: int = 0
    in_aim: int = 0
    late: int = 0
    never: int = 0
    waited_ms: list[int] = attrs.Factory(list)

    @property
    def share_in_aim(self) -> float:
        """Share of the owed jobs that ended within their objective."""
        return self.in_aim / self.owed if self.owed else 1.0

    def waited_percentile(self, percent: float) -> int:
        """Return a percentile of the time in ms until a job's first start."""
        if not self.waited_ms:
            return 0
        ordered = sorted(self.waited_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


@attrs.define
class Outcome:
    """Result of one simulated load.

    Attributes
    ----------
    value, owed_value : float
        Value of the jobs by their class and time of completion.
    bound_value : float
        Value that no scheduler could exceed on this load.
    wasted_core_s : dict
        Core seconds of work that was lost, by the cause.
    runs : int
        Number of started runs.
    stops : dict
        Number of stopped runs by the leader's reason.
    """

    classes: dict[str, ClassOutcome]
    value: float
    owed_value: float
    wasted_core_s: dict[str, float]
    runs: int
    stops: dict[str, int]
    bound_value: float = 0.0

    @property
    def bound_share(self) -> float:
        """Share of the owed value that no scheduler could exceed."""
        return self.bound_value / self.owed_value if self.owed_value else 1.0

    @property
    def share(self) -> float:
        """Share of the owed value that was earned."""
        return self.value / self.owed_value if self.owed_value else 1.0

    @property
    def total_wasted_core_s(self) -> float:
        """Core seconds of lost work, over all causes."""
        return sum(self.wasted_core_s.values())


def summarise(
    classes: tuple[JobClass, ...],
    jobs: Collection[SubmittedJob],
    wasted_core_s: dict[str, float],
    runs: int,
    stops: dict[str, int],
    rate: FleetRate,
) -> Outcome:
    """Return what the callers of a load got, by class and in value.

    A job is worth more the more work it is, and less once it is late.
    """
    outcomes = {job_class.name: ClassOutcome() for job_class in classes}
    mean_work = {
        job_class.name: _mean(
            [job.work_core_s for job in jobs if job.job_class is job_class]
        )
        for job_class in classes
    }
    value = owed = 0.0
    in_time: list[JobWindow] = []
    at_all: list[JobWindow] = []
    for job in jobs:
        if not job.is_owed:
            continue
        job_class = job.job_class
        outcome = outcomes[job_class.name]
        weight = min(4.0, 0.3 + 0.7 * job.work_core_s / mean_work[job_class.name])
        outcome.owed += 1
        owed += weight * job_class.worth
        # A job earns its late worth if it ends at all, and the rest in time.
        late_value = weight * job_class.late_worth
        in_time.append(_window(job, 1.0, weight * job_class.worth - late_value))
        at_all.append(_window(job, ZERO_VALUE_FACTOR, late_value))
        if job.started_ms:
            outcome.waited_ms.append(job.started_ms - job.submitted_ms)
        took_ms = job.completed_ms - job.submitted_ms
        if not job.completed_ms or took_ms > ZERO_VALUE_FACTOR * job.objective_ms:
            outcome.never += 1
        elif took_ms <= job.objective_ms:
            outcome.in_aim += 1
            value += weight * job_class.worth
        else:
            outcome.late += 1
            value += weight * job_class.late_worth
    bound = bound_value(in_time, rate) + bound_value(at_all, rate)
    return Outcome(outcomes, value, owed, wasted_core_s, runs, stops, bound)


def _window(job: SubmittedJob, objectives: float, value: float) -> JobWindow:
    until_ms = job.submitted_ms + round(objectives * job.objective_ms)
    return JobWindow(job.submitted_ms, until_ms, job.accelerator_s, job.core_s, value)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 1.0
