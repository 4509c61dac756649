"""Play named loads against the dispatcher and print what callers got."""

import argparse
import json
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import attrs

from bench.crashing_fleet import CrashingFleet
from bench.load_outcomes import Outcome
from bench.loads import load_named, load_names
from crocuswell_core.dispatching.features import DispatchFeatures


def describe(name: str, seed: int, outcome: Outcome, took_s: float) -> list[str]:
    """Return lines of text about one played load."""
    wasted = ", ".join(
        f"{cause} {core_s:.0f}"
        for cause, core_s in sorted(outcome.wasted_core_s.items())
    )
    lines = [
        f"{name} seed {seed}: value {outcome.share:.3f} "
        f"of at most {outcome.bound_share:.3f}, "
        f"{outcome.total_wasted_core_s:,.0f} core-s lost ({wasted}), "
        f"{outcome.runs} runs, stopped {outcome.stops}, {took_s:.1f} s"
    ]
    for class_name, got in outcome.classes.items():
        lines.append(
            f"  {class_name:14} owed {got.owed:4}, in aim {got.in_aim:4}, "
            f"late {got.late:4}, never {got.never:4}; waited p50 "
            f"{got.waited_percentile(50):6} ms, p95 {got.waited_percentile(95):6} ms"
        )
    return lines


def play_one(
    named: tuple[str, int], features: DispatchFeatures, intensity: float
) -> tuple[Outcome, float]:
    """Play a load with a seed; return the outcome and the time taken in s."""
    name, seed = named
    started_s = time.process_time()
    load = load_named(name)
    load = attrs.evolve(load, intensity=load.intensity * intensity)
    outcome = CrashingFleet(load, seed, features).play()
    return outcome, time.process_time() - started_s


def play(
    names: Iterable[str],
    seeds: Iterable[int],
    jobs: int,
    features: DispatchFeatures,
    intensity: float,
) -> dict[str, Outcome]:
    """Play loads, print their results and return them."""
    played = [(name, seed) for name in names for seed in seeds]
    outcomes: dict[str, Outcome] = {}
    with ProcessPoolExecutor(jobs) as pool:
        results = pool.map(
            partial(play_one, features=features, intensity=intensity), played
        )
        for (name, seed), (outcome, took_s) in zip(played, results, strict=True):
            print("\n".join(describe(name, seed, outcome, took_s)), flush=True)
            outcomes[f"{name} {seed}"] = outcome
    for name in dict.fromkeys(name for name, _ in played):
        of_load = [outcomes[f"{n} {seed}"] for n, seed in played if n == name]
        share = sum(outcome.share for outcome in of_load) / len(of_load)
        classes = [got for outcome in of_load for got in outcome.classes.values()]
        in_aim = sum(got.in_aim for got in classes)
        owed = sum(got.owed for got in classes)
        wasted = sum(outcome.total_wasted_core_s for outcome in of_load) / len(of_load)
        bound = sum(outcome.bound_share for outcome in of_load) / len(of_load)
        print(
            f"{name}: mean value {share:.3f} of at most {bound:.3f}, "
            f"{in_aim} of {owed} in aim, {wasted:,.0f} core-s lost a play"
        )
    return outcomes


def compare(outcomes: dict[str, Outcome], earlier: Path) -> None:
    """Print the differences to results that were written by `--output`."""
    before = json.loads(earlier.read_text())
    for key, outcome in outcomes.items():
        if key in before:
            old = before[key]
            print(
                f"{key}: value {old['value'] / old['owed_value']:.3f} -> "
                f"{outcome.share:.3f}, core-s lost "
                f"{sum(old['wasted_core_s'].values()):,.0f} -> "
                f"{outcome.total_wasted_core_s:,.0f}"
            )


def main() -> None:
    """Play the loads named on the command line, by default all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("loads", nargs="*", default=load_names())
    parser.add_argument("--seeds", type=int, default=3, help="seeds 1 to this one")
    parser.add_argument("--jobs", type=int, default=3, help="processes to use")
    parser.add_argument("--output", type=Path, help="write the results as JSON")
    parser.add_argument("--compare", type=Path, help="results of an earlier run")
    parser.add_argument(
        "--features",
        nargs="*",
        default=[],
        choices=[field.name for field in attrs.fields(DispatchFeatures)],
        help="optional parts of dispatching to switch on",
    )
    parser.add_argument(
        "--intensity", type=float, default=1.0, help="factor of all arrival rates"
    )
    options = parser.parse_args()
    features = DispatchFeatures(**dict.fromkeys(options.features, True))
    seeds = range(1, options.seeds + 1)
    outcomes = play(options.loads, seeds, options.jobs, features, options.intensity)
    if options.output:
        document = {key: attrs.asdict(outcome) for key, outcome in outcomes.items()}
        options.output.write_text(json.dumps(document))
    if options.compare:
        compare(outcomes, options.compare)


if __name__ == "__main__":
    main()
