"""Random runs in which workers have more ends than they list at a time.

Hundreds of short tasks end on each worker while the control hosts, the runners
or both are away. A worker lists a limited number of its ends.
"""

from functools import partial

from crocuswell_core.cluster.commands import Proposal
from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.jobs.job_commands import SubmitJob
from crocuswell_core.jobs.job_records import ResourceVector, RunId, StepSpec, TaskId
from tests.job_fleet import SEEDS, JobFleet, Worker
from tests.job_harness import LONG, URGENT, address
from tests.simulated_host import InvariantError

BACKLOG_PLAY_MS = 15_000
LIST_LIMITS = (10, 40, 150)
TASK = ResourceVector(170, 300, 0)


def run_backlogs_seed(seed: int, steps: int) -> "BacklogFleet":
    """Play one seed; `steps` is the number of events it counts as."""
    fleet = BacklogFleet(seed)
    fleet.play(BACKLOG_PLAY_MS)
    fleet.steps = steps
    return fleet


class BacklogFleet(JobFleet):
    """Processes, workers and callers of large jobs of short tasks."""

    def __init__(self, seed: int) -> None:
        self._newest_start: dict[TaskId, RunId] = {}
        super().__init__(seed)
        self.max_listed_ends = self.rng.choice(LIST_LIMITS)

    def _submit(self) -> None:
        if self.is_calm:
            return
        self._schedule(self.rng.randint(3_000, 6_000), self._submit)
        job_id = f"job-{self._job_count}"
        self._job_count += 1
        spec = StepSpec(self.rng.randint(100, 500), TASK, 2_000)
        queue = self.rng.choice((URGENT, LONG))
        command = SubmitJob(job_id, address(queue), "work", (spec,))
        self._call(CommandCall(Proposal("", "", command)))

    def _draw_work_ms(self) -> int:
        return self.rng.randint(500, 4_000)

    # --- faults ------------------------------------------------------------

    def _unanswered_share(self) -> float:
        return 0.0 if self.is_calm else 0.02

    def _inject_fault(self) -> None:
        if self.is_calm:
            return
        self._schedule(self.rng.randint(2_500, 6_000), self._inject_fault)
        faults = (
            self._restart_core,
            self._restart_core_twice,
            self._restart_all_runners,
            self._restart_core_then_runners,
            self._restart_host,
            self._restart_runner,
        )
        fault = self.rng.choice(faults)
        self.faults[fault.__name__.strip("_")] += 1
        fault()

    def _restart_core(self) -> None:
        """Let all control hosts lose power for a while."""
        down_ms = self.rng.randint(500, 3_000)
        for name in SEEDS:
            if name in self.hosts:
                self.kill(name)
            self._schedule(down_ms, partial(self._start_if_down, name))

    def _restart_core_twice(self) -> None:
        self._restart_core()
        self._schedule(self.rng.randint(500, 4_000), self._restart_core)

    def _restart_all_runners(self) -> None:
        for name in sorted(self.workers):
            self.kill(name)
            self._boot_runner(name)

    def _restart_core_then_runners(self) -> None:
        self._restart_core()
        self._schedule(self.rng.randint(0, 5_000), self._restart_all_runners)

    # --- checks ------------------------------------------------------------

    def _check_start(self, run: RunId, worker: Worker) -> None:
        super()._check_start(run, worker)
        self._newest_start[run.task] = run

    def _note_done(self, run: RunId, worker: Worker) -> None:
        super()._note_done(run, worker)
        if self._newest_start[run.task] != run:
            raise InvariantError("a task that is done has started again", run)
