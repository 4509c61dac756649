"""Scheduling policies, on which `scheduling.run_pass` dispatches."""

import attrs


@attrs.frozen
class Policy:
    """Base class of scheduling policies."""


@attrs.frozen
class DefaultPolicy(Policy):
    """The default policy, with a switch for each of its features.

    Attributes
    ----------
    guarantees : bool
        Whether workers are planned for guaranteed shapes, for claims to use.
    max_reservations : int
        Maximum number of blocked requests with a reserved start.
    run_time_correction : bool
        Whether declared run times are corrected by observed ones.
    shape_scoring : bool
        Whether placement keeps capacity for recently requested shapes.
    consolidation : bool
        Whether small jobs are moved so that a large shape fits.
    quarantine : bool
        Whether workers with outlying failure rates are quarantined.
    short_job_preemption : bool
        Whether long borrowers are checkpointed and preempted for short jobs.
    """

    guarantees: bool = True
    max_reservations: int = 1
    run_time_correction: bool = True
    shape_scoring: bool = True
    consolidation: bool = True
    quarantine: bool = True
    short_job_preemption: bool = True
