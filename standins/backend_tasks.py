"""Task state of the stand-in backend server.

Does no I/O and reads no clock: the time is a parameter.
"""

import json
import uuid
from functools import singledispatch

import attrs

from crocuswell_core.agent.backend import (
    Accepted,
    BackendCall,
    BackendReply,
    BackendTask,
    Describe,
    Described,
    FetchResult,
    ForgetOnBackend,
    Rejected,
    ResultFetched,
    StartOnBackend,
    StopOnBackend,
    ThrottleOnBackend,
)
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.cluster.resources import NO_RESOURCES, Resources

USAGE_LAG_MS = 1_000
MemberKey = tuple[AttemptId, int]


@attrs.frozen
class Payload:
    """Behaviour that a job's payload requests; unknown fields are ignored.

    Attributes
    ----------
    run_ms : int or None
        Actual run time in ms; None uses the declared run time.
    result_bytes : int
        Size of a generated result; 0 returns `echo` instead.
    echo : str
        Result of the task if `result_bytes` is 0.
    fail : bool
        Whether the task fails at its end.
    key : str
        Idempotency key under which starts are counted.
    """

    run_ms: int | None = None
    result_bytes: int = 0
    echo: str = "ok"
    fail: bool = False
    key: str = ""


@attrs.define
class SimulatedTask:
    """A started or fenced task.

    Attributes
    ----------
    call : StartOnBackend or None
        Call that started the task; None for a task that was fenced before
        it was started.
    resumed_progress_ms : int
        Run time in ms that the checkpoint it started from covers.
    stop_ms : int or None
        Time in ms at which a requested stop takes effect.
    throttle : int
        Percentage of the requested processors that it may use.
    forgotten : bool
        Whether the task is no longer listed; its key stays taken.
    """

    call: StartOnBackend | None
    payload: Payload
    state: str
    started_ms: int
    ends_ms: int
    lease_end_ms: int
    resumed_progress_ms: int = 0
    stop_ms: int | None = None
    writes_checkpoint: bool = False
    throttle: int = 100
    detail: str = ""
    checkpoint: bytes | None = None
    forgotten: bool = False


@attrs.define
class Backend:
    """State of the stand-in.

    Attributes
    ----------
    starts : dict
        Number of starts of each member; more than 1 is a violation of the
        protocol.
    key_starts : dict
        Number of starts of each idempotency key, counted for rank 0.
    fail_all : bool
        Whether every task that is started fails at once.
    most_running : int
        Largest number of tasks that ran at the same time.
    """

    info: WorkerInfo
    incarnation: str = attrs.Factory(lambda: uuid.uuid4().hex[:8])
    tasks: dict[MemberKey, SimulatedTask] = attrs.Factory(dict)
    fail_all: bool = False
    starts: dict[str, int] = attrs.Factory(dict)
    key_starts: dict[str, int] = attrs.Factory(dict)
    most_running: int = 0


def parse_payload(payload: bytes) -> Payload:
    """Parse a payload; return the defaults unless it is a JSON object."""
    try:
        data = json.loads(payload)
    except ValueError:
        return Payload()
    if not isinstance(data, dict):
        return Payload()
    names = {field.name for field in attrs.fields(Payload)}
    return Payload(**{name: data[name] for name in names & data.keys()})


def task_result(call: StartOnBackend, payload: Payload) -> bytes:
    """Return the result of a task, determined by its payload and rank."""
    if not payload.result_bytes:
        return payload.echo.encode()
    pattern = f"{call.attempt.request_id}/{call.rank};".encode()
    return (pattern * (payload.result_bytes // len(pattern) + 1))[
        : payload.result_bytes
    ]


def advance(backend: Backend, now_ms: int) -> None:
    """End the tasks that finish, stop or lose their lease by now."""
    for task in backend.tasks.values():
        if task.state != "running":
            continue
        stop_ms = task.stop_ms if task.stop_ms is not None else task.lease_end_ms
        next_end_ms = min(stop_ms, task.lease_end_ms, task.ends_ms)
        if now_ms < next_end_ms:
            continue
        if next_end_ms == task.ends_ms:
            task.state = "failed" if task.payload.fail else "finished"
            task.detail = "asked to fail" if task.payload.fail else ""
        elif next_end_ms == task.lease_end_ms:
            task.state, task.detail = "stopped", "lease ended"
        else:
            task.state = "stopped"
            if task.writes_checkpoint:
                done_ms = task.resumed_progress_ms + next_end_ms - task.started_ms
                task.checkpoint = json.dumps({"done_ms": done_ms}).encode()


def running_tasks(backend: Backend) -> list[SimulatedTask]:
    """Return the running tasks."""
    return [task for task in backend.tasks.values() if task.state == "running"]


# --- calls ---------------------------------------------------------------


def execute_call(call: BackendCall, backend: Backend, now_ms: int) -> BackendReply:
    """Advance the tasks to a time in ms and execute a call."""
    advance(backend, now_ms)
    return handle_call(call, backend, now_ms)


@singledispatch
def handle_call(call: BackendCall, backend: Backend, now_ms: int) -> BackendReply:
    """Execute a call."""
    raise NotImplementedError(type(call).__name__)


@handle_call.register
def _(call: Describe, backend: Backend, now_ms: int) -> BackendReply:
    if call.lease_until_ms:
        for task in running_tasks(backend):
            task.lease_end_ms = max(task.lease_end_ms, call.lease_until_ms)
    return Described(
        backend.info,
        backend.incarnation,
        tuple(
            _describe_task(member_key, task, now_ms)
            for member_key, task in backend.tasks.items()
            if not task.forgotten
        ),
    )


@handle_call.register
def _(call: StartOnBackend, backend: Backend, now_ms: int) -> BackendReply:
    member_key = (call.attempt, call.rank)
    if member_key in backend.tasks:
        return Rejected("the member is known", known=True)
    detail = _rejection_reason(call, backend, now_ms)
    if detail:
        return Rejected(detail)
    member_name = f"{call.attempt}.{call.rank}"
    payload = parse_payload(call.payload)
    if backend.fail_all:
        payload = attrs.evolve(payload, fail=True, run_ms=0)
    backend.starts[member_name] = backend.starts.get(member_name, 0) + 1
    if payload.key and call.rank == 0:
        count = backend.key_starts.get(payload.key, 0)
        backend.key_starts[payload.key] = count + 1
    resumed_progress_ms = (
        json.loads(call.checkpoint)["done_ms"] if call.checkpoint else 0
    )
    run_ms = call.run_time_ms if payload.run_ms is None else payload.run_ms
    backend.tasks[member_key] = SimulatedTask(
        call,
        payload,
        "running",
        now_ms,
        now_ms + max(0, run_ms - resumed_progress_ms),
        call.lease_until_ms,
        resumed_progress_ms,
    )
    backend.most_running = max(backend.most_running, len(running_tasks(backend)))
    return Accepted()


@handle_call.register
def _(call: StopOnBackend, backend: Backend, now_ms: int) -> BackendReply:
    member_key = (call.attempt, call.rank)
    task = backend.tasks.get(member_key)
    if task is None:
        backend.tasks[member_key] = SimulatedTask(
            None, Payload(), "fenced", now_ms, now_ms, now_ms
        )
        return Accepted()
    if task.forgotten:
        return Rejected("the member was dropped", known=True)
    if task.state == "running":
        stop_ms = now_ms + (call.checkpoint_ms or 0)
        task.stop_ms = min(stop_ms, task.stop_ms or stop_ms)
        task.writes_checkpoint = call.checkpoint_ms is not None
        advance(backend, now_ms)
    return Accepted()


@handle_call.register
def _(call: ThrottleOnBackend, backend: Backend, now_ms: int) -> BackendReply:
    task = backend.tasks.get((call.attempt, call.rank))
    if task is None or task.state != "running":
        return Rejected("no such running task")
    task.throttle = call.percent
    return Accepted()


@handle_call.register
def _(call: FetchResult, backend: Backend, now_ms: int) -> BackendReply:
    task = backend.tasks.get((call.attempt, call.rank))
    if task is None or task.call is None or task.forgotten:
        return Rejected("no such task")
    if task.state != "finished":
        return Rejected(f"the task is {task.state}", known=True)
    return ResultFetched(task_result(task.call, task.payload), "")


@handle_call.register
def _(call: ForgetOnBackend, backend: Backend, now_ms: int) -> BackendReply:
    task = backend.tasks.get((call.attempt, call.rank))
    if task is None:
        return Accepted()
    if task.state == "running":
        return Rejected("the task is running", known=True)
    task.forgotten = True
    return Accepted()


def _rejection_reason(call: StartOnBackend, backend: Backend, now_ms: int) -> str:
    if now_ms >= min(call.start_by_ms, call.lease_until_ms):
        return "too late"
    if backend.info.draining:
        return "draining"
    others = [task.call for task in running_tasks(backend) if task.call is not None]
    if len(others) >= backend.info.slots:
        return "no slot is free"
    required = sum((other.resources for other in others), call.resources)
    if not required.fits_in(backend.info.capacity):
        return "the resources are in use"
    accelerators_in_use = {index for other in others for index in other.accelerators}
    if accelerators_in_use.intersection(call.accelerators):
        return "an accelerator is in use"
    return ""


def _describe_task(
    member_key: MemberKey, task: SimulatedTask, now_ms: int
) -> BackendTask:
    call = task.call
    return BackendTask(
        *member_key,
        task.state,
        _usage(task, now_ms),
        task.detail,
        task.checkpoint,
        call.resources if call else NO_RESOURCES,
        call.accelerators if call else (),
    )


def _usage(task: SimulatedTask, now_ms: int) -> Resources:
    if task.call is None or now_ms - task.started_ms < USAGE_LAG_MS:
        return NO_RESOURCES
    requested = task.call.resources
    processors = requested.processors * task.throttle // 100
    return Resources(requested.accelerators, processors, requested.memory_mb * 7 // 8)
