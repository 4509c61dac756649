"""Baseline policies of the benchmark."""

import attrs

from crocuswell_core.cluster.attempts import place_request
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index_updates import index_of
from crocuswell_core.policy.placement import first_fit
from crocuswell_core.policy.policies import DefaultPolicy
from crocuswell_core.policy.scheduling import run_pass
from crocuswell_core.runtime.effects import ClusterEffect


@attrs.frozen
class FirstComeFirstServed(DefaultPolicy):
    """Arrival order and first fit; the head of the queue blocks the rest."""


# Fair share with backfill and best fit: the default policy with everything
# else disabled.
FAIR_SHARE = DefaultPolicy(
    guarantees=False,
    max_reservations=1,
    run_time_correction=False,
    shape_scoring=False,
    consolidation=False,
    quarantine=False,
    short_job_preemption=False,
)


@run_pass.register
def _(policy: FirstComeFirstServed, cluster: ClusterState) -> list[ClusterEffect]:
    effects: list[ClusterEffect] = []
    while True:
        queue_heads = [
            ready_queue.entries[0]
            for ready_queues in index_of(cluster).ready_queues.values()
            for ready_queue in ready_queues.values()
        ]
        if not queue_heads:
            return effects
        request = cluster.requests[min(queue_heads)[1]]
        workers = first_fit(cluster, request.spec.shape)
        if workers is None:
            return effects
        effects += place_request(cluster, request, workers)
