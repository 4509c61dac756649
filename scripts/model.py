"""Search the specifications of the consensus protocol exhaustively.

Prints the number of states and the depth of each search. Each planted fault
must violate the invariant that is meant to detect it.
"""

import sys

from tests.model_search import (
    LARGE,
    LARGE_PLANTED,
    SMALL,
    SMALL_PLANTED,
    search,
)


def main() -> int:
    failures = 0
    for bounds in (*SMALL, *LARGE):
        result = search(bounds)
        failures += len(result.violated)
        print(
            f"{bounds}: {result.states} states, depth {result.depth}, "
            f"{len(result.invariants)} invariants, broken: {result.violated or 'none'}",
            flush=True,
        )
    for planted_case in (*SMALL_PLANTED, *LARGE_PLANTED):
        result = search(planted_case.bounds)
        caught = planted_case.invariant in result.violated
        failures += not caught
        print(
            f"planted {planted_case.bounds.fault!r}: {result.states} states, "
            f"{planted_case.invariant!r} {'fails as it must' if caught else 'HOLDS'}",
            flush=True,
        )
    print(f"model: {failures} failures")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
