"""Liveness of agents: reports to the leader, lease extension, silence.

An agent's leases run from the time at which it sent a heartbeat, and are
extended only after the leader, under its own lease, has noted the heartbeat.
So an agent's lease ends before the leader declares it silent. A new leader
confirms nothing before an entry of its own term is committed: until then, a
`DeclareSilent` of an earlier term may still be committed.
"""

import attrs

from crocuswell_core.agreement import election, replication
from crocuswell_core.agreement.peer_messages import (
    Liveness,
    LivenessReply,
    WorkerLiveness,
)
from crocuswell_core.cluster.commands import (
    Command,
    ConfirmInForce,
    DeclareSilent,
    Proposal,
    SuspectWorker,
)
from crocuswell_core.cluster.records import WorkerMode
from crocuswell_core.entry.callers import submit_proposal
from crocuswell_core.entry.entry_state import (
    AgentSession,
    EntryState,
    HeardHost,
    HeardWorker,
)
from crocuswell_core.entry.sessions import (
    announce_session,
    confirm_session,
    is_announced,
    send_heartbeat,
    session_of,
)
from crocuswell_core.runtime.dispatch import handle_peer, handle_timer, notify
from crocuswell_core.runtime.effects import (
    CloseAgentStream,
    Effect,
    SendPeer,
    StartTimer,
)
from crocuswell_core.runtime.notices import LeadershipGained, LeadershipLost
from crocuswell_core.runtime.timers import LivenessTimer

# Liveness messages without an answer are forgotten after this many newer ones.
LIVENESS_WINDOW = 8


@notify.register
def _(notice: LeadershipGained, state: EntryState) -> list[Effect]:
    # All count as heard just now, since the leader before may have heard them.
    state.heard_workers = {
        name: HeardWorker(worker.incarnation, state.now_ms)
        for name, worker in state.cluster.workers.items()
        if worker.mode is not WorkerMode.SILENT
    }
    state.heard_hosts = {
        host.id: HeardHost(state.now_ms, 0)
        for host in state.consensus.hosts
        if host.id != state.cfg.host.id
    }
    state.declared = {}
    state.cluster_timer_at_ms = None
    effects: list[Effect] = []
    for pending in list(state.proposals.values()):
        effects += submit_proposal(state, pending.proposal)
    return effects


@notify.register
def _(notice: LeadershipLost, state: EntryState) -> list[Effect]:
    state.heard_workers = {}
    state.heard_hosts = {}
    state.declared = {}
    state.cluster_timer_at_ms = None
    for key, pending in state.proposals.items():
        state.proposals[key] = attrs.evolve(pending, term=0)
    return []


@handle_timer.register
def _(timer: LivenessTimer, state: EntryState) -> list[Effect]:
    state.liveness_hurried = False
    effects: list[Effect] = [StartTimer(timer, state.cfg.liveness_ms)]
    message = _collect(state)
    if election.holds_lease(state):
        refused = _note_heard(state, message)
        effects += _confirm(state, message.sequence, refused)
        return effects + _watch_workers(state) + _watch_configuration(state)
    leader = state.consensus.leader
    if leader is not None and leader != state.cfg.host.id:
        effects.append(SendPeer(leader, message))
    return effects


@handle_peer.register
def _(message: Liveness, state: EntryState, sender: str) -> list[Effect]:
    if not election.holds_lease(state):
        return []
    state.heard_hosts[sender] = HeardHost(state.now_ms, message.number)
    refused = _note_heard(state, message)
    reply = LivenessReply(message.sequence, state.cluster.number, refused)
    return [SendPeer(sender, reply)]


@handle_peer.register
def _(message: LivenessReply, state: EntryState, sender: str) -> list[Effect]:
    # An extension carries this host's run lease, which must not be an older
    # and longer one than the leader counts with.
    if message.number > state.cluster.number:
        return []
    return _confirm(state, message.sequence, message.refused)


def _collect(state: EntryState) -> Liveness:
    state.liveness_sequence += 1
    heard: list[WorkerLiveness] = []
    covered: dict[int, int] = {}
    for session in state.sessions.values():
        if session.heard_sequence <= session.reported_sequence:
            continue
        session.reported_sequence = session.heard_sequence
        covered[session.stream_id] = session.heard_sequence
        heard.append(
            WorkerLiveness(session.worker, session.incarnation, session.number)
        )
    state.liveness_sent[state.liveness_sequence] = covered
    state.liveness_sent.pop(state.liveness_sequence - LIVENESS_WINDOW, None)
    lost = tuple(
        WorkerLiveness(session.worker, session.incarnation, session.number)
        for session in state.lost_sessions
        if session.worker not in state.sessions
    )
    state.lost_sessions = []
    return Liveness(state.liveness_sequence, state.cluster.number, tuple(heard), lost)


def _note_heard(state: EntryState, message: Liveness) -> tuple[str, ...]:
    """Note the workers that were heard; return those that are refused."""
    refused: list[str] = []
    for heard in message.workers:
        worker = state.cluster.workers.get(heard.worker)
        if (
            worker is None
            or worker.incarnation != heard.incarnation
            or worker.mode is WorkerMode.SILENT
            or state.declared.get(heard.worker) == heard.incarnation
        ):
            refused.append(heard.worker)
            continue
        state.heard_workers[heard.worker] = HeardWorker(
            heard.incarnation, state.now_ms, heard.number
        )
    for lost in message.lost:
        known = state.heard_workers.get(lost.worker)
        if known is not None and known.incarnation == lost.incarnation:
            known.lost = True
    return tuple(refused)


def _confirm(
    state: EntryState, sequence: int, refused: tuple[str, ...]
) -> list[Effect]:
    covered = state.liveness_sent.pop(sequence, {})
    effects: list[Effect] = []
    for stream_id, confirmed in covered.items():
        session = session_of(state, stream_id)
        if session is None:
            continue
        if session.worker in refused:
            effects += _refuse(state, session)
            continue
        session.confirmed_sequence = max(session.confirmed_sequence, confirmed)
        effects += send_heartbeat(state, session)
        effects += confirm_session(state, session)
    return effects


def _refuse(state: EntryState, session: AgentSession) -> list[Effect]:
    """Close the stream of an agent that must announce itself again.

    One whose announcement was not applied, or was undone by an older one,
    is announced from here.
    """
    if session.confirmed:
        return [CloseAgentStream(session.stream_id)]
    if is_announced(state.cluster, session):
        return []
    return announce_session(state, session)


def _watch_workers(state: EntryState) -> list[Effect]:
    """Suspect workers that miss heartbeats; declare the silent ones."""
    effects: list[Effect] = []
    for name, worker in state.cluster.workers.items():
        if worker.mode is WorkerMode.SILENT:
            continue
        heard = state.heard_workers.get(name)
        if heard is None or heard.incarnation != worker.incarnation:
            heard = HeardWorker(worker.incarnation, state.now_ms)
            state.heard_workers[name] = heard
        age_ms = state.now_ms - heard.heard_ms
        run_lease_ms = _longest_run_lease_ms(state, heard.number)
        silent_ms = run_lease_ms + state.cfg.lease_margin_ms
        if age_ms >= silent_ms and state.declared.get(name) != worker.incarnation:
            state.declared[name] = worker.incarnation
            effects += _propose(state, DeclareSilent(name, worker.incarnation))
        suspect = heard.lost or age_ms >= state.cfg.agent_silence_ms
        if suspect != (worker.mode is WorkerMode.SUSPECT):
            command = SuspectWorker(name, worker.incarnation, suspect)
            effects += _propose(state, command)
    return effects


def _longest_run_lease_ms(state: EntryState, number: int) -> int:
    """Return the longest run lease in ms of an agent that confirmed `number`.

    It may have received any newer configuration since.
    """
    return max(
        change.configuration.limits.run_lease_ms
        for change in state.cluster.history
        if change.number >= min(number, state.cluster.number)
    )


def _watch_configuration(state: EntryState) -> list[Effect]:
    """Propose that the newest configuration is in force once it is.

    A host or agent that was not heard for the admission lease takes no new
    work, so it need not have the configuration.
    """
    number = state.cluster.number
    if state.cluster.number_in_force >= number:
        return []
    oldest_ms = state.now_ms - state.cfg.admission_lease_ms
    for host in state.heard_hosts.values():
        if host.heard_ms > oldest_ms and host.number < number:
            return []
    for heard in state.heard_workers.values():
        if heard.heard_ms > oldest_ms and heard.number < number:
            return []
    return _propose(state, ConfirmInForce(number))


def _propose(state: EntryState, command: Command) -> list[Effect]:
    return replication.propose(state, Proposal("", "", command))
