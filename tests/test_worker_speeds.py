"""How fast workers are, learned from the advance and the ends of runs."""

import math
import random

import attrs

from crocuswell_core.dispatching.expectations import slowdown
from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_core.dispatching.speed_fit import ALIKE_FACTOR
from crocuswell_core.entry.calls import GetForecasts
from crocuswell_core.entry.replies import ForecastsView, SpeedForecast
from crocuswell_core.jobs.catalog import Queue
from crocuswell_core.jobs.job_commands import PutCatalog
from crocuswell_core.jobs.job_records import RunEndKind, RunId, RunProgress, StepKey
from crocuswell_core.learning.paces import Pace, PaceMeter
from crocuswell_core.learning.worker_speeds import WorkerSpeeds, new_step_time
from crocuswell_core.runtime.dispatch import answer_read
from crocuswell_core.runtime.effects import EmitLogEvent
from tests.job_harness import (
    HOST,
    TIGHT,
    URGENT,
    Leader,
    catalog,
    end_of,
    step,
    worker,
)

LIST_MS = 500
DECLARED_MS = 6_000


@attrs.define
class Run:
    """A run on a simulated worker; `done` is its share of its work."""

    step: StepKey
    index: int
    work_ms: float
    done: float = 0.0
    meter: PaceMeter | None = None


@attrs.define
class Fleet:
    """Workers of different speeds that run tasks of random steps."""

    speeds: dict[str, float]
    runs_per_worker: int = 2
    tasks_per_step: int = 8
    error: float = 0.5
    gang: bool = False
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    learned: WorkerSpeeds = attrs.Factory(WorkerSpeeds)
    now_ms: int = 0
    ends: dict[str, int] = attrs.Factory(dict)
    running: dict[str, list[Run]] = attrs.Factory(dict)
    waiting: list[Run] = attrs.Factory(list)
    steps: int = 0

    def play(self, ms: int) -> None:
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.now_ms += LIST_MS
            for name, speed in self.speeds.items():
                self._advance(name, speed)

    def _advance(self, name: str, speed: float) -> None:
        runs = self.running.setdefault(name, [])
        for run in list(runs):
            run.done += LIST_MS * speed / run.work_ms
            if run.meter is None:
                run.meter = PaceMeter(int(100 * run.done), resumed=False)
            if run.done >= 1:
                late_ms = (run.done - 1) * run.work_ms / speed
                pace = run.meter.complete(self.now_ms - int(late_ms))
                runs.remove(run)
                self.ends[name] = self.ends.get(name, 0) + 1
            else:
                pace = run.meter.advance(int(100 * run.done), self.now_ms)
            if pace is not None:
                self.observe(name, run, pace)
        while len(runs) < self.runs_per_worker:
            runs.append(self._next_run())

    def observe(self, name: str, run: Run, pace: Pace) -> None:
        usual = new_step_time(DECLARED_MS, self.gang)
        paces = [(run.index, pace)]
        self.learned.observe(name, ("press",), run.step, usual, paces, self.now_ms)

    def _next_run(self) -> Run:
        if not self.waiting:
            self.steps += 1
            usual_ms = DECLARED_MS * math.exp(self.rng.gauss(0, self.error))
            for index in range(self.tasks_per_step):
                work_ms = usual_ms
                if not self.gang:
                    work_ms *= math.exp(self.rng.gauss(0, 0.3))
                    work_ms *= 7 if self.rng.random() < 1 / 30 else 1
                run = Run((f"job-{self.steps}", 0, 0), index, work_ms)
                self.waiting.append(run)
        return self.waiting.pop(0)

    def factor(self, name: str) -> float:
        return self.learned.factor(name)


def mixed(count: int = 12) -> dict[str, float]:
    return {f"m{i}": (0.6, 1.0, 1.0, 1.6)[i % 4] for i in range(count)}


def typical_error(fleet: Fleet) -> float:
    """Return the root mean square of the errors of logarithms."""
    errors = [
        (math.log(fleet.factor(name)) + math.log(speed)) ** 2
        for name, speed in fleet.speeds.items()
    ]
    return math.sqrt(sum(errors) / len(errors))


def test_mixed_speeds_are_told_apart_within_seconds() -> None:
    """Load: three speeds mixed, tasks that differ, estimates off by half."""
    fleet = Fleet(mixed())
    fleet.play(20_000)
    assert typical_error(fleet) < 0.25
    known = [name for name in fleet.speeds if fleet.learned.is_known(name)]
    assert len(known) >= len(fleet.speeds) / 2
    for name in known:
        assert abs(math.log(fleet.factor(name) * fleet.speeds[name])) < 0.5


def test_all_workers_slow_at_once_leaves_them_equal() -> None:
    """Load: a day on which the whole fleet has half its speed."""
    fleet = Fleet({name: speed / 2 for name, speed in mixed().items()})
    fleet.play(40_000)
    for name, speed in fleet.speeds.items():
        assert abs(math.log(fleet.factor(name) * 2 * speed)) < 0.5


def test_members_at_one_pace_have_workers_of_one_speed() -> None:
    """Load: gangs of which all members advance alike."""
    fleet = Fleet(dict.fromkeys(mixed(), 0.6), gang=True, tasks_per_step=4)
    fleet.play(20_000)
    for name in fleet.speeds:
        # Placement takes them for equally fast.
        assert abs(math.log(fleet.factor(name))) < math.log(ALIKE_FACTOR)


def test_members_at_their_own_paces_tell_workers_apart() -> None:
    """Load: gangs whose members advance at their own worker's speed."""
    fleet = Fleet(mixed(), gang=True, tasks_per_step=4)
    fleet.play(20_000)
    assert typical_error(fleet) < 0.15


def test_worker_that_turns_slow_and_recovers_is_noticed() -> None:
    """Load: a worker falls to a third of its speed, and recovers."""
    fleet = Fleet(mixed(), runs_per_worker=8, tasks_per_step=40)
    fleet.play(30_000)
    for speed in (0.35, 1.0):
        fleet.speeds["m1"] = speed
        fleet.play(8_000)
        assert abs(math.log(fleet.factor("m1") * speed)) < 0.45


def test_pause_of_the_lists_is_not_taken_for_a_slow_worker() -> None:
    """Failure: a worker that was paused, with its runs, for ten seconds."""
    meter = PaceMeter(0, resumed=False)
    paces = [meter.advance(percent, 500 * percent) for percent in range(1, 12)]
    paces += [meter.advance(12, 16_000)]
    paces += [meter.advance(percent, 10_000 + 500 * percent) for percent in (14, 18)]
    times = [math.exp(pace.log_ms) for pace in paces if pace]
    assert times and all(40_000 < ms < 60_000 for ms in times)


def test_one_straggler_condemns_no_worker() -> None:
    """Failure: a task of seven times the usual work on a usual worker."""
    fleet = Fleet({f"m{i}": 1.0 for i in range(8)}, error=0.0)
    fleet.play(20_000)
    before = fleet.factor("m3")
    straggler = Pace(math.log(7 * DECLARED_MS), 0.01)
    fleet.observe("m3", Run(("late", 0, 0), 0, 0.0), straggler)
    assert fleet.factor("m3") < before * 1.15


def test_workers_that_every_queue_tolerates_count_as_alike() -> None:
    """Guards against other placements where no job is late for its worker."""
    leader = Leader(features=DispatchFeatures(worker_speeds=True))
    queue = Queue(URGENT, HOST, f"/{URGENT}/", "press", 0, 2, 1.5, 250)
    leader.apply(PutCatalog(catalog(queues=(queue,))))
    for speeds, is_slow in (((1.0, 1.3), False), ((0.6, 1.6), True)):
        names = {f"m{i}": speeds[i % 2] for i in range(12)}
        fleet = Fleet(names, gang=True, tasks_per_step=4)
        fleet.play(30_000)
        leader.state.dispatch.speeds = fleet.learned
        factor = slowdown(leader.state, "m0").factor
        assert (factor != slowdown(leader.state, "m1").factor) is is_slow


def test_member_that_waits_for_its_gang_is_not_taken_for_slow() -> None:
    """Failure: a fast worker waits for the slowest member of a gang."""
    leader = Leader(features=DispatchFeatures(worker_speeds=True))
    fast, slow = worker("fast"), worker("slow")
    leader.report(1, fast)
    leader.report(2, slow)
    leader.submit("j", step(2, accelerators=8, gang=True), queue=URGENT)
    runs = {
        stream_id: next(RunId(*item) for item in leader.placed(of).items())
        for stream_id, of in ((1, fast), (2, slow))
    }
    for tenth in range(1, 21):
        leader.advance(500)
        for stream_id, of, percents in ((1, fast, 10), (2, slow, 5)):
            percent = min(100, percents * tenth)
            leader.report(stream_id, of, [RunProgress(runs[stream_id], "", percent)])
    leader.report(1, fast, (), [end_of(runs[1], RunEndKind.DONE)])
    leader.report(2, slow, (), [end_of(runs[2], RunEndKind.DONE)])
    speeds = leader.state.dispatch.speeds
    assert speeds.factor("m-slow") > 1.5 * speeds.factor("m-fast")


def test_leader_learns_from_lists_only_if_switched_on() -> None:
    """Load: tasks of two steps on workers of which one is slow."""
    for switched_on in (True, False):
        leader = Leader(features=DispatchFeatures(worker_speeds=switched_on))
        workers = [worker(f"w{i}") for i in range(4)]
        slow = workers[0]
        for stream, description in enumerate(workers, 1):
            leader.report(stream, description)
        for number in range(2):
            spread = step(16, per_worker_limit=4)
            leader.submit(f"job-{number}", spread, queue=TIGHT)
        events: list[str] = []
        for tick in range(1, 20):
            leader.advance(LIST_MS)
            leader.tick()
            for stream, description in enumerate(workers, 1):
                pace = 1 if description is slow else 3
                running = [
                    RunProgress(RunId(*item), "", pace * tick)
                    for item in leader.placed(description).items()
                ]
                effects = leader.report(stream, description, running)
                events += [e.event for e in effects if isinstance(e, EmitLogEvent)]
        known = slowdown(leader.state, slow.machine)
        assert known.is_known is switched_on
        assert (known.factor > 1.8) is switched_on
        assert events.count("worker_slow") == int(switched_on)
        seen = answer_read(GetForecasts(), leader.state)
        assert isinstance(seen, ForecastsView)
        slowest = max(seen.workers, key=lambda w: w.slowdown, default=None)
        expected = SpeedForecast(slow.machine, known.factor, True)
        assert slowest == (expected if switched_on else None)
