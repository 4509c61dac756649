"""Handlers of a front: forwarding of calls, retries, timeouts, readiness.

Calls are idempotent, because a job is submitted, cancelled and read by its
own id, so each may be sent again. A call that was never sent has not run;
a call that was sent but not answered may have run.
"""

from functools import singledispatch

from crocuswell_core.cluster.commands import Refused
from crocuswell_core.entry.calls import CommandCall, note_known_index
from crocuswell_core.front.front_state import FrontState, PendingCall
from crocuswell_core.front.relaying import (
    close_relayed,
    find_relayed,
    forward_attach,
    forward_message,
)
from crocuswell_core.jobs.job_commands import GetJob, JobRead
from crocuswell_core.links import uplink as uplink_stream
from crocuswell_core.links.link_messages import CallAnswered, ForwardCall
from crocuswell_core.runtime import shared_handlers  # noqa: F401  (registers them)
from crocuswell_core.runtime.dispatch import (
    handle,
    handle_call_abandoned,
    handle_call_received,
    handle_stream_closed,
    handle_stream_message,
    handle_stream_opened,
    handle_timer,
    replace_seeds,
    tick_uplink,
)
from crocuswell_core.runtime.effects import (
    AnswerCall,
    Count,
    Effect,
    EmitLogEvent,
    Halt,
    Label,
    Observe,
    SetReady,
    StartTimer,
)
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import (
    CallAbandoned,
    CallReceived,
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
    FrontBooted,
    FrontStopRequested,
)
from crocuswell_core.runtime.timers import FrontTimer

FRONT_TICK_MS = 100
RETRY_AFTER_MS = 1_000
# Callers come back a few times only, so that after a long absence of the
# leader they are told to wait longer, up to this time.
MAX_RETRY_AFTER_MS = 4_000


@handle.register
def _(event: FrontBooted, state: FrontState) -> list[Effect]:
    return [
        *uplink_stream.start(state.uplink, state.now_ms),
        StartTimer(FrontTimer(), FRONT_TICK_MS),
    ]


@handle.register
def _(event: FrontStopRequested, state: FrontState) -> list[Effect]:
    if state.stopping_since_ms is not None:
        return []
    state.stopping_since_ms = state.now_ms
    state.ready = False
    return [EmitLogEvent("stopping"), SetReady(False)]


@replace_seeds.register
def _(state: FrontState, seeds: tuple[str, ...]) -> None:
    state.uplink.seeds = seeds


@tick_uplink.register
def _(state: FrontState) -> list[Effect]:
    return uplink_stream.tick(state.uplink, state.now_ms)


@handle_stream_opened.register
def _(state: FrontState, event: EntryStreamOpened) -> list[Effect]:
    relayed = find_relayed(state, event.stream_id)
    if relayed is not None:
        return forward_attach(relayed)
    return uplink_stream.handle_opened(state.uplink, state.now_ms, event)


@handle_stream_closed.register
def _(state: FrontState, event: EntryStreamClosed) -> list[Effect]:
    relayed = find_relayed(state, event.stream_id)
    if relayed is not None:
        return close_relayed(state, relayed)
    return uplink_stream.handle_closed(state.uplink, state.now_ms, event)


@handle_stream_message.register
def _(state: FrontState, event: EntryMessageReceived) -> list[Effect]:
    relayed = find_relayed(state, event.stream_id)
    if relayed is not None:
        return forward_message(relayed, event.message)  # type: ignore[arg-type]
    if event.stream_id != state.uplink.stream_id:
        # Answers on a relayed stream that was closed are for another front.
        return []
    was_attached = state.uplink.is_attached
    effects = uplink_stream.handle_message(
        state.uplink,
        state.now_ms,
        event.stream_id,
        event.message,  # type: ignore[arg-type]
    )
    if isinstance(event.message, CallAnswered):
        return [*effects, *_handle_answer(state, event.message)]
    if state.uplink.is_attached and not was_attached:
        for call in state.calls.values():
            effects += _send(state, call)
        effects += _update_readiness(state)
    return effects


# --- calls ---------------------------------------------------------------


@handle_call_received.register
def _(state: FrontState, event: CallReceived) -> list[Effect]:
    noted = note_known_index(event.call, state.uplink.known_index)
    call = PendingCall(event.call_id, noted, state.now_ms)  # type: ignore[arg-type]
    state.calls[event.call_id] = call
    if _is_leaderless(state):
        return _expire_call(state, call)
    return _send(state, call)


@handle_call_abandoned.register
def _(state: FrontState, event: CallAbandoned) -> list[Effect]:
    call = state.calls.pop(event.call_id, None)
    return _count_answer(state, call, "abandoned") if call else []


def _send(state: FrontState, call: PendingCall) -> list[Effect]:
    silence_ms = state.now_ms - state.uplink.last_leader_ms
    if silence_ms > state.cfg.silence_limit_ms:
        # The leader may be gone. A call that is not sent to it certainly has
        # not run, and its caller can be told so.
        return []
    effects = uplink_stream.send(
        state.uplink, state.now_ms, ForwardCall(call.call_id, call.call)
    )
    if effects:
        call.sent = True
        call.sent_ms = state.now_ms
    return effects


def _handle_answer(state: FrontState, message: CallAnswered) -> list[Effect]:
    call = state.calls.get(message.call_id)
    if call is None:
        return [Count("front_answers_late")]
    reply = message.reply
    if isinstance(reply, Refused) and reply.kind is ErrorKind.UNAVAILABLE:
        # The timer retries the call, perhaps with another leader.
        return []
    del state.calls[message.call_id]
    counts = _count_answer(state, call, _answer_name(reply))
    return [*counts, AnswerCall(message.call_id, reply)]


def _count_answer(state: FrontState, call: PendingCall, answer: str) -> list[Effect]:
    name = _call_labels(call.call)[0]
    waited_s = (state.now_ms - call.received_ms) / 1_000
    return [
        Count("calls_total", labels=(name, Label("answer", answer))),
        Observe("call_seconds", waited_s, (name,)),
    ]


@singledispatch
def _answer_name(reply: object) -> str:
    """Return the label value of an answer in the metrics."""
    return "ok"


@_answer_name.register
def _(reply: Refused) -> str:
    return reply.kind.value


@handle_timer.register
def _(timer: FrontTimer, state: FrontState) -> list[Effect]:
    effects: list[Effect] = [StartTimer(timer, FRONT_TICK_MS)]
    for call in list(state.calls.values()):
        waited_ms = state.now_ms - call.received_ms
        is_hopeless = _is_leaderless(state) and not _may_have_run(call.call, call)
        if is_hopeless or waited_ms >= state.cfg.call_limit_ms:
            effects += _expire_call(state, call)
        elif not call.sent or state.now_ms - call.sent_ms >= state.cfg.retry_ms:
            effects += _send(state, call)
    return [*effects, *_update_readiness(state), *_halt_when_idle(state)]


@singledispatch
def _may_have_run(forwarded: CommandCall | JobRead, call: PendingCall) -> bool:
    """Tell whether a call may have had an effect; a read has none."""
    return False


@_may_have_run.register
def _(forwarded: CommandCall, call: PendingCall) -> bool:
    return call.sent


def _is_leaderless(state: FrontState) -> bool:
    """Tell whether a leader has been out of reach for longer than usual."""
    absence_ms = uplink_stream.leaderless_ms(state.uplink, state.now_ms)
    return absence_ms >= state.cfg.leaderless_limit_ms


def _retry_after_ms(state: FrontState) -> int:
    """Return when a caller should come back, in ms.

    The longer the leader has been absent, the longer it may stay so.
    """
    absence_ms = uplink_stream.leaderless_ms(state.uplink, state.now_ms)
    return max(RETRY_AFTER_MS, min(absence_ms, MAX_RETRY_AFTER_MS))


def _expire_call(state: FrontState, call: PendingCall) -> list[Effect]:
    del state.calls[call.call_id]
    if _may_have_run(call.call, call):
        kind, detail = ErrorKind.UNAVAILABLE, "the leader has not answered in time"
    else:
        kind, detail = ErrorKind.OVERLOADED, "no leader is in reach"
    labels = (
        *_call_labels(call.call),
        Label("reason", detail),
        Label("waited_ms", str(state.now_ms - call.received_ms)),
        Label("leader", state.uplink.address),
        Label("attached", str(state.uplink.is_attached)),
    )
    return [
        EmitLogEvent("call_given_up", labels),
        *_count_answer(state, call, kind.value),
        AnswerCall(call.call_id, Refused(kind, detail, _retry_after_ms(state))),
    ]


@singledispatch
def _call_labels(call: CommandCall | JobRead) -> tuple[Label, ...]:
    """Return the labels that identify a call in a log line."""
    return (Label("call", type(call).__name__),)


@_call_labels.register
def _(call: CommandCall) -> tuple[Label, ...]:
    command = call.proposal.command
    job_id = getattr(command, "job_id", "")
    return (Label("call", type(command).__name__), Label("job", job_id))


@_call_labels.register
def _(call: GetJob) -> tuple[Label, ...]:
    return (Label("call", type(call).__name__), Label("job", call.job_id))


def _update_readiness(state: FrontState) -> list[Effect]:
    """Be ready while a leader is reachable or was so until recently."""
    uplink = state.uplink
    is_leader_reachable = uplink.is_attached or (
        uplink.last_attached_ms > 0
        and state.now_ms - uplink.last_lost_ms < state.cfg.ready_grace_ms
    )
    ready = is_leader_reachable and state.stopping_since_ms is None
    if ready == state.ready:
        return []
    state.ready = ready
    return [SetReady(ready), EmitLogEvent("ready" if ready else "not_ready")]


def _halt_when_idle(state: FrontState) -> list[Effect]:
    if state.stopping_since_ms is None:
        return []
    elapsed_ms = state.now_ms - state.stopping_since_ms
    idle = not state.calls and elapsed_ms >= state.cfg.drain_ms
    if idle or elapsed_ms >= state.cfg.stop_limit_ms:
        return [Halt()]
    return []
