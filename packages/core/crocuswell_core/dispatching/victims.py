"""The runs that may be stopped for an urgent step, and what that loses."""

import attrs

from crocuswell_core.dispatching.fleet import CandidateWorker
from crocuswell_core.dispatching.ranking import is_guaranteed
from crocuswell_core.dispatching.waiting_steps import RankedStep
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import Job, ResourceVector, RunId

# Time that a preempted run takes to restart, in addition to its lost work.
RESUME_COST_S = 0.5


@attrs.frozen
class Victim:
    """A run that may be stopped, with the cost of stopping it.

    Attributes
    ----------
    gang : tuple of RunId
        The run and the other members of its gang.
    cost : float
        Lost work of all of them in core seconds.
    """

    run: RunId
    gang: tuple[RunId, ...]
    demand: ResourceVector
    cost: float


def find_victim(
    state: EntryState, ranked: RankedStep, candidate: CandidateWorker, run: RunId
) -> Victim | None:
    """Return a placed run as a victim, None if a step may not preempt it."""
    if not may_stop(state, ranked, run):
        return None
    gang = tuple(gang_runs(state, run))
    lost_core_s = _lost_core_seconds(state, candidate, run, gang)
    return Victim(run, gang, candidate.placed[run.task], lost_core_s)


def may_stop(state: EntryState, ranked: RankedStep, run: RunId) -> bool:
    """Tell whether a run may be stopped for a step.

    It is less urgent or borrows what the step reclaims, need not stay
    available, and is not being stopped.
    """
    table = state.cluster.jobs
    job = table.jobs[run.task.job_id]
    queue = table.queue_of(job)
    if queue is None or queue.priority < ranked.priority:
        return False
    if queue.priority == ranked.priority and not _may_reclaim(state, ranked, job):
        return False
    if run in state.dispatch.stopping:
        return False
    return not job.steps[run.task.step].max_unavailable


def _may_reclaim(state: EntryState, ranked: RankedStep, job: Job) -> bool:
    """Tell whether a job of the same priority has to give room back."""
    return ranked.reclaims and not is_guaranteed(state, job.owner)


def core_equivalents(demand: ResourceVector) -> float:
    """Return a demand in processor cores, never zero."""
    return max(demand.core_equivalents, 0.001)


def _lost_core_seconds(
    state: EntryState, candidate: CandidateWorker, run: RunId, gang: tuple[RunId, ...]
) -> float:
    """Return the core seconds of work that stopping a run loses.

    A resumable run saves its work when it is stopped.
    """
    step = state.cluster.jobs.jobs[run.task.job_id].steps[run.task.step]
    lost_s = RESUME_COST_S
    if not step.checkpointing:
        lost_s += _worked_ms(state, candidate, run, step.estimated_ms) / 1_000
    return lost_s * core_equivalents(step.demand) * len(gang)


def _worked_ms(
    state: EntryState, candidate: CandidateWorker, run: RunId, estimated_ms: int
) -> float:
    """Return for how long in ms a run has worked.

    The declared run time may be far too short, and a leader that has just
    been elected has not seen the run's first lists: the longer of the two
    estimates is nearer.
    """
    progress = candidate.view.running.get(run)
    if progress is None or progress.percent == 0:
        return 0.0
    declared_ms = progress.percent / 100 * estimated_ms
    return max(declared_ms, candidate.view.worked_ms(run, state.now_ms))


def gang_runs(state: EntryState, run: RunId) -> list[RunId]:
    """Return a run with the other members of its gang."""
    job = state.cluster.jobs.jobs[run.task.job_id]
    if not job.steps[run.task.step].gang:
        return [run]
    return [
        RunId(task_id, task.run)
        for task_id, task in state.cluster.jobs.placed_tasks(job)
        if task_id.step_key == run.task.step_key
    ]
