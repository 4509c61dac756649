"""Optional parts of dispatching that a deployment switches on."""

import attrs


@attrs.frozen
class DispatchFeatures:
    """Parts of dispatching that are off unless a deployment asks for them.

    Attributes
    ----------
    learned_times : bool
        Whether expected run times are learned from runs; otherwise the
        declared ones are used.
    worker_speeds : bool
        Whether placement takes the measured speed of workers into account.
    weighed_preemption : bool
        Whether a preemption must gain its claimant more than it loses.
    admission : bool
        Whether jobs that cannot be served in time are refused at once.
    """

    learned_times: bool = False
    worker_speeds: bool = False
    weighed_preemption: bool = False
    admission: bool = False
