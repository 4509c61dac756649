"""How long work runs, learned from the ends of runs."""

import math
import random

import pytest
from hypothesis import given, settings, strategies as st

from crocuswell_cli.render import format_forecasts
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.dispatching.expectations import (
    RunTime,
    expected_remaining_ms,
    expected_run_time,
)
from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_core.jobs.job_commands import MarkWorkerLost, RecordRunEnds
from crocuswell_core.jobs.job_records import RunEndKind, RunProgress
from crocuswell_core.learning.expected_ratios import DECLARED, expected_ratios
from crocuswell_core.learning.run_times import CLASS_LIMIT, RunTimes
from crocuswell_daemon.wire import decode_state, encode
from tests.job_harness import (
    TIGHT,
    Leader,
    ReplicatedTable,
    end_of,
    run_of,
    step,
    worker,
)

KEYS = ("fine", "coarse", "queue")
DECLARED_MS = 5_000
WORKER = "m1/w1@5"


def learn(
    times: RunTimes, rng: random.Random, runs: int, factor: float = 1.0
) -> list[int]:
    """Observe runs with a spread, one in thirty seven times as long."""
    real = [
        int(
            DECLARED_MS
            * factor
            * math.exp(rng.gauss(0, 0.3))
            * (7 if rng.random() < 1 / 30 else 1)
        )
        for _ in range(runs)
    ]
    for ms in real:
        times.observe(KEYS, ms, DECLARED_MS, is_done=True)
    return real


def test_class_never_seen_is_expected_as_declared() -> None:
    """Load: a class without any run."""
    assert expected_ratios(RunTimes(), KEYS) is DECLARED
    assert DECLARED.quantile(0.5) == pytest.approx(1.0, rel=0.05)


def test_few_ends_move_the_expectation_a_part_of_the_way() -> None:
    """Load: two runs of a class, both of four times the declared time."""
    times = RunTimes()
    for _ in range(2):
        times.observe(KEYS, 4 * DECLARED_MS, DECLARED_MS, is_done=True)
    assert 1.3 < expected_ratios(times, KEYS).quantile(0.5) < 5
    assert 1.2 < expected_ratios(times, ("other", "coarse", "queue")).quantile(0.5) < 5


@pytest.mark.parametrize("factor", [0.1, 1.0, 10.0])
def test_estimates_that_are_off_by_ten_are_corrected(factor: float) -> None:
    """Load: a heavy tail, and estimates off by ten in either direction."""
    times, rng = RunTimes(), random.Random(1)
    learn(times, rng, 100, factor)
    learned = expected_ratios(times, KEYS)
    assert learned.quantile(0.5) == pytest.approx(factor, rel=0.25)
    later = learn(times, rng, 600, factor)
    above = sum(ms > DECLARED_MS * learned.quantile(0.9) for ms in later)
    assert 0.04 < above / len(later) < 0.16


def test_class_that_changes_is_noticed() -> None:
    """Load: work that takes four times as long from one day to the next."""
    times, rng = RunTimes(), random.Random(1)
    learn(times, rng, 200)
    learn(times, rng, 60, factor=4)
    assert expected_ratios(times, KEYS).quantile(0.5) > 2.5


def test_runs_that_were_only_stopped_raise_the_expectation() -> None:
    """Load: runs of thrice the declared time, all of them preempted."""
    times = RunTimes()
    for _ in range(20):
        times.observe(KEYS, 3 * DECLARED_MS, DECLARED_MS, is_done=False)
    assert expected_ratios(times, KEYS).quantile(0.5) > 2.5


def test_run_that_outlived_its_estimate_is_expected_to_last() -> None:
    """Load: a run of ten times the declared time in a heavy tail."""
    times = RunTimes()
    learn(times, random.Random(1), 100)
    learned = expected_ratios(times, KEYS)
    assert learned.median_remaining(4) > learned.median_remaining(1.5) > 0.1
    assert learned.median_remaining(1_000) > 100


observations = st.lists(
    st.tuples(st.integers(0, 10**9), st.integers(1, 10**9), st.booleans()), max_size=60
)


@settings(max_examples=60, deadline=None)
@given(observations, st.floats(0, 1_000))
def test_times_are_positive_and_quantiles_ordered(
    runs: list[tuple[int, int, bool]], worked: float
) -> None:
    """Guards against negative times and a p90 below the median."""
    times = RunTimes()
    for real_ms, declared_ms, is_done in runs:
        times.observe(KEYS, real_ms, declared_ms, is_done)
    learned = expected_ratios(times, KEYS)
    assert sum(learned.weights) == pytest.approx(1)
    assert 0 < learned.quantile(0.5) <= learned.quantile(0.9)
    assert learned.median_remaining(worked) >= 0


@settings(max_examples=30, deadline=None)
@given(observations)
def test_snapshot_keeps_what_was_learned(runs: list[tuple[int, int, bool]]) -> None:
    """Guards against a host that expects other times after a snapshot."""
    cluster = ClusterState()
    for real_ms, declared_ms, is_done in runs:
        cluster.learned_times.observe(KEYS, real_ms, declared_ms, is_done)
    restored = decode_state(encode(cluster))
    assert restored.learned_times == cluster.learned_times
    keys = list(restored.learned_times.classes)
    assert keys == list(cluster.learned_times.classes)


def test_number_of_classes_is_bounded() -> None:
    """Load: more classes than are kept."""
    times = RunTimes()
    for number in range(CLASS_LIMIT + 10):
        times.observe((f"class-{number}",), 1, 1, is_done=True)
    assert len(times.classes) == CLASS_LIMIT
    assert "class-9" not in times.classes


def runs_learned(table: ReplicatedTable) -> tuple[int, int]:
    """Return the weight of the runs that were done and that were censored."""
    histogram = table.cluster.learned_times.classes.get("queue/long")
    if histogram is None:
        return 0, 0
    return sum(histogram.done.values()), sum(histogram.censored.values())


@pytest.mark.parametrize(
    ("kind", "done", "censored"),
    [
        (RunEndKind.DONE, 1, 0),
        (RunEndKind.STOPPED, 0, 1),
        (RunEndKind.LAPSED, 0, 1),
        (RunEndKind.FAILED, 0, 0),
        (RunEndKind.ABSENT, 0, 0),
    ],
)
def test_each_kind_of_end_counts_for_what_it_says(
    kind: RunEndKind, done: int, censored: int
) -> None:
    """Guards against failures that are taken for short work."""
    table = ReplicatedTable()
    table.submit("j", step())
    table.start(run_of("j"))
    table.apply(RecordRunEnds(WORKER, (end_of(run_of("j"), kind),), 1), 6_000)
    found = runs_learned(table)
    assert (bool(found[0]), bool(found[1])) == (bool(done), bool(censored))


def test_lost_run_is_censored_and_a_resumed_one_is_skipped() -> None:
    """Guards against the rest of a run that is taken for all of it."""
    table = ReplicatedTable()
    table.submit("j", step(checkpointing=True))
    table.start(run_of("j"))
    table.apply(MarkWorkerLost(WORKER), 6_000)
    lost = runs_learned(table)
    assert lost[0] == 0 < lost[1]
    table.start(run_of("j", number=2))
    stopped = end_of(run_of("j", number=2), RunEndKind.STOPPED, 1, "saved")
    table.apply(RecordRunEnds(WORKER, (stopped,), 1), 6_000)
    before = runs_learned(table)
    table.start(run_of("j", number=3))
    done = end_of(run_of("j", number=3), RunEndKind.DONE, 2)
    table.apply(RecordRunEnds(WORKER, (done,), 2), 6_000)
    assert runs_learned(table) == before


@pytest.mark.parametrize("switched_on", [True, False])
def test_leader_expects_learned_times_only_if_switched_on(switched_on: bool) -> None:
    """Load: runs that take three times their declared time."""
    leader = Leader(features=DispatchFeatures(learned_times=switched_on))
    w1 = worker("w1")
    leader.report(1, w1)
    for index in range(12):
        leader.submit(f"j{index}", step(), queue=TIGHT)
        for tick in range(30):
            leader.advance(500)
            running = [RunProgress(run_of(f"j{index}"), "", 3 * tick)]
            leader.report(1, w1, running)
        end = end_of(run_of(f"j{index}"), RunEndKind.DONE, index + 1)
        leader.report(1, w1, ended=[end])
        leader.tick()
    leader.submit("next", step(), queue=TIGHT)
    job = leader.state.cluster.jobs.jobs["next"]
    expected = expected_run_time(leader.state, job, 0)
    progress = RunProgress(run_of("next"), "", 0)
    left_ms = expected_remaining_ms(leader.state, leader.view(w1), progress)
    if switched_on:
        assert expected.observations == 12
        assert 12_000 < expected.median_ms <= expected.p90_ms
        assert left_ms == pytest.approx(expected.median_ms, rel=0.1)
    else:
        assert expected == RunTime(DECLARED_MS, DECLARED_MS)
        assert left_ms == DECLARED_MS


def test_forecasts_are_shown_as_tables() -> None:
    """Guards against a table that an operator cannot read."""
    learned = {"class_key": "q", "runs": 4, "median_ratio": 1.5, "p90_ratio": 3.0}
    workers = [{"machine": "m1", "slowdown": 1.6, "is_known": False}]
    text = format_forecasts({"run_times": [learned], "workers": workers})
    assert "q      4     1.50    3.00" in text
    assert "m1       1.60      no" in text
