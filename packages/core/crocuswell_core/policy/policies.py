"""Scheduling policies as values; `scheduling.run_pass` dispatches on them."""

import attrs


@attrs.frozen
class Policy:
    """A way to choose what starts where."""


@attrs.frozen
class StandingPolicy(Policy):
    """The policy of this system; switches leave out single elements.

    Attributes
    ----------
    guarantees : bool
        Whether guaranteed shapes are planned and claimed.
    reservations : int
        Most blocked requests that hold a reserved start at once.
    correction : bool
        Whether declared run times are corrected by what was observed.
    shape_scoring : bool
        Whether placement counts what remains for the declared shapes.
    consolidation : bool
        Whether small jobs are moved together for a waiting gang.
    quarantine : bool
        Whether workers whose failures stand out are taken out.
    short_first : bool
        Whether long borrowers are stopped with a checkpoint for short work.
    """

    guarantees: bool = True
    reservations: int = 1
    correction: bool = True
    shape_scoring: bool = True
    consolidation: bool = True
    quarantine: bool = True
    short_first: bool = True
