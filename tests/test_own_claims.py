"""Claims of a workspace whose earlier requests are still running."""

from crocuswell_core.agent.agent_messages import StopTask
from crocuswell_core.cluster.commands import TaskReserved
from crocuswell_core.cluster.configuration import Workspace
from crocuswell_core.cluster.records import AttemptId, JobSpec
from crocuswell_core.cluster.resources import Adjacency
from tests.clusters import Cluster, gang


def test_a_later_request_does_not_stop_an_earlier_one_of_its_workspace() -> None:
    """Guards against preempting a running claim of the same workspace."""
    shape = gang(2, 8, Adjacency.RACK)
    cluster = Cluster()
    cluster.configure(Workspace("tables", guarantees=(shape,)))
    for worker in ("w1", "w2", "w3"):
        cluster.announce(worker)
    spec = JobSpec(shape=shape, run_time_ms=5_000, checkpoint_ms=500)
    cluster.submit("a", spec, "tables")
    for member in cluster.attempt("a").members:
        report = TaskReserved(AttemptId("a", 1), member.rank)
        cluster.report(member.worker, report)
    cluster.orders()
    cluster.submit("b", spec, "tables")
    stops = [order for _, order in cluster.orders() if type(order) is StopTask]
    assert stops == []
