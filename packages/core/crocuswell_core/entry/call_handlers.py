"""Handling of calls from callers and operators on an entry host.

Every entry host serves all calls. A command is proposed, and answered once it
is applied on this host. A read is answered once this host has applied the
entries up to the leader's commit index.
"""

from functools import singledispatch

from crocuswell_core.cluster.commands import AdvanceTime, Proposal, Refused
from crocuswell_core.cluster.records import RequestPhase
from crocuswell_core.consensus import election, replication
from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.consensus.peer_messages import ReadIndexReply, ReadIndexRequest
from crocuswell_core.entry.calls import (
    CommandCall,
    ExplainRequest,
    GetConfiguration,
    GetEvacuations,
    GetForecasts,
    GetHistory,
    GetMembers,
    GetRequest,
    GetWorkers,
    ListRequests,
    ReadCall,
    note_known_index,
)
from crocuswell_core.entry.entry_state import EntryState, PendingCall, PendingProposal
from crocuswell_core.entry.replies import ReadReply, RequestView
from crocuswell_core.jobs.job_commands import CountPending, GetCatalog, GetJob
from crocuswell_core.runtime.dispatch import (
    answer_read,
    handle_call,
    handle_call_abandoned,
    handle_call_received,
    handle_peer_message,
    handle_timer,
    notify,
    translate_effect,
)
from crocuswell_core.runtime.effects import (
    AnswerCall,
    CancelTimer,
    Effect,
    RequestEnded,
    SendPeer,
    SetReady,
    StartTimer,
)
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import CallAbandoned, CallReceived
from crocuswell_core.runtime.notices import CommandApplied, EntriesApplied
from crocuswell_core.runtime.timers import CallTimer, ClusterTimer, RetryTimer

UNAVAILABLE_RETRY_MS = 1_000

# A stopping host accepts calls for this long after `/readyz` starts to fail,
# so that the load balancer removes it first.
SHUTDOWN_DELAY_MS = 1_000


def proposal_key(proposal: Proposal) -> str:
    """Return the key of a proposal: its command id and content digest."""
    return f"{proposal.command_id}#{proposal.digest}"


def submit_proposal(state: EntryState, proposal: Proposal) -> list[Effect]:
    """Propose a command and resend it until it is applied on this host."""
    is_leader = state.consensus.role is Role.LEADER
    term = state.consensus.term if is_leader else 0
    key = proposal_key(proposal)
    previous = state.proposals.get(key)
    first_sent_ms = previous.first_sent_ms if previous else state.now_ms
    state.proposals[key] = PendingProposal(proposal, state.now_ms, first_sent_ms, term)
    return replication.propose(state, proposal)


def has_leader_contact(state: EntryState) -> bool:
    """Return whether a leader was in contact within the admission lease."""
    if election.holds_lease(state):
        return True
    age_ms = state.now_ms - state.consensus.last_leader_contact_ms
    return age_ms < state.cfg.admission_lease_ms


@handle_call_received.register
def _(state: EntryState, event: CallReceived) -> list[Effect]:
    if not has_leader_contact(state):
        return [AnswerCall(event.call_id, _unavailable("no leader is in reach"))]
    if state.stopping and state.now_ms - state.stopping_since_ms >= SHUTDOWN_DELAY_MS:
        return [AnswerCall(event.call_id, _unavailable("the entry host is stopping"))]
    call = event.call
    if event.call_id > 0:
        # A front has noted this for a call that it forwards.
        call = note_known_index(call, state.consensus.commit_index)
    return handle_call(call, state, event.call_id)


@handle_call_abandoned.register
def _(state: EntryState, event: CallAbandoned) -> list[Effect]:
    _drop_call(state, event.call_id)
    return _drop_waiting_read(state, event.call_id)


@handle_call.register
def _(call: CommandCall, state: EntryState, call_id: int) -> list[Effect]:
    proposal = call.proposal
    cached_reply = state.cluster.cached_replies.get(proposal.command_id)
    if cached_reply is not None and cached_reply.digest == proposal.digest:
        return [AnswerCall(call_id, cached_reply.reply)]
    key = proposal_key(proposal)
    state.calls[call_id] = PendingCall(call_id, state.now_ms, proposal_key=key)
    state.calls_by_proposal.setdefault(key, []).append(call_id)
    if key in state.proposals:
        return []
    return submit_proposal(state, proposal)


@handle_call.register(GetRequest)
@handle_call.register(ListRequests)
@handle_call.register(GetConfiguration)
@handle_call.register(GetHistory)
@handle_call.register(GetWorkers)
@handle_call.register(GetEvacuations)
@handle_call.register(ExplainRequest)
@handle_call.register(GetJob)
@handle_call.register(CountPending)
@handle_call.register(GetCatalog)
def _(call: ReadCall, state: EntryState, call_id: int) -> list[Effect]:
    pending = PendingCall(call_id, state.now_ms, read=call)
    state.calls[call_id] = pending
    return _ask_read_index(state, pending)


@handle_call.register(GetMembers)
@handle_call.register(GetForecasts)
def _(call: ReadCall, state: EntryState, call_id: int) -> list[Effect]:
    return [AnswerCall(call_id, answer_read(call, state))]


@handle_peer_message.register
def _(message: ReadIndexRequest, state: EntryState, sender: str) -> list[Effect]:
    if not election.holds_lease(state):
        return []
    index = state.consensus.commit_index
    return [SendPeer(sender, ReadIndexReply(message.read_id, index))]


@handle_peer_message.register
def _(message: ReadIndexReply, state: EntryState, sender: str) -> list[Effect]:
    pending = state.calls.get(message.read_id)
    if pending is None or pending.read is None:
        return []
    pending.read_index = message.index
    return _answer_if_applied(state, pending)


@notify.register
def _(notice: CommandApplied, state: EntryState) -> list[Effect]:
    key = proposal_key(notice.proposal)
    state.proposals.pop(key, None)
    call_ids = state.calls_by_proposal.pop(key, [])
    for call_id in call_ids:
        state.calls.pop(call_id, None)
    return [AnswerCall(call_id, notice.reply) for call_id in call_ids]


@notify.register
def _(notice: EntriesApplied, state: EntryState) -> list[Effect]:
    effects: list[Effect] = []
    for pending in list(state.calls.values()):
        effects += _answer_if_applied(state, pending)
    return effects


@translate_effect.register
def _(effect: RequestEnded, state: EntryState) -> list[Effect]:
    effects: list[Effect] = []
    for call_id in state.waiting_calls_by_request.pop(effect.request_id, []):
        call = state.waiting_reads.pop(call_id)
        effects += [
            CancelTimer(CallTimer(call_id)),
            AnswerCall(call_id, answer_read(call, state)),
        ]
    return effects


@handle_timer.register
def _(timer: CallTimer, state: EntryState) -> list[Effect]:
    call = state.waiting_reads.get(timer.call_id)
    if call is None:
        return []
    _drop_waiting_read(state, timer.call_id)
    return [AnswerCall(timer.call_id, answer_read(call, state))]


@handle_timer.register
def _(timer: RetryTimer, state: EntryState) -> list[Effect]:
    effects: list[Effect] = [StartTimer(timer, state.cfg.retry_ms)]
    ready = has_leader_contact(state) and not state.stopping
    if ready != state.ready:
        state.ready = ready
        effects.append(SetReady(ready))
    for pending in list(state.calls.values()):
        effects += _retry_call(state, pending)
    for proposal in list(state.proposals.values()):
        effects += _retry_proposal(state, proposal)
    return effects


@handle_timer.register
def _(timer: ClusterTimer, state: EntryState) -> list[Effect]:
    state.cluster_timer_at_ms = None
    if state.consensus.role is not Role.LEADER:
        return []
    return replication.propose(state, Proposal("", "", AdvanceTime()))


def answer_waiting_reads(state: EntryState) -> list[Effect]:
    """Answer all reads that wait for an outcome with the current state."""
    effects: list[Effect] = []
    for call_id, call in list(state.waiting_reads.items()):
        effects += _drop_waiting_read(state, call_id)
        effects.append(AnswerCall(call_id, answer_read(call, state)))
    return effects


def answer_settled_reads(state: EntryState) -> list[Effect]:
    """Answer the waiting reads whose outcome came with a snapshot."""
    effects: list[Effect] = []
    for call_id, call in list(state.waiting_reads.items()):
        reply = answer_read(call, state)
        if is_settled(reply):
            effects += _drop_waiting_read(state, call_id)
            effects.append(AnswerCall(call_id, reply))
    return effects


def _ask_read_index(state: EntryState, pending: PendingCall) -> list[Effect]:
    pending.sent_ms = state.now_ms
    if election.holds_lease(state):
        pending.read_index = state.consensus.commit_index
        return _answer_if_applied(state, pending)
    leader = state.consensus.leader
    if leader is None or leader == state.cfg.host.id:
        return []
    return [SendPeer(leader, ReadIndexRequest(pending.call_id))]


def _answer_if_applied(state: EntryState, pending: PendingCall) -> list[Effect]:
    if pending.read is None or pending.read_index is None:
        return []
    if pending.read_index > state.consensus.applied_index:
        return []
    del state.calls[pending.call_id]
    reply = answer_read(pending.read, state)
    wait_ms = _max_wait_ms(pending.read, reply) - (state.now_ms - pending.received_ms)
    if wait_ms <= 0:
        return [AnswerCall(pending.call_id, reply)]
    return _wait_for_outcome(pending.read, state, pending.call_id, wait_ms)


@singledispatch
def _max_wait_ms(call: ReadCall, reply: ReadReply) -> int:
    """Return the time in ms for which the call may wait for an outcome."""
    return 0


@_max_wait_ms.register
def _(call: GetRequest, reply: ReadReply) -> int:
    return 0 if is_settled(reply) else call.wait_ms


@singledispatch
def _wait_for_outcome(
    call: ReadCall, state: EntryState, call_id: int, wait_ms: int
) -> list[Effect]:
    raise NotImplementedError(type(call).__name__)


@_wait_for_outcome.register
def _(call: GetRequest, state: EntryState, call_id: int, wait_ms: int) -> list[Effect]:
    state.waiting_reads[call_id] = call
    state.waiting_calls_by_request.setdefault(call.request_id, []).append(call_id)
    return [StartTimer(CallTimer(call_id), wait_ms)]


@singledispatch
def is_settled(reply: ReadReply) -> bool:
    """Return whether the reply is final, so that waiting is of no use."""
    return True


@is_settled.register
def _(reply: RequestView) -> bool:
    return reply.request.phase is RequestPhase.DONE


def _retry_call(state: EntryState, pending: PendingCall) -> list[Effect]:
    if state.now_ms - pending.received_ms >= state.cfg.call_limit_ms:
        _drop_call(state, pending.call_id)
        detail = "no majority answered in time"
        return [AnswerCall(pending.call_id, _unavailable(detail))]
    awaits_index = pending.read is not None and pending.read_index is None
    if awaits_index and state.now_ms - pending.sent_ms >= state.cfg.retry_ms:
        return _ask_read_index(state, pending)
    return []


def _retry_proposal(state: EntryState, pending: PendingProposal) -> list[Effect]:
    if state.now_ms - pending.sent_ms < state.cfg.retry_ms:
        return []
    is_leader = state.consensus.role is Role.LEADER
    # This leader already appended the proposal to its log in this term.
    if is_leader and pending.term == state.consensus.term:
        return []
    key = proposal_key(pending.proposal)
    waited_ms = state.now_ms - pending.first_sent_ms
    if waited_ms >= state.cfg.call_limit_ms and not state.calls_by_proposal.get(key):
        del state.proposals[key]
        return []
    return submit_proposal(state, pending.proposal)


def _drop_call(state: EntryState, call_id: int) -> None:
    pending = state.calls.pop(call_id, None)
    if pending is None or not pending.proposal_key:
        return
    waiting_calls = state.calls_by_proposal.get(pending.proposal_key, [])
    if call_id in waiting_calls:
        waiting_calls.remove(call_id)
    # No caller is left. The command may still be applied, and a caller that
    # resends it with the same key gets that reply.
    if not waiting_calls:
        state.calls_by_proposal.pop(pending.proposal_key, None)
        state.proposals.pop(pending.proposal_key, None)


def _drop_waiting_read(state: EntryState, call_id: int) -> list[Effect]:
    call = state.waiting_reads.pop(call_id, None)
    if call is None:
        return []
    waiting_calls = state.waiting_calls_by_request[call.request_id]
    waiting_calls.remove(call_id)
    if not waiting_calls:
        del state.waiting_calls_by_request[call.request_id]
    return [CancelTimer(CallTimer(call_id))]


def _unavailable(detail: str) -> Refused:
    return Refused(ErrorKind.UNAVAILABLE, detail, retry_after_ms=UNAVAILABLE_RETRY_MS)
