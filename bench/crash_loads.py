"""Play random loads with tasks that crash workers, and with other crashes.

Prints each play that gives up an innocent job, or starts a culprit too often,
and the totals of each kind of load. A seed replays exactly.
"""

import random
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import attrs
import typer

from bench.crashing_fleet import CrashingFleet
from bench.loads import Load, WorkerFault, load_named

# Once a task has crashed three workers it is started less than three times
# more.
MAX_LATE_STARTS = 2
WAVES = 5
EARLY_MS = (5.0, 10.0, 300.0)
SLOW_MS = (1_500.0, 3_000.0, 6_000.0)


@attrs.frozen
class Kind:
    """A kind of load: its fleet, and what crashes there.

    Attributes
    ----------
    crash_after_ms : tuple of float
        Times in ms from the start of a culprit to the crash; empty for no
        culprits.
    shares : tuple of float
        Shares of the jobs of one class that have a culprit.
    """

    is_large: bool = False
    has_waves: bool = False
    crash_after_ms: tuple[float, ...] = ()
    shares: tuple[float, ...] = (0.05, 0.2, 0.5)


KINDS = {
    "van-w": Kind(has_waves=True),
    "van-wd": Kind(has_waves=True, crash_after_ms=EARLY_MS),
    "van-d": Kind(crash_after_ms=EARLY_MS),
    "van-s": Kind(crash_after_ms=SLOW_MS, shares=(0.05, 0.2)),
    "van-ws": Kind(has_waves=True, crash_after_ms=SLOW_MS, shares=(0.05, 0.2)),
    "big-w": Kind(is_large=True, has_waves=True),
    "big-wd": Kind(is_large=True, has_waves=True, crash_after_ms=EARLY_MS),
    "big-d": Kind(is_large=True, crash_after_ms=EARLY_MS),
    "big-s": Kind(is_large=True, crash_after_ms=SLOW_MS, shares=(0.05, 0.2)),
}


@attrs.frozen
class Played:
    """What one play showed."""

    name: str
    seed: int
    share: float
    crashes: int
    culprits: int
    most_late_starts: int
    wrongly_failed: int

    @property
    def breaks_a_bound(self) -> bool:
        """Whether an innocent job was given up or a culprit went on."""
        return self.wrongly_failed > 0 or self.most_late_starts > MAX_LATE_STARTS


def make_load(kind: Kind, seed: int) -> Load:
    """Return a random load of a kind."""
    rng = random.Random(seed)
    if kind.is_large:
        load = attrs.evolve(
            load_named("large"),
            workers=60,
            intensity=0.35,
            workspaces=8,
            length_ms=34_000,
        )
    else:
        load = attrs.evolve(load_named("van"), length_ms=34_000, finish_ms=20_000)
    faults = tuple(
        WorkerFault(
            rng.choice(("rack_crash", "crash")),
            round(1_000 + at_ms),
            rng.choice((0.1, 0.2, 0.3, 0.4)),
            for_ms=rng.choice((2_000, 3_000)),
        )
        for at_ms in sorted(rng.uniform(0, 25_000) for _ in range(WAVES))
    )
    culprits = rng.choice(load.classes).name
    if kind.has_waves:
        load = attrs.evolve(load, faults=faults)
    if not kind.crash_after_ms:
        return load
    share, after_ms = rng.choice(kind.shares), rng.choice(kind.crash_after_ms)
    classes = tuple(
        attrs.evolve(each, crashing_share=share, crash_after_ms=after_ms)
        if each.name == culprits
        else each
        for each in load.classes
    )
    return attrs.evolve(load, classes=classes)


def play(named: tuple[str, int]) -> Played:
    """Play one seed of a kind of load."""
    name, seed = named
    fleet = CrashingFleet(make_load(KINDS[name], seed), seed)
    outcome = fleet.play()
    return Played(
        name,
        seed,
        outcome.share,
        fleet.crashes,
        len(fleet.late_starts),
        max(fleet.late_starts.values(), default=0),
        len(fleet.wrongly_failed),
    )


def main(
    kinds: Annotated[list[str], typer.Argument(help="Kinds of load.")],
    seeds: Annotated[int, typer.Option(help="Seeds 1 to this one.")] = 60,
    jobs: Annotated[int, typer.Option(help="Processes to use.")] = 4,
) -> None:
    """Play seeds of some kinds of load; exit with 1 if one breaks a bound."""
    played: dict[str, list[Played]] = defaultdict(list)
    named = [(kind, seed) for kind in kinds for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(play, named, chunksize=4):
            played[result.name].append(result)
            if result.breaks_a_bound:
                print("breaks a bound:", result, flush=True)
    for name, results in played.items():
        print(
            f"{name}: {len(results)} plays, "
            f"value {sum(each.share for each in results) / len(results):.3f}, "
            f"{sum(each.crashes for each in results)} crashes, "
            f"{sum(each.culprits for each in results)} culprits, "
            f"at most {max(each.most_late_starts for each in results)} late starts, "
            f"{sum(each.wrongly_failed for each in results)} jobs given up wrongly"
        )
    if any(each.breaks_a_bound for results in played.values() for each in results):
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
