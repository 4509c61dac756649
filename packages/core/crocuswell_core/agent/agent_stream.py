"""An agent's stream to an entry host: opening, heartbeats, back-off."""

from crocuswell_core.agent.agent_leases import forget_old_heartbeats
from crocuswell_core.agent.agent_messages import (
    AgentHeartbeat,
    Hello,
    TaskUsage,
)
from crocuswell_core.agent.agent_reports import all_tasks, count
from crocuswell_core.agent.agent_state import AgentState, TaskPhase
from crocuswell_core.cluster.records import AttemptId
from crocuswell_core.runtime.counter_values import CounterValue
from crocuswell_core.runtime.effects import (
    ChangeLevel,
    CloseEntryStream,
    Effect,
    Label,
    LogChange,
    OpenEntryStream,
    SendEntry,
)

# Usage and counters are spread over several heartbeats, so that each stays
# below about 300 bytes.
USAGES_PER_HEARTBEAT = 3
COUNTERS_PER_HEARTBEAT = 4
# A stream that lived shorter counts as a failure for the back-off.
STEADY_STREAM_MS = 5_000
# An announcement is committed and confirmed within about 1 s; a stream whose
# `Welcome` got lost would otherwise stay open without any orders.
WELCOME_LIMIT_MS = 5_000
BACKOFF_DOUBLINGS_LIMIT = 10


def plan_connect(state: AgentState) -> None:
    """Choose an entry host and the time to open a stream to it.

    Without failures the delay is at most `backoff_min_ms`, so that a
    silent stream is replaced in time; it grows with each failure, and is
    drawn from the whole range, so that agents spread out.
    """
    choices = [
        index
        for index in range(len(state.cfg.entries))
        if index != state.entry_index or state.stream_id == 0
    ]
    state.entry_index = state.rng.choice(choices or [0])
    doublings = min(state.failures, BACKOFF_DOUBLINGS_LIMIT)
    ceiling = min(state.cfg.backoff_max_ms, state.cfg.backoff_min_ms << doublings)
    state.connect_at_ms = state.now_ms + state.rng.randint(0, ceiling)


def has_stream(state: AgentState) -> bool:
    """Tell whether a stream is open or being opened."""
    return state.opening or state.connected


def open_stream(state: AgentState) -> list[Effect]:
    """Open a stream to the chosen entry host."""
    state.stream_id += 1
    state.opening = True
    state.opened_ms = state.heard_ms = state.now_ms
    address = state.cfg.entries[state.entry_index]
    return [OpenEntryStream(state.stream_id, address)]


def greet(state: AgentState) -> list[Effect]:
    """Announce the backend server on a stream that was just opened."""
    if state.info is None:
        return []
    state.opening = False
    state.connected = True
    state.heard_ms = state.now_ms
    state.counters_sent = {}
    for task in all_tasks(state):
        task.usage_sent = None
    hello = Hello(
        state.info,
        state.cfg.incarnation,
        state.backend_incarnation,
        known_attempts(state),
        next_sequence(state),
    )
    return [SendEntry(state.stream_id, hello), *send_heartbeat(state)]


def known_attempts(state: AgentState) -> tuple[AttemptId, ...]:
    """Return the attempts that the backend server knows, or may."""
    return tuple(
        attempt
        for attempt, ranks in state.tasks.items()
        if any(task.on_backend for task in ranks.values())
    )


def misses_welcome(state: AgentState) -> bool:
    """Tell whether the entry host confirms heartbeats but sends no orders."""
    return (
        state.connected
        and not state.welcomed
        and state.lease_from_ms >= state.opened_ms
        and state.now_ms - state.opened_ms >= WELCOME_LIMIT_MS
    )


def lose_stream(state: AgentState, detail: str) -> list[Effect]:
    """Give a stream up and plan the next one."""
    lived_ms = state.now_ms - state.opened_ms
    is_steady = state.welcomed and lived_ms >= STEADY_STREAM_MS
    state.failures = 0 if is_steady else state.failures + 1
    was_welcomed = state.welcomed
    state.opening = state.connected = state.welcomed = False
    state.reports_sent = 0
    count(state, "streams_lost")
    if not state.stopping:
        plan_connect(state)
    if not was_welcomed:
        return []
    ids = (Label("detail", detail),)
    return [LogChange("entry stream lost", ids, ChangeLevel.WARNING)]


def replace_stream(state: AgentState, detail: str) -> list[Effect]:
    """Close the stream and plan the next one."""
    close = CloseEntryStream(state.stream_id)
    return [close, *lose_stream(state, detail)]


# --- heartbeats ----------------------------------------------------------


def next_sequence(state: AgentState) -> int:
    """Take the sequence number of a heartbeat that is being sent now."""
    state.sequence += 1
    state.sent_heartbeats[state.sequence] = state.now_ms
    return state.sequence


def send_heartbeat(state: AgentState) -> list[Effect]:
    """Send a heartbeat with what changed since earlier ones."""
    forget_old_heartbeats(state)
    state.heartbeat_sent_ms = state.now_ms
    heartbeat = AgentHeartbeat(
        next_sequence(state),
        state.number,
        _changed_usage(state),
        _changed_counters(state),
    )
    return [SendEntry(state.stream_id, heartbeat)]


def _changed_usage(state: AgentState) -> tuple[TaskUsage, ...]:
    changed = [
        task
        for task in all_tasks(state)
        if task.last is not None
        and task.phase in (TaskPhase.RUNNING, TaskPhase.STOPPING)
        and task.last.used != task.usage_sent
    ]
    changed.sort(key=lambda task: task.usage_sent_ms)
    usages = []
    for task in changed[:USAGES_PER_HEARTBEAT]:
        if task.last is None:
            continue
        task.usage_sent = task.last.used
        task.usage_sent_ms = state.now_ms
        usages.append(TaskUsage(task.attempt, task.rank, task.last.used))
    return tuple(usages)


def _changed_counters(state: AgentState) -> tuple[CounterValue, ...]:
    changed = [
        CounterValue(name, value)
        for name, value in state.counters.items()
        if state.counters_sent.get(name) != value
    ]
    # The least recently sent come first, so that none waits for ever.
    order = {name: place for place, name in enumerate(state.counters_sent)}
    changed.sort(key=lambda counter: order.get(counter.name, -1))
    chosen = changed[:COUNTERS_PER_HEARTBEAT]
    for counter in chosen:
        state.counters_sent.pop(counter.name, None)
        state.counters_sent[counter.name] = counter.value
    return tuple(chosen)
