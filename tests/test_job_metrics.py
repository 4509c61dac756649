"""Tests of the metrics of fronts, runners and the leader."""

import socket
import urllib.request

import pytest

from crocuswell_core.cluster.commands import Refused
from crocuswell_core.jobs.job_commands import CancelJob, PutCatalog, SubmitJob
from crocuswell_core.jobs.job_records import RunEndKind
from crocuswell_core.links.link_messages import CallAnswered
from crocuswell_core.runner.worker_calls import NoAnswer, OrderRefused, StartOnWorker
from crocuswell_core.runtime.counter_values import CounterValue
from crocuswell_core.runtime.effects import Count, Effect, Observe, SetGauge
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import CallAbandoned, CallReceived
from crocuswell_daemon.metrics import Metrics
from crocuswell_platform.listeners import PlatformListener
from tests.job_harness import (
    LONG,
    Leader,
    address,
    catalog,
    end_of,
    run_of,
    step,
    worker,
)
from tests.test_front import CALL, VIEW, Front
from tests.test_runner import Runner


def label_values_by_name(effects: list[Effect]) -> dict[str, list[tuple[str, ...]]]:
    """Return the label values of counts and observations by metric name."""
    found: dict[str, list[tuple[str, ...]]] = {}
    for effect in effects:
        if isinstance(effect, Count):
            name = effect.counter
        elif isinstance(effect, Observe):
            name = effect.histogram
        else:
            continue
        values = tuple(label.value for label in effect.labels)
        found.setdefault(name, []).append(values)
    return found


@pytest.mark.parametrize(
    ("reply", "answer"),
    [(VIEW, "ok"), (Refused(ErrorKind.NOT_FOUND, "no queue"), "not_found")],
)
def test_front_counts_each_answer_with_its_time(reply, answer) -> None:
    """Guards against refused calls that are counted as served."""
    front = Front()
    front.attach()
    front.post(CallReceived(7, CALL))
    front.now_ms += 250
    effects = front.receive(CallAnswered(7, reply))
    assert label_values_by_name(effects)["calls_total"] == [("GetJob", answer)]
    (observed,) = [e for e in effects if isinstance(e, Observe)]
    assert observed.value == 0.25


def test_front_counts_calls_that_end_without_an_answer() -> None:
    """Guards against calls that are missing from the counts."""
    front = Front()
    front.post(CallReceived(7, CALL))
    front.post(CallReceived(8, CALL))
    effects = front.post(CallAbandoned(8))
    assert label_values_by_name(effects)["calls_total"] == [("GetJob", "abandoned")]
    effects = front.tick(front.state.cfg.call_limit_ms)
    assert label_values_by_name(effects)["calls_total"] == [("GetJob", "overloaded")]


def test_leader_counts_the_start_and_end_of_a_job() -> None:
    """Guards against job starts and ends that are not counted by queue."""
    leader = Leader()
    w1 = worker("w1")
    leader.report(1, w1)
    leader.propose(PutCatalog(catalog()))
    started = label_values_by_name(
        leader.apply(SubmitJob("j", address(LONG), "work", (step(1),)))
    )
    assert started["runs_placed_total"] == [(LONG,)]
    assert started["job_start_seconds"] == [(LONG,)]
    end = end_of(run_of("j"), RunEndKind.DONE)
    ended = label_values_by_name(leader.report(1, w1, ended=[end]))
    assert ended["runs_ended_total"] == [(LONG, "done")]
    assert ended["job_completion_seconds"] == [(LONG, "completed")]
    assert "lost_work_core_seconds_total" not in ended


@pytest.mark.parametrize(("checkpoint", "lost"), [("", 180), ("c1", 0)])
def test_work_without_a_checkpoint_counts_as_lost(checkpoint, lost) -> None:
    """Guards against lost work that is not counted, and false counts."""
    leader = Leader()
    w1 = worker("w1")
    leader.report(1, w1)
    leader.submit("j", step(1))
    leader.tick()
    leader.advance(10_000)
    end = end_of(run_of("j"), RunEndKind.LAPSED, checkpoint=checkpoint)
    effects = leader.report(1, w1, ended=[end])
    amounts = [
        e.amount
        for e in effects
        if isinstance(e, Count) and e.counter == "lost_work_core_seconds_total"
    ]
    assert sum(amounts) == lost


def test_refused_calls_are_counted_by_kind() -> None:
    """Guards against refusals that are missing from the metrics."""
    leader = Leader()
    leader.submit("j", step(1))
    applied = leader.apply(CancelJob("j", address("nowhere")))
    assert label_values_by_name(applied)["job_calls_refused_total"] == [
        ("cancel", "not_found")
    ]


def test_runner_sends_its_counters_with_its_reports() -> None:
    """Guards against refused starts that are not counted, or counted twice."""
    runner = Runner()
    runner.attach()
    runner.send_heartbeat()
    runner.reply_with_list()
    runner.grant()
    run = run_of("j")
    runner.order(run)
    runner.reply(StartOnWorker, NoAnswer("timed out", sent=True))
    runner.tick(300)
    runner.reply(StartOnWorker, OrderRefused(0, "room"))
    runner.tick(600)
    sent = [item for report in runner.reports for item in report.events]
    assert sent == [CounterValue("start no_answer", 1), CounterValue("start room", 1)]


def test_leader_sums_the_counters_of_runners() -> None:
    """Guards against a total that is added again with each report."""
    leader = Leader()
    w1 = worker("w1")
    counts = [
        effect
        for total in (2, 2, 5)
        for effect in leader.report(1, w1, events=(CounterValue("start room", total),))
        if isinstance(effect, Count) and effect.counter == "runner_events_total"
    ]
    assert [count.amount for count in counts] == [2, 3]


def test_gauges_count_workers_by_state() -> None:
    """Guards against a worker that is counted usable while it drains."""
    leader = Leader()
    leader.report(1, worker("w1"))
    leader.report(2, worker("w2", draining=True))
    leader.report(3, worker("w3"), reachable=False)
    leader.advance(1_000)
    gauges = {
        (effect.gauge, *(label.value for label in effect.labels)): effect.value
        for effect in leader.tick()
        if isinstance(effect, SetGauge)
    }
    assert gauges["leader",] == 1
    assert gauges["workers", "usable"] == 1
    assert gauges["workers", "draining"] == 1
    assert gauges["workers", "unreachable"] == 1


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def test_metrics_are_served_by_the_platform_listener() -> None:
    """Guards against metrics that cannot be fetched."""
    metrics = Metrics()
    metrics.count("elections_total", 3, ())
    port = free_port()
    listener = PlatformListener(lambda event: None, metrics.add, 1_000)
    with (
        listener.add_metrics(f"127.0.0.1:{port}", metrics.render),
        urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics") as resp,
    ):
        body = resp.read().decode()
    assert "crocuswell_elections_total 3.0" in body


def test_metrics_port_in_use_does_not_stop_the_process() -> None:
    """Guards against an outage because the metrics port is in use."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        port = sock.getsockname()[1]
        listener = PlatformListener(lambda event: None, Metrics().add, 1_000)
        with listener.add_metrics(f"127.0.0.1:{port}", Metrics().render):
            assert sock.getsockname()[1] == port
