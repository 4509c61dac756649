"""Agents' streams on an entry host: announcement, orders, heartbeats."""

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
from crocuswell_core.cluster.attempts import wanted_order
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    AnnounceWorker,
    Command,
    Proposal,
    RecordReports,
)
from crocuswell_core.cluster.records import WorkerMode
from crocuswell_core.cluster.rooms import members_on
from crocuswell_core.cluster.usage import check_usage
from crocuswell_core.entry.callers import (
    answer_ended_waits,
    proposal_key,
    submit_proposal,
)
from crocuswell_core.entry.entry_state import AgentSession, EntryState
from crocuswell_core.links.relay import forget_client
from crocuswell_core.runtime.counter_values import take_growth
from crocuswell_core.runtime.dispatch import (
    handle_agent,
    handle_timer,
    lose_client,
    notify,
    pass_on,
    receive_client,
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


@receive_client.register
def _(state: EntryState, event: AgentMessageReceived) -> list[Effect]:
    worker = state.streams.get(event.stream_id)
    if worker is not None:
        state.sessions[worker].heard_ms = state.now_ms
    return handle_agent(event.message, state, event.stream_id)


@lose_client.register
def _(state: EntryState, event: AgentStreamClosed) -> list[Effect]:
    session = session_of(state, event.stream_id)
    if session is not None:
        state.lost_sessions.append(session)
    _forget_stream(state, event.stream_id)
    forget_client(state, event.stream_id)
    return []


@handle_agent.register
def _(message: Hello, state: EntryState, stream_id: int) -> list[Effect]:
    worker = message.info.worker
    effects: list[Effect] = []
    previous = state.sessions.get(worker)
    if previous is not None and previous.stream_id != stream_id:
        _forget_stream(state, previous.stream_id)
        effects.append(CloseAgentStream(previous.stream_id))
    session = AgentSession(
        stream_id=stream_id,
        worker=worker,
        incarnation=message.incarnation,
        heard_ms=state.now_ms,
        info=message.info,
        backend_incarnation=message.backend_incarnation,
        attempts=message.attempts,
        heard_sequence=message.sequence,
    )
    state.sessions[worker] = session
    state.streams[stream_id] = worker
    if is_announced(state.cluster, session):
        return effects + report_liveness_now(state, session)
    return effects + announce_session(state, session)


@handle_agent.register
def _(message: AgentHeartbeat, state: EntryState, stream_id: int) -> list[Effect]:
    session = session_of(state, stream_id)
    if session is None:
        return [CloseAgentStream(stream_id)]
    session.heard_sequence = max(session.heard_sequence, message.sequence)
    session.number = message.number
    counts = [
        Count("agent_events_total", added, (Label("event", name),))
        for name, added in take_growth(message.counters, session.counters)
    ]
    return [*counts, *check_usage(state.cluster, session.worker, message.usage)]


@handle_agent.register
def _(message: SendReports, state: EntryState, stream_id: int) -> list[Effect]:
    session = session_of(state, stream_id)
    if session is None or not message.reports:
        return []
    last = message.first_sequence + len(message.reports) - 1
    command = RecordReports(session.worker, session.incarnation, last, message.reports)
    name = f"reports/{session.worker}/{session.incarnation}/{last}"
    return _propose_once(state, name, command)


@handle_agent.register
def _(message: DrainNotice, state: EntryState, stream_id: int) -> list[Effect]:
    session = session_of(state, stream_id)
    if session is None or session.info is None:
        return []
    session.info = attrs.evolve(session.info, draining=message.draining)
    return announce_session(state, session)


@pass_on.register
def _(effect: OrderWorker, state: EntryState) -> list[Effect]:
    session = state.sessions.get(effect.worker)
    # An agent that was not welcomed yet gets the order with its `Welcome`.
    if session is None or not session.welcomed:
        return []
    return [SendAgent(session.stream_id, Orders((effect.order,)))]


@pass_on.register
def _(effect: WorkerAnnounced, state: EntryState) -> list[Effect]:
    state.declared.pop(effect.worker, None)
    session = state.sessions.get(effect.worker)
    if session is None or session.welcomed:
        return []
    if session.confirmed:
        return welcome_worker(state, effect.worker)
    return report_liveness_now(state, session)


@pass_on.register
def _(effect: ReportsRecorded, state: EntryState) -> list[Effect]:
    session = state.sessions.get(effect.worker)
    if session is None:
        return []
    return [SendAgent(session.stream_id, ReportAck(effect.sequence))]


@notify.register
def _(notice: SnapshotInstalled, state: EntryState) -> list[Effect]:
    # The orders and acknowledgements of the skipped entries are in the full
    # set of a `Welcome`.
    effects: list[Effect] = []
    for session in list(state.sessions.values()):
        session.welcomed = False
        effects += welcome_worker(state, session.worker)
    return effects + answer_ended_waits(state)


@handle_timer.register
def _(timer: SessionTimer, state: EntryState) -> list[Effect]:
    effects: list[Effect] = [StartTimer(timer, state.cfg.agent_heartbeat_ms // 2)]
    for session in list(state.sessions.values()):
        if state.now_ms - session.heard_ms >= state.cfg.agent_silence_ms:
            _forget_stream(state, session.stream_id)
            effects += [
                Count("agent_streams_silent_total"),
                CloseAgentStream(session.stream_id),
            ]
        elif state.now_ms - session.heartbeat_sent_ms >= state.cfg.agent_heartbeat_ms:
            effects += send_heartbeat(state, session)
    return effects


def session_of(state: EntryState, stream_id: int) -> AgentSession | None:
    """Return the session of a stream, or None."""
    worker = state.streams.get(stream_id)
    return state.sessions.get(worker) if worker is not None else None


def send_heartbeat(state: EntryState, session: AgentSession) -> list[Effect]:
    """Send a heartbeat to an agent, with what the leader has confirmed."""
    session.heartbeat_sent_ms = state.now_ms
    heartbeat = EntryHeartbeat(
        confirmed=session.confirmed_sequence,
        number=state.cluster.number,
        run_lease_ms=state.cluster.configuration.limits.run_lease_ms,
    )
    return [SendAgent(session.stream_id, heartbeat)]


def welcome_worker(state: EntryState, worker: str) -> list[Effect]:
    """Send an agent the full set of orders, if its stream is here.

    It waits until the announcement is applied and the agent holds its
    leases; an agent without them would refuse every order.
    """
    session = state.sessions.get(worker)
    if session is None or not session.confirmed:
        return []
    if not is_announced(state.cluster, session):
        return []
    session.welcomed = True
    session.heartbeat_sent_ms = state.now_ms
    welcome = Welcome(
        orders=_wanted_orders(state.cluster, worker),
        number=state.cluster.number,
        run_lease_ms=state.cluster.configuration.limits.run_lease_ms,
        acknowledged=state.cluster.report_sequences.get(worker, 0),
        confirmed=session.confirmed_sequence,
    )
    return [SendAgent(session.stream_id, welcome)]


def report_liveness_now(state: EntryState, session: AgentSession) -> list[Effect]:
    """Report an agent that waits for its leases without the usual delay."""
    session.reported_sequence = 0
    if state.liveness_hurried:
        return []
    state.liveness_hurried = True
    return [StartTimer(LivenessTimer(), 0)]


def confirm_session(state: EntryState, session: AgentSession) -> list[Effect]:
    """Note that the agent of this stream holds its leases."""
    if session.confirmed:
        return []
    session.confirmed = True
    return welcome_worker(state, session.worker)


def close_sessions(state: EntryState) -> list[Effect]:
    """Tell all agents to connect to another entry host."""
    return [
        SendAgent(session.stream_id, Goodbye()) for session in state.sessions.values()
    ]


def _wanted_orders(cluster: ClusterState, worker: str) -> tuple[Order, ...]:
    attempts = [cluster.attempts[i] for i in cluster.rooms[worker].attempts]
    return tuple(
        wanted_order(cluster, attempt, member)
        for attempt in attempts
        for member in members_on(attempt, worker)
    )


def is_announced(cluster: ClusterState, session: AgentSession) -> bool:
    """Tell whether the session's announcement is the newest one applied."""
    worker = cluster.workers.get(session.worker)
    return (
        worker is not None
        and worker.mode is not WorkerMode.SILENT
        and worker.incarnation == session.incarnation
        and worker.backend_incarnation == session.backend_incarnation
        and worker.info == session.info
    )


def announce_session(state: EntryState, session: AgentSession) -> list[Effect]:
    """Propose the announcement that the agent made on this stream."""
    if session.info is None:
        return []
    command = AnnounceWorker(
        session.info,
        session.incarnation,
        session.backend_incarnation,
        session.attempts,
    )
    # The stream is part of the id, since an agent that was declared silent
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


def _forget_stream(state: EntryState, stream_id: int) -> None:
    worker = state.streams.pop(stream_id, None)
    if worker is not None:
        state.sessions.pop(worker, None)
