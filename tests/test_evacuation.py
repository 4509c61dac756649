"""Evacuation of failure domains: commands, placement and held-up orders."""

import attrs
import pytest

from crocuswell_core.cluster.commands import (
    Command,
    EndEvacuation,
    EvacuationSet,
    Refused,
    StartEvacuation,
)
from crocuswell_core.dispatching.dispatch_state import DispatchState
from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.jobs.job_commands import PlaceRuns, PutCatalog, SubmitJob
from crocuswell_core.jobs.job_records import (
    RunEndKind,
    RunId,
    RunPlacement,
    RunProgress,
    TaskPhase,
)
from crocuswell_core.links.link_messages import RunOrders, StartRun, StopRun
from crocuswell_core.runner.worker_calls import NoAnswer, StartOnWorker
from crocuswell_core.runtime.effects import AnswerCall, EmitLogEvent
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import CallReceived
from crocuswell_daemon import wire
from crocuswell_daemon.http_messages import HttpRequest
from crocuswell_platform.caller_json import parse_operator_call, to_response
from tests.group_harness import Group
from tests.job_harness import (
    TIGHT,
    URGENT,
    Leader,
    ReplicatedTable,
    address,
    catalog,
    end_of,
    run_of,
    step,
    worker,
)
from tests.test_runner import Runner, runner  # noqa: F401  (a fixture)

A, B = attrs.evolve(worker("w1"), zone="a"), attrs.evolve(worker("w2"), zone="b")
SEEDS = ("a", "b", "c")


def evacuating_leader(*domains: str) -> Leader:
    leader = Leader()
    leader.propose(PutCatalog(catalog()))
    for number, description in enumerate((A, B), start=1):
        leader.report(number, description)
    for domain in domains:
        leader.propose(StartEvacuation(domain))
    return leader


def ordered(leader: Leader, kind: type) -> list[RunId]:
    """Return the runs of all orders of one kind that were sent."""
    messages = [e.message for e in leader.sent if isinstance(e.message, RunOrders)]
    return [
        order.run
        for message in messages
        for order in (*message.starts, *message.stops)
        if isinstance(order, kind)
    ]


def listed(*runs: RunId, percent: int = 10) -> list[RunProgress]:
    return [RunProgress(run, "", percent) for run in runs]


def empty_domains(leader: Leader, ms: int) -> list[str]:
    """Return the domains that are said to be empty within a time."""
    effects = [e for _ in range(ms // 500) for e in leader.advance(500) + leader.tick()]
    return [
        label.value
        for effect in effects
        if isinstance(effect, EmitLogEvent) and effect.event == "domain_empty"
        for label in effect.ids
        if label.name == "failure_domain"
    ]


def test_domain_is_not_empty_before_its_workers_have_reported() -> None:
    """Guards against an operator who switches off workers with runs."""
    leader = evacuating_leader()
    leader.submit("j", step(), step(), queue=URGENT)
    leader.propose(StartEvacuation("a"))
    leader.propose(StartEvacuation("b"))
    placed = {A.key: leader.placed(A), B.key: leader.placed(B)}
    assert any(placed.values())
    leader.state.dispatch = DispatchState(leader.state.consensus.term)
    assert not empty_domains(leader, 2_000)
    for number, description in enumerate((A, B), start=3):
        ends = [
            end_of(RunId(*item), RunEndKind.DONE)
            for item in placed[description.key].items()
        ]
        leader.report(number, description, ended=ends)
    assert sorted(empty_domains(leader, 2_000)) == ["a", "b"]


# --- commands --------------------------------------------------------------


@pytest.mark.parametrize(
    ("command", "is_evacuated"),
    [(StartEvacuation("a"), True), (EndEvacuation("a"), False)],
)
def test_resent_command_gets_the_same_answer(
    command: Command, is_evacuated: bool
) -> None:
    """Guards against an operator who cannot tell whether an order was taken.

    The domain was never seen, and the end may be one of nothing.
    """
    table = ReplicatedTable()
    replies = [table.apply(command, at_ms) for at_ms in (1_000, 9_000)]
    assert replies == [EvacuationSet("a", is_evacuated)] * 2
    assert [e.since_ms for e in table.cluster.evacuations.values()] in ([], [1_000])


@pytest.mark.parametrize("name", ["", "a" * 201, "a\nb", "\x00"])
@pytest.mark.parametrize("kind", [StartEvacuation, EndEvacuation])
def test_name_that_cannot_be_one_is_refused(kind: type, name: str) -> None:
    """Guards against names without a bound in the replicated state."""
    table = ReplicatedTable()
    reply = table.apply(kind(name))
    assert isinstance(reply, Refused)
    assert reply.kind is ErrorKind.INVALID_REQUEST
    assert not table.cluster.evacuations


def test_domain_is_evacuated_again_after_an_end() -> None:
    """Guards against an order that is answered from a cache without effect."""
    leader = evacuating_leader()
    for number, (method, is_evacuated) in enumerate(
        [("POST", True), ("DELETE", False), ("POST", True), ("POST", True)]
    ):
        call = parse_operator_call(HttpRequest(method, "/evacuations/a"))
        effects = leader.post(CallReceived(number, call))
        (answer,) = [e for e in effects if isinstance(e, AnswerCall)]
        assert answer.reply == EvacuationSet("a", is_evacuated)
        assert to_response(answer.reply).status == 200
        assert ("a" in leader.state.cluster.evacuations) == is_evacuated


def test_acknowledged_evacuation_outlasts_a_disk_and_the_power_of_all() -> None:
    """Guards against starts in a domain after all hosts have restarted."""
    for wiped in SEEDS:
        group = Group(SEEDS)
        for name in SEEDS:
            group.start(name, founds=name == SEEDS[0])
        group.run(3_000)
        for command in (StartEvacuation("a"), EndEvacuation("b"), StartEvacuation("c")):
            group.propose(command)
        for name in SEEDS:
            group.kill(name, wipe=name == wiped)
        group.run(500)
        for name in SEEDS:
            group.start(name)
        group.run(4_000)
        for name in SEEDS:
            evacuations = group.hosts[name].state.cluster.evacuations
            assert evacuations.keys() == {"a", "c"}


def test_evacuation_is_in_the_snapshot() -> None:
    """Guards against a host that catches up without the evacuations."""
    table = ReplicatedTable()
    table.apply(StartEvacuation("a", "operator"))
    assert wire.decode_state(wire.encode(table.cluster)) == table.cluster


# --- placement -------------------------------------------------------------


def test_evacuated_domain_gets_no_starts() -> None:
    """Guards against work that is placed in a domain about to go dark."""
    leader = evacuating_leader("a")
    leader.submit("j", step(9), queue=TIGHT)
    assert len(leader.placed(B)) == 8
    assert not leader.placed(A)
    leader.propose(EndEvacuation("a"))
    leader.tick()
    assert len(leader.placed(A)) == 1


def test_nothing_starts_while_both_domains_are_evacuated() -> None:
    """Guards against the second evacuation replacing the first one."""
    leader = evacuating_leader("a", "b")
    leader.submit("j", step(2))
    assert not leader.placed(A) | leader.placed(B)


def test_run_that_has_started_stays() -> None:
    """Guards against work that is lost although the domain still runs."""
    leader = evacuating_leader("b")
    leader.submit("j", step())
    leader.report(1, A, listed(run_of("j")))
    leader.propose(StartEvacuation("a"))
    leader.report(1, A, listed(run_of("j")))
    assert leader.placed(A)
    assert not leader.state.dispatch.stopping
    # An end that is not recorded yet is no start that could be withdrawn.
    leader.report(1, A, [], [end_of(run_of("j"), RunEndKind.DONE)])
    assert run_of("j") not in ordered(leader, StopRun)


def test_ordered_start_is_withdrawn() -> None:
    """Guards against a start order that is held up past the evacuation."""
    leader = evacuating_leader("b")
    leader.submit("j", step())
    assert ordered(leader, StartRun) == [run_of("j")]
    leader.propose(StartEvacuation("a"))
    assert ordered(leader, StopRun) == [run_of("j")]


def test_start_that_was_planned_before_is_not_ordered() -> None:
    """Guards against a plan that is applied after the evacuation."""
    leader = evacuating_leader("a", "b")
    leader.submit("j", step())
    leader.sent.clear()
    leader.propose(PlaceRuns((RunPlacement(run_of("j"), A.key),), "late"))
    assert leader.placed(A)
    assert not ordered(leader, StartRun)
    assert ordered(leader, StopRun) == [run_of("j")]
    leader.report(1, A, absent=(run_of("j"),))
    task = leader.state.cluster.jobs.task(run_of("j").task)
    assert task is not None
    assert task.phase is TaskPhase.WAITING


def test_half_started_gang_is_stopped_whole() -> None:
    """Guards against members that wait for one that may no longer start."""
    leader = evacuating_leader()
    leader.submit("gang", step(2, accelerators=8, gang=True), queue=TIGHT)
    in_b = [RunId(*item) for item in leader.placed(B).items()]
    leader.report(2, B, listed(*in_b))
    leader.propose(StartEvacuation("a"))
    leader.tick()
    assert sorted(run.task.index for run in ordered(leader, StopRun)) == [0, 1]


def test_next_leader_withdraws_what_the_last_one_ordered() -> None:
    """Guards against a leader lost between acknowledgement and effect."""
    leader = evacuating_leader("b")
    leader.submit("j", step())
    leader.state.clients.clear()
    leader.propose(StartEvacuation("a"))
    leader.sent.clear()
    leader.state.dispatch = DispatchState()
    effects = leader.report(5, A)
    assert not ordered(leader, StartRun)
    messages = [type(e.message) for e in effects if hasattr(e, "message")]
    # The stop comes before the grant, under which the runner repeats starts.
    assert messages[0] is RunOrders
    assert ordered(leader, StopRun) == [run_of("j")]


def test_reservation_in_the_domain_ends_at_once() -> None:
    """Guards against a preemption that holds room which is gone."""
    leader = evacuating_leader("b")
    leader.submit("long", step(8), queue=TIGHT)
    leader.report(1, A, listed(*(RunId(*item) for item in leader.placed(A).items())))
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert leader.state.dispatch.reservations
    leader.propose(StartEvacuation("a"))
    assert not leader.state.dispatch.reservations


def test_claim_that_no_longer_fits_is_reported_once() -> None:
    """Guards against urgent work that waits without a word."""
    leader = evacuating_leader("a")
    gang = step(2, accelerators=8, gang=True)
    command = SubmitJob("urgent", address(URGENT), "work", (gang,))
    effects = leader.apply(command)
    for _ in range(3):
        leader.now_ms += 600
        effects += leader.tick()
    events = [e.event for e in effects if isinstance(e, EmitLogEvent)]
    assert events.count("claim_does_not_fit") == 1


# --- held-up orders --------------------------------------------------------


def test_start_is_not_sent_without_recent_contact(runner: Runner) -> None:  # noqa: F811
    """Guards against a cut runner that carries out a withdrawn start.

    The grant lasts longer than the time after which no start may go to an
    evacuated domain.
    """
    runner.state.cfg = attrs.evolve(runner.state.cfg, may_be_evacuated=True)
    runner.order(run_of("j"))
    runner.reply(StartOnWorker, NoAnswer("timed out", sent=True))
    runner.tick(2_001)
    runner.order(run_of("k"))
    assert not runner.open_start_calls()
    runner.tick(3_000)
    assert not runner.open_start_calls()
    runner.grant()
    assert {call.run for call in runner.open_start_calls()} == {
        run_of("j"),
        run_of("k"),
    }


# --- the platform's calls --------------------------------------------------


def test_operators_calls_are_mapped() -> None:
    """Guards against evacuations that are answered with 404."""
    for method, command in (
        ("POST", StartEvacuation("dach a")),
        ("DELETE", EndEvacuation("dach a")),
    ):
        call = parse_operator_call(HttpRequest(method, "/evacuations/dach a"))
        assert isinstance(call, CommandCall)
        assert call.proposal.command == command
    for method, path in (
        ("GET", "/evacuations/a"),
        ("PUT", "/evacuations/a"),
        ("POST", "/evacuations"),
        ("POST", "/evacuation/a"),
    ):
        assert parse_operator_call(HttpRequest(method, path)) is None
