"""The pace at which a run advances on its worker."""

import math

import attrs

COMPLETE_PERCENT = 100
# Standard deviations of the measurement: percentages are whole numbers, and
# run lists take a while to arrive.
PERCENT_DEVIATION = 0.4
ARRIVAL_DEVIATION_MS = 80
# Largest standard deviation of a usable pace, as a share of it.
MAX_PACE_DEVIATION = 0.2
# Advances by less than this say nothing new on a run that was measured.
MIN_NEW_PERCENT = 5
# After this advance and time the pace is measured anew, so that a worker that
# changes is noticed while its runs last.
WINDOW_PERCENT = 20
WINDOW_MS = 4_000
# A longer time between lists may hide a pause of the worker.
MAX_LIST_GAP_MS = 1_500
# A pace that differs by more from that of the window before, in logarithms,
# means that the worker has changed.
CHANGE_DIFFERENCE = 0.3


@attrs.frozen
class Pace:
    """How long a run would take as a whole at the pace of its worker.

    Attributes
    ----------
    log_ms : float
        Natural logarithm of the time in ms.
    variance : float
        Variance of the logarithm due to the measurement.
    since_ms : int
        Time in ms at which the measurement began.
    is_changed : bool
        Whether the run advanced at another pace before.
    """

    log_ms: float
    variance: float
    since_ms: int = 0
    is_changed: bool = False

    def differs(self, other: "Pace") -> bool:
        """Tell whether two paces of a run differ beyond measurement."""
        doubt = math.sqrt(self.variance) + math.sqrt(other.variance)
        return abs(self.log_ms - other.log_ms) > CHANGE_DIFFERENCE + 2 * doubt


@attrs.define
class PaceMeter:
    """Measures the pace of a run from its percentages.

    Measurement begins with the first progress, since runs wait for their gang
    or restore a checkpoint before they advance.

    Attributes
    ----------
    first_percent : int
        Percentage at which the run was first listed.
    resumed : bool
        Whether the run may have begun with a checkpoint.
    since_ms : int or None
        Time in ms since which the pace is measured; None before the first
        progress.
    since_percent : int
        Percentage at that time.
    measured_percent : int
        Percentage at the newest measurement.
    listed_ms : int
        Time in ms of the newest list.
    before : Pace or None
        Pace in the window before the present one.
    """

    first_percent: int
    resumed: bool
    since_ms: int | None = None
    since_percent: int = 0
    measured_percent: int = 0
    listed_ms: int = 0
    before: Pace | None = None

    def restart(self, percent: int) -> None:
        """Measure anew from the next progress on."""
        self.first_percent = percent
        self.resumed = True
        self.since_ms = self.before = None

    def advance(self, percent: int, now_ms: int) -> Pace | None:
        """Note a percentage; return the pace if it says something new."""
        gap_ms, self.listed_ms = now_ms - self.listed_ms, now_ms
        if self.since_ms is not None and gap_ms > MAX_LIST_GAP_MS:
            self._begin(percent, now_ms)
        if self.since_ms is None:
            is_working = percent > (self.first_percent if self.resumed else 0)
            if is_working and percent < COMPLETE_PERCENT:
                self._begin(percent, now_ms)
            return None
        if percent - self.measured_percent < MIN_NEW_PERCENT:
            return None
        if percent >= COMPLETE_PERCENT:
            # A run may go on after reaching 100; its end tells when.
            return None
        pace = self._pace(percent, now_ms)
        if pace is None:
            return None
        self.measured_percent = percent
        advanced = percent - self.since_percent
        if advanced >= WINDOW_PERCENT and now_ms - self.since_ms >= WINDOW_MS:
            self.before = pace
            self._begin(percent, now_ms)
        return pace

    def complete(self, now_ms: int) -> Pace | None:
        """Return the pace of a run that is done."""
        return self._pace(COMPLETE_PERCENT, now_ms)

    def _begin(self, percent: int, now_ms: int) -> None:
        self.since_ms = now_ms
        self.since_percent = self.measured_percent = percent

    def _pace(self, percent: int, now_ms: int) -> Pace | None:
        if self.since_ms is None:
            return None
        advanced = percent - self.since_percent
        elapsed_ms = now_ms - self.since_ms
        if advanced <= 0 or elapsed_ms <= 0:
            return None
        variance = (PERCENT_DEVIATION / advanced) ** 2
        variance += (ARRIVAL_DEVIATION_MS / elapsed_ms) ** 2
        if variance > MAX_PACE_DEVIATION**2:
            return None
        log_ms = math.log(elapsed_ms * COMPLETE_PERCENT / advanced)
        pace = Pace(log_ms, variance, self.since_ms)
        if self.before is not None and pace.differs(self.before):
            return attrs.evolve(pace, is_changed=True)
        return pace
