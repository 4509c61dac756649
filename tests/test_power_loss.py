"""Final faults: disks lost while all other machines lose power.

Real reducers write real files; a disk keeps what was synced and any part of
the rest. Whatever a host may have told somebody must be in the log afterwards.
"""

import random
from collections.abc import Iterator
from contextlib import ExitStack

import pytest

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import Command
from crocuswell_core.consensus.log_application import apply_entry
from crocuswell_core.jobs.job_commands import (
    CancelJob,
    PlaceRuns,
    PutCatalog,
    RecordRunEnds,
    SubmitJob,
)
from crocuswell_core.jobs.job_records import RunEndKind, RunPlacement
from crocuswell_daemon import wire
from tests.job_harness import LONG, address, catalog, end_of, run_of, step
from tests.powered_group import PoweredGroup

# Times of `DEPLOY.md` after which a machine counts and service is restored.
CATCH_UP_MS, RECOVERY_MS = 4_000, 12_000
WORKER = "m1/w1@5"


def commands() -> Iterator[Command]:
    """Commands of callers, operators and workers, without end."""
    number = 0
    while True:
        number += 1
        done, cancelled = f"done-{number}", f"cancelled-{number}"
        run = run_of(done)
        yield PutCatalog(catalog(number))
        yield SubmitJob(done, address(LONG), "work", (step(),))
        yield PlaceRuns((RunPlacement(run, WORKER),))
        yield RecordRunEnds(WORKER, (end_of(run, RunEndKind.DONE, number),), number)
        yield SubmitJob(cancelled, address(LONG), "work", (step(),))
        yield CancelJob(cancelled, address(LONG))


class Day:
    """Commands without pause, faults, and a check of what is left."""

    def __init__(self, seed: int, tolerated: int, stack: ExitStack) -> None:
        self.rng = random.Random(seed)
        self.tolerated = tolerated
        self.names = tuple("abcdefg"[: 2 * tolerated + 1])
        self.group = PoweredGroup(self.names[:3], self.rng, stack)
        self.group.voter_target = len(self.names)
        self.group.snapshot_entries = 200
        self.commands = commands()

    def start(self, *names: str, founder: str = "") -> None:
        for name in self.rng.sample(names, len(names)):
            self.group.start(name, founds=name == founder)
            self.group.run(self.rng.randint(0, 300))

    def work(self, ms: int) -> None:
        end_ms = self.group.now_ms + ms
        while self.group.now_ms < end_ms:
            if self.rng.random() < 0.3:
                self.group.submit(next(self.commands))
            self.group.run(self.rng.randint(1, 60))

    def work_to_fault(self) -> None:
        """Work until some time, or until something has been acknowledged."""
        self.work(self.rng.randint(0, 500))
        known = len(self.group.acknowledged)
        if self.rng.random() < 0.7:
            while len(self.group.acknowledged) == known:
                self.group.submit(next(self.commands))
                self.group.run(1)

    def work_to_snapshot(self) -> str:
        """Work until a host writes a snapshot; return its name."""
        while True:
            for name in self.names:
                if len(self.group.stored(name).power.syncing) > 1:
                    return name
            self.group.submit(next(self.commands))
            self.group.run(1)

    def lose_disks(self, names: tuple[str, ...]) -> None:
        """Lose disks of hosts while all others lose power, and restart all."""
        for name in names:
            self.group.lose_disk(name)
        self.group.lose_power(*(name for name in self.names if name not in names))
        self.group.run(self.rng.randint(0, 1_000))
        self.start(*self.names)

    def has_recovered(self, last: int) -> bool:
        """Return whether a leader serves and has all its voters again."""
        if not any(host.is_leader for host in self.group.hosts.values()):
            return False
        consensus = self.group.leader().state.consensus
        members = {self.group.member(name) for name in self.names}
        return (
            consensus.commit_index >= consensus.term_start_index > last
            and set(consensus.voters) == members
        )

    def check(self) -> None:
        last = max(self.group.acknowledged)
        end_ms = self.group.now_ms + RECOVERY_MS
        while not self.has_recovered(last) and self.group.now_ms < end_ms:
            self.work(200)
        assert self.has_recovered(last)
        state = self.group.leader().state
        cluster = ClusterState()
        for index in range(1, state.consensus.applied_index + 1):
            apply_entry(cluster, self.group.acknowledged[index])
        assert wire.encode(state.cluster) == wire.encode(cluster)


def play(seed: int, tolerated: int, *faults: str) -> None:
    with ExitStack() as stack:
        day = Day(seed, tolerated, stack)
        day.start(*day.names, founder="a")
        day.work(CATCH_UP_MS)
        for fault in faults:
            FAULTS[fault](day)
        for _ in range(2):
            day.work_to_fault()
            day.lose_disks(tuple(day.rng.sample(day.names, tolerated)))
            day.check()
            day.work(CATCH_UP_MS)


def kill_within_sync(day: Day) -> None:
    for _ in range(4):
        name = day.rng.choice(day.names)
        day.group.crash(name)
        day.group.run(day.rng.randint(0, 400))
        day.start(name)
        day.work(day.rng.randint(0, 200))


def kill_within_snapshot(day: Day) -> None:
    for _ in range(2):
        name = day.work_to_snapshot()
        day.group.crash(name)
        day.start(name)
        day.work(day.rng.randint(0, 200))


def lose_all_power(day: Day) -> None:
    day.group.lose_power(*day.names)
    day.start(*day.names)
    day.work(day.rng.randint(0, 3_000))


def replace_machine(day: Day) -> None:
    removed = day.rng.choice(day.names)
    day.group.lose_disk(removed)
    day.names = (*(name for name in day.names if name != removed), "z")
    day.group.seeds = tuple(day.rng.sample(day.names, 3))
    day.work(day.rng.randint(0, 2_000))
    day.start("z")
    day.work(CATCH_UP_MS)


def return_after_replacement(day: Day) -> None:
    name = day.rng.choice(day.names)
    day.group.lose_power(name)
    day.work(day.rng.randint(1_000, 4_000))
    day.start(name)
    day.work(day.rng.randint(0, CATCH_UP_MS))


FAULTS = {
    fault.__name__: fault
    for fault in (
        kill_within_sync,
        kill_within_snapshot,
        lose_all_power,
        replace_machine,
        return_after_replacement,
    )
}


@pytest.mark.parametrize("tolerated", [1, 2])
@pytest.mark.parametrize("fault", ["", *FAULTS])
def test_acknowledged_outlasts_lost_disks_and_the_power_of_all_others(
    tolerated: int, fault: str
) -> None:
    """Guards against what was acknowledged being gone after a final fault."""
    for seed in range(2):
        play(seed, tolerated, *filter(None, [fault]))
