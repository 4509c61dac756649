"""What the crashes of workers say about a task.

Most tasks on a worker that crashes are innocent. A culprit differs from its
neighbours: it is there each time, the crash follows its start after about the
same time, and it crashes a worker on which nothing else runs. It differs from
a faulty machine in that it crashes others too.
"""

from typing import Self

import attrs

# A crash within this time of a run's start points to the run.
EARLY_CRASH_MS = 1_000
# A run that has lasted for this long does not crash its workers.
MAX_BLAME_MS = 60_000
# Crashes after a time that differs by more than this have different causes.
SAME_CAUSE_FACTOR = 4
SAME_CAUSE_MARGIN_MS = 2_000
# Crashes prove something only if they came after about the same time.
ALIKE_FACTOR = 2
ALIKE_MARGIN_MS = 1_000
# From these counts on a task runs alone, so that its neighbours are safe and
# a further crash is proof.
SUSPECT_EARLY = 1
SUSPECT_COUNT = 2
# Counts that prove a task to be the cause, if in one of the crashes nothing
# else came into question, and they were on several machines.
PROOF_MACHINES = 2
PROOF_EARLY = 3
PROOF_COUNT_SOLE = 4
# Count that is proof although other tasks were there each time.
PROOF_COUNT = 5
# Crashes of whatever cause, not long after a start, after which the task is
# not tried again.
MAX_CRASHES = 8


@attrs.frozen
class CrashHistory:
    """Crashes of workers that a task may have caused.

    Attributes
    ----------
    count : int
        Crashes of a worker that had a run of the task.
    early : int
        Those soon after the run's start.
    sole : int
        Those for which nothing else on the worker comes into question.
    longest_ms : int
        Longest time in ms for which such a run is known to have been there.
    shortest_ms : int
        Shortest of the longest times that are possible, in ms.
    machines : tuple of str
        Machines of the workers that crashed.
    excused : int
        Crashes under the task that are not counted, since they had another
        cause.
    """

    count: int = 0
    early: int = 0
    sole: int = 0
    longest_ms: int = 0
    shortest_ms: int = 0
    machines: tuple[str, ...] = ()
    excused: int = 0

    @property
    def is_suspect(self) -> bool:
        """Whether the task should run alone."""
        return self.early >= SUSPECT_EARLY or self.count >= SUSPECT_COUNT

    @property
    def crashed_several_machines(self) -> bool:
        """Whether a faulty machine does not explain the crashes."""
        return len(self.machines) >= PROOF_MACHINES

    @property
    def is_proof(self) -> bool:
        """Whether the crashes prove that the task causes them."""
        if self.count + self.excused >= MAX_CRASHES:
            return True
        alike_ms = ALIKE_FACTOR * self.shortest_ms + ALIKE_MARGIN_MS
        if self.longest_ms > alike_ms:
            return False
        if self.count >= PROOF_COUNT:
            return True
        if self.sole == 0 or not self.crashed_several_machines:
            return False
        return self.early >= PROOF_EARLY or self.count >= PROOF_COUNT_SOLE

    def after_crash(
        self, machine: str, known_ms: int, possible_ms: int, sole: bool
    ) -> Self:
        """Return the history with one more crash.

        A run that has outlived the earlier crashes by far did not cause them.
        """
        if known_ms > MAX_BLAME_MS:
            return type(self)()
        known = self
        if known_ms > SAME_CAUSE_FACTOR * self.longest_ms + SAME_CAUSE_MARGIN_MS:
            known = type(self)()
        return attrs.evolve(
            known,
            count=known.count + 1,
            early=known.early + (possible_ms <= EARLY_CRASH_MS),
            sole=known.sole + sole,
            longest_ms=max(known.longest_ms, known_ms),
            shortest_ms=(
                min(known.shortest_ms, possible_ms) if known.count else possible_ms
            ),
            machines=tuple(dict.fromkeys((*known.machines, machine))),
        )

    def after_excused_crash(self, known_ms: int) -> Self:
        """Return the history with one more crash that had another cause."""
        if known_ms > MAX_BLAME_MS:
            return type(self)()
        return attrs.evolve(self, excused=self.excused + 1)


NO_CRASHES = CrashHistory()
