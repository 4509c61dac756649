"""Run lists read from the worker, and reports sent to the leader."""

from operator import attrgetter

from crocuswell_core.links import uplink as uplink_stream
from crocuswell_core.links.link_messages import (
    WorkerDescription,
    WorkerReport,
)
from crocuswell_core.runner.crash_witness import note_listed_runs
from crocuswell_core.runner.run_orders import extend_worker_lease, send_due_orders
from crocuswell_core.runner.runner_state import (
    OrderPhase,
    RunnerState,
    WorkerClock,
)
from crocuswell_core.runner.worker_calls import (
    ListRuns,
    RunsListed,
    WorkerHeartbeat,
)
from crocuswell_core.runtime.call_window import MAX_SEND_DELAY_MS
from crocuswell_core.runtime.counter_values import CounterValue
from crocuswell_core.runtime.effects import (
    CallWorker,
    Effect,
    EmitLogEvent,
    Label,
)

# An absent run stays in the reports for this long, since the leader's first
# record of it may be lost.
ABSENT_RETENTION_MS = 10_000
# Bounds the size of a report.
MAX_REPORTED_ENDS = 500


def worker_id(state: RunnerState) -> str:
    """Return the id of the worker; empty before its first heartbeat."""
    return state.heartbeat.id if state.heartbeat else ""


def worker_boot_key(state: RunnerState) -> str:
    """Return the key of the worker's newest boot; empty before the first."""
    return worker_description(state, state.heartbeat).key if state.heartbeat else ""


def worker_description(
    state: RunnerState, heartbeat: WorkerHeartbeat
) -> WorkerDescription:
    """Return the description of a boot that reports carry."""
    return WorkerDescription(
        machine=state.cfg.name,
        id=heartbeat.id,
        born_ms=heartbeat.born_ms,
        service=heartbeat.service,
        zone=heartbeat.zone,
        rack=heartbeat.rack,
        labels=heartbeat.labels,
        capacity=heartbeat.capacity,
        draining=heartbeat.draining,
        remaining_ms=heartbeat.remaining_ms,
        warm_up_ms=heartbeat.warm_up_ms,
    )


def apply_run_list(state: RunnerState, reply: RunsListed) -> list[Effect]:
    """Apply a run list of the worker, and report changes to the leader."""
    effects: list[Effect] = []
    was_unreachable = not state.reachable
    if was_unreachable:
        labels = (Label("worker", worker_id(state)),)
        effects.append(EmitLogEvent("worker_reached", labels))
    state.reachable = True
    state.has_exited = False
    state.unreachable_since_ms = None
    state.list_number += 1
    state.clock = WorkerClock(reply.clock_ms, state.now_ms)
    before = set(state.running)
    state.running = {progress.run: progress for progress in reply.running}
    # An acknowledgement for an earlier boot may make the worker forget ends.
    ended = {(end.number, end.run): end for end in (*state.ended, *reply.ended)}
    unseen = [end for end in ended.values() if end.number > state.acknowledged_end]
    state.ended = tuple(sorted(unseen, key=attrgetter("number")))
    state.lists_all_ends = reply.lists_all_ends
    note_listed_runs(state)
    _update_absent_runs(state)
    # The leader grants no lease while the worker is unreachable.
    changed = before != set(state.running) or bool(state.ended) or was_unreachable
    state.next_list_ms = state.now_ms
    if reply.unread_rows:
        count_event(state, "rows unread")
    if state.ended or reply.unread_rows:
        # The worker does not hold the list back while it has unacknowledged
        # ends, so an immediate call would only repeat this list.
        state.next_list_ms += state.cfg.end_ack_wait_ms
    effects += send_due_orders(state)
    if changed or state.absent:
        effects += send_report(state)
    return [*effects, *list_runs_if_due(state)]


def _update_absent_runs(state: RunnerState) -> None:
    """Mark stopped runs as absent if no end of theirs can be listed later.

    Drops old marks.
    """
    ended = {end.run for end in state.ended}
    for run, stop in list(state.stops.items()):
        if stop.phase is not OrderPhase.ANSWERED:
            continue
        if stop.list_predates_reply or run in state.running:
            stop.list_predates_reply = False
            continue
        if run in ended:
            del state.stops[run]
        elif state.lists_all_ends:
            del state.stops[run]
            state.absent[run] = state.now_ms
            if stop.is_after_refusal:
                state.refused.add(run)
    for run, since_ms in list(state.absent.items()):
        if state.now_ms - since_ms > ABSENT_RETENTION_MS:
            del state.absent[run]
            state.refused.discard(run)


def list_runs_if_due(state: RunnerState) -> list[Effect]:
    """Call for a run list, unless a call is in flight or none is due."""
    if (
        state.heartbeat is None
        or state.list_in_flight
        or state.now_ms < state.next_list_ms
    ):
        return []
    return list_runs(state)


def list_runs(state: RunnerState) -> list[Effect]:
    """Call for a run list, unless a call is in flight; renews the lease."""
    if state.heartbeat is None or state.list_in_flight:
        return []
    state.list_in_flight = True
    state.list_sent_ms = state.now_ms
    # The call names the worker's id only. What concerns the served boot is
    # left out if another one may answer.
    granted = (
        state.granted_until_ms > state.now_ms
        and state.clock.read_ms > 0
        and not state.other_born_ms
    )
    acknowledges = (
        state.reachable and state.acknowledged_end > state.acknowledged_to_worker
    )
    # The first list and the effect of a stop are needed at once, so the worker
    # must not hold the list back until a run ends.
    immediate = not state.clock.read_ms or bool(state.stops)
    call = ListRuns(
        worker=state.heartbeat.id,
        fence=state.fence,
        acknowledged_end=state.acknowledged_end if acknowledges else 0,
        lease_end_ms=extend_worker_lease(state) if granted else 0,
        wait_ms=0 if immediate else state.cfg.list_wait_ms,
        served_ms=state.served_ms,
        send_by_ms=state.now_ms + MAX_SEND_DELAY_MS,
    )
    if immediate and state.clock.read_ms:
        state.next_list_ms = state.now_ms + state.cfg.end_ack_wait_ms
    return [CallWorker(call)]


def count_event(state: RunnerState, event: str) -> None:
    """Count an event; the next report carries the new count."""
    state.events[event] = state.events.get(event, 0) + 1


def _changed_events(state: RunnerState) -> tuple[CounterValue, ...]:
    changed = tuple(
        CounterValue(event, count)
        for event, count in state.events.items()
        if state.events_sent.get(event) != count
    )
    state.events_sent.update((counter.name, counter.value) for counter in changed)
    return changed


def send_report(state: RunnerState) -> list[Effect]:
    """Send the leader the complete state of the worker."""
    if not state.uplink.is_attached:
        return []
    state.sequence += 1
    state.last_report_ms = state.now_ms
    state.reports[state.sequence] = state.now_ms
    listed = state.clock.read_ms > 0
    worker = (
        worker_description(state, state.heartbeat)
        if state.heartbeat and listed
        else None
    )
    message = WorkerReport(
        sequence=state.sequence,
        worker=worker,
        reachable=state.reachable,
        lease_left_ms=max(0, state.lease_until_ms - state.now_ms),
        running=tuple(state.running.values()),
        ended=state.ended[:MAX_REPORTED_ENDS],
        absent=tuple(state.absent),
        has_exited=state.has_exited,
        list_number=state.list_number,
        events=_changed_events(state),
        crashes=state.crashes,
        refused=tuple(run for run in state.absent if run in state.refused),
        lists_all_ends=(state.lists_all_ends and len(state.ended) <= MAX_REPORTED_ENDS),
    )
    return uplink_stream.send(state.uplink, state.now_ms, message)
