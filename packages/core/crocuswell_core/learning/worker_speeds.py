"""How slow workers are compared with each other, estimated from runs.

The logarithm of a run's time is taken as the sum of its step's usual time, its
worker's slowdown and the task's own deviation. Steps and workers are unknown
and estimated together: beliefs about both are normal distributions that
exchange messages over the pairs of a step and a worker that had runs
(Gaussian belief propagation). A report changes only the beliefs about its
worker and the steps that recently ran there.
"""

import math
from collections.abc import Sequence
from typing import Any

import attrs

from crocuswell_core.jobs.job_records import StepKey
from crocuswell_core.learning.paces import Pace

# Standard deviations of logarithms of times, before any run is seen.
WORKER_DEVIATION = 0.35
DECLARED_DEVIATION = 0.5
TASK_DEVIATION = 0.35
# The members of a gang share its work evenly.
MEMBER_DEVIATION = 0.1
# Degrees of freedom of the distribution of tasks' deviations: a few tasks take
# many times as long as the others.
TAIL_DEGREES = 3
# Up to this deviation of its logarithm a slowdown is known.
KNOWN_DEVIATION = 0.2
# The same for the usual time of a step.
KNOWN_STEP_DEVIATION = 0.35
# Weight of evidence from a step, relative to that from the next newer one.
FADING = 0.9
CELLS_PER_WORKER = 16
CELL_WEIGHTS = tuple(FADING**age for age in reversed(range(CELLS_PER_WORKER)))
RUNS_PER_CELL = 6
WORKER_LIMIT = 4_096
STEP_LIMIT = 1_024
USUAL_SPEED_INTERVAL_MS = 1_000
# From this number of known workers on their spread is measured.
MIN_KNOWN_WORKERS = 4
# Factors at which a worker begins and ceases to be reported as slow.
SLOW_FACTOR = 1.3
USUAL_FACTOR = 1.15


@attrs.frozen
class Gaussian:
    """A normal distribution, or a message that is a factor of one.

    Attributes
    ----------
    precision : float
        Inverse of the variance; 0 for a message without information.
    weighted_mean : float
        Mean, multiplied by the precision.
    """

    precision: float = 0.0
    weighted_mean: float = 0.0

    @classmethod
    def of(cls, mean: float, variance: float) -> "Gaussian":
        """Return the distribution with a mean and a variance."""
        return cls(1 / variance, mean / variance)

    def __add__(self, other: "Gaussian") -> "Gaussian":
        return Gaussian(
            self.precision + other.precision, self.weighted_mean + other.weighted_mean
        )

    def __sub__(self, other: "Gaussian") -> "Gaussian":
        return Gaussian(
            self.precision - other.precision, self.weighted_mean - other.weighted_mean
        )

    def faded(self, weight: float) -> "Gaussian":
        """Return the message with less weight."""
        return Gaussian(self.precision * weight, self.weighted_mean * weight)

    @property
    def mean(self) -> float:
        """Mean of the distribution."""
        return self.weighted_mean / self.precision

    @property
    def variance(self) -> float:
        """Variance of the distribution."""
        return 1 / self.precision


NOTHING = Gaussian()
WORKER_PRIOR = Gaussian.of(0.0, WORKER_DEVIATION**2)
UNDECLARED_TIME = Gaussian.of(math.log(10_000), 9.0)


@attrs.define(eq=False)
class StepTime:
    """Belief about the usual time of a step's tasks.

    Attributes
    ----------
    log_ms : Gaussian
        Logarithm of the time in ms on a worker of the usual speed.
    """

    gang: bool
    log_ms: Gaussian

    @property
    def deviation(self) -> float:
        """Standard deviation of the logarithms of its tasks' times."""
        return MEMBER_DEVIATION if self.gang else TASK_DEVIATION


@attrs.define(eq=False)
class Cell:
    """The recent runs of one step on one worker.

    Attributes
    ----------
    runs : dict
        Newest pace of each run by the index of its task, newest last.
    to_step, to_worker : Gaussian
        What these runs say about the step and about the worker.
    """

    step: StepTime
    runs: dict[int, Pace] = attrs.Factory(dict)
    to_step: Gaussian = NOTHING
    to_worker: Gaussian = NOTHING

    def evidence(self, expected_mean: float, doubt: float) -> Gaussian:
        """Return the distribution of the mean of the runs' times.

        Runs far from what is expected have less weight.

        Parameters
        ----------
        expected_mean, doubt : float
            Mean and variance of what other evidence lets expect.
        """
        task_variance = self.step.deviation**2
        precision = weighted_mean = 0.0
        for pace in self.runs.values():
            variance = task_variance + pace.variance
            surprise = (pace.log_ms - expected_mean) ** 2 / (variance + doubt)
            weight = min(1.0, (TAIL_DEGREES + 1) / (TAIL_DEGREES + surprise))
            precision += weight / variance
            weighted_mean += weight / variance * pace.log_ms
        return Gaussian(precision, weighted_mean)


@attrs.define(eq=False)
class WorkerSpeed:
    """Belief about the worker on one machine.

    Attributes
    ----------
    kind : tuple
        What its speed may depend on; a machine of another kind is unknown.
    cells : dict
        Recent runs by step, in order of the newest evidence.
    log_slowdown : Gaussian
        Logarithm of its slowdown, not relative to its fellows.
    is_slow : bool
        Whether it was last reported as slow.
    """

    kind: tuple[str, ...]
    cells: dict[StepKey, Cell] = attrs.Factory(dict)
    log_slowdown: Gaussian = WORKER_PRIOR
    is_slow: bool = False

    @property
    def is_known(self) -> bool:
        """Whether enough was seen to rely on the slowdown."""
        return self.log_slowdown.variance <= KNOWN_DEVIATION**2

    def forget_before(self, ms: int) -> None:
        """Forget paces whose measurement began before a time in ms."""
        for key, cell in list(self.cells.items()):
            for index, pace in list(cell.runs.items()):
                if pace.since_ms < ms:
                    del cell.runs[index]
            if not cell.runs:
                del self.cells[key]

    def update(self) -> None:
        """Weigh all evidence anew."""
        weights = CELL_WEIGHTS[-len(self.cells) :]
        total = WORKER_PRIOR
        for cell, weight in zip(self.cells.values(), weights, strict=True):
            total += cell.to_worker.faded(weight)
        for cell, weight in zip(self.cells.values(), weights, strict=True):
            others = total - cell.to_worker.faded(weight)
            _exchange_messages(cell, others)
            total = others + cell.to_worker.faded(weight)
        self.log_slowdown = total


def _exchange_messages(cell: Cell, worker: Gaussian) -> None:
    """Update what a cell says about its step and its worker.

    Parameters
    ----------
    worker : Gaussian
        What is known of the worker's slowdown from other cells.
    """
    step = cell.step.log_ms - cell.to_step
    step_mean, step_variance = step.mean, step.variance
    mean, variance = worker.mean, worker.variance
    runs = cell.evidence(step_mean + mean, step_variance + variance)
    runs_mean, runs_variance = runs.mean, runs.variance
    cell.to_step = Gaussian.of(runs_mean - mean, runs_variance + variance)
    cell.to_worker = Gaussian.of(runs_mean - step_mean, runs_variance + step_variance)
    cell.step.log_ms = step + cell.to_step


@attrs.define
class WorkerSpeeds:
    """Beliefs about all workers, with the steps that tell of them.

    Attributes
    ----------
    workers : dict
        By machine, in order of the newest evidence.
    steps : dict
        Recently seen steps, in order of the newest evidence.
    usual_log : float
        Logarithm of the median slowdown, to which slowdowns are relative.
    spread : float
        Ratio between the slowdowns of slow and fast workers (the 90th and the
        10th percentile of the known ones); 1.0 while few are known.
    usual_ms : int
        Time in ms at which it was computed.
    """

    workers: dict[str, WorkerSpeed] = attrs.Factory(dict)
    steps: dict[StepKey, StepTime] = attrs.Factory(dict)
    usual_log: float = 0.0
    spread: float = 1.0
    usual_ms: int = -USUAL_SPEED_INTERVAL_MS

    def observe(
        self,
        machine: str,
        kind: tuple[str, ...],
        step_key: StepKey,
        step: StepTime,
        paces: Sequence[tuple[int, Pace]],
        now_ms: int,
    ) -> None:
        """Note the paces of a step's runs on a worker.

        Parameters
        ----------
        step : StepTime
            What is believed of the step if it was not seen before.
        paces : sequence
            Index of the task and pace of each run.
        """
        step = self.steps.pop(step_key, step)
        self.steps[step_key] = step
        worker = self.workers.pop(machine, None)
        if worker is None or worker.kind != kind:
            worker = WorkerSpeed(kind)
        self.workers[machine] = worker
        for _, pace in paces:
            if pace.is_changed and not step.gang:
                # Another member may have changed the pace of a gang.
                worker.forget_before(pace.since_ms)
        cell = worker.cells.pop(step_key, None)
        if cell is None or cell.step is not step:
            cell = Cell(step)
        worker.cells[step_key] = cell
        for index, pace in paces:
            cell.runs.pop(index, None)
            cell.runs[index] = pace
        keep_newest(cell.runs, RUNS_PER_CELL)
        keep_newest(worker.cells, CELLS_PER_WORKER)
        keep_newest(self.workers, WORKER_LIMIT)
        keep_newest(self.steps, STEP_LIMIT)
        worker.update()
        if now_ms - self.usual_ms >= USUAL_SPEED_INTERVAL_MS:
            self.usual_ms = now_ms
            logs = sorted(each.log_slowdown.mean for each in self.workers.values())
            middle = len(logs) // 2
            # Agents load this module, and `statistics` takes much memory.
            self.usual_log = (logs[middle] + logs[-1 - middle]) / 2
            self.spread = self._measure_spread()

    def _measure_spread(self) -> float:
        known = [w.log_slowdown for w in self.workers.values() if w.is_known]
        if len(known) < MIN_KNOWN_WORKERS:
            return 1.0
        known.sort(key=lambda each: each.mean)
        last = len(known) - 1
        slow, fast = known[round(0.9 * last)], known[round(0.1 * last)]
        # What may be an error of the estimates is no difference.
        doubt = math.sqrt(slow.variance + fast.variance)
        return math.exp(max(0.0, slow.mean - fast.mean - doubt))

    def step_log_ms(self, step_key: StepKey) -> Gaussian | None:
        """Return the distribution of the logarithms of a step's times in ms.

        They are those on a worker of the usual speed; None while the runs of
        the step have shown too little.
        """
        step = self.steps.get(step_key)
        if step is None or step.log_ms.variance > KNOWN_STEP_DEVIATION**2:
            return None
        variance = step.log_ms.variance + step.deviation**2
        return Gaussian.of(step.log_ms.mean + self.usual_log, variance)

    def factor(self, machine: str) -> float:
        """Return the slowdown of a worker, 1.0 if nothing was seen of it."""
        worker = self.workers.get(machine)
        if worker is None:
            return 1.0
        return math.exp(worker.log_slowdown.mean - self.usual_log)

    def is_known(self, machine: str) -> bool:
        """Tell whether a worker's slowdown can be relied on."""
        worker = self.workers.get(machine)
        return worker is not None and worker.is_known


def new_step_time(declared_ms: int, gang: bool) -> StepTime:
    """Return the belief about a step of which nothing was seen."""
    if declared_ms <= 0:
        return StepTime(gang, UNDECLARED_TIME)
    return StepTime(gang, Gaussian.of(math.log(declared_ms), DECLARED_DEVIATION**2))


def keep_newest(items: dict[Any, Any], limit: int) -> None:
    """Remove the oldest items of a dict beyond a limit."""
    while len(items) > limit:
        del items[next(iter(items))]
