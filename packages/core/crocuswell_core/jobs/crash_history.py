"""What the crashes of workers say about a task."""

from typing import Self

import attrs


@attrs.frozen
class CrashHistory:
    """Crashes of workers that a task may have caused.

    Attributes
    ----------
    count : int
        Crashes of a worker that had a run of the task.
    early : int
        Those soon after the run's start.
    alone : int
        Those of a worker that ran nothing else.
    longest_ms : int
        Longest time in ms for which such a run had been there.
    """

    count: int = 0
    early: int = 0
    alone: int = 0
    longest_ms: int = 0

    def after_crash(self, ran_ms: int, early: bool, alone: bool) -> Self:
        """Return the history with one more crash."""
        return attrs.evolve(
            self,
            count=self.count + 1,
            early=self.early + early,
            alone=self.alone + alone,
            longest_ms=max(self.longest_ms, ran_ms),
        )


NO_CRASHES = CrashHistory()
