"""Tasks of the stand-in backend server: pure, with time as a parameter."""

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
    """What a payload asks of the stand-in; unknown fields are ignored.

    Attributes
    ----------
    run_ms : int or None
        Real run time in ms; None runs for the declared time.
    result_bytes : int
        Size of a made-up result; 0 answers with `echo`.
    key : str
        Idempotency key under which starts are counted.
    """

    run_ms: int | None = None
    result_bytes: int = 0
    echo: str = "ok"
    fail: bool = False
    key: str = ""


@attrs.define
class StandinTask:
    """A task that was started or fenced."""

    call: StartOnBackend | None
    payload: Payload
    state: str
    started_ms: int
    ends_ms: int
    lease_end_ms: int
    resumed_ms: int = 0
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
        How often each member was started; more than 1 is a fault.
    key_starts : dict
        How often each idempotency key was started, for rank 0.
    """

    info: WorkerInfo
    incarnation: str = attrs.Factory(lambda: uuid.uuid4().hex[:8])
    tasks: dict[MemberKey, StandinTask] = attrs.Factory(dict)
    fail_all: bool = False
    starts: dict[str, int] = attrs.Factory(dict)
    key_starts: dict[str, int] = attrs.Factory(dict)
    most_running: int = 0


def parse_payload(payload: bytes) -> Payload:
    """Read a payload; one that is not a JSON object asks for nothing."""
    try:
        data = json.loads(payload)
    except ValueError:
        return Payload()
    if not isinstance(data, dict):
        return Payload()
    names = {field.name for field in attrs.fields(Payload)}
    return Payload(**{name: data[name] for name in names & data.keys()})


def result_of(call: StartOnBackend, payload: Payload) -> bytes:
    """Return the result of a task, which depends on its payload and rank."""
    if not payload.result_bytes:
        return payload.echo.encode()
    pattern = f"{call.attempt.request_id}/{call.rank};".encode()
    return (pattern * (payload.result_bytes // len(pattern) + 1))[
        : payload.result_bytes
    ]


def advance(backend: Backend, now_ms: int) -> None:
    """End the tasks whose time has come."""
    for task in backend.tasks.values():
        if task.state != "running":
            continue
        stop_ms = task.stop_ms if task.stop_ms is not None else task.lease_end_ms
        ends = min(stop_ms, task.lease_end_ms, task.ends_ms)
        if now_ms < ends:
            continue
        if ends == task.ends_ms:
            task.state = "failed" if task.payload.fail else "finished"
            task.detail = "asked to fail" if task.payload.fail else ""
        elif ends == task.lease_end_ms:
            task.state, task.detail = "stopped", "lease ended"
        else:
            task.state = "stopped"
            if task.writes_checkpoint:
                done_ms = task.resumed_ms + ends - task.started_ms
                task.checkpoint = json.dumps({"done_ms": done_ms}).encode()


def running(backend: Backend) -> list[StandinTask]:
    """Return the running tasks."""
    return [task for task in backend.tasks.values() if task.state == "running"]


# --- calls ---------------------------------------------------------------


def serve(call: BackendCall, backend: Backend, now_ms: int) -> BackendReply:
    """Carry out a call at a time in ms."""
    advance(backend, now_ms)
    return answer(call, backend, now_ms)


@singledispatch
def answer(call: BackendCall, backend: Backend, now_ms: int) -> BackendReply:
    """Carry out a call, dispatched on its type."""
    raise NotImplementedError(type(call).__name__)


@answer.register
def _(call: Describe, backend: Backend, now_ms: int) -> BackendReply:
    if call.lease_until_ms:
        for task in running(backend):
            task.lease_end_ms = max(task.lease_end_ms, call.lease_until_ms)
    return Described(
        backend.info,
        backend.incarnation,
        tuple(
            _listed(key, task, now_ms)
            for key, task in backend.tasks.items()
            if not task.forgotten
        ),
    )


@answer.register
def _(call: StartOnBackend, backend: Backend, now_ms: int) -> BackendReply:
    key = (call.attempt, call.rank)
    if key in backend.tasks:
        return Rejected("the member is known", known=True)
    detail = _why_not(call, backend, now_ms)
    if detail:
        return Rejected(detail)
    member = f"{call.attempt}.{call.rank}"
    payload = parse_payload(call.payload)
    if backend.fail_all:
        payload = attrs.evolve(payload, fail=True, run_ms=0)
    backend.starts[member] = backend.starts.get(member, 0) + 1
    if payload.key and call.rank == 0:
        count = backend.key_starts.get(payload.key, 0)
        backend.key_starts[payload.key] = count + 1
    resumed_ms = json.loads(call.checkpoint)["done_ms"] if call.checkpoint else 0
    run_ms = call.run_time_ms if payload.run_ms is None else payload.run_ms
    backend.tasks[key] = StandinTask(
        call,
        payload,
        "running",
        now_ms,
        now_ms + max(0, run_ms - resumed_ms),
        call.lease_until_ms,
        resumed_ms,
    )
    backend.most_running = max(backend.most_running, len(running(backend)))
    return Accepted()


@answer.register
def _(call: StopOnBackend, backend: Backend, now_ms: int) -> BackendReply:
    key = (call.attempt, call.rank)
    task = backend.tasks.get(key)
    if task is None:
        backend.tasks[key] = StandinTask(
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


@answer.register
def _(call: ThrottleOnBackend, backend: Backend, now_ms: int) -> BackendReply:
    task = backend.tasks.get((call.attempt, call.rank))
    if task is None or task.state != "running":
        return Rejected("no such running task")
    task.throttle = call.percent
    return Accepted()


@answer.register
def _(call: FetchResult, backend: Backend, now_ms: int) -> BackendReply:
    task = backend.tasks.get((call.attempt, call.rank))
    if task is None or task.call is None or task.forgotten:
        return Rejected("no such task")
    if task.state != "finished":
        return Rejected(f"the task is {task.state}", known=True)
    return ResultFetched(result_of(task.call, task.payload), "")


@answer.register
def _(call: ForgetOnBackend, backend: Backend, now_ms: int) -> BackendReply:
    task = backend.tasks.get((call.attempt, call.rank))
    if task is None:
        return Accepted()
    if task.state == "running":
        return Rejected("the task is running", known=True)
    task.forgotten = True
    return Accepted()


def _why_not(call: StartOnBackend, backend: Backend, now_ms: int) -> str:
    if now_ms >= min(call.start_by_ms, call.lease_until_ms):
        return "too late"
    if backend.info.draining:
        return "draining"
    others = [task.call for task in running(backend) if task.call is not None]
    if len(others) >= backend.info.slots:
        return "no slot is free"
    held = sum((other.resources for other in others), call.resources)
    if not held.fits_in(backend.info.capacity):
        return "the resources are in use"
    taken = {index for other in others for index in other.accelerators}
    if taken.intersection(call.accelerators):
        return "an accelerator is in use"
    return ""


def _listed(key: MemberKey, task: StandinTask, now_ms: int) -> BackendTask:
    call = task.call
    return BackendTask(
        *key,
        task.state,
        _usage(task, now_ms),
        task.detail,
        task.checkpoint,
        call.resources if call else NO_RESOURCES,
        call.accelerators if call else (),
    )


def _usage(task: StandinTask, now_ms: int) -> Resources:
    if task.call is None or now_ms - task.started_ms < USAGE_LAG_MS:
        return NO_RESOURCES
    asked = task.call.resources
    processors = asked.processors * task.throttle // 100
    return Resources(asked.accelerators, processors, asked.memory_mb * 7 // 8)
