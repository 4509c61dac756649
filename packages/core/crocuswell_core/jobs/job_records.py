"""Jobs, steps, tasks and runs."""

import enum

import attrs

# Processor cores that one accelerator counts as when work is compared.
CORES_PER_ACCELERATOR = 8


@attrs.frozen(cache_hash=True)
class Room:
    """An amount of what a worker offers to tasks.

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

    def __add__(self, other: "Room") -> "Room":
        return Room(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Room") -> "Room":
        return Room(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    @property
    def cores(self) -> float:
        """Processor cores, an accelerator counted as several."""
        return self.cpu_millis / 1_000 + CORES_PER_ACCELERATOR * self.accelerators

    def times(self, count: int) -> "Room":
        """Return this amount `count` times."""
        return Room(
            self.cpu_millis * count, self.memory_mb * count, self.accelerators * count
        )

    def holds(self, demand: "Room") -> bool:
        """Tell whether a demand fits into this amount."""
        return (
            demand.cpu_millis <= self.cpu_millis
            and demand.memory_mb <= self.memory_mb
            and demand.accelerators <= self.accelerators
        )

    def copies(self, demand: "Room") -> int:
        """Return how many copies of a demand fit into this amount."""
        counts = [
            have // want
            for have, want in (
                (self.cpu_millis, demand.cpu_millis),
                (self.memory_mb, demand.memory_mb),
                (self.accelerators, demand.accelerators),
            )
            if want > 0
        ]
        return max(0, min(counts)) if counts else MOST_TASKS


# Most tasks of one step; bounds the size of a log entry.
MOST_TASKS = 4_096
# Most occurrences of one job; bounds its size in memory.
MOST_OCCURRENCES = 1_024


@attrs.frozen
class StepSpec:
    """A step of a job as it was submitted.

    Attributes
    ----------
    count : int
        Number of tasks.
    demand : Room
        What each task needs.
    estimated_ms : int
        Declared run time of a task in ms; often far off.
    after : tuple of int
        Earlier steps that must be done first.
    gang : bool
        Whether the tasks work only while all of them run.
    same_rack : bool
        Whether the tasks are slowed down when spread over racks.
    checkpointing : bool
        Whether a stopped task can resume.
    required_label : str
        Label that the worker must have; empty for none.
    data_rack : str
        Rack on which the task reads its data locally; empty for none.
    per_worker_limit : int
        Most tasks of the step on one worker; 0 for no limit.
    lasting : bool
        Whether the tasks run until the job is cancelled.
    away_limit : int
        Most tasks of a lasting step that may be away because of this
        system; 0 for no limit.
    """

    count: int
    demand: Room
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    checkpointing: bool = False
    required_label: str = ""
    data_rack: str = ""
    per_worker_limit: int = 0
    lasting: bool = False
    away_limit: int = 0


class JobPhase(enum.Enum):
    """Where a job is in its life."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


class TaskPhase(enum.Enum):
    """Where a task is in its life."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class EndKind(enum.Enum):
    """How a run ended.

    `ABSENT` means that the worker never ran it and refuses it from now on.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"
    ABSENT = "absent"


# Job id, number of the occurrence, and of the step.
StepKey = tuple[str, int, int]


@attrs.frozen(cache_hash=True)
class TaskId:
    """A task of a job; `occurrence` counts the repetitions of a job."""

    job_id: str
    step: int
    index: int
    occurrence: int = 0

    @property
    def step_key(self) -> StepKey:
        """Job id and numbers of the occurrence and the step."""
        return self.job_id, self.occurrence, self.step


@attrs.frozen(cache_hash=True)
class RunId:
    """One start of a task; the members of a gang share the number."""

    task: TaskId
    number: int


@attrs.define
class Task:
    """Progress of a task.

    Attributes
    ----------
    run : int
        Number of the newest run; 0 before the first.
    worker : str
        Key of the worker's boot while `phase` is `PLACED`.
    checkpoint : str
        Newest checkpoint that a start may resume from.
    failures : int
        Runs that failed.
    failed_on : tuple of str
        Ids of the workers on which runs failed.
    placed_ms : int
        Cluster time in ms of the newest start.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker: str = ""
    checkpoint: str = ""
    failures: int = 0
    failed_on: tuple[str, ...] = ()
    placed_ms: int = 0


@attrs.frozen
class Schedule:
    """When a job repeats.

    Attributes
    ----------
    count : int
        Number of occurrences.
    start_ms : int
        Time in ms since the epoch at which the first one is due.
    interval_ms : int
        Time in ms between two.
    """

    count: int
    start_ms: int
    interval_ms: int

    def due_ms(self, number: int) -> int:
        """Return the time in ms since the epoch at which one is due."""
        return self.start_ms + number * self.interval_ms


@attrs.define
class Occurrence:
    """One repetition of a job; a job without a schedule has one.

    Attributes
    ----------
    due_ms : int
        Time in ms since the epoch from which it is owed.
    tasks : list of list of Task
        Tasks by step.
    gang_failures : list of int
        For each step the number of the newest failed gang run, so that a
        gang's failure is counted once.
    """

    number: int
    due_ms: int
    tasks: list[list[Task]]
    gang_failures: list[int]

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
        Name of the queue, for the limits in the catalog.
    owner : str
        Workspace; empty if the queue takes calls without a key.
    payload : str
        Opaque text for each task.
    accepted_ms, ended_ms : int
        Cluster time in ms; `ended_ms` is 0 while the job is open.
    schedule : Schedule or None
        None for a job that runs once, as soon as it can.
    occurrences : dict
        Occurrences that have begun, by number.
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
        """Return an occurrence, a new one if it has not begun yet."""
        count = self.schedule.count if self.schedule else 1
        if not 0 <= number < count:
            return None
        begun = self.occurrences.get(number)
        if begun is not None:
            return begun
        due_ms = self.schedule.due_ms(number) if self.schedule else self.accepted_ms
        tasks = [[Task() for _ in range(step.count)] for step in self.steps]
        return Occurrence(number, due_ms, tasks, [0] * len(self.steps))

    def step_is_due(self, occurrence: Occurrence, step: int) -> bool:
        """Tell whether all steps that a step waits for are done."""
        after = self.steps[step].after
        return all(occurrence.step_is_done(earlier) for earlier in after)


@attrs.frozen
class TaskEnd:
    """The end of a run as a worker lists it.

    Attributes
    ----------
    number : int
        Place in the worker's list, ascending in each boot; 0 for an end
        that the worker does not list.
    checkpoint : str
        Newest checkpoint of the run; empty for none.
    """

    number: int
    run: RunId
    kind: EndKind
    checkpoint: str = ""


@attrs.frozen
class TaskStart:
    """A decision to start a run on a worker's boot."""

    run: RunId
    worker: str


@attrs.frozen
class RunProgress:
    """A run that a worker lists as running.

    Attributes
    ----------
    checkpoint : str
        Newest checkpoint; empty for none.
    percent : int
        Share of its work that is done.
    """

    run: RunId
    checkpoint: str
    percent: int

    def left_ms(self, estimated_ms: int) -> int:
        """Return the time in ms that the rest of its work should take."""
        return estimated_ms * (100 - min(100, self.percent)) // 100


@attrs.frozen
class SavedCheckpoint:
    """A checkpoint of a run that is still listed as running."""

    run: RunId
    checkpoint: str


def boot_key(machine: str, worker_id: str, born_ms: int) -> str:
    """Return the key of a worker's boot."""
    return f"{machine}/{worker_id}@{born_ms}"


def split_boot_key(key: str) -> tuple[str, int]:
    """Return machine and start in ms of the boot with a key."""
    return key.partition("/")[0], int(key.rpartition("@")[2])


def worker_id_in(key: str) -> str:
    """Return the worker's id in the key of a boot."""
    return key.partition("/")[2].rpartition("@")[0]
