"""Leases, streams, heartbeats and planned stop of an agent."""

import random
from collections import Counter

import attrs
import pytest

from crocuswell_core.agent.agent_messages import (
    AgentHeartbeat,
    DrainNotice,
    EntryHeartbeat,
    Goodbye,
    Hello,
    ReportAck,
    SendReports,
    Welcome,
)
from crocuswell_core.agent.agent_state import AgentConfig, AgentState
from crocuswell_core.agent.backend import Accepted, StartOnBackend, StopOnBackend
from crocuswell_core.cluster.commands import TaskRefused, TaskReserved
from crocuswell_core.cluster.resources import NO_RESOURCES, Resources
from crocuswell_core.runtime.effects import CloseEntryStream, Halt, OpenEntryStream
from crocuswell_core.runtime.events import (
    AgentBooted,
    AgentStopRequested,
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
)
from crocuswell_daemon.wire import encode
from tests.agents import (
    ENTRIES,
    INFO,
    RUN_LEASE_MS,
    Agent,
    booted,
    listed,
    ready,
    reserve,
    start,
)

REPLACE_LIMIT_MS = 3_000
# Limit of the control traffic of each agent: 4 KB per second.
BYTES_PER_SECOND = 4_000
# A heartbeat may carry at most a few hundred bytes of usage.
HEARTBEAT_BYTES = 400


def stops(agent: Agent) -> list[StopOnBackend]:
    return [call for call in agent.calls() if isinstance(call, StopOnBackend)]


def starts(agent: Agent) -> list[StartOnBackend]:
    return [call for call in agent.calls() if isinstance(call, StartOnBackend)]


# --- leases --------------------------------------------------------------


@pytest.mark.parametrize(
    ("delay_ms", "age_ms", "admitted"),
    [
        (0, 4_999, True),
        (0, 5_000, False),
        (1_500, 4_999, True),
        (1_500, 5_000, False),
    ],
)
def test_admission_lease_runs_from_the_sending(
    delay_ms: int, age_ms: int, admitted: bool
) -> None:
    """Guards against a lease that a late confirmation extends."""
    agent = booted()
    agent.connect()
    sent_ms, sequence = agent.state.now_ms, agent.state.sequence
    agent.run(delay_ms)
    agent.receive(EntryHeartbeat(sequence, 1, RUN_LEASE_MS))
    agent.welcome()
    while agent.state.now_ms < sent_ms + age_ms:
        agent.run(min(500, sent_ms + age_ms - agent.state.now_ms))
        agent.receive(EntryHeartbeat(0, 1, RUN_LEASE_MS))
    agent.order(start())
    assert (len(starts(agent)) == 1) is admitted


@pytest.mark.parametrize("confirmed", [0, 999])
def test_unknown_heartbeat_extends_nothing(confirmed: int) -> None:
    """Guards against a lease counted from a heartbeat that was never sent."""
    agent = booted()
    agent.connect()
    agent.receive(EntryHeartbeat(confirmed, 1, RUN_LEASE_MS))
    agent.welcome()
    agent.order(start())
    assert starts(agent) == []


def test_older_confirmation_does_not_shorten_the_lease() -> None:
    """Guards against confirmations that arrive out of order."""
    agent = ready()
    older = agent.state.sequence
    agent.run_unconfirmed(3_000)
    agent.confirm()
    newest_ms = agent.state.lease_from_ms
    agent.receive(EntryHeartbeat(older, 1, RUN_LEASE_MS))
    assert agent.state.lease_from_ms == newest_ms


@pytest.mark.parametrize("reachable", [True, False], ids=["entry", "nobody"])
@pytest.mark.parametrize(
    ("checkpoint_ms", "stop_ms", "written_ms"),
    [
        (None, 14_000, None),
        (1_000, 13_000, 1_000),
        (1_500, 12_500, 1_500),
        (60_000, 14_000, None),
    ],
)
def test_tasks_stop_before_the_run_lease_ends(
    checkpoint_ms: int | None,
    stop_ms: int,
    written_ms: int | None,
    reachable: bool,
) -> None:
    """Guards against a task that runs after its resources were reassigned."""
    agent = ready()
    agent.start(start(checkpoint_ms=checkpoint_ms))
    sent_ms = agent.state.lease_from_ms
    run = agent.run_unconfirmed if reachable else agent.run
    while not stops(agent) and agent.state.now_ms < sent_ms + RUN_LEASE_MS:
        run(1_000)
    assert agent.state.now_ms - sent_ms <= stop_ms + 1_000
    assert [call.checkpoint_ms for call in stops(agent)] == [written_ms]


def test_renewals_never_outlast_the_run_lease() -> None:
    """Guards against a backend server lease that outlives the run lease."""
    agent = ready()
    agent.start(start())
    end_ms = agent.state.lease_from_ms + RUN_LEASE_MS
    agent.run(20_000)
    assert max(call.lease_until_ms for call in agent.describe_calls()) == end_ms - 500


def test_reservation_ends_with_the_run_lease() -> None:
    """Guards against resources that stay held while disconnected."""
    agent = ready()
    agent.order(reserve())
    agent.run(RUN_LEASE_MS)
    assert agent.state.tasks == {}


def test_new_incarnation_does_not_extend_the_tasks_lease() -> None:
    """Guards against a lease that a restart of the agent extends."""
    agent = booted(tasks=[listed("running")])
    agent.connect()
    agent.run(2_000)
    assert {call.lease_until_ms for call in agent.describe_calls()} == {0}
    agent.run(RUN_LEASE_MS)
    assert len(stops(agent)) >= 1


def test_shorter_run_lease_takes_effect() -> None:
    """Guards against a lease length from an older configuration."""
    agent = ready()
    agent.start(start())
    agent.run_lease_ms = 6_000
    agent.run_unconfirmed(6_000)
    assert len(stops(agent)) >= 1


# --- streams -------------------------------------------------------------


def test_stream_opens_after_the_announcement() -> None:
    """Guards against a `Hello` without an announcement."""
    cfg = AgentConfig(ENTRIES, "i1")
    agent = Agent(AgentState(cfg, random.Random(1), now_ms=1_000))
    agent.answers_describe = False
    agent.post(AgentBooted())
    agent.run(5_000)
    assert agent.opened_streams() == []
    agent.answers_describe = True
    agent.reply(agent.description(), agent.describe_calls()[-1])
    agent.connect()
    hello = agent.sent()[0]
    assert isinstance(hello, Hello)
    assert hello.info == INFO


def test_agents_spread_over_the_entry_hosts() -> None:
    """Guards against all agents on one entry host."""
    found = Counter()
    for seed in range(640):
        agent = booted(seed)
        agent.run(200)
        found[agent.opened_streams()[0].address] += 1
    assert set(found) == set(ENTRIES)
    assert max(found.values()) < 2 * 640 / len(ENTRIES)


def test_agents_return_spread_out_after_an_outage() -> None:
    """Guards against 640 agents that reconnect at the same moment."""
    arrivals: Counter[int] = Counter()
    for seed in range(640):
        agent = booted(seed)
        end_ms = agent.state.now_ms + 60_000
        while agent.state.now_ms < end_ms:
            before = len(agent.opened_streams())
            agent.run(min(100, end_ms - agent.state.now_ms))
            if len(agent.opened_streams()) > before:
                agent.post(EntryStreamClosed(agent.state.stream_id, "refused"))
        before = len(agent.opened_streams())
        while len(agent.opened_streams()) == before:
            agent.run(100)
        arrivals[(agent.state.now_ms - end_ms) // 100] += 1
    # The longest back-off is 3 s; an even spread puts 21 in each 100 ms.
    assert max(arrivals) <= 31
    assert max(arrivals.values()) <= 640 / 10


@pytest.mark.parametrize("stage", ["opening", "open", "welcomed"])
def test_silent_stream_is_replaced_in_time(stage: str) -> None:
    """Guards against a stream that stays open without any messages."""
    agent = booted()
    if stage == "opening":
        agent.run(200)
    if stage in ("open", "welcomed"):
        agent.connect()
    if stage == "welcomed":
        agent.welcome()
        agent.run_unconfirmed(10_000)
    last_received_ms, old = agent.state.last_received_ms, agent.opened_streams()[-1]
    while agent.opened_streams()[-1] == old:
        agent.run(50)
    assert agent.state.now_ms - last_received_ms <= REPLACE_LIMIT_MS
    assert CloseEntryStream(old.stream_id) in agent.effects
    assert agent.opened_streams()[-1].address != old.address


def test_messages_on_an_old_stream_are_ignored() -> None:
    """Guards against orders and confirmations from a replaced stream."""
    agent = ready()
    old = agent.state.stream_id
    agent.post(EntryStreamClosed(old, "reset"))
    agent.connect()
    agent.post(EntryMessageReceived(old, Welcome((start(),), 9, 1, 0)))
    assert starts(agent) == []
    assert agent.state.configuration_number == 1
    agent.post(EntryStreamClosed(old, "reset"))
    assert agent.state.connected
    assert agent.post(EntryStreamOpened(old)) == [CloseEntryStream(old)]


def test_goodbye_moves_to_another_entry_host() -> None:
    """Guards against an agent that stays with a stopping entry host."""
    agent = ready()
    agent.start(start())
    old = agent.opened_streams()[-1]
    agent.receive(Goodbye())
    agent.run(200)
    new = agent.opened_streams()[-1]
    assert new.stream_id > old.stream_id
    assert new.address != old.address
    assert stops(agent) == []


def test_missing_welcome_replaces_the_stream() -> None:
    """Guards against a stream without orders after a lost `Welcome`."""
    agent = booted()
    agent.connect()
    old = agent.state.stream_id
    for _ in range(12):
        agent.run(500)
        if agent.state.connected:
            agent.confirm()
    assert agent.state.stream_id > old


# --- heartbeats ----------------------------------------------------------


def test_heartbeats_are_regular_and_the_timer_does_not_spin() -> None:
    """Guards against missing heartbeats and a timer that fires too often."""
    agent = ready()
    fired, sent = agent.timers_fired, len(agent.sent())
    agent.run_unconfirmed(60_000)
    heartbeats = [m for m in agent.sent()[sent:] if isinstance(m, AgentHeartbeat)]
    assert 59 <= len(heartbeats) <= 61
    # One heartbeat, two polls and one early check a second.
    assert agent.timers_fired - fired <= 4 * 60


def test_usage_and_counters_are_sent_when_they_change() -> None:
    """Guards against heartbeats that grow with the number of tasks."""
    agent = ready()
    agent.run_unconfirmed(3_000)
    names = [f"request-{number:030}" for number in range(8)]
    for index, name in enumerate(names):
        agent.confirm()
        agent.start(start(name=name, accelerators=(index,), resources=NO_RESOURCES))
    sent = len(agent.sent())
    for round_number in range(10):
        used = Resources(1, 4, 1_000 + round_number // 5)
        agent.tasks = tuple(attrs.evolve(task, used=used) for task in agent.tasks)
        agent.run_unconfirmed(1_000)
    heartbeats = [m for m in agent.sent()[sent:] if isinstance(m, AgentHeartbeat)]
    usages = Counter(u.attempt.request_id for m in heartbeats for u in m.usage)
    assert set(usages) == set(names)
    assert max(usages.values()) <= 3
    assert max(len(encode(m)) for m in heartbeats) <= HEARTBEAT_BYTES


def test_control_traffic_stays_below_the_limit() -> None:
    """Guards against more than 4 KB of control traffic per second."""
    agent = ready()
    sent, size, seconds = len(agent.sent()), 0, 60
    for second in range(seconds):
        agent.confirm()
        number = second % 8
        agent.order(start(name=f"q{second}", accelerators=(number,)))
        agent.reply(Accepted())
        used = Resources(1, 4, 1_000 + second)
        agent.tasks = (attrs.evolve(listed("running", name=f"q{second}"), used=used),)
        agent.run(1_000)
        if agent.state.reports:
            last = agent.state.first_report + len(agent.state.reports) - 1
            agent.receive(ReportAck(last))
    size = sum(len(encode(message)) for message in agent.sent()[sent:])
    assert size / seconds < BYTES_PER_SECOND


@pytest.mark.parametrize("draining", [True, False])
def test_drain_is_announced(draining: bool) -> None:
    """Guards against new tasks on a draining backend server."""
    agent = ready()
    agent.info = attrs.evolve(INFO, draining=True)
    agent.run(1_000)
    if not draining:
        agent.confirm()
        agent.info = INFO
        agent.run(1_000)
    assert (
        agent.sent()[-1] == DrainNotice(draining)
        or DrainNotice(draining) in (agent.sent()[-3:])
    )


# --- planned stop --------------------------------------------------------


def test_planned_stop_delivers_reports_and_leaves_tasks_running() -> None:
    """Guards against lost reports and interrupted tasks."""
    agent = ready()
    agent.start(start())
    agent.order(reserve(name="q2", rank=1))
    agent.post(AgentStopRequested())
    agent.order(start(name="q3", accelerators=(2,)))
    assert stops(agent) == []
    assert len(starts(agent)) == 1
    kinds = [type(report) for report in agent.reports()]
    assert kinds == [TaskReserved, TaskRefused, TaskRefused]
    assert Halt() not in agent.effects
    agent.receive(ReportAck(3))
    assert agent.effects[-2:] == [CloseEntryStream(agent.state.stream_id), Halt()]


def test_planned_stop_waits_for_a_start_in_flight() -> None:
    """Guards against a start whose reply is never received."""
    agent = ready()
    agent.order(start())
    agent.post(AgentStopRequested())
    assert Halt() not in agent.effects
    agent.reply(Accepted())
    assert agent.effects[-1] == Halt()


def test_planned_stop_ends_without_an_acknowledgement() -> None:
    """Guards against an agent that never stops."""
    agent = ready()
    agent.order(reserve())
    agent.post(AgentStopRequested())
    for _ in range(20):
        agent.run(1_000)
        if Halt() in agent.effects:
            break
        agent.receive(EntryHeartbeat(0, 1, RUN_LEASE_MS))
    assert Halt() in agent.effects


def test_planned_stop_opens_no_stream() -> None:
    """Guards against a stop that waits for unreachable entry hosts."""
    agent = booted()
    agent.post(AgentStopRequested())
    assert agent.effects[-1] == Halt()
    assert not any(isinstance(e, OpenEntryStream) for e in agent.effects)


def test_reports_go_out_only_after_the_welcome() -> None:
    """Guards against reports sent before the agent is known to the host."""
    agent = booted(tasks=[listed("failed")])
    agent.connect()
    assert not any(isinstance(m, SendReports) for m in agent.sent())
    agent.welcome()
    assert any(isinstance(m, SendReports) for m in agent.sent())
