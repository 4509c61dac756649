"""Admission of jobs: those that cannot be served in time are refused at once.

The leader reviews each submission before it appends it to the log, and puts
a `DeclineJob` in its place if the job would end too late to have any value.
The estimate is an optimistic one, so that a job is declined only if it is
sure to be late.
"""

import zlib

import attrs

from crocuswell_core.cluster.commands import Refused
from crocuswell_core.dispatching.backlog import Backlog, JobBacklog
from crocuswell_core.dispatching.expectations import expected_run_time
from crocuswell_core.dispatching.ranking import (
    ZERO_VALUE_FACTOR,
    backlog_rank,
    critical_path_ms,
    objective_ms,
)
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.catalog import Queue, find_key_owner, find_queue_by_name
from crocuswell_core.jobs.job_command_handlers import (
    find_stale_refusal,
    make_job,
    resolve_queue,
)
from crocuswell_core.jobs.job_commands import DeclineJob, SubmitJob
from crocuswell_core.jobs.job_records import (
    Job,
    ResourceVector,
    StepSpec,
    find_steps_problem,
)
from crocuswell_core.runtime.dispatch import review_command

# A new leader hears from all runners within this time.
SETTLING_MS = 5_000
# A worker that was not heard of for this long is not about to return.
SETTLED_MS = 30_000
# Share of the known workers that must be in contact.
MIN_CONTACT_SHARE = 0.9
# Share of the waiting work ahead of a job that is taken for sure.
SURE_SHARE = 0.8
# A workspace takes more than its share if its waiting work is this multiple of
# an equal part.
OVER_SHARE_FACTOR = 1.5
# Share of a job's slack for which work beyond its workspace's share may wait.
LENT_SLACK_SHARE = 0.25
# A workspace takes part in the sharing for this long after a submission.
ACTIVE_MS = 30_000
UNCONFIRMED_MS = 5_000
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000
FITS_NOWHERE_RETRY_MS = 30_000
# Shapes that fit nowhere are remembered up to this number.
MAX_SHAPES = 64


@attrs.frozen
class Prospect:
    """What a submitted job can expect.

    Attributes
    ----------
    wait_ms : float
        Time in ms that the fleet needs for the work ahead of it.
    own_wait_ms : float
        Part of it that is for work of the same workspace.
    work_ms : float
        Time in ms that the job takes on an idle fleet.
    objective_ms : int
        Its objective.
    workspaces : int
        Number of workspaces that share the fleet.
    """

    wait_ms: float
    own_wait_ms: float
    work_ms: float
    objective_ms: int
    workspaces: int


@attrs.frozen
class Shortfall:
    """Why a job is declined, with times in ms from now."""

    reason: str
    expected_ms: int
    limit_ms: int


def find_shortfall(prospect: Prospect) -> Shortfall | None:
    """Return why a job has no chance, None if it may have one.

    A job without an objective, or that would be too late on an idle fleet, is
    not declined, as there is no time at which it had better come back.
    """
    no_value_ms = ZERO_VALUE_FACTOR * prospect.objective_ms
    expected_ms = round(SURE_SHARE * prospect.wait_ms + prospect.work_ms)
    if not prospect.objective_ms or prospect.work_ms > no_value_ms:
        return None
    if expected_ms > no_value_ms:
        return Shortfall("no_value", expected_ms, no_value_ms)
    equal_part_ms = prospect.wait_ms / prospect.workspaces
    slack_ms = max(0.0, prospect.objective_ms - prospect.work_ms)
    lent_until_ms = round(prospect.work_ms + LENT_SLACK_SHARE * slack_ms)
    is_over_share = prospect.own_wait_ms > OVER_SHARE_FACTOR * equal_part_ms
    if is_over_share and expected_ms > lent_until_ms:
        return Shortfall("over_share", expected_ms, lent_until_ms)
    return None


def retry_after_ms(shortfall: Shortfall, job_id: str, times: int) -> int:
    """Return when the caller of a declined job should come back, in ms.

    By then the fleet has done the work that is in the way. Callers are
    spread over as much time again, and those who were declined before come
    earlier.
    """
    drained_ms = max(MIN_RETRY_AFTER_MS, shortfall.expected_ms - shortfall.limit_ms)
    spread = zlib.crc32(job_id.encode()) / 2**32
    return min(MAX_RETRY_AFTER_MS, round(drained_ms * (1 + spread / (1 + times))))


@review_command.register
def _(command: SubmitJob, state: EntryState) -> SubmitJob | DeclineJob:
    if not state.cfg.features.admission or not _is_settled(state, SETTLING_MS):
        return command
    table, address = state.cluster.jobs, command.address
    queue = find_queue_by_name(table.catalog, _queue_name(state, command))
    if table.catalog is None or queue is None or queue.needs_placement_advice:
        return command
    owner = find_key_owner(table.catalog, address.key) or ""
    job = make_job(command, queue, owner, state.cluster.now_ms)
    if not _may_be_declined(state, job, queue):
        return command
    workspaces = _note_active(state, job)
    if any(_fits_nowhere(state, queue.service, step) for step in job.steps):
        return DeclineJob(job.id, address, FITS_NOWHERE_RETRY_MS, "fits_nowhere")
    backlog = state.dispatch.waiting.backlog
    backlog.drop_unconfirmed(state.now_ms - UNCONFIRMED_MS)
    own = _measure(state, job, queue)
    prospect = _find_prospect(state, job, queue, own, workspaces)
    shortfall = find_shortfall(prospect) if prospect else None
    if shortfall is None:
        backlog.expect(job.id, own, state.now_ms)
        return command
    earlier = table.declined.get(job.id)
    times = earlier.times if earlier else 0
    return DeclineJob(
        job.id,
        address,
        retry_after_ms(shortfall, job.id, times),
        shortfall.reason,
        shortfall.expected_ms,
        shortfall.limit_ms,
    )


def _queue_name(state: EntryState, command: SubmitJob) -> str:
    """Return the queue of a new job, empty if the command adds none."""
    table = state.cluster.jobs
    is_known = command.job_id in table.jobs or find_stale_refusal(table, command)
    if is_known or find_steps_problem(command.steps):
        return ""
    name = resolve_queue(state.cluster, command.address)
    return "" if isinstance(name, Refused) else name


def _is_settled(state: EntryState, after_ms: int) -> bool:
    """Tell whether the leader has known jobs and workers for some time."""
    dispatch = state.dispatch
    return (
        dispatch.term == state.consensus.term
        and not dispatch.changes.everything
        and state.now_ms - dispatch.started_ms >= after_ms
    )


def _may_be_declined(state: EntryState, job: Job, queue: Queue) -> bool:
    """Tell whether a job is neither guaranteed nor without an end or start."""
    if job.schedule is not None or any(step.long_running for step in job.steps):
        return False
    return queue.priority != 0 or not _would_be_guaranteed(state, job)


def _would_be_guaranteed(state: EntryState, job: Job) -> bool:
    catalog = state.cluster.jobs.catalog
    demand = state.dispatch.waiting.demand_by_workspace.get(job.owner, 0)
    demand += sum(step.count * step.demand.accelerators for step in job.steps)
    return catalog is not None and any(
        demand <= declared.guaranteed_accelerators
        for declared in catalog.workspaces
        if declared.workspace == job.owner
    )


def _note_active(state: EntryState, job: Job) -> int:
    """Note that a workspace submits; return how many did recently."""
    active = state.dispatch.active_workspaces.setdefault(job.service, {})
    active.pop(job.owner, None)
    active[job.owner] = state.now_ms
    while active:
        workspace, submitted_ms = next(iter(active.items()))
        if state.now_ms - submitted_ms <= ACTIVE_MS:
            break
        del active[workspace]
    return len(active)


def _fits_nowhere(state: EntryState, service: str, step: StepSpec) -> bool:
    """Tell whether no workers that were heard of could hold a step."""
    dispatch = state.dispatch
    if not _is_settled(state, SETTLED_MS):
        return False
    needed = step.count if step.gang else 1
    shape = (service, step.required_label, step.demand, needed)
    if dispatch.unfit_shapes.get(shape) == dispatch.fleet.membership:
        return True
    is_served = False
    for view in dispatch.views.values():
        worker = view.worker
        if worker.service != service:
            continue
        is_served = True
        if not step.required_label or step.required_label in worker.labels:
            needed -= worker.capacity.max_copies(step.demand)
            if needed <= 0:
                return False
    if is_served:
        if len(dispatch.unfit_shapes) >= MAX_SHAPES:
            dispatch.unfit_shapes.clear()
        dispatch.unfit_shapes[shape] = dispatch.fleet.membership
    return is_served


def _measure(state: EntryState, job: Job, queue: Queue) -> JobBacklog:
    work = ResourceVector()
    for index, step in enumerate(job.steps):
        run_time = expected_run_time(state, job, index)
        work = work + step.demand.times(step.count * run_time.median_ms)
    due_ms = state.cluster.now_ms
    rank = backlog_rank(False, queue, due_ms + objective_ms(job, queue), late=False)
    return JobBacklog(job.service, job.owner, rank, work)


def _find_prospect(
    state: EntryState, job: Job, queue: Queue, own: JobBacklog, workspaces: int
) -> Prospect | None:
    """Return what a job can expect; None if too few workers are known."""
    dispatch = state.dispatch
    known = len(dispatch.views) + len(dispatch.lost_contact)
    if len(dispatch.fleet.candidates) < MIN_CONTACT_SHARE * known:
        return None
    totals = dispatch.fleet.services.get(job.service)
    if totals is None:
        return None
    backlog = dispatch.waiting.backlog
    ahead = _work_until(backlog, job, own)
    mine = backlog.by_workspace.get((job.service, job.owner))
    wait_ms = _time_ms(ahead, totals.capacity, own.work)
    own_wait_ms = (
        _time_ms(mine.until(own.rank), totals.capacity, own.work) if mine else 0.0
    )
    path_ms = critical_path_ms(
        job, lambda index: expected_run_time(state, job, index).median_ms
    )
    work_ms = max(float(path_ms), _time_ms(own.work, totals.capacity, own.work))
    return Prospect(wait_ms, own_wait_ms, work_ms, objective_ms(job, queue), workspaces)


def _work_until(backlog: Backlog, job: Job, own: JobBacklog) -> ResourceVector:
    of_service = backlog.by_service.get(job.service)
    return of_service.until(own.rank) if of_service else ResourceVector()


def _time_ms(
    work: ResourceVector, capacity: ResourceVector, needed: ResourceVector
) -> float:
    """Return the time in ms that a fleet takes, by the needed resources."""
    pairs = (
        (work.cpu_millis, capacity.cpu_millis, needed.cpu_millis),
        (work.memory_mb, capacity.memory_mb, needed.memory_mb),
        (work.accelerators, capacity.accelerators, needed.accelerators),
    )
    return max(
        (amount / room for amount, room, need in pairs if need and room), default=0.0
    )
