"""What an urgent step gains by a preemption, and what others lose.

Both are in core seconds of ordinary work, so that they can be compared.
"""

import math

import attrs

from crocuswell_core.dispatching.expectations import RunTime, expected_run_time
from crocuswell_core.dispatching.ranking import ZERO_VALUE_FACTOR
from crocuswell_core.dispatching.step_chains import paths_after_ms
from crocuswell_core.dispatching.victims import core_equivalents
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.catalog import Queue
from crocuswell_core.jobs.job_records import Job, Occurrence, StepSpec

# Value of a core second of work by the priority of its queue: callers of the
# most urgent queues wait for the answer, those of the last ones do not.
VALUE_BY_PRIORITY = (4.0, 1.0)
LEAST_VALUE = 0.5
# Share of the value that a job has left if it ends late but not too late.
URGENT_LATE_SHARE = 0.2
LATE_SHARE = 0.3
# Spread of a run time, as the standard deviation of its logarithm.
DECLARED_SPREAD = 0.3
MIN_SPREAD = 0.1
# Standard deviations between the median and the 90th percentile.
P90_DEVIATIONS = 1.2816
# Nobody's work is stopped for a step that is less likely to be in time.
MIN_CHANCE = 0.25
# A task that was stopped this often is stopped only for a guaranteed step.
MAX_STOPS = 2
# Lost work counts twice: it is done again on room that others wait for.
LOST_WORK_FACTOR = 2.0
# Each earlier stop of a task makes its work dearer by this multiple.
STOP_SURCHARGE = 1.0


@attrs.frozen
class Chances:
    """Likelihood that a job ends within its objective, or late with value."""

    in_aim: float
    late: float


@attrs.frozen
class Stake:
    """What a job's caller has at stake while one of its steps waits or runs.

    The objective is a multiple of the true run time, which is uncertain:
    whether the job meets it depends on how long its tasks truly take.

    Attributes
    ----------
    value : float
        Value in core seconds if the job ends within its objective.
    late_share : float
        Share of it if the job ends late.
    stretched_ms : float
        Objective without the allowance, by expected run times, in ms.
    allowance_ms : int
        Time in ms that is added.
    elapsed_ms : int
        Time in ms since the job was due.
    step_ms, after_ms : int
        Expected time in ms of the step, and of the longest chain of steps
        after it.
    spread : float
        Standard deviation of the logarithm of the run time.
    """

    value: float
    late_share: float
    stretched_ms: float
    allowance_ms: int
    elapsed_ms: int
    step_ms: int
    after_ms: int
    spread: float

    @property
    def path_ms(self) -> int:
        """Expected time in ms from the start of the step to the job's end."""
        return self.step_ms + self.after_ms

    def chances(self, delay_ms: float, path_ms: float) -> Chances:
        """Return how likely the job ends in time.

        Parameters
        ----------
        delay_ms : float
            Time in ms until the step starts or continues.
        path_ms : float
            Expected time in ms from then on.
        """
        in_aim = self._chance(delay_ms, path_ms, 1)
        with_value = self._chance(delay_ms, path_ms, ZERO_VALUE_FACTOR)
        return Chances(in_aim, max(0.0, with_value - in_aim))

    def worth(self, delay_ms: float, path_ms: float) -> float:
        """Return the expected value in core seconds."""
        chances = self.chances(delay_ms, path_ms)
        return self.value * (chances.in_aim + self.late_share * chances.late)

    def _chance(self, delay_ms: float, path_ms: float, objectives: int) -> float:
        """Return the likelihood of an end within multiples of the objective.

        With the true run time at `u` times the expected one, the job ends
        at `elapsed + delay + u * path`; its objective is
        `u * stretched + allowance`.
        """
        slack_ms = objectives * self.stretched_ms - path_ms
        overdue_ms = self.elapsed_ms + delay_ms - objectives * self.allowance_ms
        if slack_ms > 0:
            return 1 - self._share_below(overdue_ms / slack_ms)
        if slack_ms < 0:
            return self._share_below(overdue_ms / slack_ms)
        return float(overdue_ms <= 0)

    def _share_below(self, ratio: float) -> float:
        """Return the likelihood of a run time of at most `ratio` times."""
        if ratio <= 0:
            return 0.0
        return 0.5 * (1 + math.erf(math.log(ratio) / (self.spread * math.sqrt(2))))


@attrs.frozen
class Balance:
    """What a preemption gains for a step and loses for others.

    Attributes
    ----------
    gain, loss : float
        In core seconds of ordinary work.
    """

    gain: float
    loss: float

    @property
    def is_worthwhile(self) -> bool:
        """Whether more is gained than lost."""
        return self.gain > self.loss


def stake_of(
    state: EntryState, job: Job, occurrence: Occurrence, step_index: int
) -> Stake:
    """Return what a job's caller has at stake in one of its steps."""
    queue = state.cluster.jobs.queue_of(job)
    times = [expected_run_time(state, job, index) for index in range(len(job.steps))]
    urgent = queue is not None and queue.priority == 0
    after_ms = paths_after_ms(job.steps, [time.median_ms for time in times])
    longest_ms = max(
        times[index].median_ms + after_ms[index] for index in range(len(times))
    )
    return Stake(
        value=_value_factor(queue) * _work_core_s(job.steps, times),
        late_share=URGENT_LATE_SHARE if urgent else LATE_SHARE,
        stretched_ms=longest_ms * queue.stretch if queue else 0.0,
        allowance_ms=queue.latency_allowance_ms if queue else 0,
        elapsed_ms=state.cluster.now_ms - occurrence.due_ms,
        step_ms=times[step_index].median_ms,
        after_ms=after_ms[step_index],
        spread=_spread(times[step_index]),
    )


def loss_of_work(lost_core_s: float, stops: int) -> float:
    """Return what losing the work of a task loses, by its earlier stops."""
    return LOST_WORK_FACTOR * lost_core_s * (1 + STOP_SURCHARGE * stops)


def _value_factor(queue: Queue | None) -> float:
    if queue is None or queue.priority >= len(VALUE_BY_PRIORITY):
        return LEAST_VALUE
    return VALUE_BY_PRIORITY[max(0, queue.priority)]


def _work_core_s(steps: tuple[StepSpec, ...], times: list[RunTime]) -> float:
    return sum(
        core_equivalents(step.demand) * step.count * time.median_ms / 1_000
        for step, time in zip(steps, times, strict=True)
    )


def _spread(time: RunTime) -> float:
    if not time.observations:
        return DECLARED_SPREAD
    if time.median_ms <= 0:
        return MIN_SPREAD
    return max(MIN_SPREAD, math.log(time.p90_ms / time.median_ms) / P90_DEVIATIONS)
