"""Reserved starts for blocked requests, and the limits of backfill."""

from crocuswell_core.cluster.cluster_state import ClusterState, Reservation
from crocuswell_core.cluster.index_updates import index_of, requirements_of
from crocuswell_core.cluster.records import ENDED_MEMBER_PHASES, AttemptId, Request
from crocuswell_core.cluster.scheduling_index import PlacementRequirements, Quantity
from crocuswell_core.policy.placement import Offer

# Time in ms after the expected start at which a reservation is planned again,
# since the attempts that it waits for run longer than expected.
OVERDUE_MS = 1_000

FAR_FUTURE_MS = 2**62


def reserve_earliest_start(cluster: ClusterState, request: Request) -> None:
    """Reserve the earliest expected start for a blocked request.

    Drops its reservation if no start can be expected.
    """
    best: tuple[int, tuple[str, ...]] | None = None
    requirements = requirements_of(request.spec)
    index = index_of(cluster)
    # Earlier reservations count as in use, since their end is not known.
    earlier_reserved = _reserved_resources(cluster, request.id, FAR_FUTURE_MS)
    for unit in sorted(index.units[requirements.shape.adjacency]):
        names = index.units[requirements.shape.adjacency][unit]
        found = _earliest_start(cluster, requirements, names, earlier_reserved)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    if best is None:
        cluster.reservations.pop(request.id, None)
        return
    cluster.reservations[request.id] = Reservation(
        requirements.shape.per_member, best[1], best[0]
    )


def replan_stale_reservations(cluster: ClusterState) -> None:
    """Plan overdue reservations and those on unusable workers again."""
    worker_capacities = index_of(cluster).worker_capacities
    for request_id, reservation in list(cluster.reservations.items()):
        is_unusable = any(
            name not in worker_capacities or not worker_capacities[name].usable
            for name in reservation.workers
        )
        if is_unusable or reservation.start_ms + OVERDUE_MS < cluster.now_ms:
            reserve_earliest_start(cluster, cluster.requests[request_id])


def exclude_reserved(
    cluster: ClusterState, request: Request, offers: list[Offer], end_ms: int
) -> list[Offer]:
    """Remove resources from offers that are reserved for earlier requests.

    Resources of a worker with a reservation may be used until the reserved
    start, or beyond it if the reserved amount still fits besides.
    """
    if not cluster.reservations:
        return offers
    reserved = _reserved_resources(cluster, request.id, end_ms)
    if not reserved:
        return offers
    worker_capacities = index_of(cluster).worker_capacities
    amount = request.spec.shape.per_member
    kept: list[Offer] = []
    for offer in offers:
        fits = {
            name: min(
                count,
                worker_capacities[name]
                .free.minus(reserved[name])
                .count_fitting(amount),
            )
            if name in reserved
            else count
            for name, count in offer.fits.items()
        }
        fits = {name: count for name, count in fits.items() if count}
        if sum(fits.values()) >= request.spec.shape.members:
            kept.append(Offer(offer.unit, fits))
    return kept


def _reserved_resources(
    cluster: ClusterState, request_id: str, end_ms: int
) -> dict[str, Quantity]:
    """Return the resources of each worker that are reserved at `end_ms`.

    For a request with a reservation of its own, only earlier ones count.
    """
    reserved: dict[str, Quantity] = {}
    for other_id, reservation in cluster.reservations.items():
        if other_id == request_id:
            break
        if end_ms <= reservation.start_ms:
            continue
        for name in reservation.workers:
            reserved.setdefault(name, Quantity()).add(reservation.amount)
    return reserved


def _earliest_start(
    cluster: ClusterState,
    requirements: PlacementRequirements,
    names: list[str],
    earlier_reserved: dict[str, Quantity],
) -> tuple[int, tuple[str, ...]] | None:
    """Return when and where requirements are expected to fit in one unit.

    Returns
    -------
    tuple or None
        Cluster time in ms and the worker of each member; None if they do
        not fit even after all attempts on the workers have ended.
    """
    worker_capacities = index_of(cluster).worker_capacities
    available = {
        name: worker_capacities[name].free.minus(
            worker_capacities[name].held, earlier_reserved.get(name, Quantity())
        )
        for name in names
        if worker_capacities[name].usable
    }
    unplanned_by_worker = {
        name: worker_capacities[name].capacity.minus(worker_capacities[name].planned)
        for name in available
    }
    member_count = requirements.shape.members
    fits = {
        name: _fitting_members(requirements, available[name], unplanned_by_worker[name])
        for name in available
    }
    total = sum(fits.values())
    if total >= member_count:
        return cluster.now_ms, _assign_members(fits, member_count)
    for end_ms, name, attempt_id in _expected_ends(cluster, list(available)):
        attempt = cluster.attempts[attempt_id]
        freed = cluster.requests[attempt_id.request_id].spec.shape.per_member
        for member in attempt.members:
            if member.worker == name and member.phase not in ENDED_MEMBER_PHASES:
                available[name].add(freed)
        total -= fits[name]
        fits[name] = _fitting_members(
            requirements, available[name], unplanned_by_worker[name]
        )
        total += fits[name]
        if total >= member_count:
            return max(end_ms, cluster.now_ms), _assign_members(fits, member_count)
    return None


def _expected_ends(
    cluster: ClusterState, names: list[str]
) -> list[tuple[int, str, AttemptId]]:
    """Return the expected ends of the attempts on these workers, sorted."""
    ends = [
        (cluster.attempts[attempt_id].expected_end_ms, name, attempt_id)
        for name in names
        for attempt_id in cluster.allocations[name].attempts
    ]
    return sorted(ends, key=lambda end: (end[0], end[1], str(end[2])))


def _fitting_members(
    requirements: PlacementRequirements, remaining: Quantity, unplanned: Quantity
) -> int:
    count = remaining.count_fitting(requirements.shape.per_member)
    return (
        count
        if requirements.preemptible
        else min(count, unplanned.count_fitting(requirements.shape.per_member))
    )


def _assign_members(fits: dict[str, int], member_count: int) -> tuple[str, ...]:
    workers: list[str] = []
    for name in sorted(fits, key=lambda name: (-fits[name], name)):
        workers += [name] * min(fits[name], member_count - len(workers))
    return tuple(workers)
