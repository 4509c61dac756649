"""Agent sessions on an entry host: announcements, orders, heartbeats."""

import attrs

from crocuswell_core.agent.agent_messages import (
    AgentHeartbeat,
    DrainNotice,
    EntryHeartbeat,
    Goodbye,
    Hello,
    Order,
    Orders,
    ReportAck,
    SendReports,
    Welcome,
)
from crocuswell_core.cluster.allocations import members_on
from crocuswell_core.cluster.attempts import desired_order
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    AnnounceWorker,
    Command,
    Proposal,
    RecordReports,
)
from crocuswell_core.cluster.records import WorkerMode
from crocuswell_core.cluster.usage import check_usage
from crocuswell_core.entry.call_handlers import (
    answer_settled_reads,
    proposal_key,
    submit_proposal,
)
from crocuswell_core.entry.entry_state import AgentSession, EntryState
from crocuswell_core.links.client_streams import remove_client
from crocuswell_core.runtime.counter_values import iter_increases
from crocuswell_core.runtime.dispatch import (
    handle_agent_message,
    handle_client_closed,
    handle_client_message,
    handle_timer,
    notify,
    translate_effect,
)
from crocuswell_core.runtime.effects import (
    CloseAgentStream,
    Count,
    Effect,
    Label,
    OrderWorker,
    ReportsRecorded,
    SendAgent,
    StartTimer,
    WorkerAnnounced,
)
from crocuswell_core.runtime.events import AgentMessageReceived, AgentStreamClosed
from crocuswell_core.runtime.notices import SnapshotInstalled
from crocuswell_core.runtime.timers import LivenessTimer, SessionTimer


@handle_client_message.register
def _(state: EntryState, event: AgentMessageReceived) -> list[Effect]:
    worker = state.streams.get(event.stream_id)
    if worker is not None:
        state.sessions[worker].last_heard_ms = state.now_ms
    client = state.clients.get(event.stream_id)
    if client is not None:
        client.silent_keepalives = 0
    return handle_agent_message(event.message, state, event.stream_id)


@handle_client_closed.register
def _(state: EntryState, event: AgentStreamClosed) -> list[Effect]:
    session = find_session(state, event.stream_id)
    if session is not None:
        state.closed_sessions.append(session)
    _remove_session(state, event.stream_id)
    remove_client(state, event.stream_id)
    return []


@handle_agent_message.register
def _(message: Hello, state: EntryState, stream_id: int) -> list[Effect]:
    worker = message.info.worker
    effects: list[Effect] = []
    previous = state.sessions.get(worker)
    if previous is not None and previous.stream_id != stream_id:
        _remove_session(state, previous.stream_id)
        effects.append(CloseAgentStream(previous.stream_id))
    session = AgentSession(
        stream_id=stream_id,
        worker=worker,
        incarnation=message.incarnation,
        last_heard_ms=state.now_ms,
        info=message.info,
        backend_incarnation=message.backend_incarnation,
        attempts=message.attempts,
        received_sequence=message.sequence,
    )
    state.sessions[worker] = session
    state.streams[stream_id] = worker
    if is_announced(state.cluster, session):
        return effects + report_liveness_now(state, session)
    return effects + announce_session(state, session)


@handle_agent_message.register
def _(message: AgentHeartbeat, state: EntryState, stream_id: int) -> list[Effect]:
    session = find_session(state, stream_id)
    if session is None:
        return [CloseAgentStream(stream_id)]
    session.received_sequence = max(session.received_sequence, message.sequence)
    session.configuration_number = message.configuration_number
    counts = [
        Count("agent_events_total", added, (Label("event", name),))
        for name, added in iter_increases(message.counters, session.counters)
    ]
    return [*counts, *check_usage(state.cluster, session.worker, message.usage)]


@handle_agent_message.register
def _(message: SendReports, state: EntryState, stream_id: int) -> list[Effect]:
    session = find_session(state, stream_id)
    if session is None or not message.reports:
        return []
    last = message.first_sequence + len(message.reports) - 1
    command = RecordReports(session.worker, session.incarnation, last, message.reports)
    name = f"reports/{session.worker}/{session.incarnation}/{last}"
    return _propose_once(state, name, command)


@handle_agent_message.register
def _(message: DrainNotice, state: EntryState, stream_id: int) -> list[Effect]:
    session = find_session(state, stream_id)
    if session is None or session.info is None:
        return []
    session.info = attrs.evolve(session.info, draining=message.draining)
    return announce_session(state, session)


@translate_effect.register
def _(effect: OrderWorker, state: EntryState) -> list[Effect]:
    session = state.sessions.get(effect.worker)
    # An agent without a `Welcome` will receive the order with it.
    if session is None or not session.welcomed:
        return []
    return [SendAgent(session.stream_id, Orders((effect.order,)))]


@translate_effect.register
def _(effect: WorkerAnnounced, state: EntryState) -> list[Effect]:
    state.declared_silent.pop(effect.worker, None)
    session = state.sessions.get(effect.worker)
    if session is None or session.welcomed:
        return []
    if session.confirmed:
        return send_welcome(state, effect.worker)
    return report_liveness_now(state, session)


@translate_effect.register
def _(effect: ReportsRecorded, state: EntryState) -> list[Effect]:
    session = state.sessions.get(effect.worker)
    if session is None:
        return []
    return [SendAgent(session.stream_id, ReportAck(effect.sequence))]


@notify.register
def _(notice: SnapshotInstalled, state: EntryState) -> list[Effect]:
    # Orders and acknowledgements of the skipped entries were never sent. A
    # `Welcome` contains the full set.
    effects: list[Effect] = []
    for session in list(state.sessions.values()):
        session.welcomed = False
        effects += send_welcome(state, session.worker)
    return effects + answer_settled_reads(state)


@handle_timer.register
def _(timer: SessionTimer, state: EntryState) -> list[Effect]:
    effects: list[Effect] = [StartTimer(timer, state.cfg.agent_heartbeat_ms // 2)]
    for session in list(state.sessions.values()):
        if state.now_ms - session.last_heard_ms >= state.cfg.agent_silence_ms:
            _remove_session(state, session.stream_id)
            effects += [
                Count("agent_streams_silent_total"),
                CloseAgentStream(session.stream_id),
            ]
        elif state.now_ms - session.heartbeat_sent_ms >= state.cfg.agent_heartbeat_ms:
            effects += send_heartbeat(state, session)
    return effects


def find_session(state: EntryState, stream_id: int) -> AgentSession | None:
    """Return the session of a stream, or None if it has none."""
    worker = state.streams.get(stream_id)
    return state.sessions.get(worker) if worker is not None else None


def send_heartbeat(state: EntryState, session: AgentSession) -> list[Effect]:
    """Send a heartbeat with the sequence that the leader has confirmed."""
    session.heartbeat_sent_ms = state.now_ms
    heartbeat = EntryHeartbeat(
        confirmed=session.confirmed_sequence,
        configuration_number=state.cluster.number,
        run_lease_ms=state.cluster.configuration.limits.run_lease_ms,
    )
    return [SendAgent(session.stream_id, heartbeat)]


def send_welcome(state: EntryState, worker: str) -> list[Effect]:
    """Send a `Welcome` with all orders, if the agent is connected here.

    Does nothing until the announcement is applied and the agent holds its
    leases, because an agent without leases refuses every order; nor on a host
    that lags behind, because the agent stops every task that is not ordered.
    """
    session = state.sessions.get(worker)
    if session is None or not session.confirmed:
        return []
    if state.consensus.applied_index < session.welcome_index:
        return []
    if not is_announced(state.cluster, session):
        return []
    session.welcomed = True
    session.heartbeat_sent_ms = state.now_ms
    welcome = Welcome(
        orders=_desired_orders(state.cluster, worker),
        configuration_number=state.cluster.number,
        run_lease_ms=state.cluster.configuration.limits.run_lease_ms,
        acknowledged=state.cluster.report_sequences.get(worker, 0),
        confirmed=session.confirmed_sequence,
    )
    return [SendAgent(session.stream_id, welcome)]


def report_liveness_now(state: EntryState, session: AgentSession) -> list[Effect]:
    """Report an agent that waits for its leases to the leader at once."""
    session.reported_sequence = 0
    if state.liveness_expedited:
        return []
    state.liveness_expedited = True
    return [StartTimer(LivenessTimer(), 0)]


def confirm_session(
    state: EntryState, session: AgentSession, commit_index: int
) -> list[Effect]:
    """Record that the agent holds its leases, and welcome it.

    Parameters
    ----------
    commit_index : int
        The leader's commit index when it heard of the agent.
    """
    if session.welcomed:
        return []
    if not session.confirmed:
        session.confirmed = True
        session.welcome_index = commit_index
    return send_welcome(state, session.worker)


def send_goodbyes(state: EntryState) -> list[Effect]:
    """Ask all agents to connect to another entry host."""
    return [
        SendAgent(session.stream_id, Goodbye()) for session in state.sessions.values()
    ]


def _desired_orders(cluster: ClusterState, worker: str) -> tuple[Order, ...]:
    attempts = [cluster.attempts[i] for i in cluster.allocations[worker].attempts]
    return tuple(
        desired_order(cluster, attempt, member)
        for attempt in attempts
        for member in members_on(attempt, worker)
    )


def is_announced(cluster: ClusterState, session: AgentSession) -> bool:
    """Return whether the session's announcement is the newest applied one."""
    worker = cluster.workers.get(session.worker)
    return (
        worker is not None
        and worker.mode is not WorkerMode.SILENT
        and worker.incarnation == session.incarnation
        and worker.backend_incarnation == session.backend_incarnation
        and worker.info == session.info
    )


def announce_session(state: EntryState, session: AgentSession) -> list[Effect]:
    """Propose the announcement made by the agent on this stream."""
    if session.info is None:
        return []
    command = AnnounceWorker(
        session.info,
        session.incarnation,
        session.backend_incarnation,
        session.attempts,
    )
    # The id includes the stream, since an agent that was declared silent
    # announces the same incarnation again.
    name = (
        f"announce/{session.worker}/{session.incarnation}/{state.cfg.host.id}/"
        f"{session.stream_id}/{session.info.draining}"
    )
    return _propose_once(state, name, command)


def _propose_once(state: EntryState, name: str, command: Command) -> list[Effect]:
    proposal = Proposal(name, "", command)
    if proposal_key(proposal) in state.proposals:
        return []
    return submit_proposal(state, proposal)


def _remove_session(state: EntryState, stream_id: int) -> None:
    worker = state.streams.pop(stream_id, None)
    if worker is not None:
        state.sessions.pop(worker, None)
