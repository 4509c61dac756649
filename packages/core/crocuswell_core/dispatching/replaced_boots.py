"""Boots that are followed by another boot of the same worker id.

Orders name the worker's id only, so that a start for the earlier boot may be
carried out by the later one, also after its list was read. The runs of the
earlier boot are over once the later one has refused or ended each of them.
"""

from collections.abc import Iterator

from crocuswell_core.dispatching.dispatch_state import ReplacedBoot
from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import RunId, WorkerCrash, parse_worker_id
from crocuswell_core.links.link_messages import WorkerDescription, WorkerReport


def replaced_keys(state: EntryState, worker: WorkerDescription) -> Iterator[str]:
    """Yield the replaced boots whose runs a boot has to settle."""
    dispatch = state.dispatch
    for key in sorted(dispatch.boots_by_machine.get(worker.machine, ())):
        replaced = dispatch.replaced.get(key)
        if replaced is not None and replaced.successor == worker.key:
            yield key


def has_unsettled_runs(state: EntryState, view: WorkerView) -> bool:
    """Tell whether runs of an earlier boot may still begin on a worker."""
    placed = state.cluster.jobs.placed
    return any(key in placed for key in replaced_keys(state, view.worker))


def unsettled_runs(state: EntryState, view: WorkerView) -> list[RunId]:
    """Return the runs of earlier boots that a worker may still begin."""
    placed = state.cluster.jobs.placed
    return [
        RunId(*item)
        for key in replaced_keys(state, view.worker)
        for item in placed.get(key, {}).items()
    ]


def find_replaced_boots(state: EntryState, worker: WorkerDescription) -> list[str]:
    """Return the other boots on the machine of a boot that is reported.

    Reports come in order, whereas the time of day at which boots started may
    have been set back between them.
    """
    boots = state.dispatch.boots_by_machine.get(worker.machine, ())
    return [key for key in sorted(boots) if key != worker.key]


def may_take_orders_of(worker: WorkerDescription, key: str) -> bool:
    """Tell whether a boot takes calls that were meant for another one."""
    return parse_worker_id(key) == worker.id


def find_crash(message: WorkerReport, key: str) -> WorkerCrash | None:
    """Return the crash of a boot that a report names, if it does."""
    return next((crash for crash in message.crashes if crash.worker == key), None)


def note_replaced_boot(
    state: EntryState, key: str, message: WorkerReport, view: WorkerView | None
) -> None:
    """Note that the reported boot has to settle the runs of an earlier one."""
    if message.worker is None:
        return
    dispatch = state.dispatch
    known = dispatch.replaced.get(key)
    view = view or (known.view if known else None)
    # The runner forgets a crash once that of a boot that started later is
    # recorded.
    crash = (known.crash if known else None) or find_crash(message, key)
    dispatch.replaced[key] = ReplacedBoot(message.worker.key, view, crash)
    dispatch.lost_contact.add(key)


def note_refusals(state: EntryState, view: WorkerView, message: WorkerReport) -> None:
    """Note the runs of earlier boots that a worker cannot begin any more.

    Reports name an absent run for some time only.
    """
    over = {*message.absent, *(end.run for end in message.ended)}
    view.refused.update(over.intersection(unsettled_runs(state, view)))


def is_settled(state: EntryState, key: str, view: WorkerView) -> bool:
    """Tell whether a worker has proved that all runs of a boot are over."""
    table = state.cluster.jobs
    runs = [RunId(*item) for item in table.placed.get(key, {}).items()]
    return all(
        run in view.refused or table.task_if_current(run) is None for run in runs
    )
