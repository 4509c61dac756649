"""Lists of the worker, and reports to the leader."""

from crocuswell_core.links import uplink as links
from crocuswell_core.links.link_messages import (
    WorkerDescription,
    WorkerReport,
)
from crocuswell_core.runner.run_orders import begin_waiting, lease_end_ms
from crocuswell_core.runner.runner_state import (
    OrderPhase,
    RunnerState,
    WorkerClock,
)
from crocuswell_core.runner.worker_calls import (
    ListRuns,
    RunsListed,
    WorkerBeat,
)
from crocuswell_core.runtime.counter_values import CounterValue
from crocuswell_core.runtime.effects import (
    CallWorker,
    Effect,
    Label,
    LogChange,
)

# Absent runs are reported this often; the leader's record may be lost once.
ABSENT_REPORTS_MS = 10_000


def worker_id(state: RunnerState) -> str:
    """Return the id of the newest boot, empty before the first."""
    return state.beat.id if state.beat else ""


def boot_key_of(state: RunnerState) -> str:
    """Return the key of the newest boot, empty before the first."""
    return describe(state, state.beat).key if state.beat else ""


def describe(state: RunnerState, beat: WorkerBeat) -> WorkerDescription:
    """Return what the leader is told of a boot."""
    return WorkerDescription(
        machine=state.cfg.name,
        id=beat.id,
        born_ms=beat.born_ms,
        service=beat.service,
        zone=beat.zone,
        rack=beat.rack,
        labels=beat.labels,
        capacity=beat.capacity,
        draining=beat.draining,
        remaining_ms=beat.remaining_ms,
        cold_ms=beat.cold_ms,
    )


def take_list(state: RunnerState, reply: RunsListed) -> list[Effect]:
    """Take what the worker lists, and report what has changed."""
    effects: list[Effect] = []
    if not state.reachable:
        labels = (Label("worker", worker_id(state)),)
        effects.append(LogChange("worker_reached", labels))
    first = not state.clock.read_ms
    state.reachable = True
    state.lists += 1
    state.clock = WorkerClock(reply.clock_ms, state.now_ms)
    before = set(state.running)
    state.running = {progress.run: progress for progress in reply.running}
    state.ended = tuple(end for end in reply.ended if end.number > state.seen)
    _note_absent(state)
    changed = before != set(state.running) or bool(state.ended) or first
    state.list_at_ms = state.now_ms
    if state.ended:
        # The worker answers at once while ends are not yet acknowledged.
        state.list_at_ms += state.cfg.ends_wait_ms
    effects += begin_waiting(state)
    if changed or state.absent:
        effects += report(state)
    return [*effects, *list_if_due(state)]


def _note_absent(state: RunnerState) -> None:
    """Find stopped runs that are neither running nor ended."""
    ended = {end.run for end in state.ended}
    for run, stop in list(state.stops.items()):
        if stop.phase is not OrderPhase.ANSWERED:
            continue
        if stop.stale_list or run in state.running:
            stop.stale_list = False
            continue
        del state.stops[run]
        if run not in ended:
            state.absent[run] = state.now_ms
    for run, since_ms in list(state.absent.items()):
        if state.now_ms - since_ms > ABSENT_REPORTS_MS:
            del state.absent[run]


def list_if_due(state: RunnerState) -> list[Effect]:
    """Ask the worker for a list, unless one is under way or not yet due."""
    if state.beat is None or state.listing or state.now_ms < state.list_at_ms:
        return []
    return list_runs(state)


def list_runs(state: RunnerState) -> list[Effect]:
    """Ask the worker for a list, which also extends its lease."""
    if state.beat is None or state.listing:
        return []
    state.listing = True
    granted = state.granted_until_ms > state.now_ms and state.clock.read_ms > 0
    # Something is expected soon while orders are under way.
    quick = not state.clock.read_ms or bool(state.stops)
    call = ListRuns(
        worker=state.beat.id,
        fence=state.fence,
        seen=state.seen,
        lease_end_ms=lease_end_ms(state) if granted else 0,
        wait_ms=0 if quick else state.cfg.list_wait_ms,
    )
    if quick and state.clock.read_ms:
        state.list_at_ms = state.now_ms + state.cfg.ends_wait_ms
    return [CallWorker(call)]


def count_event(state: RunnerState, event: str) -> None:
    """Count an event; the next report tells the leader."""
    state.events[event] = state.events.get(event, 0) + 1


def _changed_events(state: RunnerState) -> tuple[CounterValue, ...]:
    changed = tuple(
        CounterValue(event, count)
        for event, count in state.events.items()
        if state.events_sent.get(event) != count
    )
    state.events_sent.update((counter.name, counter.value) for counter in changed)
    return changed


def report(state: RunnerState) -> list[Effect]:
    """Send the leader all that is known of the worker."""
    if not state.uplink.is_attached:
        return []
    state.sequence += 1
    state.reported_ms = state.now_ms
    state.reports[state.sequence] = state.now_ms
    listed = state.clock.read_ms > 0
    worker = describe(state, state.beat) if state.beat and listed else None
    message = WorkerReport(
        sequence=state.sequence,
        worker=worker,
        reachable=state.reachable,
        lease_left_ms=max(0, state.lease_until_ms - state.now_ms),
        running=tuple(state.running.values()),
        ended=state.ended,
        absent=tuple(state.absent),
        gone=state.left and not state.reachable,
        lists=state.lists,
        events=_changed_events(state),
    )
    return links.send(state.uplink, state.now_ms, message)
