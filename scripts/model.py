"""Check the specifications of the agreement protocol exhaustively.

Prints states and depth of each search. Each planted fault must break the
invariant it is planted for.
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
        found = search(bounds)
        failures += len(found.broken)
        print(
            f"{bounds}: {found.states} states, depth {found.depth}, "
            f"{len(found.invariants)} invariants, broken: {found.broken or 'none'}",
            flush=True,
        )
    for planted in (*SMALL_PLANTED, *LARGE_PLANTED):
        found = search(planted.bounds)
        caught = planted.invariant in found.broken
        failures += not caught
        print(
            f"planted {planted.bounds.fault!r}: {found.states} states, "
            f"{planted.invariant!r} {'fails as it must' if caught else 'HOLDS'}",
            flush=True,
        )
    print(f"model: {failures} failures")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
