"""What the leader knows of a worker from its runner's reports."""

import attrs

from crocuswell_core.jobs.job_records import RunId, RunProgress
from crocuswell_core.learning.paces import PaceMeter
from crocuswell_core.links.link_messages import WorkerDescription

# From this advance on the pace of a run is known.
MIN_PACE_PERCENT = 10


@attrs.define
class LastProgress:
    """Newest progress of a run, for the detection of stalls and its pace.

    Attributes
    ----------
    first_listed_ms, first_percent : int
        Time in ms at which a run list first showed the run, and its
        percentage then.
    unchanged_ms : int
        Time in ms for which run lists have shown the same percentage.
    meter : PaceMeter or None
        Measures its pace for the speed of the worker; None if that is not
        learned.
    """

    percent: int
    first_listed_ms: int = 0
    first_percent: int = 0
    unchanged_ms: int = 0
    meter: PaceMeter | None = None


@attrs.define
class WorkerView:
    """A boot of a worker whose runner reports to this leader.

    Attributes
    ----------
    stream_id : int
        Stream of its runner.
    last_report_ms : int
        Time in ms of the newest report.
    lease_end_ms : int
        Time in ms after which no run of this boot continues without a new
        lease, by its newest report.
    granted_until_ms : int
        Latest end in ms of a grant that was sent in this term.
    last_proposed_end : int
        Highest number of a run's end that was proposed for recording.
    ordered_starts : dict
        Starts sent on this stream, with the time in ms of sending.
    ordered_stops : set of RunId
        Stops sent on this stream.
    late_starts : tuple of RunId
        Runs that are over, but that a later boot of their worker's id may
        begin; their stops are still owed.
    absent : set of RunId
        Runs whose absence was proposed for recording.
    refused : set of RunId
        Runs of earlier boots that this one was reported to have refused or
        ended; they cannot begin here any more.
    ended : frozenset of RunId
        Runs whose ends the newest report names.
    lists_all_ends : bool
        Whether the newest report names all ends that are not acknowledged.
    inherited : frozenset of RunId
        Runs that were placed before this stream, so that the worker may have
        begun and ended them; empty once a report has named all ends.
    attached_ms : int
        Time in ms of the first report on this stream.
    list_number, list_received_ms : int
        Number of the newest run list, and the time in ms of its receipt.
    last_progress : dict
        Progress of the listed runs.
    unplaced : tuple of RunId
        Listed runs of tasks that are not placed on this boot.
    events : dict
        Counters of the runner's events on this stream.
    """

    worker: WorkerDescription
    stream_id: int
    last_report_ms: int = 0
    reachable: bool = False
    lease_end_ms: int = 0
    granted_until_ms: int = 0
    last_proposed_end: int = 0
    running: dict[RunId, RunProgress] = attrs.Factory(dict)
    ordered_starts: dict[RunId, int] = attrs.Factory(dict)
    ordered_stops: set[RunId] = attrs.Factory(set)
    late_starts: tuple[RunId, ...] = ()
    absent: set[RunId] = attrs.Factory(set)
    refused: set[RunId] = attrs.Factory(set)
    ended: frozenset[RunId] = frozenset()
    lists_all_ends: bool = True
    inherited: frozenset[RunId] = frozenset()
    attached_ms: int = 0
    list_number: int = 0
    list_received_ms: int = 0
    last_progress: dict[RunId, LastProgress] = attrs.Factory(dict)
    unplaced: tuple[RunId, ...] = ()
    events: dict[str, int] = attrs.Factory(dict)

    def knows_pace(self, progress: RunProgress) -> bool:
        """Tell whether a run has advanced enough for its pace to be known."""
        last = self.last_progress.get(progress.run)
        advanced = progress.percent - last.first_percent if last else 0
        return advanced >= MIN_PACE_PERCENT

    def remaining_ms(
        self, progress: RunProgress, estimated_ms: int, now_ms: int
    ) -> int:
        """Return the expected time in ms until a run is done.

        Once a run has advanced a little, its pace on this worker says more
        than the declared run time.
        """
        last = self.last_progress.get(progress.run)
        advanced = progress.percent - last.first_percent if last else 0
        if last is None or advanced < MIN_PACE_PERCENT:
            return progress.estimate_remaining_ms(estimated_ms)
        worked_ms = now_ms - last.first_listed_ms
        return worked_ms * max(0, 100 - progress.percent) // advanced

    def worked_ms(self, run: RunId, now_ms: int) -> int:
        """Return for how long in ms a run has been listed."""
        last = self.last_progress.get(run)
        return now_ms - last.first_listed_ms if last else 0
