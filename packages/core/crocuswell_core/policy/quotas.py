"""Checks against the quotas of workspaces."""

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index_updates import index_of, quantity_of, workspace_of
from crocuswell_core.cluster.records import Request
from crocuswell_core.cluster.resources import MAX_GANG_SIZE
from crocuswell_core.cluster.scheduling_index import Usage


def within_quota(cluster: ClusterState, request: Request, guaranteed: bool) -> bool:
    """Return whether a start keeps the workspace within its quota.

    Without `guaranteed`, the quota must also be enough for all guarantees of
    the workspace, so that its own borrowers never delay a claim.
    """
    workspace = workspace_of(cluster, request.workspace)
    if workspace is None:
        return False
    if workspace.quota is None:
        return True
    usage = index_of(cluster).usage.get(request.workspace, Usage())
    remaining = quantity_of(workspace.quota, MAX_GANG_SIZE).minus(usage.total)
    for request_id, hold in cluster.holds.items():
        if cluster.requests[request_id].workspace == request.workspace:
            remaining.add(hold.amount, -len(hold.workers))
    shape = request.spec.shape
    remaining.slots = shape.members
    if remaining.count_fitting(shape.per_member) < shape.members:
        return False
    if guaranteed:
        return True
    remaining = quantity_of(workspace.quota, MAX_GANG_SIZE).minus(usage.borrowed)
    for guarantee in workspace.guarantees:
        remaining.add(guarantee.per_member, -guarantee.members)
    remaining.slots = shape.members
    return remaining.count_fitting(shape.per_member) >= shape.members
