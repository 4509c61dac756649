"""When workers have room for a step because their runs end by themselves."""

from collections.abc import Iterable

import attrs

from crocuswell_core.dispatching.expectations import expected_remaining_ms
from crocuswell_core.dispatching.fleet import CandidateWorker
from crocuswell_core.dispatching.stoppable_units import copies_on
from crocuswell_core.dispatching.waiting_steps import RankedStep
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import ResourceVector, RunId

# Below this percentage the remaining time of a run is too uncertain for other
# work to rely on.
MIN_ENDING_PERCENT = 60
# After its expected end a run gets this time to be recorded as ended.
END_MARGIN_MS = 400


@attrs.frozen
class RunOnWorker:
    """A placed run with the time in ms until it should end.

    Attributes
    ----------
    is_certain : bool
        Whether it has advanced enough to be relied on.
    """

    run: RunId
    candidate: CandidateWorker
    remaining_ms: int
    is_certain: bool

    @property
    def demand(self) -> ResourceVector:
        """Resources that it uses."""
        return self.candidate.placed[self.run.task]


def runs_on(state: EntryState, candidate: CandidateWorker) -> Iterable[RunOnWorker]:
    """Yield the placed runs of a worker."""
    table = state.cluster.jobs
    placed = table.placed.get(candidate.key, {})
    for task_id in candidate.placed:
        number = placed.get(task_id)
        if number is None:
            continue
        run = RunId(task_id, number)
        progress = candidate.view.running.get(run)
        step = table.jobs[task_id.job_id].steps[task_id.step]
        if progress is None or step.long_running:
            yield RunOnWorker(run, candidate, step.estimated_ms, False)
            continue
        remaining_ms = expected_remaining_ms(state, candidate.view, progress)
        is_certain = progress.percent >= MIN_ENDING_PERCENT
        yield RunOnWorker(run, candidate, remaining_ms, is_certain)


def time_until_fit_ms(
    state: EntryState, ranked: RankedStep, candidates: Iterable[CandidateWorker]
) -> int | None:
    """Return the expected time in ms until a step fits on some workers.

    Workers that are kept free for steps of higher rank do not count, nor do
    runs that last until they are cancelled. None if it never fits.
    """
    end_ms = state.now_ms + ranked.step.estimated_ms
    opened: list[tuple[int, int]] = []
    for candidate in candidates:
        if not candidate.is_held_from(ranked.key, ranked.sort_key, end_ms):
            opened += _openings(state, ranked, candidate)
    unplaced = ranked.waiting_count
    for wait_ms, copies in sorted(opened):
        unplaced -= copies
        if unplaced <= 0:
            return wait_ms + END_MARGIN_MS
    return None


def _openings(
    state: EntryState, ranked: RankedStep, candidate: CandidateWorker
) -> list[tuple[int, int]]:
    """Return times in ms, with the number of tasks that fit from then on."""
    free = candidate.unreserved(ranked.key)
    copies = copies_on(ranked.step, free)
    opened = [(0, copies)]
    runs = sorted(runs_on(state, candidate), key=lambda each: each.remaining_ms)
    for each in runs:
        step = state.cluster.jobs.step_of(each.run.task)
        if step is None or step.long_running:
            continue
        free = free + each.demand
        more = copies_on(ranked.step, free) - copies
        if more > 0:
            opened.append((each.remaining_ms, more))
            copies += more
    return opened
