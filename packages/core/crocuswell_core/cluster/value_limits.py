"""Limits on the values of configurations and jobs, whatever their encoding.

Each function returns what was expected, an empty string for a valid value.
"""

import attrs

from crocuswell_core.cluster.configuration import (
    Limits,
    Objective,
    Preset,
    Workspace,
)
from crocuswell_core.cluster.records import JobSpec
from crocuswell_core.cluster.resources import Shape

# Largest integer that all JSON parsers and the wire format can represent.
INT_MAX = 2**53 - 1
TEXT_LIMIT = 1_024
LIST_LIMIT = 10_000
# Twice the slots of the target fleet; a larger gang is taken for a typing
# error.
MEMBERS_LIMIT = 10_000


@attrs.frozen
class Bound:
    """Inclusive range of a numeric field."""

    field: str
    low: float
    high: float


@attrs.frozen
class OutOfBounds:
    """A number that lies outside of its range."""

    field: str
    found: float
    expected: str


BOUNDS: dict[type, tuple[Bound, ...]] = {
    Shape: (Bound("members", 1, MEMBERS_LIMIT),),
    JobSpec: (Bound("run_time_ms", 1, INT_MAX),),
    Workspace: (
        Bound("weight", 1, INT_MAX),
        Bound("queue_limit", 1, INT_MAX),
    ),
    Preset: (Bound("reserve_share", 0, 1),),
    Limits: (
        Bound("run_lease_ms", 1, INT_MAX),
        Bound("quarantine_share", 0, 1),
        Bound("attempts", 1, INT_MAX),
    ),
    Objective: (
        Bound("completion_ms", 1, INT_MAX),
        Bound("target", 0, 1),
    ),
}


def check_int(value: object) -> str:
    """Check an integer."""
    if type(value) is int and 0 <= value <= INT_MAX:
        return ""
    return f"an integer from 0 to {INT_MAX}"


def check_float(value: object) -> str:
    """Check a number, which may be an integer."""
    is_number = isinstance(value, int | float) and type(value) is not bool
    is_valid = is_number and 0 <= value <= INT_MAX  # type: ignore[operator]
    return "" if is_valid else "a number of at least 0"


def check_text(value: object) -> str:
    """Check a text."""
    if type(value) is not str or len(value) > TEXT_LIMIT:
        return f"text of at most {TEXT_LIMIT} characters"
    try:
        value.encode()
    except UnicodeEncodeError:
        return "text in valid Unicode"
    return ""


def check_length(value: list[object] | tuple[object, ...]) -> str:
    """Check the length of a list."""
    return "" if len(value) <= LIST_LIMIT else f"a list of at most {LIST_LIMIT} values"


def find_out_of_bounds(record: object) -> OutOfBounds | None:
    """Return the first field of an object that is outside of its range."""
    for bound in BOUNDS.get(type(record), ()):
        number = getattr(record, bound.field)
        if not bound.low <= number <= bound.high:
            expected = f"a number from {bound.low} to {bound.high}"
            return OutOfBounds(bound.field, number, expected)
    return None
