"""Records of jobs, steps, tasks and runs.

A job consists of steps, a step of identical tasks, and each attempt to
execute a task is a run. A worker is identified by its boot, which is one
execution of the worker process.
"""

import enum

import attrs

from crocuswell_core.jobs.crash_history import CrashHistory

# Processor cores that one accelerator is worth when work is compared.
CORES_PER_ACCELERATOR = 8


@attrs.frozen(cache_hash=True)
class ResourceVector:
    """An amount of resources, as a worker's capacity or a task's demand.

    Attributes
    ----------
    cpu_millis : int
        Thousandths of a processor core.
    memory_mb : int
        Memory in MB.
    accelerators : int
        Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "ResourceVector") -> "ResourceVector":
        return ResourceVector(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "ResourceVector") -> "ResourceVector":
        return ResourceVector(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    @property
    def core_equivalents(self) -> float:
        """Processor cores, with each accelerator counted as several cores."""
        return self.cpu_millis / 1_000 + CORES_PER_ACCELERATOR * self.accelerators

    def times(self, count: int) -> "ResourceVector":
        """Return this amount multiplied by `count`."""
        return ResourceVector(
            self.cpu_millis * count, self.memory_mb * count, self.accelerators * count
        )

    def can_hold(self, demand: "ResourceVector") -> bool:
        """Tell whether a demand fits into this amount."""
        return (
            demand.cpu_millis <= self.cpu_millis
            and demand.memory_mb <= self.memory_mb
            and demand.accelerators <= self.accelerators
        )

    def max_copies(self, demand: "ResourceVector") -> int:
        """Return how often a demand fits, up to `MAX_TASKS_PER_STEP`."""
        # Called for each demand that is kept at each change of a worker.
        copies = MAX_TASKS_PER_STEP
        if demand.cpu_millis:
            copies = min(copies, self.cpu_millis // demand.cpu_millis)
        if demand.memory_mb:
            copies = min(copies, self.memory_mb // demand.memory_mb)
        if demand.accelerators:
            copies = min(copies, self.accelerators // demand.accelerators)
        return max(copies, 0)


# Limit on the tasks of one step; bounds the size of a log entry.
MAX_TASKS_PER_STEP = 4_096
# Limit on durations in ms and amounts of resources in a job, so that they can
# be computed with as floats.
MAX_AMOUNT = 2**53
# Limit on the occurrences of one job; bounds its size in memory.
MAX_OCCURRENCES_PER_JOB = 1_024


@attrs.frozen
class StepSpec:
    """A step of a job, as submitted.

    Attributes
    ----------
    count : int
        Number of tasks.
    demand : ResourceVector
        Resources that each task needs.
    estimated_ms : int
        Declared run time of a task in ms; often inaccurate.
    after : tuple of int
        Indices of the earlier steps that this step depends on.
    gang : bool
        Whether the tasks make progress only while all of them run.
    prefers_one_rack : bool
        Whether the tasks are slower when spread over several racks.
    checkpointing : bool
        Whether a stopped task can resume from a checkpoint.
    required_label : str
        Label that a worker must have; empty for none.
    data_rack : str
        Rack that stores the tasks' input data; empty for none.
    per_worker_limit : int
        Most tasks of the step on one worker; 0 for no limit.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    max_unavailable : int
        Most tasks of a long-running step that the scheduler may make
        unavailable at the same time; 0 for no limit.
    """

    count: int
    demand: ResourceVector
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    prefers_one_rack: bool = False
    checkpointing: bool = False
    required_label: str = ""
    data_rack: str = ""
    per_worker_limit: int = 0
    long_running: bool = False
    max_unavailable: int = 0


def find_steps_problem(steps: tuple[StepSpec, ...]) -> str:
    """Return why the steps of a job are invalid, an empty string if valid."""
    if not steps:
        return "the job has no steps"
    for position, step in enumerate(steps):
        if not 1 <= step.count <= MAX_TASKS_PER_STEP:
            return f"step {position} has {step.count} tasks"
        if any(not 0 <= earlier < position for earlier in step.after):
            return f"step {position} does not depend on earlier steps only"
        demand = step.demand
        amounts = (
            demand.cpu_millis,
            demand.memory_mb,
            demand.accelerators,
            step.estimated_ms,
            step.per_worker_limit,
            step.max_unavailable,
        )
        if any(not 0 <= amount <= MAX_AMOUNT for amount in amounts):
            return f"step {position} has an amount that is out of range"
    return ""


class JobPhase(enum.Enum):
    """Phase in the life cycle of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


class TaskPhase(enum.Enum):
    """Phase in the life cycle of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class RunEndKind(enum.Enum):
    """How a run ended.

    `ABSENT` means that the worker never started the run and will refuse it
    from now on.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"
    ABSENT = "absent"


# Job id, number of the occurrence and index of the step.
StepKey = tuple[str, int, int]


@attrs.frozen(cache_hash=True)
class TaskId:
    """Identifies a task in one occurrence (repetition) of a job."""

    job_id: str
    step: int
    index: int
    occurrence: int = 0

    @property
    def step_key(self) -> StepKey:
        """Job id, number of the occurrence and index of the step."""
        return self.job_id, self.occurrence, self.step


@attrs.frozen(cache_hash=True)
class RunId:
    """Identifies one run of a task; the members of a gang share `number`."""

    task: TaskId
    number: int


@attrs.frozen
class OverRun:
    """A run that has ended or was given up.

    Attributes
    ----------
    over_ms : int
        Cluster time in ms at which that was recorded.
    worker : str
        Key of the boot on which it was placed.
    """

    number: int
    over_ms: int
    worker: str


@attrs.define
class Task:
    """Progress of a task.

    Attributes
    ----------
    run : int
        Number of the newest run; 0 before the first one.
    worker : str
        Key of the worker's boot while `phase` is `PLACED`.
    checkpoint : str
        Newest checkpoint, from which the next run resumes; empty for none.
    failures : int
        Number of failed runs.
    failed_on : tuple of str
        Ids of the workers on which runs failed.
    placed_ms : int
        Cluster time in ms at which the newest run was placed.
    crashes : CrashHistory or None
        Crashes of workers under the task; None if there were none.
    stops : int
        Number of runs that were stopped on order while the job was open.
    stopped_run : int
        Number of the newest of them, so that a gang is counted only once.
    resumed : bool
        Whether the newest run began with a checkpoint.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker: str = ""
    checkpoint: str = ""
    failures: int = 0
    failed_on: tuple[str, ...] = ()
    placed_ms: int = 0
    crashes: CrashHistory | None = None
    stops: int = 0
    stopped_run: int = 0
    resumed: bool = False

    @property
    def is_suspect(self) -> bool:
        """Whether the task may be what crashes its workers."""
        return self.crashes is not None and self.crashes.is_suspect

    @property
    def crashed_machines(self) -> tuple[str, ...]:
        """Machines whose workers crashed under the task."""
        return self.crashes.machines if self.crashes is not None else ()


@attrs.frozen
class Schedule:
    """Times at which a job repeats.

    Attributes
    ----------
    count : int
        Number of occurrences.
    start_ms : int
        Time in ms since the epoch at which the first occurrence is due.
    interval_ms : int
        Time in ms between two occurrences.
    """

    count: int
    start_ms: int
    interval_ms: int

    def due_ms(self, number: int) -> int:
        """Return the due time of an occurrence in ms since the epoch."""
        return self.start_ms + number * self.interval_ms


@attrs.define
class Occurrence:
    """One repetition of a job; a job without a schedule has one.

    Attributes
    ----------
    due_ms : int
        Time in ms since the epoch at which it is due.
    tasks : list of list of Task
        Tasks by step.
    last_failed_gang_runs : list of int
        Number of the newest failed gang run of each step, so that the
        failure of a gang is counted only once.
    """

    number: int
    due_ms: int
    tasks: list[list[Task]]
    last_failed_gang_runs: list[int]

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return all(t.phase is TaskPhase.DONE for step in self.tasks for t in step)

    def step_is_done(self, step: int) -> bool:
        """Tell whether all tasks of a step are done."""
        return all(task.phase is TaskPhase.DONE for task in self.tasks[step])


@attrs.define
class Job:
    """A job with the progress of its tasks.

    Attributes
    ----------
    queue : str
        Name of the queue, whose limits are in the catalog.
    owner : str
        Workspace; empty for a call without a known key on an open queue.
    payload : str
        Opaque text that is passed to each task.
    accepted_ms, ended_ms : int
        Cluster time in ms; `ended_ms` is 0 while the job is open.
    schedule : Schedule or None
        None for a job that runs once, as soon as possible.
    occurrences : dict
        Occurrences that have started, by number.
    reason : str
        Why the job failed; empty for other jobs.
    """

    id: str
    queue: str
    service: str
    owner: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int
    phase: JobPhase = JobPhase.QUEUED
    ended_ms: int = 0
    schedule: Schedule | None = None
    occurrences: dict[int, Occurrence] = attrs.Factory(dict)
    reason: str = ""

    @property
    def is_open(self) -> bool:
        """Whether the job has not ended."""
        return self.phase not in ENDED_PHASES

    @property
    def failures(self) -> int:
        """Number of failed runs."""
        return sum(
            task.failures
            for occurrence in self.occurrences.values()
            for tasks in occurrence.tasks
            for task in tasks
        )

    @property
    def is_done(self) -> bool:
        """Whether all tasks of all occurrences are done."""
        count = self.schedule.count if self.schedule else 1
        return len(self.occurrences) == count and all(
            occurrence.is_done for occurrence in self.occurrences.values()
        )

    def occurrence(self, number: int) -> Occurrence | None:
        """Return an occurrence, a new one if it has not started yet.

        A new occurrence is not stored in the job; None if the number is out of
        range.
        """
        count = self.schedule.count if self.schedule else 1
        if not 0 <= number < count:
            return None
        started = self.occurrences.get(number)
        if started is not None:
            return started
        due_ms = self.schedule.due_ms(number) if self.schedule else self.accepted_ms
        tasks = [[Task() for _ in range(step.count)] for step in self.steps]
        return Occurrence(number, due_ms, tasks, [0] * len(self.steps))

    def step_is_ready(self, occurrence: Occurrence, step: int) -> bool:
        """Tell whether all steps that a step depends on are done."""
        after = self.steps[step].after
        return all(occurrence.step_is_done(earlier) for earlier in after)


@attrs.frozen
class DeclinedJob:
    """The newest refusal of a job for want of room.

    Attributes
    ----------
    index : int
        Index of the log entry that refused it.
    declined_ms, until_ms : int
        Cluster time in ms of the refusal, and at which its caller was told
        to come back.
    times : int
        How often it was refused so far.
    """

    index: int
    declined_ms: int
    until_ms: int
    times: int


@attrs.frozen
class RunEnd:
    """The end of a run, as a worker reports it.

    Attributes
    ----------
    number : int
        Sequence number of the report, ascending within a boot; 0 for an end
        that the worker does not report itself.
    checkpoint : str
        Newest checkpoint of the run; empty for none.
    """

    number: int
    run: RunId
    kind: RunEndKind
    checkpoint: str = ""


@attrs.frozen
class RunPlacement:
    """A planned placement of a run on a worker's boot."""

    run: RunId
    worker: str


@attrs.frozen
class RunProgress:
    """Progress of a run that a worker lists as running.

    Attributes
    ----------
    checkpoint : str
        Newest checkpoint; empty for none.
    percent : int
        Completed share of its work in percent.
    """

    run: RunId
    checkpoint: str
    percent: int

    def estimate_remaining_ms(self, estimated_ms: int) -> int:
        """Return the expected time in ms until the run is done."""
        return estimated_ms * (100 - min(100, self.percent)) // 100


@attrs.frozen
class SavedCheckpoint:
    """The newest checkpoint of a run that has not ended."""

    run: RunId
    checkpoint: str


@attrs.frozen
class CrashedRun:
    """A run that was on a worker when it crashed.

    Attributes
    ----------
    known_ms : int
        Time in ms for which the run is known to have been there.
    possible_ms : int
        Longest time in ms for which it may have been there, unless its start
        had no answer; then 0, as it may just have begun.
    """

    run: RunId
    known_ms: int
    possible_ms: int


@attrs.frozen
class WorkerCrash:
    """The crash of a worker's boot, as its runner witnessed it."""

    machine: str
    worker_id: str
    born_ms: int
    runs: tuple[CrashedRun, ...]

    @property
    def worker(self) -> str:
        """Key of the boot that crashed."""
        return boot_key(self.machine, self.worker_id, self.born_ms)


def boot_key(machine: str, worker_id: str, born_ms: int) -> str:
    """Return the key of a worker's boot."""
    return f"{machine}/{worker_id}@{born_ms}"


def boot_name(key: str) -> str:
    """Return a boot key without the start time: the machine and the id."""
    return key.rpartition("@")[0]


def parse_boot_key(key: str) -> tuple[str, int]:
    """Return the machine and the start time in ms from a boot key."""
    return key.partition("/")[0], int(key.rpartition("@")[2])


def parse_worker_id(key: str) -> str:
    """Return the worker id from a boot key."""
    return key.partition("/")[2].rpartition("@")[0]
