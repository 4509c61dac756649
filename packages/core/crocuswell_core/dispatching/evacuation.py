"""Runs in evacuated failure domains: which starts are withdrawn, what moves.

Runs that have started stay until they end; only work that lasts until it is
cancelled is moved, as far as its limit on absences permits.
"""

from crocuswell_core.dispatching.health import COMPLETE_PERCENT, stop_run
from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import RunId, Task, TaskId, TaskPhase
from crocuswell_core.runtime.effects import Effect, EmitLogEvent, Label, Observe


def is_evacuated(state: EntryState, view: WorkerView) -> bool:
    """Tell whether a worker's failure domain is evacuated."""
    return view.worker.zone in state.cluster.evacuations


def withdraw_starts(state: EntryState, view: WorkerView) -> list[Effect]:
    """Stop the runs on an evacuated worker that it has not listed yet.

    The other members of their gangs are stopped with them.
    """
    effects: list[Effect] = []
    for item in state.cluster.jobs.placed.get(view.worker.key, {}).items():
        run = RunId(*item)
        if run in view.running or run in view.ended:
            continue
        for member in _members(state, run):
            if member not in state.dispatch.stopping:
                domain = Label("failure_domain", view.worker.zone)
                effects += stop_run("run_withdrawn", state, member, domain)
    return effects


def _members(state: EntryState, run: RunId) -> list[RunId]:
    """Return the placed runs that stop with a run; none if it is outdated."""
    table = state.cluster.jobs
    job = table.jobs.get(run.task.job_id)
    if job is None or not job.is_open or table.task_if_current(run) is None:
        return []
    if not job.steps[run.task.step].gang:
        return [run]
    ids = (_sibling(run.task, i) for i in range(len(table.step_tasks(run.task))))
    members = (RunId(task_id, run.number) for task_id in ids)
    return [member for member in members if table.task_if_current(member) is not None]


def _sibling(task_id: TaskId, index: int) -> TaskId:
    return TaskId(task_id.job_id, task_id.step, index, task_id.occurrence)


def move_lasting_runs(state: EntryState, view: WorkerView) -> list[Effect]:
    """Stop runs with a limit on absences, so that they continue elsewhere.

    They move one after the other, and only while nothing else waits for the
    room that they need.
    """
    if not is_evacuated(state, view) or view.worker.draining:
        return []
    table, dispatch = state.cluster.jobs, state.dispatch
    effects: list[Effect] = []
    for run in view.running:
        step = table.step_of(run.task)
        if step is None or not step.max_unavailable or run in dispatch.stopping:
            continue
        if table.task_if_current(run) is None or dispatch.waiting.by_key or effects:
            continue
        job = table.jobs[run.task.job_id]
        room = dispatch.fleet.fitting_workers(
            job.service, step.required_label, step.demand
        )
        if room.total and _count_absent(state, run) < step.max_unavailable:
            domain = Label("failure_domain", view.worker.zone)
            effects += stop_run("run_moved", state, run, domain)
    return effects


def _count_absent(state: EntryState, run: RunId) -> int:
    """Return how many other tasks of a step are not at work."""
    return sum(
        not _is_at_work(state, RunId(_sibling(run.task, index), task.run), task)
        for index, task in enumerate(state.cluster.jobs.step_tasks(run.task))
        if index != run.task.index
    )


def _is_at_work(state: EntryState, run: RunId, task: Task) -> bool:
    view = state.dispatch.views.get(task.worker)
    if task.phase is not TaskPhase.PLACED or view is None or not view.reachable:
        return False
    progress = view.running.get(run)
    return (
        progress is not None
        and progress.percent >= COMPLETE_PERCENT
        and run not in state.dispatch.stopping
    )


def report_empty_domains(state: EntryState) -> list[Effect]:
    """Return log lines on evacuated domains that have become empty.

    None is said to be empty while the domain of a run is not known, as its
    worker's runner has not reported to this leader.
    """
    dispatch = state.dispatch
    counts = count_runs(state)
    if counts and not dispatch.views.keys() >= state.cluster.jobs.placed.keys():
        return []
    effects: list[Effect] = []
    for domain, evacuation in state.cluster.evacuations.items():
        if counts.get(domain, 0):
            dispatch.empty_domains.discard(domain)
        elif domain not in dispatch.empty_domains:
            dispatch.empty_domains.add(domain)
            seconds = (state.cluster.now_ms - evacuation.since_ms) / 1_000
            labels = (
                Label("failure_domain", domain),
                Label("seconds", f"{seconds:.1f}"),
            )
            effects.append(EmitLogEvent("domain_empty", labels))
            effects.append(Observe("domain_empty_seconds", seconds))
    return effects


def count_runs(state: EntryState) -> dict[str, int]:
    """Return how many runs and attempts each evacuated domain still has."""
    cluster = state.cluster
    counts = dict.fromkeys(cluster.evacuations, 0)
    if not counts:
        return counts
    for key, view in state.dispatch.views.items():
        if view.worker.zone in counts:
            counts[view.worker.zone] += len(cluster.jobs.placed.get(key, {}))
    for name, allocation in cluster.allocations.items():
        domain = cluster.workers[name].info.failure_domain
        if domain in counts:
            counts[domain] += len(allocation.attempts)
    return counts
