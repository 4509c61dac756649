"""Agent sessions, leases and silent agents on an entry host."""

import copy

import pytest

from crocuswell_core.agent.agent_messages import (
    AgentHeartbeat,
    DrainNotice,
    EntryHeartbeat,
    Goodbye,
    Orders,
    StartTask,
    Welcome,
)
from crocuswell_core.cluster.commands import (
    CancelRequests,
    ChangeAccepted,
    ChangeConfiguration,
    Command,
    LogEntry,
    Proposal,
    SubmitRequest,
)
from crocuswell_core.cluster.configuration import Configuration, Limits, Workspace
from crocuswell_core.cluster.records import JobSpec, RequestPhase, WorkerMode
from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.consensus.log_application import apply_entry
from crocuswell_core.consensus.peer_messages import (
    AppendEntries,
    LivenessReply,
    LivenessReport,
    TimeoutNow,
    WorkerLiveness,
)
from crocuswell_core.entry.calls import GetRequest
from crocuswell_core.entry.replies import RequestView
from crocuswell_core.runtime.counter_values import CounterValue
from crocuswell_core.runtime.effects import (
    CloseAgentStream,
    Count,
    Halt,
    SendPeer,
    SetReady,
)
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    AgentStreamClosed,
    EntryStopRequested,
    PeerMessageReceived,
    SnapshotReceived,
)
from crocuswell_core.runtime.timers import LivenessTimer
from tests.clusters import gang
from tests.hosts import Host, leading_host

MARGIN_MS = 2_000


def welcomed_host(*workers: str) -> Host:
    host = leading_host()
    configuration = Configuration(workspaces=(Workspace("quotes"),))
    host.command(ChangeConfiguration(0, configuration, "op"), key="first")
    for stream_id, worker in enumerate(workers or ("w1",), start=1):
        host.hello(stream_id, worker)
    host.advance(1_500, sending=tuple(range(1, len(workers) + 2)))
    host.effects.clear()
    return host


def mode(host: Host, worker: str = "w1") -> WorkerMode:
    return host.state.cluster.workers[worker].mode


def test_agent_is_welcomed_once_announced_and_confirmed() -> None:
    """Guards against orders to an agent that does not hold a lease yet."""
    host = leading_host()
    host.hello(1)
    assert host.sent(1) == []
    host.advance(1_000)
    sent = host.sent(1)
    welcome = next(i for i, message in enumerate(sent) if type(message) is Welcome)
    confirmed = [m.confirmed for m in sent[:welcome] if type(m) is EntryHeartbeat]
    assert confirmed
    assert confirmed[-1] >= 1


def test_returning_agent_is_welcomed_without_waiting_for_the_next_report() -> None:
    """Guards against a delay of seconds before a restarted agent is usable."""
    host = leading_host()
    host.hello(1)
    host.advance(10)
    assert Welcome in map(type, host.sent(1))


def test_host_that_lags_behind_does_not_have_tasks_stopped() -> None:
    """Guards against a stop of a task that a late host does not know."""
    host = welcomed_host()
    consensus = host.state.consensus
    consensus.role, consensus.leader = Role.FOLLOWER, "e2"
    host.hello(2)
    host.timers[LivenessTimer()] = host.now_ms
    host.advance(0)
    report = next(
        effect.message
        for effect in reversed(host.take(SendPeer))
        if isinstance(effect.message, LivenessReport) and effect.message.workers
    )
    index, term = consensus.commit_index, consensus.term
    number = host.state.cluster.number
    # The task was placed, and started by another host, before this stream.
    reply = LivenessReply(report.sequence, number, (), index + 1)
    host.post(PeerMessageReceived("e2", reply))
    assert Welcome not in map(type, host.sent(2))
    command = SubmitRequest("q1", "quotes", JobSpec())
    entry = LogEntry(term, index + 1, host.now_ms, Proposal("", "", command))
    entries = AppendEntries(term, index, term, (entry,), index + 1, 1)
    host.post(PeerMessageReceived("e2", entries))
    host.heartbeat(2)
    host.advance(host.state.cfg.liveness_ms)
    sequence = host.state.liveness_sequence
    host.post(PeerMessageReceived("e2", LivenessReply(sequence, number)))
    welcome = next(m for m in host.sent(2) if type(m) is Welcome)
    assert [type(order) for order in welcome.orders] == [StartTask]


def install_snapshot(host: Host, *commands: Command) -> None:
    """Install a snapshot of a state in which `commands` were applied."""
    consensus = host.state.consensus
    cluster = copy.deepcopy(host.state.cluster)
    term, index = consensus.term + 1, consensus.commit_index
    for command in commands:
        index += 1
        entry = LogEntry(term, index, host.now_ms, Proposal("", "", command))
        apply_entry(cluster, entry)
    membership = (consensus.hosts, consensus.voters)
    host.post(SnapshotReceived("e2", term, index, term, *membership, cluster, 1))


def test_orders_of_entries_skipped_by_a_snapshot_reach_the_agent() -> None:
    """Guards against a gang that waits forever for an unsent start order."""
    host = welcomed_host()
    install_snapshot(host, SubmitRequest("q1", "quotes", JobSpec()))
    welcome = next(m for m in host.sent(1) if type(m) is Welcome)
    assert [type(order) for order in welcome.orders] == [StartTask]


def test_outcome_in_a_snapshot_answers_the_read_that_waits() -> None:
    """Guards against a read that waits for an outcome already applied."""
    host = welcomed_host()
    for id_ in ("q1", "q2"):
        host.command(SubmitRequest(id_, "quotes", JobSpec(shape=gang(8))), key=id_)
    host.effects.clear()
    call_id = host.call(GetRequest("q2", "quotes", wait_ms=60_000))
    assert host.answers() == {}
    install_snapshot(host, CancelRequests("quotes", ("q2",)))
    reply = host.answers()[call_id]
    assert isinstance(reply, RequestView)
    assert reply.request.phase is RequestPhase.DONE


def test_second_stream_of_a_worker_replaces_the_first() -> None:
    host = welcomed_host()
    host.hello(7)
    assert host.take(CloseAgentStream) == [CloseAgentStream(1)]
    assert host.state.sessions["w1"].stream_id == 7


def test_silent_stream_is_closed_within_three_seconds() -> None:
    host = welcomed_host()
    host.advance(3_000)
    assert CloseAgentStream(1) in host.take(CloseAgentStream)


def test_quiet_worker_is_suspect_and_active_when_heard_again() -> None:
    host = welcomed_host()
    host.advance(3_500)
    assert mode(host) is WorkerMode.SUSPECT
    host.hello(2)
    host.advance(1_500, sending=(2,))
    assert mode(host) is WorkerMode.ACTIVE


def test_worker_whose_stream_ended_gets_nothing_new_at_once() -> None:
    """Guards against placement on a worker whose agent is restarting."""
    host = welcomed_host()
    host.post(AgentStreamClosed(1))
    host.advance(1_000)
    assert mode(host) is WorkerMode.SUSPECT
    host.hello(2)
    host.advance(1_500, sending=(2,))
    assert mode(host) is WorkerMode.ACTIVE


def test_worker_is_declared_silent_only_after_its_run_lease() -> None:
    """Guards against reuse of resources while tasks still run on them."""
    host = welcomed_host()
    run_lease_ms = host.state.cluster.configuration.limits.run_lease_ms
    host.advance(run_lease_ms - 500)
    assert mode(host) is WorkerMode.SUSPECT
    host.advance(MARGIN_MS)
    assert mode(host) is WorkerMode.SILENT


def test_shortened_run_lease_counts_once_all_agents_hold_it() -> None:
    """Guards against a silent agent that still holds the longer lease."""
    host = welcomed_host()
    limits = Limits(run_lease_ms=3_000)
    host.command(ChangeConfiguration(1, Configuration(limits=limits), "op"))
    host.advance(14_000)
    assert mode(host) is not WorkerMode.SILENT


def test_declared_worker_is_refused_until_it_announces_itself() -> None:
    """Guards against a lease extended after its resources were reassigned."""
    host = welcomed_host()
    host.state.declared_silent["w1"] = "i1"
    host.advance(1_000, sending=(1,))
    assert CloseAgentStream(1) in host.take(CloseAgentStream)
    assert type(host.sent(1)[-1]) is not Welcome


def test_leader_refuses_liveness_of_another_incarnation() -> None:
    host = welcomed_host()
    liveness = LivenessReport(1, 1, (WorkerLiveness("w1", "other", 1),))
    host.post(PeerMessageReceived("e2", liveness))
    replies = [e.message for e in host.take(SendPeer) if e.to == "e2"]
    index = host.state.consensus.commit_index
    assert replies == [LivenessReply(1, 1, ("w1",), index)]


def test_draining_backend_server_gets_no_order() -> None:
    host = welcomed_host()
    host.post(AgentMessageReceived(1, DrainNotice(True)))
    host.sent(1)
    host.command(SubmitRequest("q", "quotes", JobSpec(shape=gang(1))))
    assert [m for m in host.sent(1) if type(m) is Orders] == []


def test_configuration_is_in_force_once_all_have_it() -> None:
    host = welcomed_host("w1", "w2")
    number = host.state.cluster.number
    assert host.state.cluster.number_in_force == number
    call_id = host.command(ChangeConfiguration(number, Configuration(), "op"))
    assert host.answers()[call_id] == ChangeAccepted(number + 1)
    host.advance(1_500, sending=(1,))
    assert host.state.cluster.number_in_force == number
    host.advance(7_000, sending=(1,))
    assert host.state.cluster.number_in_force == number + 1


@pytest.mark.parametrize("wait_ms", [0, 5_000])
def test_planned_stop_answers_what_waits_and_tells_agents(wait_ms: int) -> None:
    """Guards against a call that a planned stop leaves unanswered."""
    host = welcomed_host()
    host.command(SubmitRequest("q", "quotes", JobSpec(shape=gang(1))))
    call_id = host.call(GetRequest("q", wait_ms=wait_ms))
    host.post(EntryStopRequested())
    assert type(host.answers()[call_id]) is RequestView
    assert SetReady(False) in host.take(SetReady)
    assert Goodbye() in host.sent(1)
    host.advance(host.state.cfg.stop_limit_ms)
    assert Halt() in host.take(Halt)


def test_stopping_host_does_not_take_leadership_over() -> None:
    """Guards against stopping hosts that transfer leadership in a loop."""
    host = welcomed_host()
    host.post(EntryStopRequested())
    consensus = host.state.consensus
    consensus.role, consensus.leader = Role.FOLLOWER, "e2"
    host.post(PeerMessageReceived("e2", TimeoutNow(consensus.term)))
    assert consensus.role is Role.FOLLOWER


def test_counters_of_agents_are_added_up_once() -> None:
    """Guards against counting an agent's total again with each heartbeat."""
    host = welcomed_host()
    for value in (2, 2, 5):
        counters = (CounterValue("late", value),)
        heartbeat = AgentHeartbeat(99, 1, counters=counters)
        host.post(AgentMessageReceived(1, heartbeat))
    added = [
        effect.amount
        for effect in host.effects
        if isinstance(effect, Count) and effect.counter == "agent_events_total"
    ]
    assert added == [2, 3]
