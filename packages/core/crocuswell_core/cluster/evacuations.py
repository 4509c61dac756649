"""Failure domains that operators evacuate: no run starts in them."""

import attrs

MAX_DOMAIN_CHARS = 200


@attrs.frozen
class Evacuation:
    """An order of an operator to keep new work out of a failure domain.

    Attributes
    ----------
    since_ms : int
        Cluster time in ms at which it was accepted.
    author : str
        Operator who ordered it; empty if unknown.
    """

    since_ms: int
    author: str = ""


def find_domain_problem(name: str) -> str | None:
    """Return what is wrong with the name of a failure domain.

    Only its form is checked: a domain may be evacuated before its first worker
    is seen.
    """
    if not name:
        return "failure domain: found no name"
    if len(name) > MAX_DOMAIN_CHARS:
        limit = f"expected at most {MAX_DOMAIN_CHARS}"
        return f"failure domain: found {len(name)} characters, {limit}"
    if not name.isprintable():
        return "failure domain: found characters that cannot be printed"
    return None
