"""Agent liveness: reports to the leader, lease extension, silent workers.

An agent's leases are counted from the time at which it sent a heartbeat. They
are extended only after the leader, under its own lease, has recorded that
heartbeat, so an agent's leases end before the leader declares it silent. A new
leader confirms no heartbeat until it has committed an entry of its own term,
because a `DeclareSilent` of an earlier term may be committed until then.
"""

import attrs

from crocuswell_core.cluster.commands import (
    Command,
    ConfirmInForce,
    DeclareSilent,
    Proposal,
    SuspectWorker,
)
from crocuswell_core.cluster.records import WorkerMode
from crocuswell_core.consensus import election, replication
from crocuswell_core.consensus.peer_messages import (
    LivenessReply,
    LivenessReport,
    WorkerLiveness,
)
from crocuswell_core.entry.call_handlers import submit_proposal
from crocuswell_core.entry.entry_state import (
    AgentSession,
    EntryState,
    HostContact,
    WorkerContact,
)
from crocuswell_core.entry.sessions import (
    announce_session,
    confirm_session,
    find_session,
    is_announced,
    send_heartbeat,
)
from crocuswell_core.runtime.dispatch import handle_peer_message, handle_timer, notify
from crocuswell_core.runtime.effects import (
    CloseAgentStream,
    Effect,
    SendPeer,
    StartTimer,
)
from crocuswell_core.runtime.notices import LeadershipGained, LeadershipLost
from crocuswell_core.runtime.timers import LivenessTimer

# Number of newer reports after which an unconfirmed one is dropped.
MAX_UNCONFIRMED_LIVENESS = 8


@notify.register
def _(notice: LeadershipGained, state: EntryState) -> list[Effect]:
    # The previous leader may have received heartbeats up to now, so every
    # worker and host starts with a contact at the current time.
    state.worker_contacts = {
        name: WorkerContact(worker.incarnation, state.now_ms)
        for name, worker in state.cluster.workers.items()
        if worker.mode is not WorkerMode.SILENT
    }
    state.host_contacts = {
        host.id: HostContact(state.now_ms, 0)
        for host in state.consensus.hosts
        if host.id != state.cfg.host.id
    }
    state.declared_silent = {}
    state.cluster_timer_at_ms = None
    effects: list[Effect] = []
    for pending in list(state.proposals.values()):
        effects += submit_proposal(state, pending.proposal)
    return effects


@notify.register
def _(notice: LeadershipLost, state: EntryState) -> list[Effect]:
    state.worker_contacts = {}
    state.host_contacts = {}
    state.declared_silent = {}
    state.cluster_timer_at_ms = None
    for key, pending in state.proposals.items():
        state.proposals[key] = attrs.evolve(pending, term=0)
    return []


@handle_timer.register
def _(timer: LivenessTimer, state: EntryState) -> list[Effect]:
    state.liveness_expedited = False
    effects: list[Effect] = [StartTimer(timer, state.cfg.liveness_ms)]
    message = _collect_liveness(state)
    if election.holds_lease(state):
        refused = _record_liveness(state, message)
        index = state.consensus.commit_index
        effects += _confirm_heartbeats(state, message.sequence, refused, index)
        return effects + _check_workers(state) + _check_configuration(state)
    leader = state.consensus.leader
    if leader is not None and leader != state.cfg.host.id:
        effects.append(SendPeer(leader, message))
    return effects


@handle_peer_message.register
def _(message: LivenessReport, state: EntryState, sender: str) -> list[Effect]:
    if not election.holds_lease(state):
        return []
    state.host_contacts[sender] = HostContact(
        state.now_ms, message.configuration_number
    )
    refused = _record_liveness(state, message)
    index = state.consensus.commit_index
    reply = LivenessReply(message.sequence, state.cluster.number, refused, index)
    return [SendPeer(sender, reply)]


@handle_peer_message.register
def _(message: LivenessReply, state: EntryState, sender: str) -> list[Effect]:
    # The heartbeat that extends leases carries the run lease known to this
    # host. An outdated one could be longer than the leader assumes.
    if message.configuration_number > state.cluster.number:
        return []
    return _confirm_heartbeats(
        state, message.sequence, message.refused, message.commit_index
    )


def _collect_liveness(state: EntryState) -> LivenessReport:
    state.liveness_sequence += 1
    heard: list[WorkerLiveness] = []
    sequences: dict[int, int] = {}
    for session in state.sessions.values():
        if session.received_sequence <= session.reported_sequence:
            continue
        session.reported_sequence = session.received_sequence
        sequences[session.stream_id] = session.received_sequence
        heard.append(
            WorkerLiveness(
                session.worker, session.incarnation, session.configuration_number
            )
        )
    state.unconfirmed_liveness[state.liveness_sequence] = sequences
    state.unconfirmed_liveness.pop(
        state.liveness_sequence - MAX_UNCONFIRMED_LIVENESS, None
    )
    lost = tuple(
        WorkerLiveness(
            session.worker, session.incarnation, session.configuration_number
        )
        for session in state.closed_sessions
        if session.worker not in state.sessions
    )
    state.closed_sessions = []
    return LivenessReport(
        state.liveness_sequence, state.cluster.number, tuple(heard), lost
    )


def _record_liveness(state: EntryState, message: LivenessReport) -> tuple[str, ...]:
    """Record the workers in a report; return those that are refused."""
    refused: list[str] = []
    for heard in message.workers:
        worker = state.cluster.workers.get(heard.worker)
        if (
            worker is None
            or worker.incarnation != heard.incarnation
            or worker.mode is WorkerMode.SILENT
            or state.declared_silent.get(heard.worker) == heard.incarnation
        ):
            refused.append(heard.worker)
            continue
        state.worker_contacts[heard.worker] = WorkerContact(
            heard.incarnation, state.now_ms, heard.configuration_number
        )
    for lost in message.lost:
        known = state.worker_contacts.get(lost.worker)
        if known is not None and known.incarnation == lost.incarnation:
            known.lost = True
    return tuple(refused)


def _confirm_heartbeats(
    state: EntryState, sequence: int, refused: tuple[str, ...], commit_index: int
) -> list[Effect]:
    sequences = state.unconfirmed_liveness.pop(sequence, {})
    effects: list[Effect] = []
    for stream_id, confirmed in sequences.items():
        session = find_session(state, stream_id)
        if session is None:
            continue
        if session.worker in refused:
            effects += _refuse_session(state, session)
            continue
        session.confirmed_sequence = max(session.confirmed_sequence, confirmed)
        effects += send_heartbeat(state, session)
        effects += confirm_session(state, session, commit_index)
    return effects


def _refuse_session(state: EntryState, session: AgentSession) -> list[Effect]:
    """Make a refused agent announce itself again, by closing its stream.

    If no heartbeat was confirmed on this stream yet, the announcement may
    not be applied or may have been replaced by an older one. It is then
    proposed again without closing the stream.
    """
    if session.confirmed:
        return [CloseAgentStream(session.stream_id)]
    if is_announced(state.cluster, session):
        return []
    return announce_session(state, session)


def _check_workers(state: EntryState) -> list[Effect]:
    """Propose to suspect late workers and to declare silent ones."""
    effects: list[Effect] = []
    for name, worker in state.cluster.workers.items():
        if worker.mode is WorkerMode.SILENT:
            continue
        contact = state.worker_contacts.get(name)
        if contact is None or contact.incarnation != worker.incarnation:
            contact = WorkerContact(worker.incarnation, state.now_ms)
            state.worker_contacts[name] = contact
        age_ms = state.now_ms - contact.last_heard_ms
        run_lease_ms = _longest_run_lease_ms(state, contact.configuration_number)
        silent_after_ms = run_lease_ms + state.cfg.lease_margin_ms
        if (
            age_ms >= silent_after_ms
            and state.declared_silent.get(name) != worker.incarnation
        ):
            state.declared_silent[name] = worker.incarnation
            effects += _propose(state, DeclareSilent(name, worker.incarnation))
        suspect = contact.lost or age_ms >= state.cfg.agent_silence_ms
        if suspect != (worker.mode is WorkerMode.SUSPECT):
            command = SuspectWorker(name, worker.incarnation, suspect)
            effects += _propose(state, command)
    return effects


def _longest_run_lease_ms(state: EntryState, number: int) -> int:
    """Return the longest run lease in ms that an agent may use.

    The agent confirmed configuration `number` and may have received any
    newer one since.
    """
    return max(
        change.configuration.limits.run_lease_ms
        for change in state.cluster.history
        if change.number >= min(number, state.cluster.number)
    )


def _check_configuration(state: EntryState) -> list[Effect]:
    """Propose `ConfirmInForce` once all have the newest configuration.

    A host or agent without contact for the admission lease accepts no new
    work, so it need not have the configuration.
    """
    number = state.cluster.number
    if state.cluster.number_in_force >= number:
        return []
    oldest_ms = state.now_ms - state.cfg.admission_lease_ms
    for host in state.host_contacts.values():
        if host.last_heard_ms > oldest_ms and host.configuration_number < number:
            return []
    for contact in state.worker_contacts.values():
        if contact.last_heard_ms > oldest_ms and contact.configuration_number < number:
            return []
    return _propose(state, ConfirmInForce(number))


def _propose(state: EntryState, command: Command) -> list[Effect]:
    return replication.propose(state, Proposal("", "", command))
