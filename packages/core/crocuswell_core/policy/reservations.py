"""Reserved starts for blocked requests, and backfill around them."""

from crocuswell_core.cluster.cluster_state import ClusterState, Reservation
from crocuswell_core.cluster.index import index_of, need_of
from crocuswell_core.cluster.records import ENDED_MEMBER_PHASES, AttemptId, Request
from crocuswell_core.cluster.spaces import Need, Quantity
from crocuswell_core.policy.placement import Offer

# Time in ms after its planned start at which a reservation that did not start
# is planned again: the work it waited for ran longer than expected.
OVERDUE_MS = 1_000

END_OF_TIME_MS = 2**62


def reserve_start(cluster: ClusterState, request: Request) -> None:
    """Reserve the earliest expected start for a blocked request."""
    best: tuple[int, tuple[str, ...]] | None = None
    need = need_of(request.spec)
    index = index_of(cluster)
    # Room of earlier reservations counts as taken: its end is not known.
    earlier = _reserved_room(cluster, request.id, END_OF_TIME_MS)
    for unit in sorted(index.units[need.shape.adjacency]):
        names = index.units[need.shape.adjacency][unit]
        found = _earliest_start(cluster, need, names, earlier)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    if best is None:
        cluster.reservations.pop(request.id, None)
        return
    cluster.reservations[request.id] = Reservation(
        need.shape.per_member, best[1], best[0]
    )


def drop_stale(cluster: ClusterState) -> None:
    """Plan overdue reservations and those on lost workers again."""
    spaces = index_of(cluster).spaces
    for request_id, reservation in list(cluster.reservations.items()):
        lost = any(
            name not in spaces or not spaces[name].usable
            for name in reservation.workers
        )
        if lost or reservation.start_ms + OVERDUE_MS < cluster.now_ms:
            reserve_start(cluster, cluster.requests[request_id])


def respect_reservations(
    cluster: ClusterState, request: Request, offers: list[Offer], end_ms: int
) -> list[Offer]:
    """Leave out room that is reserved for an earlier request.

    Room on a reserved worker may be used until the reserved start, or
    beyond it if the reserved amount still fits beside.
    """
    if not cluster.reservations:
        return offers
    reserved = _reserved_room(cluster, request.id, end_ms)
    if not reserved:
        return offers
    spaces = index_of(cluster).spaces
    amount = request.spec.shape.per_member
    kept: list[Offer] = []
    for offer in offers:
        fits = {
            name: min(count, spaces[name].free.less(reserved[name]).members(amount))
            if name in reserved
            else count
            for name, count in offer.fits.items()
        }
        fits = {name: count for name, count in fits.items() if count}
        if sum(fits.values()) >= request.spec.shape.members:
            kept.append(Offer(offer.unit, fits))
    return kept


def _reserved_room(
    cluster: ClusterState, request_id: str, end_ms: int
) -> dict[str, Quantity]:
    """Return the room per worker that must stay free beyond `end_ms`.

    A request with a reservation of its own yields to the earlier ones only.
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
    need: Need,
    names: list[str],
    earlier: dict[str, Quantity],
) -> tuple[int, tuple[str, ...]] | None:
    """Return when and where a need fits in one unit, by expected ends."""
    spaces = index_of(cluster).spaces
    rests = {
        name: spaces[name].free.less(spaces[name].held, earlier.get(name, Quantity()))
        for name in names
        if spaces[name].usable
    }
    caps = {name: spaces[name].capacity.less(spaces[name].planned) for name in rests}
    wanted = need.shape.members
    fits = {name: _cap(need, rests[name], caps[name]) for name in rests}
    total = sum(fits.values())
    if total >= wanted:
        return cluster.now_ms, _take(fits, wanted)
    for end_ms, name, attempt_id in _expected_ends(cluster, list(rests)):
        attempt = cluster.attempts[attempt_id]
        freed = cluster.requests[attempt_id.request_id].spec.shape.per_member
        for member in attempt.members:
            if member.worker == name and member.phase not in ENDED_MEMBER_PHASES:
                rests[name].add(freed)
        total -= fits[name]
        fits[name] = _cap(need, rests[name], caps[name])
        total += fits[name]
        if total >= wanted:
            return max(end_ms, cluster.now_ms), _take(fits, wanted)
    return None


def _expected_ends(
    cluster: ClusterState, names: list[str]
) -> list[tuple[int, str, AttemptId]]:
    """Return the expected ends of attempts on these workers, in order."""
    ends = [
        (cluster.attempts[attempt_id].expected_end_ms, name, attempt_id)
        for name in names
        for attempt_id in cluster.rooms[name].attempts
    ]
    return sorted(ends, key=lambda end: (end[0], end[1], str(end[2])))


def _cap(need: Need, rest: Quantity, cap: Quantity) -> int:
    count = rest.members(need.shape.per_member)
    return count if need.movable else min(count, cap.members(need.shape.per_member))


def _take(fits: dict[str, int], wanted: int) -> tuple[str, ...]:
    workers: list[str] = []
    for name in sorted(fits, key=lambda name: (-fits[name], name)):
        workers += [name] * min(fits[name], wanted - len(workers))
    return tuple(workers)
