"""Workers with more ends than a list or a report names."""

import pytest

from crocuswell_core.jobs.job_records import RunEnd, RunEndKind, RunId
from crocuswell_core.runner.run_lists import MAX_REPORTED_ENDS
from crocuswell_core.runner.worker_calls import (
    OrderAccepted,
    OrderRefused,
    StartOnWorker,
    StopOnWorker,
)
from crocuswell_platform.worker_json import MAX_LISTED_ENDS, parse_run_lists
from tests.job_harness import URGENT, Leader, end_of, run_of, step, worker
from tests.test_runner import Runner, open_calls, runner  # noqa: F401  (a fixture)

RUN = run_of("j")
W1 = worker("w1")
LISTED_ENDS = [end_of(run_of("j", i), RunEndKind.DONE, i) for i in range(1, 4)]


def refuse_as_old(runner: Runner) -> None:  # noqa: F811
    """Let the worker refuse the start of `RUN`, and take the stop of it."""
    runner.order(RUN)
    runner.reply(StartOnWorker, OrderRefused(0, "old"))
    runner.reply(StopOnWorker, OrderAccepted(0))


def list_until_current(runner: Runner, **fields: object) -> None:  # noqa: F811
    """Answer the list in flight, and one that was requested after the stop."""
    for _ in range(2):
        runner.tick()
        runner.reply_with_list(**fields)


def test_run_behind_a_full_list_of_ends_is_not_absent(runner: Runner) -> None:  # noqa: F811
    """Guards against a second start of work that is done (review case 11)."""
    refuse_as_old(runner)
    list_until_current(runner, ended=LISTED_ENDS, lists_all_ends=False)
    assert not runner.reports[-1].lists_all_ends
    assert not any(report.absent for report in runner.reports)
    runner.grant(acknowledged_end=3)
    done = end_of(RUN, RunEndKind.DONE, 4)
    list_until_current(runner, ended=[done])
    assert runner.reports[-1].ended == (done,)
    assert not any(report.absent for report in runner.reports)


def test_run_missing_from_a_whole_list_is_absent(runner: Runner) -> None:  # noqa: F811
    """Guards against work that waits although the worker never had it."""
    refuse_as_old(runner)
    list_until_current(runner, ended=LISTED_ENDS, lists_all_ends=False)
    runner.grant(acknowledged_end=3)
    list_until_current(runner)
    assert runner.reports[-1].absent == (RUN,)
    assert runner.reports[-1].lists_all_ends


def test_ends_beyond_the_size_of_a_report_are_kept(runner: Runner) -> None:  # noqa: F811
    """Guards against absent runs whose ends a full report leaves out."""
    count = MAX_REPORTED_ENDS
    ends = [end_of(run_of("k", i), RunEndKind.DONE, i) for i in range(1, 2 * count + 1)]
    refuse_as_old(runner)
    runner.tick()
    runner.reply_with_list(ended=ends[:count], lists_all_ends=False)
    # A late acknowledgement for an earlier boot made the worker forget them.
    done = end_of(RUN, RunEndKind.DONE, 2 * count + 1)
    runner.tick()
    runner.reply_with_list(ended=[*ends[count:], done])
    assert not runner.reports[-1].lists_all_ends
    runner.grant(acknowledged_end=2 * count)
    list_until_current(runner, ended=[done])
    assert runner.reports[-1].ended == (done,)
    assert not any(report.absent for report in runner.reports)


def test_run_whose_end_is_listed_is_not_sent_to_the_worker(runner: Runner) -> None:  # noqa: F811
    """Guards against starts that a worker refuses, and their stops."""
    runner.tick()
    runner.reply_with_list(ended=[end_of(RUN, RunEndKind.DONE)])
    runner.order(RUN)
    assert not runner.open_start_calls()
    assert not open_calls(runner, StopOnWorker)


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        ([[i, "j.0.0.1", 1, "done", ""] for i in range(1, MAX_LISTED_ENDS)], True),
        ([[i, "j.0.0.1", 1, "done", ""] for i in range(MAX_LISTED_ENDS)], False),
    ],
)
def test_list_at_the_limit_is_not_whole(rows: list[object], expected: bool) -> None:
    """Guards against a full list, odd rows included, that counts as whole."""
    lists = parse_run_lists({"clock_ms": 1, "running": [], "ended": rows})
    assert lists.lists_all_ends is expected


# --- the leader ----------------------------------------------------------


def leader_with_runs() -> Leader:
    """Return a leader with four runs on a worker whose runner reconnects."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step(4, accelerators=2), queue=URGENT)
    assert len(leader.placed(W1)) == 4
    leader.sent.clear()
    return leader


def started(leader: Leader) -> list[RunId]:
    """Return the runs that were ordered since `sent` was cleared."""
    return [
        start.run
        for sent in leader.sent
        for start in getattr(sent.message, "starts", ())
    ]


def test_start_of_an_earlier_order_waits_for_the_rest_of_the_ends() -> None:
    """Guards against hundreds of useless starts once a leader is new."""
    leader = leader_with_runs()
    leader.report(2, W1, ended=LISTED_ENDS[:2], lists_all_ends=False)
    assert not started(leader)
    leader.report(2, W1, ended=[end_of(run_of("j", 3), RunEndKind.DONE, 3)])
    assert started(leader) == [run_of("j", 0)]


def test_start_does_not_wait_for_ever_for_the_rest_of_the_ends() -> None:
    """Guards against work that waits for a list that is never whole."""
    leader = leader_with_runs()
    for _ in range(8):
        leader.report(2, W1, lists_all_ends=False)
        leader.advance(500)
    assert len(started(leader)) == 4


def test_new_work_does_not_wait_for_the_rest_of_the_ends() -> None:
    """Guards against idle room on a worker with many ends."""
    leader = Leader()
    leader.report(1, W1)
    leader.report(2, W1, lists_all_ends=False)
    leader.submit("j", step())
    assert started(leader) == [RUN]


def test_ends_of_forgotten_jobs_do_not_hide_what_is_behind_them() -> None:
    """Guards against a full list of unknown ends that is listed for ever."""
    leader = leader_with_runs()
    unknown = [end_of(run_of("gone", i), RunEndKind.DONE, i) for i in range(1, 6)]
    odd = RunEnd(2**53, run_of("odd"), RunEndKind.DONE)
    leader.report(1, W1, ended=[*unknown, odd], lists_all_ends=False)
    assert leader.state.cluster.jobs.acknowledged_ends[W1.key] == 5
