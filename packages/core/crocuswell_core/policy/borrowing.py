"""Selection of workers for work beyond the guarantees of its workspace."""

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index_updates import index_of, requirements_of
from crocuswell_core.cluster.records import Request
from crocuswell_core.cluster.scheduling_index import PlacementRequirements
from crocuswell_core.policy.forecast import expected_run_ms
from crocuswell_core.policy.placement import find_offers
from crocuswell_core.policy.policies import DefaultPolicy
from crocuswell_core.policy.quotas import within_quota
from crocuswell_core.policy.reservations import exclude_reserved
from crocuswell_core.policy.scoring import choose_best_fit, choose_by_shapes


@attrs.define
class FailedSearches:
    """Failed searches of one scheduling pass.

    Attributes
    ----------
    count : int
        Number of searches that found free resources, but only reserved ones.
    reserved_end_ms : dict
        By requirements, the earliest expected end, as cluster time in ms, for
        which all free resources were reserved. Later ends would fail as well.
    """

    count: int = 0
    reserved_end_ms: dict[PlacementRequirements, int] = attrs.Factory(dict)


def find_workers(
    cluster: ClusterState,
    request: Request,
    failed_searches: FailedSearches | None = None,
) -> tuple[str, ...]:
    """Return the worker of each member of a borrower that can start now.

    Returns an empty tuple if the request cannot start. Requests that are
    known from `failed_searches` to fail are not tried again.
    """
    preset = cluster.configuration.preset()
    if not preset.borrowing or uses_idle_reserve(cluster, request):
        return ()
    requirements = requirements_of(request.spec)
    end_ms = cluster.now_ms + expected_run_ms(cluster, request)
    has_reservation = request.id in cluster.reservations
    if (
        failed_searches is not None
        and not has_reservation
        and end_ms >= failed_searches.reserved_end_ms.get(requirements, end_ms + 1)
    ):
        return ()
    offers = find_offers(cluster, requirements)
    if not offers or not within_quota(cluster, request, guaranteed=False):
        return ()
    offers = exclude_reserved(cluster, request, offers, end_ms)
    if not offers:
        if failed_searches is not None:
            failed_searches.count += 1
            if not has_reservation:
                failed_searches.reserved_end_ms[requirements] = end_ms
        return ()
    policy = cluster.policy
    if isinstance(policy, DefaultPolicy) and not policy.shape_scoring:
        return choose_best_fit(cluster, request, offers)
    return choose_by_shapes(cluster, request.spec.shape, offers, end_ms)


def uses_idle_reserve(cluster: ClusterState, request: Request) -> bool:
    """Return whether a start would cut into the preset's idle reserve."""
    share = cluster.configuration.preset().reserve_share
    if share <= 0:
        return False
    index = index_of(cluster)
    requested = request.spec.shape.total.accelerators
    return index.free.accelerators - requested < share * index.capacity.accelerators
