"""The stream of an agent to an entry host: opening, back-off, heartbeats."""

from crocuswell_core.agent.agent_leases import drop_expired_heartbeats
from crocuswell_core.agent.agent_messages import (
    AgentHeartbeat,
    Hello,
    TaskUsage,
)
from crocuswell_core.agent.agent_reports import all_tasks, increment_counter
from crocuswell_core.agent.agent_state import AgentState, TaskPhase
from crocuswell_core.cluster.records import AttemptId
from crocuswell_core.runtime.counter_values import CounterValue
from crocuswell_core.runtime.effects import (
    CloseEntryStream,
    Effect,
    EmitLogEvent,
    Label,
    LogLevel,
    OpenEntryStream,
    SendEntry,
)

# Usage and counters are spread over several heartbeats to keep each of them
# below about 300 bytes.
USAGES_PER_HEARTBEAT = 3
COUNTERS_PER_HEARTBEAT = 4
# A stream that was open for less counts as a failure for the back-off.
STABLE_STREAM_MS = 5_000
# An announcement is committed and confirmed within about 1 s. Without this
# timeout, a stream whose `Welcome` was lost would stay open without orders.
WELCOME_TIMEOUT_MS = 5_000
MAX_BACKOFF_DOUBLINGS = 10


def schedule_connect(state: AgentState) -> None:
    """Choose an entry host and the time to open a stream to it.

    The delay is drawn uniformly from zero to a limit, so that agents do not
    connect all at once. The limit starts at `backoff_min_ms`, so that a
    silent stream is replaced soon, and doubles with each failure up to
    `backoff_max_ms`.
    """
    candidates = [
        index
        for index in range(len(state.cfg.entries))
        if index != state.entry_index or state.stream_id == 0
    ]
    state.entry_index = state.rng.choice(candidates or [0])
    doublings = min(state.connect_failures, MAX_BACKOFF_DOUBLINGS)
    max_delay_ms = min(state.cfg.backoff_max_ms, state.cfg.backoff_min_ms << doublings)
    state.connect_at_ms = state.now_ms + state.rng.randint(0, max_delay_ms)


def has_stream(state: AgentState) -> bool:
    """Return whether a stream is open or being opened."""
    return state.opening or state.connected


def open_stream(state: AgentState) -> list[Effect]:
    """Open a stream to the chosen entry host."""
    state.stream_id += 1
    state.opening = True
    state.opened_ms = state.last_received_ms = state.now_ms
    address = state.cfg.entries[state.entry_index]
    return [OpenEntryStream(state.stream_id, address)]


def send_hello(state: AgentState) -> list[Effect]:
    """Announce the backend server on a newly opened stream."""
    if state.info is None:
        return []
    state.opening = False
    state.connected = True
    state.last_received_ms = state.now_ms
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
    """Return the attempts that the backend server may know."""
    return tuple(
        attempt
        for attempt, ranks in state.tasks.items()
        if any(task.on_backend for task in ranks.values())
    )


def is_welcome_overdue(state: AgentState) -> bool:
    """Return whether heartbeats are confirmed but no `Welcome` came."""
    return (
        state.connected
        and not state.welcomed
        and state.lease_from_ms >= state.opened_ms
        and state.now_ms - state.opened_ms >= WELCOME_TIMEOUT_MS
    )


def mark_stream_lost(state: AgentState, detail: str) -> list[Effect]:
    """Record the loss of the stream and schedule the next one."""
    open_for_ms = state.now_ms - state.opened_ms
    is_stable = state.welcomed and open_for_ms >= STABLE_STREAM_MS
    state.connect_failures = 0 if is_stable else state.connect_failures + 1
    was_welcomed = state.welcomed
    state.opening = state.connected = state.welcomed = False
    state.reports_sent = 0
    increment_counter(state, "streams_lost")
    if not state.stopping:
        schedule_connect(state)
    if not was_welcomed:
        return []
    labels = (Label("detail", detail),)
    return [EmitLogEvent("entry stream lost", labels, LogLevel.WARNING)]


def replace_stream(state: AgentState, detail: str) -> list[Effect]:
    """Close the stream and schedule the next one."""
    close = CloseEntryStream(state.stream_id)
    return [close, *mark_stream_lost(state, detail)]


# --- heartbeats ----------------------------------------------------------


def next_sequence(state: AgentState) -> int:
    """Return a new sequence number for a heartbeat that is sent now."""
    state.sequence += 1
    state.sent_heartbeats[state.sequence] = state.now_ms
    return state.sequence


def send_heartbeat(state: AgentState) -> list[Effect]:
    """Send a heartbeat with a part of the changed usage and counters."""
    drop_expired_heartbeats(state)
    state.heartbeat_sent_ms = state.now_ms
    heartbeat = AgentHeartbeat(
        next_sequence(state),
        state.configuration_number,
        _changed_usage(state),
        _changed_counters(state),
    )
    return [SendEntry(state.stream_id, heartbeat)]


def _changed_usage(state: AgentState) -> tuple[TaskUsage, ...]:
    changed = [
        task
        for task in all_tasks(state)
        if task.last_listed is not None
        and task.phase in (TaskPhase.RUNNING, TaskPhase.STOPPING)
        and task.last_listed.used != task.usage_sent
    ]
    changed.sort(key=lambda task: task.usage_sent_ms)
    usages = []
    for task in changed[:USAGES_PER_HEARTBEAT]:
        if task.last_listed is None:
            continue
        task.usage_sent = task.last_listed.used
        task.usage_sent_ms = state.now_ms
        usages.append(TaskUsage(task.attempt, task.rank, task.last_listed.used))
    return tuple(usages)


def _changed_counters(state: AgentState) -> tuple[CounterValue, ...]:
    changed = [
        CounterValue(name, value)
        for name, value in state.counters.items()
        if state.counters_sent.get(name) != value
    ]
    # The least recently sent come first, so that no counter starves.
    positions = {name: position for position, name in enumerate(state.counters_sent)}
    changed.sort(key=lambda counter: positions.get(counter.name, -1))
    chosen = changed[:COUNTERS_PER_HEARTBEAT]
    for counter in chosen:
        state.counters_sent.pop(counter.name, None)
        state.counters_sent[counter.name] = counter.value
    return tuple(chosen)
