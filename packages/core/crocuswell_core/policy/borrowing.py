"""Whether and where work above the guarantees may start now."""

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index import index_of, need_of
from crocuswell_core.cluster.records import Request
from crocuswell_core.cluster.spaces import Need
from crocuswell_core.policy.forecast import expected_run_ms
from crocuswell_core.policy.placement import find_offers
from crocuswell_core.policy.policies import StandingPolicy
from crocuswell_core.policy.quotas import within_quota
from crocuswell_core.policy.reservations import respect_reservations
from crocuswell_core.policy.scoring import choose_best_fit, choose_by_shapes


@attrs.define
class Tries:
    """What one pass has tried in vain.

    Attributes
    ----------
    failed : int
        Number of searches that found room, but none that may be used.
    reserved : dict
        For each need the earliest end at which all room was reserved.
    """

    failed: int = 0
    reserved: dict[Need, int] = attrs.Factory(dict)


def find_workers(
    cluster: ClusterState, request: Request, tries: Tries | None = None
) -> tuple[str, ...]:
    """Return workers on which a borrower may start now, or nothing."""
    preset = cluster.configuration.preset()
    if not preset.borrowing or reserve_would_shrink(cluster, request):
        return ()
    need = need_of(request.spec)
    end_ms = cluster.now_ms + expected_run_ms(cluster, request)
    own = request.id in cluster.reservations
    if tries is not None and not own and end_ms >= tries.reserved.get(need, end_ms + 1):
        return ()
    offers = find_offers(cluster, need)
    if not offers or not within_quota(cluster, request, guaranteed=False):
        return ()
    offers = respect_reservations(cluster, request, offers, end_ms)
    if not offers:
        if tries is not None:
            tries.failed += 1
            if not own:
                tries.reserved[need] = end_ms
        return ()
    policy = cluster.policy
    if isinstance(policy, StandingPolicy) and not policy.shape_scoring:
        return choose_best_fit(cluster, request, offers)
    return choose_by_shapes(cluster, request.spec.shape, offers, end_ms)


def reserve_would_shrink(cluster: ClusterState, request: Request) -> bool:
    """Tell whether a start would use accelerators that are kept idle."""
    share = cluster.configuration.preset().reserve_share
    if share <= 0:
        return False
    index = index_of(cluster)
    wanted = request.spec.shape.total.accelerators
    return index.free.accelerators - wanted < share * index.capacity.accelerators
