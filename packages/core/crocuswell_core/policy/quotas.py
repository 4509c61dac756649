"""Quotas of workspaces."""

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index import index_of, total_of, workspace_of
from crocuswell_core.cluster.records import Request
from crocuswell_core.cluster.resources import LARGEST_GANG
from crocuswell_core.cluster.spaces import Usage


def within_quota(cluster: ClusterState, request: Request, guaranteed: bool) -> bool:
    """Tell whether a start keeps the workspace within its quota.

    What a workspace borrows leaves room in its quota for all of its
    guarantees, so that its own borrowing never delays a claim.
    """
    workspace = workspace_of(cluster, request.workspace)
    if workspace is None:
        return False
    if workspace.quota is None:
        return True
    usage = index_of(cluster).usage.get(request.workspace, Usage())
    rest = total_of(workspace.quota, LARGEST_GANG).less(usage.total)
    for request_id, hold in cluster.holds.items():
        if cluster.requests[request_id].workspace == request.workspace:
            rest.add(hold.amount, -len(hold.workers))
    shape = request.spec.shape
    rest.slots = shape.members
    if rest.members(shape.per_member) < shape.members:
        return False
    if guaranteed:
        return True
    rest = total_of(workspace.quota, LARGEST_GANG).less(usage.borrowed)
    for guarantee in workspace.guarantees:
        rest.add(guarantee.per_member, -guarantee.members)
    rest.slots = shape.members
    return rest.members(shape.per_member) >= shape.members
