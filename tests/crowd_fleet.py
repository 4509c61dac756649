"""Random runs of jobs with hundreds of small tasks, many of them cancelled.

Workers leave a quarter of the calls unanswered, and carry some out late. No
process is cut off, so that a cancelled job is over within its time.
"""

from crocuswell_core.cluster.commands import Proposal
from crocuswell_core.entry.calls import Call, CommandCall
from crocuswell_core.jobs.job_commands import (
    CancelJob,
    JobAccepted,
    JobCancelled,
    SubmitJob,
)
from crocuswell_core.jobs.job_records import ResourceVector, RunId, StepSpec
from tests.job_fleet import JobFleet, Worker
from tests.job_harness import LONG, URGENT, address
from tests.simulated_host import InvariantError

CROWD_PLAY_MS = 20_000
TASK = ResourceVector(300, 300, 0)
UNANSWERED_SHARE = 0.25
# From a cancelling until no run starts, and until none is at work.
CANCEL_MS = 3_000
STOP_TIMEOUT_MS = 400


def run_crowds_seed(seed: int, steps: int) -> "CrowdFleet":
    """Play one seed; `steps` is the number of events it counts as."""
    fleet = CrowdFleet(seed)
    fleet.play(CROWD_PLAY_MS)
    fleet.steps = steps
    return fleet


class CrowdFleet(JobFleet):
    """Processes, workers and callers of large jobs."""

    def __init__(self, seed: int) -> None:
        self._queues: dict[str, str] = {}
        self._cancelled_ms: dict[str, int] = {}
        super().__init__(seed)

    def _inject_fault(self) -> None:
        """Leave the processes alone; the calls to workers are the fault."""

    def _unanswered_share(self) -> float:
        return 0.0 if self.is_calm else UNANSWERED_SHARE

    def _submit(self) -> None:
        if self.is_calm:
            return
        self._schedule(self.rng.randint(1_000, 4_000), self._submit)
        job_id = f"job-{self._job_count}"
        self._job_count += 1
        spec = StepSpec(self.rng.randint(100, 500), TASK, 5_000)
        self._queues[job_id] = queue = self.rng.choice((URGENT, LONG))
        command = SubmitJob(job_id, address(queue), "work", (spec,))
        self._call(CommandCall(Proposal("", "", command)))

    def _note_reply(self, reply: object, call: Call, call_id: int) -> None:
        if isinstance(reply, JobCancelled):
            self._cancelled_ms.setdefault(reply.job_id, self.now_ms)
            self._schedule(
                CANCEL_MS + STOP_TIMEOUT_MS, lambda: self._check_gone(reply.job_id)
            )
            return
        if isinstance(reply, JobAccepted) and self.rng.random() < 0.8:
            queue = self._queues[reply.job_id]
            command = CancelJob(reply.job_id, address(queue))
            cancel = CommandCall(Proposal("", "", command))
            self._schedule(self.rng.randint(10, 3_000), lambda: self._call(cancel))
        super()._note_reply(reply, call, call_id)

    def _check_start(self, run: RunId, worker: Worker) -> None:
        super()._check_start(run, worker)
        cancelled_ms = self._cancelled_ms.get(run.task.job_id, self.now_ms)
        since_ms = self.now_ms - cancelled_ms
        if since_ms > CANCEL_MS and not self._late_ms:
            raise InvariantError("a run of a cancelled job starts", run, since_ms)

    def _check_gone(self, job_id: str) -> None:
        for worker in self.workers.values():
            for run in worker.running:
                if run.task.job_id == job_id and run not in self.unanswered_runs:
                    raise InvariantError("a run of a cancelled job works on", run)
