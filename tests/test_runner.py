"""Handlers of a runner: heartbeats, orders, leases and reports."""

from itertools import pairwise
from typing import Any

import attrs
import pytest

from crocuswell_core.jobs.job_records import ResourceVector, RunEndKind, RunProgress
from crocuswell_core.links.link_messages import (
    Attached,
    LeaseGrant,
    RunOrders,
    StartRun,
    StopRun,
    WorkerReport,
)
from crocuswell_core.links.uplink import Uplink
from crocuswell_core.runner.runner_state import RunnerConfig, RunnerState
from crocuswell_core.runner.worker_calls import (
    ConfirmBoot,
    ListRuns,
    NoAnswer,
    OrderAccepted,
    OrderRefused,
    RunsListed,
    StartOnWorker,
    StopOnWorker,
    WorkerHeartbeat,
    WorkerLeaving,
    WorkerReply,
)
from crocuswell_core.runtime.effects import (
    CallWorker,
    Effect,
    OpenEntryStream,
    SendEntry,
)
from crocuswell_core.runtime.events import (
    CallReceived,
    ClockAdvanced,
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
    Event,
    RunnerBooted,
    TimerFired,
    WorkerReplied,
)
from crocuswell_core.runtime.reducer import reduce
from crocuswell_core.runtime.timers import RunnerTimer, UplinkTimer
from tests.job_harness import end_of, run_of

HEARTBEAT = WorkerHeartbeat(
    id="w1",
    born_ms=5,
    sequence=1,
    address="w:1",
    service="press",
    zone="zone",
    rack="r1-1",
    labels=("a", "r1-1"),
    capacity=ResourceVector(1_000, 1_000, 8),
    clock_ms=100,
)
KEY = "m1/w1@5"
LEASE_MS = 6_000
WORKER_CLOCK_MS = 500_000


class Runner:
    """A runner whose worker and leader are simulated by the test."""

    def __init__(self) -> None:
        cfg = RunnerConfig("m1")
        self.state = RunnerState(cfg, Uplink("m1", ("h1:2",)))
        self.now_ms = 1_000
        self.calls: list[StartOnWorker | StopOnWorker | ListRuns] = []
        self.reports: list[WorkerReport] = []
        self.post(RunnerBooted())

    def post(self, event: Event) -> list[Effect]:
        effects: list[Effect] = []
        for each in (ClockAdvanced(self.now_ms, self.now_ms), event):
            self.state, new = reduce(self.state, each)
            effects += new
        self.calls += [e.call for e in effects if isinstance(e, CallWorker)]
        self.reports += [
            e.message
            for e in effects
            if isinstance(e, SendEntry) and isinstance(e.message, WorkerReport)
        ]
        return effects

    def receive(self, message) -> list[Effect]:
        return self.post(EntryMessageReceived(self.state.uplink.stream_id, message))

    def attach(self, term: int = 3) -> None:
        self.post(EntryStreamOpened(self.state.uplink.stream_id))
        self.receive(Attached(term, ("h1:2",)))

    def tick(self, ms: int = 100) -> list[Effect]:
        self.now_ms += ms
        return self.post(TimerFired(RunnerTimer()))

    def send_heartbeat(self, **changes) -> list[Effect]:
        return self.post(CallReceived(1, attrs.evolve(HEARTBEAT, **changes)))

    def reply(self, kind: Any, reply: WorkerReply) -> list[Effect]:
        """Answer the oldest open call of a kind."""
        call = next(call for call in self.calls if isinstance(call, kind))
        self.calls.remove(call)
        return self.post(WorkerReplied(call, reply))

    def reply_with_list(
        self, *running, ended=(), born_ms: int = 5, lists_all_ends: bool = True
    ) -> list[Effect]:
        clock_ms = WORKER_CLOCK_MS + self.now_ms
        listed = tuple(RunProgress(run, "", 10) for run in running)
        lists = RunsListed(
            clock_ms, born_ms, listed, tuple(ended), lists_all_ends=lists_all_ends
        )
        return self.reply(ListRuns | ConfirmBoot, lists)

    def grant(self, **fields) -> list[Effect]:
        sequence = self.reports[-1].sequence
        return self.receive(LeaseGrant(sequence, 3, LEASE_MS, KEY, **fields))

    def order(self, *starts, stops=(), worker: str = KEY) -> list[Effect]:
        return self.receive(
            RunOrders(
                3,
                worker,
                tuple(StartRun(run, "work") for run in starts),
                tuple(StopRun(run) for run in stops),
            )
        )

    def open_start_calls(self) -> list[StartOnWorker]:
        return [call for call in self.calls if isinstance(call, StartOnWorker)]


def open_calls(runner: Runner, kind: type) -> list[Any]:
    return [call for call in runner.calls if isinstance(call, kind)]


@pytest.fixture
def runner() -> Runner:
    """A runner whose worker is known and whose lease is granted."""
    runner = Runner()
    runner.send_heartbeat()
    runner.attach()
    runner.reply_with_list()
    runner.grant()
    return runner


def test_lease_on_a_slow_clock_ends_within_the_grant(runner: Runner) -> None:
    """Guards against a run that outlives the grant due to clock drift."""
    sent_ms = runner.now_ms
    runner.tick(1_000)
    runner.order(run_of("j"))
    left_ms = runner.open_start_calls()[0].lease_end_ms - (WORKER_CLOCK_MS + sent_ms)
    assert left_ms / 0.98 <= LEASE_MS
    assert left_ms > 0.9 * LEASE_MS


def test_nothing_starts_without_a_grant(runner: Runner) -> None:
    """Guards against a start after the leader assumes the lease has ended."""
    runner.tick(LEASE_MS - 400)
    runner.order(run_of("j"))
    assert not runner.open_start_calls()


@pytest.mark.parametrize("pause_ms", [6_000, 8_000, 60_000])
def test_paused_runner_acts_on_no_grant_that_has_ended(
    runner: Runner, pause_ms: int
) -> None:
    """Guards against a lease or a start after the leader gave the runs up."""
    runner.order(run_of("j"))
    runner.reply(StartOnWorker, NoAnswer("timed out", sent=True))
    runner.reply_with_list()
    runner.calls.clear()
    runner.now_ms += pause_ms
    runner.order(run_of("k"))
    runner.tick(0)
    runner.post(TimerFired(RunnerTimer()))
    assert not runner.open_start_calls()
    assert not any(getattr(call, "lease_end_ms", 0) for call in runner.calls)


def test_runner_without_contact_renews_the_lease_up_to_the_end_of_the_grant(
    runner: Runner,
) -> None:
    """Guards against runs that end although their grant still holds."""
    granted_until_ms = runner.state.granted_until_ms
    ends = []
    for _ in range(9):
        runner.now_ms += 1_000
        runner.post(TimerFired(RunnerTimer()))
        if any(isinstance(call, ListRuns) for call in runner.calls):
            runner.reply_with_list()
        ends += [
            (runner.now_ms, call.lease_end_ms)
            for call in runner.calls
            if isinstance(call, ListRuns)
        ]
    for now_ms, lease_end_ms in ends:
        assert bool(lease_end_ms) == (now_ms < granted_until_ms)
        assert lease_end_ms <= WORKER_CLOCK_MS + granted_until_ms


def test_unanswered_start_is_repeated_as_the_same_run(runner: Runner) -> None:
    """Guards against a second run while the first may still begin."""
    runner.order(run_of("j"))
    runner.reply(StartOnWorker, NoAnswer("timed out", sent=True))
    runner.tick(300)
    assert [call.run for call in runner.open_start_calls()] == [run_of("j")]


def test_refused_start_is_settled_by_a_stop(runner: Runner) -> None:
    """Guards against an earlier copy of a refused start that arrives late."""
    runner.order(run_of("j"))
    runner.reply(StartOnWorker, OrderRefused(0, "room"))
    assert [call.run for call in runner.calls if isinstance(call, StopOnWorker)] == [
        run_of("j")
    ]
    assert not runner.reports[-1].absent


def test_absence_is_reported_only_from_a_list_after_the_stop(runner: Runner) -> None:
    """Guards against a run called absent by a list from before its start."""
    runner.order(run_of("j"))
    runner.order(stops=[run_of("j")])
    assert any(isinstance(call, ListRuns) for call in runner.calls)
    runner.reply(StopOnWorker, OrderAccepted(0))
    runner.reply_with_list()
    assert not runner.reports[-1].absent
    runner.tick()
    runner.reply_with_list(run_of("j"))
    assert not runner.reports[-1].absent
    runner.tick()
    runner.reply_with_list(ended=[end_of(run_of("j"), RunEndKind.STOPPED)])
    assert not runner.reports[-1].absent
    assert runner.reports[-1].ended


@pytest.mark.parametrize("reason", ["unwell", "fence", "invalid"])
def test_refused_stop_is_repeated_until_the_worker_takes_it(
    runner: Runner, reason: str
) -> None:
    """Guards against a late start beside the next run after a refused stop."""
    run = run_of("j")
    runner.order(run)
    runner.reply(StartOnWorker, NoAnswer("timed out", sent=True))
    runner.order(stops=[run])
    runner.calls = [call for call in runner.calls if not isinstance(call, ListRuns)]
    runner.state.list_in_flight = False
    for _ in range(3):
        runner.reply(StopOnWorker, OrderRefused(0, reason))
        for _ in range(8):
            runner.tick(150)
            if open_calls(runner, ListRuns):
                runner.reply_with_list()
        assert not runner.reports[-1].absent
    assert [call.run for call in open_calls(runner, StopOnWorker)] == [run]
    runner.reply(StopOnWorker, OrderAccepted(0))
    for _ in range(2):
        runner.tick(150)
        runner.reply_with_list()
    assert runner.reports[-1].absent == (run,)


def test_worker_that_refuses_a_stop_is_not_pressed_with_it(runner: Runner) -> None:
    """Guards against a flood of stops at a worker that sheds load."""
    runner.order(stops=[run_of("j")])
    sent_ms = []
    for _ in range(60):
        for _ in open_calls(runner, StopOnWorker):
            sent_ms.append(runner.now_ms)
            runner.reply(StopOnWorker, OrderRefused(0, "unwell", is_unable=True))
        runner.tick(100)
    gaps_ms = [after - before for before, after in pairwise(sent_ms)]
    assert gaps_ms[:2] == [300, 500]
    assert set(gaps_ms[2:]) == {1_000}


def settle_refusal(runner: Runner, reply: OrderRefused) -> WorkerReport:
    """Refuse a start, accept its stop, and return the report on the run."""
    runner.order(run_of("j"))
    runner.reply(StartOnWorker, reply)
    runner.reply(StopOnWorker, OrderAccepted(0))
    for _ in range(2):
        runner.tick(150)
        runner.reply_with_list()
    return runner.reports[-1]


def test_start_that_the_worker_could_not_carry_out_is_reported(
    runner: Runner,
) -> None:
    """Guards against a leader that does not know who refused a start."""
    report = settle_refusal(runner, OrderRefused(0, "unwell", is_unable=True))
    assert report.absent == report.refused == (run_of("j"),)


@pytest.mark.parametrize("reason", ["old", "fence", "late"])
def test_outdated_start_is_not_held_against_the_worker(runner: Runner, reason) -> None:
    """Guards against a worker that is blamed for an outdated order."""
    report = settle_refusal(runner, OrderRefused(0, reason))
    assert report.absent == (run_of("j"),)
    assert not report.refused


def test_run_that_is_reported_absent_is_not_started(runner: Runner) -> None:
    """Guards against a later boot that begins a run which counts as over."""
    settle_refusal(runner, OrderRefused(0, "unwell", is_unable=True))
    runner.order(run_of("j"))
    assert not runner.open_start_calls()


def test_withdrawn_start_is_not_held_against_the_worker(runner: Runner) -> None:
    """Guards against a worker that is blamed for an order that was held up."""
    runner.tick(LEASE_MS)
    runner.calls.clear()
    runner.state.list_in_flight = False
    runner.order(run_of("j"))
    runner.reply(StopOnWorker, OrderAccepted(0))
    for _ in range(2):
        runner.tick(150)
        runner.reply_with_list()
    assert runner.reports[-1].absent == (run_of("j"),)
    assert not runner.reports[-1].refused


def test_refused_stop_of_a_cancelled_job_is_repeated(runner: Runner) -> None:
    """Guards against runs that work on after the cancellation of their job."""
    run = run_of("j")
    runner.tick()
    runner.reply_with_list(run)
    runner.order(stops=[run])
    runner.reply(StopOnWorker, OrderRefused(0, "unwell"))
    runner.tick(300)
    assert [call.run for call in runner.calls if isinstance(call, StopOnWorker)] == [
        run
    ]


def test_fenced_stop_is_repeated_with_the_term_of_the_next_leader(
    runner: Runner,
) -> None:
    """Guards against a stop that is lost with the leader that ordered it."""
    runner.order(stops=[run_of("j")])
    runner.reply(StopOnWorker, OrderRefused(0, "fence"))
    runner.post(EntryStreamClosed(runner.state.uplink.stream_id, "lost"))
    runner.now_ms += 500
    runner.post(TimerFired(UplinkTimer()))
    runner.attach(term=5)
    runner.calls.clear()
    runner.tick(300)
    assert [c.fence for c in runner.calls if isinstance(c, StopOnWorker)] == [5]


def test_stopped_run_that_never_started_is_reported_absent(runner: Runner) -> None:
    """Guards against resources that stay held for a run that never starts."""
    runner.order(stops=[run_of("j")])
    runner.reply(StopOnWorker, OrderAccepted(0))
    runner.reply_with_list()
    runner.tick()
    runner.reply_with_list()
    assert runner.reports[-1].absent == (run_of("j"),)


def test_draining_worker_starts_nothing(runner: Runner) -> None:
    """Guards against a start after the worker announced its end."""
    runner.send_heartbeat(sequence=2, draining=True)
    assert runner.reports[-1].worker is not None
    assert runner.reports[-1].worker.draining
    runner.order(run_of("j"))
    assert not runner.open_start_calls()


@pytest.mark.parametrize(
    "late", [{"born_ms": 4, "sequence": 9}, {"born_ms": 5, "sequence": 1}]
)
def test_late_heartbeats_change_nothing(runner: Runner, late) -> None:
    """Guards against an earlier boot that replaces the newer one."""
    runner.send_heartbeat(**late, draining=True)
    assert runner.state.heartbeat == HEARTBEAT


def test_new_boot_starts_with_nothing(runner: Runner) -> None:
    """Guards against orders for an earlier boot that reach the new one."""
    runner.order(run_of("j"))
    runner.send_heartbeat(id="w2", born_ms=9, sequence=1)
    runner.reply(ConfirmBoot, RunsListed(WORKER_CLOCK_MS, 9, (), ()))
    assert not runner.state.starts
    assert runner.state.acknowledged_end == 0
    runner.order(run_of("j"), worker=KEY)
    assert not runner.state.starts


def test_worker_that_left_and_no_longer_answers_has_exited(runner: Runner) -> None:
    """Guards against runs that are reported as gone while they still run."""
    runner.post(CallReceived(2, WorkerLeaving("w1")))
    assert not runner.reports[-1].has_exited
    runner.tick(600)
    runner.reply(ListRuns, NoAnswer("refused", sent=False, is_refused=True))
    assert runner.reports[-1].has_exited


@pytest.mark.parametrize(
    "reply",
    [
        OrderRefused(0, "unwell", is_unable=True),
        NoAnswer("status 500", sent=True),
        NoAnswer("read timeout", sent=True),
    ],
)
def test_leaving_worker_that_gives_no_list_has_not_exited(
    runner: Runner, reply
) -> None:
    """Guards against second runs while a leaving worker has the first."""
    runner.post(CallReceived(2, WorkerLeaving("w1")))
    runner.tick(600)
    runner.reply(ListRuns, reply)
    assert not runner.reports[-1].has_exited


def restart(runner: Runner) -> None:
    """Register a later boot under the same id."""
    runner.calls.clear()
    runner.send_heartbeat(born_ms=9, sequence=1)
    runner.reply(ConfirmBoot, RunsListed(WORKER_CLOCK_MS, 9, (), ()))
    assert runner.state.reachable


def test_farewell_of_an_earlier_boot_is_not_of_the_next(runner: Runner) -> None:
    """Guards against giving up the runs of a boot for another one's end."""
    restart(runner)
    runner.post(CallReceived(2, WorkerLeaving("w1")))
    runner.send_heartbeat(born_ms=9, sequence=2)
    runner.tick(600)
    runner.reply(ListRuns, NoAnswer("read timeout", sent=True))
    assert not runner.reports[-1].has_exited


def test_stop_that_an_earlier_boot_took_is_not_settled(runner: Runner) -> None:
    """Guards against a run that counts as absent though it may still begin."""
    run = run_of("j")
    runner.order(stops=(run,))
    (stop,) = open_calls(runner, StopOnWorker)
    restart(runner)
    runner.order(stops=(run,), worker="m1/w1@9")
    runner.post(WorkerReplied(stop, OrderAccepted(WORKER_CLOCK_MS)))
    runner.tick()
    runner.reply_with_list(born_ms=9)
    runner.tick()
    runner.reply_with_list(born_ms=9)
    assert run not in runner.state.absent


def test_lost_list_of_an_earlier_boot_says_nothing(runner: Runner) -> None:
    """Guards against a new boot that counts as unreachable at once."""
    runner.tick(600)
    (call,) = open_calls(runner, ListRuns)
    restart(runner)
    runner.post(WorkerReplied(call, NoAnswer("reset", sent=True)))
    assert runner.state.reachable


def test_list_of_another_boot_is_ignored(runner: Runner) -> None:
    """Guards against a report that contains the runs of another boot."""
    runner.tick(600)
    runner.reply_with_list(run_of("j"), born_ms=99)
    assert not runner.state.running


def test_unsent_starts_are_dropped_when_the_leader_is_lost(runner: Runner) -> None:
    """Guards against sending a start that a replaced leader ordered."""
    runner.tick(LEASE_MS)
    runner.order(run_of("j"))
    runner.post(EntryStreamClosed(runner.state.uplink.stream_id, "lost"))
    assert not runner.state.starts


def test_lost_stream_is_opened_again() -> None:
    """Guards against a runner that never reconnects to a leader."""
    runner = Runner()
    runner.attach()
    runner.post(EntryStreamClosed(runner.state.uplink.stream_id, "lost"))
    runner.now_ms += 500
    effects = runner.post(TimerFired(UplinkTimer()))
    assert any(isinstance(effect, OpenEntryStream) for effect in effects)


def test_ends_stay_listed_until_they_are_recorded(runner: Runner) -> None:
    """Guards against an end that the worker forgets before it is committed."""
    end = end_of(run_of("j"), RunEndKind.DONE)
    runner.tick()
    runner.reply_with_list(ended=[end])
    assert runner.reports[-1].ended == (end,)
    runner.tick(300)
    assert (
        next(c for c in runner.calls if isinstance(c, ListRuns)).acknowledged_end == 0
    )
    runner.calls.clear()
    runner.state.list_in_flight = False
    runner.grant(acknowledged_end=1)
    assert (
        next(c for c in runner.calls if isinstance(c, ListRuns)).acknowledged_end == 1
    )


def test_ends_with_one_number_are_both_reported(runner: Runner) -> None:
    """Guards against an end that is hidden by another one with its number."""
    ended = [end_of(run_of(job), RunEndKind.DONE, 1) for job in ("j", "odd")]
    runner.tick()
    runner.reply_with_list(ended=ended)
    assert runner.reports[-1].ended == tuple(ended)


def test_ends_of_odd_numbers_do_not_pile_up(runner: Runner) -> None:
    """Guards against a runner that keeps ever more unrecorded ends."""
    for number in range(2_000, 0, -100):
        runner.tick()
        odd = [end_of(run_of("x"), RunEndKind.DONE, number + n) for n in range(100)]
        runner.reply_with_list(ended=odd)
    numbers = [end.number for end in runner.reports[-1].ended]
    assert numbers == list(range(100, 600))


def test_start_that_is_held_up_past_the_grant_is_withdrawn(runner: Runner) -> None:
    """Guards against a start on a permission that ran out during a pause.

    The leader may have given up the run since, and started another one.
    """
    runner.tick(LEASE_MS)
    runner.calls.clear()
    runner.order(run_of("j"))
    runner.grant()
    assert not runner.open_start_calls()
    assert [c.run for c in runner.calls if isinstance(c, StopOnWorker)] == [run_of("j")]


def test_unanswered_start_is_not_repeated_after_the_grant(runner: Runner) -> None:
    """Guards against repeating a start whose run may have been given up."""
    runner.order(run_of("j"))
    runner.reply(StartOnWorker, NoAnswer("timed out", sent=True))
    runner.tick(LEASE_MS + 100)
    runner.grant()
    runner.tick(300)
    assert not runner.open_start_calls()
    assert [c.run for c in runner.calls if isinstance(c, StopOnWorker)] == [run_of("j")]
