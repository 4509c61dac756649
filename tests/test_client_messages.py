"""Messages of runners, fronts and joining hosts that must not end a leader."""

import typing
from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from crocuswell_core.cluster.commands import AdvanceTime, Proposal
from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.jobs.job_commands import (
    CancelJob,
    GetJob,
    JobAccepted,
    JobRead,
    JobView,
    PutCatalog,
    SubmitJob,
)
from crocuswell_core.jobs.job_records import (
    CrashedRun,
    JobPhase,
    RunEnd,
    RunEndKind,
    RunId,
    RunProgress,
    StepSpec,
    TaskId,
    WorkerCrash,
)
from crocuswell_core.links.link_messages import (
    Attach,
    CallAnswered,
    ClientMessage,
    ForwardCall,
    JoinGroup,
    WorkerReport,
)
from crocuswell_core.runtime.events import AgentMessageReceived
from tests.job_harness import (
    HOST,
    KEY,
    LONG,
    Leader,
    address,
    catalog,
    run_of,
    step,
    worker,
)

W1 = worker("w1")
REPEATABLE = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    suppress_health_check=list(HealthCheck),
)
# Names that occur in the state, so that messages reach more than a look-up.
NAMES = st.sampled_from(["j", "press", "m-w1", "w1", LONG, f"/{LONG}/", HOST, KEY])
NUMBERS = st.integers(-3, 10) | st.integers()


@pytest.fixture
def known_names() -> Iterator[None]:
    """Draw names and numbers that may occur in the state."""
    st.register_type_strategy(str, NAMES | st.text(max_size=6))
    st.register_type_strategy(int, NUMBERS)
    yield
    st.register_type_strategy(str, st.text(max_size=8))
    st.register_type_strategy(int, st.integers())


def proposals(command: type) -> st.SearchStrategy[CommandCall]:
    proposal = st.builds(Proposal, st.just(""), st.just(""), st.from_type(command))
    return st.builds(CommandCall, proposal)


CALLS = st.one_of(
    *(proposals(command) for command in (SubmitJob, CancelJob, PutCatalog)),
    *(st.from_type(read) for read in typing.get_args(JobRead)),
)
MESSAGES = {
    "calls": st.builds(ForwardCall, NUMBERS, CALLS),
    "reports": st.from_type(WorkerReport),
    "joining": st.from_type(JoinGroup) | st.from_type(Attach),
}


def busy_leader() -> Leader:
    leader = Leader()
    leader.propose(PutCatalog(catalog()))
    leader.report(1, W1)
    leader.submit("j", step(3))
    return leader


@pytest.mark.usefixtures("known_names")
@pytest.mark.parametrize("kind", MESSAGES)
def test_no_message_of_a_client_ends_the_leader(kind: str) -> None:
    """Guards against a message that ends each leader in turn."""

    @REPEATABLE
    @given(st.lists(MESSAGES[kind], min_size=1, max_size=4))
    def check(messages: list[ClientMessage]) -> None:
        leader = busy_leader()
        for message in messages:
            leader.post(AgentMessageReceived(1, message))
            leader.tick()
        leader.advance(300)
        leader.tick()

    check()


NO_TASKS = [
    RunId(TaskId("j", of_step, index, occurrence), 1)
    for of_step, index, occurrence in [(7, 0, 0), (-1, 0, 0), (0, 99, 0), (0, 0, 9)]
]


@pytest.mark.parametrize("run", NO_TASKS)
def test_run_that_names_no_task_is_stopped(run: RunId) -> None:
    """Guards against a worker's list that ends each leader in turn."""
    leader = busy_leader()
    end = RunEnd(1, run, RunEndKind.FAILED)
    leader.report(1, W1, [RunProgress(run, "c", 5)], [end], absent=(run,))
    leader.tick()
    stops = [
        stop.run for sent in leader.sent for stop in getattr(sent.message, "stops", ())
    ]
    assert run in stops


@pytest.mark.parametrize(
    "crash",
    [
        WorkerCrash("", "", -1, ()),
        WorkerCrash("m-w1", "a@b/c", 3, (CrashedRun(NO_TASKS[0], -5, -5),)),
        WorkerCrash("m-other", "w9", 3, (CrashedRun(run_of("j"), 5, 5),)),
    ],
)
def test_crash_that_names_nothing_known_changes_no_task(crash: WorkerCrash) -> None:
    """Guards against a malformed crash that ends each leader in turn."""
    leader = busy_leader()
    leader.report(1, W1, crashes=(crash,))
    leader.tick()
    tasks = leader.state.cluster.jobs.jobs["j"].occurrences[0].tasks[0]
    assert not any(task.crashes for task in tasks)


def test_front_cannot_forward_commands_of_the_system() -> None:
    """Guards against a front whose faulty call changes what only hosts may."""
    leader = busy_leader()
    command = AdvanceTime()
    before = leader.state.cluster.now_ms
    leader.now_ms += 50
    call = ForwardCall(5, CommandCall(Proposal("", "", command)))
    leader.post(AgentMessageReceived(1, call))
    answers = [
        sent.message for sent in leader.sent if isinstance(sent.message, CallAnswered)
    ]
    assert [answer.reply.kind.value for answer in answers] == ["invalid_request"]
    assert leader.state.cluster.now_ms == before


def test_caller_commands_and_reads_are_forwarded() -> None:
    """Guards against refusing the calls that fronts are there for."""
    leader = busy_leader()
    spec = SubmitJob(
        "k", address(LONG), "work", (StepSpec(1, W1.capacity + W1.capacity),)
    )
    leader.post(
        AgentMessageReceived(1, ForwardCall(5, CommandCall(Proposal("", "", spec))))
    )
    leader.post(AgentMessageReceived(1, ForwardCall(6, GetJob("k", address(LONG)))))
    replies = [
        sent.message.reply
        for sent in leader.sent
        if isinstance(sent.message, CallAnswered)
    ]
    assert replies == [JobAccepted("k"), JobView("k", JobPhase.QUEUED)]
