"""What a runner knows of its worker's crashes."""

from crocuswell_core.jobs.job_records import (
    CrashedRun,
    WorkerCrash,
)
from crocuswell_core.runner.run_orders import may_have_reached_worker
from crocuswell_core.runner.runner_state import RunnerState
from crocuswell_core.runtime.effects import Effect, EmitLogEvent, Label

# Boots of which a crash is kept until the leader has recorded it.
MAX_UNRECORDED_CRASHES = 16


def note_listed_runs(state: RunnerState) -> None:
    """Update the runs that may be on the worker by its newest list.

    A run that the worker confirmed after the list was called for may be
    missing from it.
    """
    confirmed_ms = {
        run: since_ms
        for run, since_ms in state.confirmed_ms.items()
        if run in state.running or since_ms >= state.list_sent_ms
    }
    for end in state.ended:
        confirmed_ms.pop(end.run, None)
    for run in state.running:
        confirmed_ms.setdefault(run, state.now_ms)
    state.confirmed_ms = confirmed_ms


def witness_crash(state: RunnerState) -> list[Effect]:
    """Note that the boot is followed by another one without notice."""
    heartbeat = state.heartbeat
    if heartbeat is None or heartbeat.draining or state.is_leaving:
        return []
    runs = _runs_at_crash(state)
    if not runs:
        return []
    crash = WorkerCrash(state.cfg.name, heartbeat.id, heartbeat.born_ms, runs)
    state.crashes = (*state.crashes, crash)
    state.crashes = state.crashes[-MAX_UNRECORDED_CRASHES:]
    labels = (Label("worker", heartbeat.id), Label("runs", str(len(runs))))
    return [EmitLogEvent("crash_witnessed", labels)]


def _runs_at_crash(state: RunnerState) -> tuple[CrashedRun, ...]:
    """Return the runs that were on the worker, or had just been sent to it.

    The crash may be noticed late: a run is known to have been there until the
    newest list.
    """
    listed_ms, noticed_ms = state.clock.read_ms, state.unreachable_since_ms
    if noticed_ms is None:
        noticed_ms = state.now_ms
    found = {
        run: CrashedRun(run, 0, 0)
        for run, start in state.starts.items()
        if may_have_reached_worker(start)
    }
    for run, since_ms in state.confirmed_ms.items():
        known_ms = max(0, listed_ms - since_ms) if run in state.running else 0
        found[run] = CrashedRun(run, known_ms, max(0, noticed_ms - since_ms))
    return tuple(found.values())


def drop_recorded_crashes(state: RunnerState, recorded_ms: int) -> None:
    """Forget the crashes that the leader has recorded.

    Parameters
    ----------
    recorded_ms : int
        Start in ms since the epoch of the newest boot whose crash is recorded.
    """
    state.crashes = tuple(
        crash for crash in state.crashes if crash.born_ms > recorded_ms
    )
