"""Heartbeats of other writers, and the boot that a runner serves."""

import attrs
import pytest

from crocuswell_core.runner.worker_calls import (
    ConfirmBoot,
    ListRuns,
    NoAnswer,
    OrderAccepted,
    OtherWorker,
    RunsListed,
    StartOnWorker,
    WorkerReply,
)
from crocuswell_core.runtime.effects import Effect, EmitLogEvent
from tests.job_harness import run_of
from tests.test_runner import HEARTBEAT, KEY, WORKER_CLOCK_MS, Runner

HUGE = 2**53
MAX_CONFIRM_MS = 10_000


def listed(runner: Runner, born_ms: int) -> RunsListed:
    return RunsListed(WORKER_CLOCK_MS + runner.now_ms, born_ms, (), ())


def confirmations(runner: Runner) -> list[ConfirmBoot]:
    return [call for call in runner.calls if isinstance(call, ConfirmBoot)]


def answer_as_worker(runner: Runner) -> None:
    """Answer the calls that confirm a boot as boot w1@5 does."""
    for call in confirmations(runner):
        is_addressed = call.worker == HEARTBEAT.id
        reply: WorkerReply = listed(runner, 5) if is_addressed else OtherWorker()
        runner.reply(ConfirmBoot, reply)


def send_real_heartbeat(runner: Runner, sequence: int) -> None:
    clock_ms = WORKER_CLOCK_MS + runner.now_ms
    runner.send_heartbeat(sequence=sequence, clock_ms=clock_ms)
    answer_as_worker(runner)


def assert_served(runner: Runner) -> None:
    """Check that the leader knows the worker and can start runs there."""
    runner.tick(500)
    described = runner.reports[-1].worker
    assert described is not None
    assert described.key == KEY
    assert described.capacity == HEARTBEAT.capacity
    assert (described.service, described.draining) == (HEARTBEAT.service, False)
    runner.grant()
    runner.order(run_of("served"))
    starts = [call for call in runner.calls if isinstance(call, StartOnWorker)]
    assert [(call.worker, call.run) for call in starts] == [("w1", run_of("served"))]


ODD_HEARTBEATS = [
    {"id": "other", "born_ms": 9},
    {"id": "other", "born_ms": HUGE, "sequence": HUGE, "service": "nobody"},
    {"id": "other", "born_ms": 0},
    {"born_ms": HUGE},
    {"sequence": HUGE},
    {"sequence": HUGE, "clock_ms": HUGE, "service": "nobody"},
    {"sequence": HUGE, "draining": True, "capacity": HEARTBEAT.capacity.times(HUGE)},
]


@pytest.mark.parametrize("odd", ODD_HEARTBEATS)
def test_worker_is_served_after_an_odd_heartbeat(odd) -> None:
    """Guards against another writer's heartbeat that displaces the worker."""
    runner = Runner()
    runner.attach()
    send_real_heartbeat(runner, 1)
    clock_ms = WORKER_CLOCK_MS + runner.now_ms
    runner.send_heartbeat(**{"sequence": 2, "clock_ms": clock_ms, **odd})
    answer_as_worker(runner)
    runner.tick(1_500)
    send_real_heartbeat(runner, 2)
    assert_served(runner)


@pytest.mark.parametrize("odd", ODD_HEARTBEATS)
def test_worker_is_served_though_an_odd_heartbeat_came_first(odd) -> None:
    """Guards against a first heartbeat of another writer that stays."""
    runner = Runner()
    runner.attach()
    runner.send_heartbeat(**odd)
    answer_as_worker(runner)
    runner.tick(1_500)
    send_real_heartbeat(runner, 1)
    assert_served(runner)


def test_odd_heartbeat_ends_no_runs_of_the_worker() -> None:
    """Guards against a crash that is reported for a boot that is well."""
    runner = Runner()
    runner.attach()
    send_real_heartbeat(runner, 1)
    runner.grant()
    runner.order(run_of("j"))
    runner.reply(StartOnWorker, OrderAccepted(0))
    runner.reply_with_list(run_of("j"))
    runner.send_heartbeat(id="other", born_ms=9)
    answer_as_worker(runner)
    runner.tick(500)
    assert not runner.reports[-1].crashes
    assert [progress.run for progress in runner.reports[-1].running] == [run_of("j")]


def test_refused_heartbeat_is_logged() -> None:
    """Guards against a worker that is missing without a trace."""
    runner = Runner()
    runner.send_heartbeat(id="other")
    effects = runner.reply(ConfirmBoot, OtherWorker())
    (event,) = [effect for effect in effects if isinstance(effect, EmitLogEvent)]
    assert event.event == "heartbeat_refused"


def test_boot_that_does_not_answer_yet_is_asked_again() -> None:
    """Guards against a new boot that is served only at its next heartbeat."""
    runner = Runner()
    runner.attach()
    runner.send_heartbeat()
    runner.reply(ConfirmBoot, NoAnswer("refused", sent=False))
    runner.tick(250)
    runner.reply(ConfirmBoot, listed(runner, 5))
    assert_served(runner)


def test_boot_that_never_answers_is_forgotten() -> None:
    """Guards against calls without an end for another writer's heartbeat."""
    runner = Runner()
    runner.send_heartbeat(id="other")
    for _ in range(MAX_CONFIRM_MS // 100):
        for _ in confirmations(runner):
            runner.reply(ConfirmBoot, NoAnswer("refused", sent=False))
        runner.tick(100)
    assert runner.state.candidate is None
    assert not confirmations(runner)


def test_nothing_starts_on_a_worker_that_may_have_started_again() -> None:
    """Guards against a start that a later boot of the same id takes."""
    runner = Runner()
    runner.attach()
    send_real_heartbeat(runner, 1)
    runner.grant()
    runner.send_heartbeat(born_ms=9)
    runner.order(run_of("j"))
    assert not runner.open_start_calls()
    runner.reply(ConfirmBoot, listed(runner, 9))
    assert not runner.open_start_calls()
    assert runner.state.heartbeat == attrs.evolve(HEARTBEAT, born_ms=9)


@pytest.mark.parametrize("sequence", [1, 2])
def test_heartbeats_that_overtake_each_other_change_nothing(sequence) -> None:
    """Guards against a draining worker that gets new tasks again."""
    runner = Runner()
    runner.attach()
    send_real_heartbeat(runner, 1)
    clock_ms = WORKER_CLOCK_MS + runner.now_ms
    runner.send_heartbeat(sequence=3, clock_ms=clock_ms, draining=True)
    runner.send_heartbeat(sequence=sequence, clock_ms=clock_ms - 1)
    assert runner.state.heartbeat is not None
    assert runner.state.heartbeat.draining


def log_events(effects: list[Effect]) -> dict[str, dict[str, str]]:
    return {
        effect.event: {label.name: label.value for label in effect.ids}
        for effect in effects
        if isinstance(effect, EmitLogEvent)
    }


def test_list_of_another_boot_is_logged_once() -> None:
    """Guards against a restart of a worker that leaves no trace."""
    runner = Runner()
    runner.attach()
    send_real_heartbeat(runner, 1)
    runner.grant(acknowledged_end=57)
    runner.reply(ListRuns, listed(runner, 5))
    logged = log_events(runner.reply(ListRuns, listed(runner, 9)))
    assert logged["other_boot_listed"]["born_ms"] == "9"
    runner.tick(300)
    assert not log_events(runner.reply(ListRuns, listed(runner, 9)))


def test_start_carried_out_by_another_boot_is_logged() -> None:
    """Guards against an accepted start that does not say who accepted it."""
    runner = Runner()
    runner.attach()
    send_real_heartbeat(runner, 1)
    runner.grant()
    runner.order(run_of("j"))
    logged = log_events(runner.reply(StartOnWorker, OrderAccepted(12)))
    assert logged["start_on_other_boot"]["clock_ms"] == "12"
