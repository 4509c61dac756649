"""The work that accepted jobs still wait with, as sums by rank."""

import attrs

from crocuswell_core.jobs.job_records import ResourceVector

# Priority tier, queue priority, and number of the interval of the deadline.
BacklogRank = tuple[int, int, int]
DEADLINE_INTERVAL_MS = 500


@attrs.frozen
class JobBacklog:
    """Waiting work of one job.

    Attributes
    ----------
    work : ResourceVector
        Demand of its waiting tasks, each times the expected run time in ms.
    """

    service: str
    workspace: str
    rank: BacklogRank
    work: ResourceVector


@attrs.define
class RankedWork:
    """Sums of waiting work by rank."""

    by_rank: dict[BacklogRank, ResourceVector] = attrs.Factory(dict)

    def add(self, rank: BacklogRank, work: ResourceVector) -> None:
        """Add work, which may be negative."""
        total = self.by_rank.get(rank, ResourceVector()) + work
        if total == ResourceVector():
            self.by_rank.pop(rank, None)
        else:
            self.by_rank[rank] = total

    def until(self, rank: BacklogRank) -> ResourceVector:
        """Return the work that comes before a job of this rank, or with it."""
        total = ResourceVector()
        for each, work in self.by_rank.items():
            if each <= rank:
                total = total + work
        return total


@attrs.define
class Backlog:
    """Waiting work of all open jobs.

    Attributes
    ----------
    by_job : dict
        Waiting work by job.
    by_service : dict
        Its sums by service.
    by_workspace : dict
        Its sums by service and workspace.
    unconfirmed : dict
        Time in ms at which jobs were admitted that are not ranked yet, by id,
        the oldest first.
    """

    by_job: dict[str, JobBacklog] = attrs.Factory(dict)
    by_service: dict[str, RankedWork] = attrs.Factory(dict)
    by_workspace: dict[tuple[str, str], RankedWork] = attrs.Factory(dict)
    unconfirmed: dict[str, int] = attrs.Factory(dict)

    def replace(self, job_id: str, backlog: JobBacklog | None) -> None:
        """Set the waiting work of a job."""
        self.unconfirmed.pop(job_id, None)
        before = self.by_job.pop(job_id, None)
        if before is not None:
            self._add(before, ResourceVector() - before.work)
        if backlog is not None:
            self.by_job[job_id] = backlog
            self._add(backlog, backlog.work)

    def expect(self, job_id: str, backlog: JobBacklog, now_ms: int) -> None:
        """Count a job that was admitted and is not in the table yet."""
        self.replace(job_id, backlog)
        self.unconfirmed[job_id] = now_ms

    def drop_unconfirmed(self, before_ms: int) -> None:
        """Forget jobs whose submission was lost."""
        while self.unconfirmed:
            job_id, admitted_ms = next(iter(self.unconfirmed.items()))
            if admitted_ms >= before_ms:
                return
            self.replace(job_id, None)

    def _add(self, backlog: JobBacklog, work: ResourceVector) -> None:
        service, workspace = backlog.service, backlog.workspace
        of_service = self.by_service.setdefault(service, RankedWork())
        of_service.add(backlog.rank, work)
        key = (service, workspace)
        of_workspace = self.by_workspace.setdefault(key, RankedWork())
        of_workspace.add(backlog.rank, work)
        if not of_workspace.by_rank:
            del self.by_workspace[key]
