"""Periodic dispatching on the leader, and joining of the group."""

from crocuswell_core.consensus import election, members
from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.dispatching.gauges import set_gauges
from crocuswell_core.dispatching.orders import current_dispatch, send_due_orders
from crocuswell_core.dispatching.planner import plan_if_due, plan_starts
from crocuswell_core.dispatching.worker_losses import expire_leases
from crocuswell_core.dispatching.worker_reports import propose_checkpoints
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.links import uplink as uplink_stream
from crocuswell_core.links.client_streams import redirect_clients, send_keepalives
from crocuswell_core.links.link_messages import GroupView, JoinGroup
from crocuswell_core.links.uplink import Uplink
from crocuswell_core.runtime.dispatch import (
    handle_stream_closed,
    handle_stream_message,
    handle_stream_opened,
    handle_timer,
    notify,
    replace_seeds,
    tick_uplink,
)
from crocuswell_core.runtime.effects import (
    CancelTimer,
    CloseEntryStream,
    Effect,
    SetPeers,
    StartTimer,
)
from crocuswell_core.runtime.events import (
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
)
from crocuswell_core.runtime.notices import JobsChanged
from crocuswell_core.runtime.timers import ControlTimer, UplinkTimer

CONTROL_TICK_MS = 250
JOIN_RETRY_MS = 300
# A member without contact to a leader for this long may have been removed from
# the group while it was down, and asks to join again.
LEADER_TIMEOUT_MS = 3_000


@handle_timer.register
def _(timer: ControlTimer, state: EntryState) -> list[Effect]:
    effects: list[Effect] = [StartTimer(timer, CONTROL_TICK_MS), *set_gauges(state)]
    if election.holds_lease(state):
        effects += send_keepalives(state)
        effects += expire_leases(state)
        effects += propose_checkpoints(state)
        return [*effects, *send_due_orders(state), *plan_if_due(state)]
    if state.clients and state.consensus.role is not Role.LEADER:
        effects += redirect_clients(state)
    return [*effects, *_join_group(state)]


@notify.register
def _(notice: JobsChanged, state: EntryState) -> list[Effect]:
    if not election.holds_lease(state):
        return []
    dispatch = current_dispatch(state)
    if dispatch.pending_plan == state.cluster.jobs.applied_plan:
        dispatch.pending_plan = ""
    dispatch.pending_losses &= state.cluster.jobs.placed.keys()
    dispatch.stopping = {
        run
        for run in dispatch.stopping
        if state.cluster.jobs.task_if_current(run) is not None
    }
    return [*send_due_orders(state), *plan_starts(state)]


# --- joining the group ---------------------------------------------------


def _join_group(state: EntryState) -> list[Effect]:
    if _is_in_group(state):
        return _close_uplink(state)
    if state.uplink is None:
        state.uplink = Uplink(state.cfg.host.id, state.seeds or state.cfg.seeds)
        return uplink_stream.start(state.uplink, state.now_ms)
    if not state.uplink.is_attached:
        return []
    if state.now_ms - state.uplink.last_sent_ms < JOIN_RETRY_MS:
        return []
    return uplink_stream.send(state.uplink, state.now_ms, JoinGroup(state.cfg.host))


def _is_in_group(state: EntryState) -> bool:
    """Tell whether this host need not ask to join the group.

    It leads, is the only voter, or is a member that recently heard
    from the leader.
    """
    if state.consensus.role is Role.LEADER:
        return True
    if members.may_campaign(state) and state.consensus.voters == (state.cfg.host.id,):
        return True
    silent_ms = state.now_ms - state.consensus.last_leader_contact_ms
    member = any(host.id == state.cfg.host.id for host in state.consensus.hosts)
    return member and silent_ms < LEADER_TIMEOUT_MS


def _close_uplink(state: EntryState) -> list[Effect]:
    if state.uplink is None:
        return []
    stream_id = state.uplink.stream_id
    state.uplink = None
    return [CancelTimer(UplinkTimer()), CloseEntryStream(stream_id)]


@replace_seeds.register
def _(state: EntryState, seeds: tuple[str, ...]) -> None:
    state.seeds = seeds
    if state.uplink is not None:
        state.uplink.seeds = seeds


@tick_uplink.register
def _(state: EntryState) -> list[Effect]:
    if state.uplink is None:
        return []
    return uplink_stream.tick(state.uplink, state.now_ms)


@handle_stream_opened.register
def _(state: EntryState, event: EntryStreamOpened) -> list[Effect]:
    if state.uplink is None:
        return [CloseEntryStream(event.stream_id)]
    return uplink_stream.handle_opened(state.uplink, state.now_ms, event)


@handle_stream_closed.register
def _(state: EntryState, event: EntryStreamClosed) -> list[Effect]:
    if state.uplink is None:
        return []
    return uplink_stream.handle_closed(state.uplink, state.now_ms, event)


@handle_stream_message.register
def _(state: EntryState, event: EntryMessageReceived) -> list[Effect]:
    if state.uplink is None:
        return []
    message = event.message
    effects = uplink_stream.handle_message(
        state.uplink,
        state.now_ms,
        event.stream_id,
        message,  # type: ignore[arg-type]
    )
    if isinstance(message, GroupView):
        # The leader's first log entries can only be answered over a link to
        # it, and they arrive before the entry that lists the members.
        effects.append(SetPeers(message.hosts))
    elif state.uplink.is_attached:
        effects += uplink_stream.send(
            state.uplink, state.now_ms, JoinGroup(state.cfg.host)
        )
    return effects
