"""Admission of jobs: who is declined, and that declined jobs never run."""

import attrs
import pytest

from bench.competing_callers import (
    ADMISSION,
    WORKSPACES,
    CompetingCallers,
    Competition,
    Flood,
    base_load,
)
from crocuswell_core.cluster.commands import Proposal, Refused
from crocuswell_core.consensus import replication
from crocuswell_core.dispatching.admission import (
    Prospect,
    Shortfall,
    find_shortfall,
    retry_after_ms,
)
from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_core.dispatching.index_checks import find_index_problems
from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.jobs.job_commands import (
    DeclineJob,
    JobAccepted,
    PutCatalog,
    SubmitJob,
)
from crocuswell_core.jobs.job_records import Schedule
from crocuswell_core.links.link_messages import LinkKeepalive
from crocuswell_core.runtime.effects import AnswerCall, Effect, EmitLogEvent
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import CallReceived
from tests.group_harness import Group
from tests.job_harness import (
    BATCH,
    LONG,
    URGENT,
    Leader,
    ReplicatedTable,
    address,
    catalog,
    step,
    worker,
)
from tests.test_front import Front, forwarded

DECLINE = DeclineJob("j", address(LONG), 2_000, "no_value", 40_000, 30_000)


def submission(known_index: int = 0, queue: str = LONG) -> SubmitJob:
    return SubmitJob("j", address(queue), "work", (step(),), known_index=known_index)


def is_declined(reply: object) -> bool:
    return isinstance(reply, Refused) and reply.kind is ErrorKind.OVERLOADED


# --- decision ------------------------------------------------------------


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({}, None),
        ({"wait_ms": 40_000.0}, "no_value"),
        ({"work_ms": 31_000.0, "wait_ms": 40_000.0}, None),
        ({"wait_ms": 40_000.0, "work_ms": 0.0, "objective_ms": 0}, None),
        ({"wait_ms": 8_000.0, "own_wait_ms": 7_000.0}, "over_share"),
        ({"wait_ms": 8_000.0, "own_wait_ms": 800.0}, None),
        ({"wait_ms": 8_000.0, "own_wait_ms": 8_000.0, "workspaces": 1}, None),
        ({"wait_ms": 1_000.0, "own_wait_ms": 1_000.0}, None),
    ],
)
def test_only_a_job_that_is_sure_to_be_late_is_declined(
    changes: dict[str, float], reason: str | None
) -> None:
    """Guards against refusals of jobs that the fleet could serve."""
    prospect = Prospect(0.0, 0.0, 5_000.0, 10_000, 10)
    shortfall = find_shortfall(attrs.evolve(prospect, **changes))
    assert (shortfall and shortfall.reason) == reason


def test_declined_callers_come_back_spread_out_and_longest_refused_first() -> None:
    """Guards against all declined callers returning at the same time."""
    shortfall = Shortfall("no_value", 40_000, 30_000)
    first = [retry_after_ms(shortfall, f"{n:016x}", 0) for n in range(200)]
    again = [retry_after_ms(shortfall, f"{n:016x}", 3) for n in range(200)]
    assert min(first) >= 10_000
    assert max(first) <= 20_000
    by_second = [
        sum(1_000 * s <= ms < 1_000 * s + 1_000 for ms in first) for s in range(10, 20)
    ]
    assert max(by_second) <= 50
    assert sum(again) < sum(first)


# --- leader --------------------------------------------------------------


def full_leader(features=ADMISSION, jobs: int = 40) -> Leader:
    """Return a leader with one worker of 8 accelerators and a long queue."""
    leader = Leader(features=features)
    leader.propose(PutCatalog(catalog()))
    for _ in range(100):
        leader.report(1, worker("w1"))
        leader.advance(400)
        leader.tick()
    for number in range(jobs):
        leader.submit(f"other-{number}", step(8), queue=BATCH)
    return leader


def test_job_without_a_chance_is_declined_and_does_not_run() -> None:
    """Guards against callers that hold on for a job that comes too late."""
    leader = full_leader(jobs=10)
    effects = leader.apply(attrs.evolve(submission(queue=BATCH), job_id="late"))
    names = [effect.event for effect in effects if isinstance(effect, EmitLogEvent)]
    assert "job_declined" in names
    assert "late" not in leader.state.cluster.jobs.jobs
    assert not find_index_problems(leader.state)


def test_switch_that_is_off_accepts_everything() -> None:
    """Guards against refusals in a deployment without the switch."""
    leader = full_leader(features=attrs.evolve(ADMISSION, admission=False))
    assert len(leader.state.cluster.jobs.jobs) == 40
    assert not leader.state.cluster.jobs.declined


@pytest.mark.parametrize(
    ("queue", "fields"),
    [(URGENT, {}), (BATCH, {"schedule": Schedule(2, 1, 1_000)})],
)
def test_guaranteed_and_repeated_jobs_are_not_declined(
    queue: str, fields: dict[str, object]
) -> None:
    """Guards against refusals of jobs whose workspace has a guarantee."""
    leader = full_leader()
    leader.apply(attrs.evolve(submission(queue=queue), **fields))
    assert "j" in leader.state.cluster.jobs.jobs


def test_step_that_no_known_worker_can_hold_is_declined() -> None:
    """Guards against jobs that wait for ever for a worker large enough."""
    leader = full_leader(jobs=0)
    leader.submit("small", step())
    leader.submit("large", step(accelerators=9))
    leader.submit("gang", step(9, gang=True))
    assert list(leader.state.cluster.jobs.jobs) == ["small"]


def test_calls_that_are_refused_for_another_reason_are_not_counted() -> None:
    """Guards against unknown callers who keep out those who are known."""
    leader = full_leader(jobs=0)
    stranger = attrs.evolve(submission(), address=address(LONG, "unknown"))
    for command in (stranger, attrs.evolve(submission(), steps=())):
        leader.apply(command)
    assert not leader.state.dispatch.waiting.backlog.by_job


# --- truth of refusals -----------------------------------------------------


def test_decline_after_an_acceptance_in_the_log_accepts() -> None:
    """Guards against a refusal of a job that was accepted and runs."""
    table = ReplicatedTable()
    table.submit("j", step())
    assert table.apply(DECLINE) == JobAccepted("j")


def test_copy_of_a_declined_call_is_refused_and_a_later_call_is_accepted() -> None:
    """Guards against a delayed copy that runs a job its caller saw refused."""
    table = ReplicatedTable()
    table.apply(PutCatalog(catalog()))
    assert is_declined(table.apply(DECLINE))
    assert is_declined(table.apply(submission(known_index=1)))
    assert table.apply(submission(known_index=2)) == JobAccepted("j")


def call(group: Group, name: str, call_id: int, command: SubmitJob) -> list[Effect]:
    """Send a call to a host and return what it answered within two seconds."""
    answers: list[Effect] = []
    execute = group._execute

    def note(host, effect) -> None:
        if isinstance(effect, AnswerCall) and effect.call_id == call_id:
            answers.append(effect.reply)
        execute(host, effect)

    group._execute = note
    event = CallReceived(call_id, CommandCall(Proposal("job/j", "", command)))
    group.post(group.hosts[name], event)
    group.run(2_000)
    group._execute = execute
    return answers


def test_copy_at_a_new_leader_is_refused_and_the_next_call_is_decided_anew() -> None:
    """Guards against a refusal that is forgotten with the leader."""
    group = Group(("a", "b", "c"))
    for name in group.seeds:
        group.start(name, founds=name == "a")
    group.run(8_000)
    group.propose(PutCatalog(catalog()))
    group.propose(DECLINE)
    old = group.leader()
    group.kill(old.name)
    group.run(4_000)
    new = group.leader()
    assert new.name != old.name
    # A front's or a host's copy of the call, from before the refusal.
    replies = replication.propose(new.state, Proposal("job/j", "", submission()))
    group._execute_effects(new, replies)
    group.run(1_000)
    assert "j" not in new.state.cluster.jobs.jobs
    # The caller comes back to a host that knows of the refusal.
    follower = next(name for name in group.hosts if name != new.name)
    assert call(group, follower, 7, submission()) == [JobAccepted("j")]
    assert not new.state.cluster.jobs.declined


def test_front_tells_what_it_knew_when_it_received_the_call() -> None:
    """Guards against a resent copy that passes for a later call."""
    front = Front()
    front.attach()
    front.receive(LinkKeepalive(40))
    event = CallReceived(7, CommandCall(Proposal("job/j", "", submission())))
    first = forwarded(front.post(event))
    front.receive(LinkKeepalive(50))
    again = forwarded(front.tick(400))
    assert first == again
    assert first[0].call.proposal.command.known_index == 40


# --- loads -----------------------------------------------------------------


class CheckedCallers(CompetingCallers):
    """Compares the kept sums with new ones after every event."""

    def check(self) -> None:
        assert not find_index_problems(self.leader.state)


def test_sums_of_waiting_work_match_the_jobs_under_a_flood() -> None:
    """Guards against sums that drift away from the jobs that wait."""
    load = attrs.evolve(
        base_load(0.4), workers=8, lead_ms=6_000, length_ms=5_000, finish_ms=3_000
    )
    flood = Flood(20.0, at_ms=500, for_ms=4_000)
    played = CheckedCallers(Competition(load, flood), 1, ADMISSION)
    played.play()
    assert played.refusals


@pytest.mark.parametrize("seed", [1, 2])
def test_flood_from_one_caller_leaves_the_others_most_of_their_value(
    seed: int,
) -> None:
    """Guards against one caller whose flood takes what is the others'."""
    load = attrs.evolve(base_load(0.25), workers=8, length_ms=20_000)
    flooded = Competition(load, Flood(40.0, at_ms=4_000, for_ms=8_000))
    earned = {}
    for features in (DispatchFeatures(), ADMISSION):
        played = CompetingCallers(flooded, seed, features)
        played.play()
        others = played.callers(*range(1, WORKSPACES))
        earned[features.admission] = others.value + played.callers(0).value
    assert others.value >= 0.8 * others.owed
    assert earned[True] >= earned[False]
