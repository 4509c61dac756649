"""Trials: a task that may be what crashes its workers runs alone at first.

Its worker gets no other task until the task has outlived the time after
which the earlier crashes came. Then it is like any other.
"""

from crocuswell_core.dispatching.fleet import CandidateWorker
from crocuswell_core.dispatching.waiting_steps import RankedStep
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import RunId, Task, TaskId, TaskPhase

# Time of a trial in addition to that of the earlier crashes; covers the time
# from the order to the start.
TRIAL_MARGIN_MS = 1_500
TRIAL_FACTOR = 1.5
MAX_TRIAL_MS = 15_000
# Without a worker that runs nothing, on another machine than before, a task
# waits this long for one; longer while the fleet is busy, where its neighbours
# would lose more.
TRIAL_WAIT_MS = 1_000
BUSY_TRIAL_WAIT_MS = 5_000
# Trials begin one after the other, so that two culprits do not crash their
# workers at the same moment.
TRIAL_GAP_MS = 200
MAX_GAP_WAIT_MS = 2_000


def note_trials(state: EntryState, worker: str) -> bool:
    """Note the trials on a worker's boot; tell whether one is open."""
    table, trials = state.cluster.jobs, state.dispatch.trials
    for task_id, number in table.placed.get(worker, {}).items():
        task = table.task(task_id)
        if task is not None and _needs_trial(state, task_id, task):
            until_ms = state.now_ms + _trial_ms(task)
            trials.setdefault(RunId(task_id, number), until_ms)
    return is_open_after(state, worker, state.now_ms)


def is_open_after(state: EntryState, worker: str, at_ms: int) -> bool:
    """Tell whether a trial on a worker's boot lasts beyond a time in ms."""
    trials = state.dispatch.trials
    placed = state.cluster.jobs.placed.get(worker, {})
    return any(
        at_ms < trials.get(RunId(task_id, number), 0)
        for task_id, number in placed.items()
    )


def _needs_trial(state: EntryState, task_id: TaskId, task: Task) -> bool:
    """Tell whether a task should run alone; the members of a gang cannot."""
    step = state.cluster.jobs.jobs[task_id.job_id].steps[task_id.step]
    return task.is_suspect and not step.gang


def _trial_ms(task: Task) -> int:
    longest_ms = task.crashes.longest_ms if task.crashes else 0
    return min(MAX_TRIAL_MS, round(TRIAL_FACTOR * longest_ms) + TRIAL_MARGIN_MS)


def end_trials(state: EntryState) -> None:
    """Let other tasks onto the workers whose trials are over."""
    dispatch = state.dispatch
    for run, until_ms in list(dispatch.trials.items()):
        task = state.cluster.jobs.task_if_current(run)
        if task is None:
            del dispatch.trials[run]
        elif dispatch.trials_checked_ms <= until_ms <= state.now_ms:
            dispatch.changes.workers.add(task.worker)
            dispatch.changes.jobs.add(run.task.job_id)
    dispatch.trials_checked_ms = state.now_ms


def runs_alone(ranked: RankedStep, index: int) -> bool:
    """Tell whether a task of a step should run alone at first."""
    return ranked.tasks[index].is_suspect and not ranked.step.gang


def is_held_back(state: EntryState, ranked: RankedStep) -> bool:
    """Tell whether a step waits for the trial of one of its tasks.

    What one task does, the others may do too. Long-running tasks do not
    wait: each of them serves by itself.
    """
    if not state.dispatch.trials or ranked.step.long_running:
        return False
    return _has_open_trial(state, ranked)


def _has_open_trial(state: EntryState, ranked: RankedStep) -> bool:
    job_id, occurrence, step = ranked.key
    return any(
        task.phase is TaskPhase.PLACED
        and task.is_suspect
        and state.now_ms
        < state.dispatch.trials.get(
            RunId(TaskId(job_id, step, index, occurrence), task.run), 0
        )
        for index, task in enumerate(ranked.tasks)
    )


def awaits_trial(state: EntryState, ranked: RankedStep) -> bool:
    """Tell whether a step waits for a trial, not for resources."""
    if ranked.step.gang:
        return False
    return bool(ranked.suspects) or is_held_back(state, ranked)


def choose_trial_worker(
    state: EntryState,
    ranked: RankedStep,
    index: int,
    candidates: list[CandidateWorker],
    is_busy: bool,
) -> CandidateWorker | None:
    """Return the worker on which a task is tried, None to wait for one.

    Machines on which it did not crash a worker tell more.

    Parameters
    ----------
    candidates : list of CandidateWorker
        Workers that could hold the task, the preferred ones first.
    is_busy : bool
        Whether most of the fleet is in use.
    """
    crashed = ranked.tasks[index].crashed_machines
    others = [c for c in candidates if c.worker.machine not in crashed]
    dispatch = state.dispatch
    waited_ms = state.now_ms - dispatch.trial_waits.setdefault(ranked.key, state.now_ms)
    gap_ms = state.now_ms - dispatch.last_trial_ms
    if gap_ms < TRIAL_GAP_MS and waited_ms < MAX_GAP_WAIT_MS:
        return None
    idle = (c for c in others if not c.placed and not c.view.running)
    found = next(idle, None)
    if found is not None or not candidates:
        return found
    if waited_ms < (BUSY_TRIAL_WAIT_MS if is_busy else TRIAL_WAIT_MS):
        return None
    now_ms = state.cluster.now_ms
    return min(
        others or candidates, key=lambda candidate: _work_at_stake(candidate, now_ms)
    )


def _work_at_stake(candidate: CandidateWorker, now_ms: int) -> float:
    """Return the work in core seconds that a crash would lose, roughly.

    Parameters
    ----------
    now_ms : int
        Cluster time in ms.
    """
    return sum(work.lost_core_s(now_ms) for work in candidate.preemptible.values())
