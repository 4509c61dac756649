"""The scheduling pass that follows each applied command."""

import attrs

from crocuswell_core.attempts import place_request
from crocuswell_core.effects import ClusterEffect
from crocuswell_core.placement import first_fit
from crocuswell_core.records import Request, RequestPhase
from crocuswell_core.state import ClusterState


def schedule(cluster: ClusterState) -> list[ClusterEffect]:
    """Place what can start now; does nothing if nothing changed."""
    if not cluster.needs_scheduling:
        return []
    cluster.needs_scheduling = False
    if not cluster.configuration.preset().placement:
        return []
    effects: list[ClusterEffect] = []
    for queue in cluster.queues.values():
        for request_id in list(queue):
            request = cluster.requests[request_id]
            if request.not_before_ms:
                continue
            workers = first_fit(cluster, request.spec.shape)
            if workers is not None:
                effects += place_request(cluster, request, workers)
    return effects


@attrs.frozen
class Waiting:
    """Why a request waits.

    Attributes
    ----------
    reason : str
        One sentence; empty if it does not wait.
    expected_start_ms : int or None
        Cluster time in ms of its reserved start.
    """

    reason: str = ""
    expected_start_ms: int | None = None


def explain_waiting(cluster: ClusterState, request: Request) -> Waiting:
    """Tell why a request waits and when it can start."""
    if request.phase is not RequestPhase.QUEUED:
        return Waiting()
    if request.not_before_ms:
        return Waiting("back-off after a failed attempt", request.not_before_ms)
    if not cluster.configuration.preset().placement:
        name = cluster.configuration.active_preset
        return Waiting(f"the preset {name} places no new work")
    if not cluster.workers:
        return Waiting("no worker has announced itself")
    return Waiting("free room for all members at once")
