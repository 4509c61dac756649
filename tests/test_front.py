"""Handlers of a front: forwarding, retries, timeouts and relaying."""

from crocuswell_core.cluster.commands import Proposal, Refused
from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.front.front_state import FrontConfig, FrontState
from crocuswell_core.jobs.job_commands import CancelJob, GetJob, JobView
from crocuswell_core.jobs.job_records import JobPhase
from crocuswell_core.links.link_messages import (
    Attach,
    Attached,
    CallAnswered,
    ForwardCall,
    LeaseGrant,
    LinkKeepalive,
    Redirect,
    WorkerReport,
)
from crocuswell_core.links.uplink import Uplink
from crocuswell_core.runtime.effects import (
    AnswerCall,
    CloseAgentStream,
    Effect,
    Halt,
    OpenEntryStream,
    SendAgent,
    SendEntry,
    SetReady,
)
from crocuswell_core.runtime.errors import ERROR_CONTRACTS, ErrorKind
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    AgentStreamClosed,
    CallReceived,
    ClockAdvanced,
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
    Event,
    FrontBooted,
    FrontStopRequested,
    TimerFired,
)
from crocuswell_core.runtime.reducer import reduce
from crocuswell_core.runtime.timers import FrontTimer, UplinkTimer
from tests.job_harness import LONG, address

CALL = GetJob("j", address(LONG))
COMMAND = CommandCall(Proposal("", "", CancelJob("j", address(LONG))))
VIEW = JobView("j", JobPhase.RUNNING)
SEEDS = ("h1:2", "h2:2")


class Front:
    """A front whose leader is simulated by the test."""

    def __init__(self) -> None:
        self.state = FrontState(FrontConfig(), Uplink("f1", SEEDS))
        self.now_ms = 1_000
        self.post(FrontBooted())

    def post(self, event: Event) -> list[Effect]:
        effects: list[Effect] = []
        for each in (ClockAdvanced(self.now_ms, self.now_ms), event):
            self.state, new = reduce(self.state, each)
            effects += new
        return effects

    def receive(self, message) -> list[Effect]:
        return self.post(EntryMessageReceived(self.state.uplink.stream_id, message))

    def attach(self) -> list[Effect]:
        self.post(EntryStreamOpened(self.state.uplink.stream_id))
        return self.receive(Attached(3, SEEDS))

    def lose_leader(self) -> None:
        self.post(EntryStreamClosed(self.state.uplink.stream_id, "lost"))

    def tick(self, ms: int) -> list[Effect]:
        self.now_ms += ms
        return self.post(TimerFired(FrontTimer()))


def forwarded(effects: list[Effect]) -> list[ForwardCall]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendEntry) and isinstance(effect.message, ForwardCall)
    ]


def answers(effects: list[Effect]) -> list[AnswerCall]:
    return [effect for effect in effects if isinstance(effect, AnswerCall)]


def test_call_goes_to_the_leader_and_its_answer_back() -> None:
    """Guards against an answer that reaches another caller."""
    front = Front()
    front.attach()
    assert forwarded(front.post(CallReceived(7, CALL))) == [ForwardCall(7, CALL)]
    assert answers(front.receive(CallAnswered(7, VIEW))) == [AnswerCall(7, VIEW)]
    assert not answers(front.receive(CallAnswered(7, VIEW)))


def test_call_is_held_until_a_leader_attaches() -> None:
    """Guards against calls that are refused during an election."""
    front = Front()
    assert not answers(front.post(CallReceived(7, CALL)))
    assert forwarded(front.attach()) == [ForwardCall(7, CALL)]


def test_call_is_sent_again_to_the_next_leader() -> None:
    """Guards against a call that is lost with its leader."""
    front = Front()
    front.attach()
    front.post(CallReceived(7, CALL))
    front.lose_leader()
    front.now_ms += 300
    front.post(TimerFired(UplinkTimer()))
    assert forwarded(front.attach()) == [ForwardCall(7, CALL)]


def test_unavailable_leader_is_retried() -> None:
    """Guards against callers that see an error at each change of leader."""
    front = Front()
    front.attach()
    front.post(CallReceived(7, CALL))
    refused = Refused(ErrorKind.UNAVAILABLE, "no leader")
    assert not answers(front.receive(CallAnswered(7, refused)))
    assert forwarded(front.tick(400)) == [ForwardCall(7, CALL)]


def test_only_an_unsent_call_is_reported_as_not_run() -> None:
    """Guards against reporting a job as not run after it was accepted."""
    for attached, call, not_run in (
        (False, COMMAND, True),
        (True, COMMAND, False),
        (False, CALL, True),
        (True, CALL, True),
    ):
        front = Front()
        if attached:
            front.attach()
        front.post(CallReceived(7, call))
        effects = front.tick(front.state.cfg.call_limit_ms)
        (answer,) = answers(effects)
        assert isinstance(answer.reply, Refused)
        assert ERROR_CONTRACTS[answer.reply.kind].not_run is not_run


def test_command_is_not_sent_to_a_silent_leader() -> None:
    """Guards against a job whose fate is unknown since its leader is gone."""
    front = Front()
    front.attach()
    front.now_ms += front.state.cfg.silence_limit_ms + 1
    assert not forwarded(front.post(CallReceived(7, COMMAND)))
    front.receive(LinkKeepalive())
    assert forwarded(front.tick(100)) == [ForwardCall(7, COMMAND)]


def test_call_without_a_leader_for_long_is_refused_at_once() -> None:
    """Guards against callers that wait for a leader who is not coming."""
    front = Front()
    front.attach()
    front.lose_leader()
    front.now_ms += front.state.cfg.leaderless_limit_ms
    (answer,) = answers(front.post(CallReceived(7, CALL)))
    assert isinstance(answer.reply, Refused)
    assert ERROR_CONTRACTS[answer.reply.kind].not_run
    assert 0 < answer.reply.retry_after_ms <= 4_000
    front.now_ms += 60_000
    (later,) = answers(front.post(CallReceived(8, CALL)))
    assert later.reply.retry_after_ms == 4_000


def test_held_call_is_refused_once_an_election_should_be_over() -> None:
    """Guards against calls that are held until their caller gives up."""
    front = Front()
    front.attach()
    front.lose_leader()
    front.now_ms += 1_000
    assert not answers(front.post(CallReceived(7, CALL)))
    (answer,) = answers(front.tick(front.state.cfg.leaderless_limit_ms - 1_000))
    assert ERROR_CONTRACTS[answer.reply.kind].not_run


def test_sent_call_is_not_reported_as_not_run_without_a_leader() -> None:
    """Guards against refusing a call that the lost leader may have run."""
    front = Front()
    front.attach()
    front.post(CallReceived(7, COMMAND))
    front.lose_leader()
    assert not answers(front.tick(front.state.cfg.leaderless_limit_ms))
    (answer,) = answers(front.tick(front.state.cfg.call_limit_ms))
    assert not ERROR_CONTRACTS[answer.reply.kind].not_run


def test_redirect_is_followed_at_once() -> None:
    """Guards against an idle timer period at each change of leader."""
    front = Front()
    front.post(EntryStreamOpened(front.state.uplink.stream_id))
    effects = front.receive(Redirect("h9:2", ("h9:2",)))
    opened = [e.address for e in effects if isinstance(e, OpenEntryStream)]
    assert opened == ["h9:2"]


def test_silent_stream_is_replaced() -> None:
    """Guards against a stream that stays open without any messages."""
    front = Front()
    front.attach()
    front.now_ms += 1_600
    effects = front.post(TimerFired(UplinkTimer()))
    assert any(isinstance(effect, OpenEntryStream) for effect in effects)


def test_front_relays_the_stream_of_a_process_that_is_cut_off() -> None:
    """Guards against leases that lapse although a front is reachable."""
    front = Front()
    front.attach()
    attach, report = Attach("runner"), WorkerReport(1)
    effects = front.post(AgentMessageReceived(5, attach))
    (opened,) = [e for e in effects if isinstance(e, OpenEntryStream)]
    assert opened.address == front.state.uplink.address
    leader_stream_id = opened.stream_id
    assert SendEntry(leader_stream_id, attach) in front.post(
        EntryStreamOpened(leader_stream_id)
    )
    effects = front.post(AgentMessageReceived(5, report))
    assert effects == [SendEntry(leader_stream_id, report)]
    grant = LeaseGrant(1, 3, 6_000)
    effects = front.post(EntryMessageReceived(leader_stream_id, grant))
    assert effects == [SendAgent(5, grant)]
    assert CloseAgentStream(5) in front.post(
        EntryStreamClosed(leader_stream_id, "lost")
    )
    assert not front.state.relayed


def test_late_answer_on_a_relayed_stream_is_not_for_an_own_call() -> None:
    """Guards against an answer to another front's call with the same id."""
    front = Front()
    front.attach()
    front.post(CallReceived(1, CALL))
    opened = front.post(AgentMessageReceived(9, Attach("f2")))
    (stream,) = [each for each in opened if isinstance(each, OpenEntryStream)]
    front.post(EntryStreamOpened(stream.stream_id))
    front.post(AgentStreamClosed(9))
    late = EntryMessageReceived(stream.stream_id, CallAnswered(1, VIEW))
    assert not answers(front.post(late))
    assert answers(front.receive(CallAnswered(1, VIEW))) == [AnswerCall(1, VIEW)]


def test_front_without_a_leader_relays_nothing() -> None:
    """Guards against an open stream that has no connection to a leader."""
    effects = Front().post(AgentMessageReceived(5, Attach("runner")))
    assert CloseAgentStream(5) in effects


def test_relays_are_tried_as_well_as_hosts() -> None:
    """Guards against a process that tries only unreachable hosts."""
    front = Front()
    front.post(EntryStreamOpened(front.state.uplink.stream_id))
    front.receive(Attached(3, SEEDS, ("f2:3",)))
    tried = set()
    for _ in range(4):
        front.lose_leader()
        front.now_ms += 500
        effects = front.post(TimerFired(UplinkTimer()))
        tried.update(e.address for e in effects if isinstance(e, OpenEntryStream))
    assert tried == {*SEEDS, "f2:3"}


def test_front_is_ready_while_a_leader_is_reachable() -> None:
    """Guards against traffic to a front that cannot answer calls."""
    front = Front()
    assert SetReady(True) in front.attach()
    front.lose_leader()
    assert SetReady(False) not in front.tick(100)
    assert SetReady(False) in front.tick(front.state.cfg.ready_grace_ms)


def test_planned_stop_waits_for_calls_in_flight() -> None:
    """Guards against a stop that drops calls without an answer."""
    front = Front()
    front.attach()
    assert SetReady(False) in front.post(FrontStopRequested())
    front.post(CallReceived(7, CALL))
    assert Halt() not in front.tick(2_300)
    front.receive(CallAnswered(7, VIEW))
    assert Halt() in front.tick(300)
