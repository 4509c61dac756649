"""An agent's leases; they run from the sending of a confirmed heartbeat."""

from crocuswell_core.agent.agent_state import AgentState

# The backend server's own lease for the tasks ends this much before the
# run lease, since the task needs time to die.
BACKEND_MARGIN_MS = 500
# Stops without a checkpoint are sent this much before the run lease ends.
STOP_AHEAD_MS = 1_000
# Longest checkpoint that is written when a lease ends; a claim allows the
# same time for moving a borrower.
CHECKPOINT_LIMIT_MS = 1_500
# The margins above are for a run lease of 15 s; for a shorter lease they
# shrink to these parts of it.
BACKEND_MARGIN_DIVISOR = 30
STOP_AHEAD_DIVISOR = 15
CHECKPOINT_DIVISOR = 10


def extend(state: AgentState, confirmed: int) -> None:
    """Count both leases from the sending of a confirmed heartbeat."""
    sent_ms = state.sent_heartbeats.get(confirmed)
    if sent_ms is None:
        return
    state.lease_from_ms = max(state.lease_from_ms, sent_ms)
    for sequence in [seq for seq in state.sent_heartbeats if seq <= confirmed]:
        del state.sent_heartbeats[sequence]


def forget_old_heartbeats(state: AgentState) -> None:
    """Drop heartbeats that can extend no lease, to bound the table."""
    oldest_ms = state.now_ms - state.run_lease_ms
    for sequence, sent_ms in list(state.sent_heartbeats.items()):
        if sent_ms < oldest_ms:
            del state.sent_heartbeats[sequence]


def admission_end_ms(state: AgentState) -> int:
    """Time from which nothing new may start."""
    return state.lease_from_ms + state.cfg.admission_lease_ms


def may_admit(state: AgentState) -> bool:
    """Tell whether the admission lease holds."""
    return state.now_ms < admission_end_ms(state)


def is_confirmed(state: AgentState) -> bool:
    """Tell whether any heartbeat of this incarnation was confirmed."""
    return state.lease_from_ms >= state.booted_ms


def run_end_ms(state: AgentState) -> int:
    """Time from which no task may run.

    An incarnation that had no heartbeat confirmed yet does not know when
    its predecessor's lease ends. The backend server's own lease then ends
    the tasks; the time of the boot bounds the wait in any case.
    """
    start = state.lease_from_ms if is_confirmed(state) else state.booted_ms
    return start + state.run_lease_ms


def backend_lease_until_ms(state: AgentState) -> int:
    """End of the tasks' lease on the backend server; 0 to leave it."""
    if not is_confirmed(state):
        return 0
    margin = min(BACKEND_MARGIN_MS, state.run_lease_ms // BACKEND_MARGIN_DIVISOR)
    return run_end_ms(state) - margin


def quick_checkpoint_ms(state: AgentState, checkpoint_ms: int | None) -> int | None:
    """Return the checkpoint's time if it is short enough for a lease end."""
    limit = min(CHECKPOINT_LIMIT_MS, state.run_lease_ms // CHECKPOINT_DIVISOR)
    if checkpoint_ms is None or checkpoint_ms > limit:
        return None
    return checkpoint_ms


def stop_due_ms(state: AgentState, checkpoint_ms: int | None) -> int:
    """Time at which a task must be stopped so that it ends in time."""
    ahead = min(STOP_AHEAD_MS, state.run_lease_ms // STOP_AHEAD_DIVISOR)
    return run_end_ms(state) - ahead - (quick_checkpoint_ms(state, checkpoint_ms) or 0)
