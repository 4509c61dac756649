"""Admission and run lease of an agent.

Both are counted from the sending of the newest confirmed heartbeat. Tasks
may start until the admission lease ends, and run until the run lease ends.
"""

from crocuswell_core.agent.agent_state import AgentState

# The lease that the backend server enforces ends this much before the run
# lease, because a task takes time to terminate.
BACKEND_MARGIN_MS = 500
# Stops without a checkpoint are sent this long before the run lease ends.
STOP_LEAD_MS = 1_000
# Tasks with longer checkpoints are stopped without one when a lease ends; a
# claim on a guarantee allows the same time to move a borrower.
MAX_LEASE_END_CHECKPOINT_MS = 1_500
# The margins above fit a run lease of 15 s; for a shorter lease they are
# limited to the lease divided by these.
BACKEND_MARGIN_DIVISOR = 30
STOP_LEAD_DIVISOR = 15
CHECKPOINT_DIVISOR = 10


def extend_leases(state: AgentState, confirmed: int) -> None:
    """Extend both leases from the sending of a confirmed heartbeat."""
    sent_ms = state.sent_heartbeats.get(confirmed)
    if sent_ms is None:
        return
    state.lease_from_ms = max(state.lease_from_ms, sent_ms)
    for sequence in [seq for seq in state.sent_heartbeats if seq <= confirmed]:
        del state.sent_heartbeats[sequence]


def drop_expired_heartbeats(state: AgentState) -> None:
    """Drop heartbeats too old to extend a lease, to bound the table."""
    oldest_ms = state.now_ms - state.run_lease_ms
    for sequence, sent_ms in list(state.sent_heartbeats.items()):
        if sent_ms < oldest_ms:
            del state.sent_heartbeats[sequence]


def admission_lease_end_ms(state: AgentState) -> int:
    """Return the time from which no new task may start."""
    return state.lease_from_ms + state.cfg.admission_lease_ms


def may_admit(state: AgentState) -> bool:
    """Return whether the admission lease is valid."""
    return state.now_ms < admission_lease_end_ms(state)


def has_confirmed_heartbeat(state: AgentState) -> bool:
    """Return whether any heartbeat of this incarnation was confirmed."""
    return state.lease_from_ms >= state.booted_ms


def run_lease_end_ms(state: AgentState) -> int:
    """Return the time from which no task may run.

    An incarnation without a confirmed heartbeat does not know when its
    predecessor's lease ends. The backend server's own lease then ends the
    tasks; in any case they end one run lease after the boot.
    """
    start = state.lease_from_ms if has_confirmed_heartbeat(state) else state.booted_ms
    return start + state.run_lease_ms


def backend_lease_until_ms(state: AgentState) -> int:
    """Return the end of the backend server's lease; 0 leaves it as it is."""
    if not has_confirmed_heartbeat(state):
        return 0
    margin = min(BACKEND_MARGIN_MS, state.run_lease_ms // BACKEND_MARGIN_DIVISOR)
    return run_lease_end_ms(state) - margin


def lease_end_checkpoint_ms(state: AgentState, checkpoint_ms: int | None) -> int | None:
    """Return `checkpoint_ms`, or None if too long for a lease end."""
    limit = min(MAX_LEASE_END_CHECKPOINT_MS, state.run_lease_ms // CHECKPOINT_DIVISOR)
    if checkpoint_ms is None or checkpoint_ms > limit:
        return None
    return checkpoint_ms


def stop_due_ms(state: AgentState, checkpoint_ms: int | None) -> int:
    """Return when to stop a task so that it ends within the run lease."""
    lead_ms = min(STOP_LEAD_MS, state.run_lease_ms // STOP_LEAD_DIVISOR)
    return (
        run_lease_end_ms(state)
        - lead_ms
        - (lease_end_checkpoint_ms(state, checkpoint_ms) or 0)
    )
