"""Failure domains that operators evacuate: no run starts in them."""

import attrs


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
