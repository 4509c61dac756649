"""Named loads for the simulation of the dispatcher, read from YAML files."""

from pathlib import Path

import attrs
import cattrs
import yaml

from crocuswell_core.jobs.job_records import ResourceVector

FOLDER = Path(__file__).parent


@attrs.frozen
class Burst:
    """A time during which the jobs of a class arrive more often."""

    at_ms: int
    for_ms: int
    factor: float


@attrs.frozen
class JobClass:
    """A kind of job that callers submit.

    Attributes
    ----------
    per_s : float
        Mean number of jobs a second.
    tasks, work_ms : float
        Mean number of tasks, and mean run time of a task in ms; the fields
        that end in `_spread` are coefficients of variation.
    estimate_error, uneven : float
        Coefficients of variation of the declared run time, and between the
        tasks of a job.
    stretch, allowance_ms : float, int
        Objective: this multiple of the run time, and this time in ms more.
    worth, late_worth : float
        Value of a job of mean size, in time and late.
    tail_share, tail_factor : float
        Share of the jobs that take this multiple of the usual run time.
    crashing_share : float
        Share of the jobs whose first task crashes each worker that starts it,
        `crash_after_ms` after the start.
    """

    name: str
    priority: int
    per_s: float
    tasks: float
    work_ms: float
    demand: ResourceVector
    accelerators: tuple[int, ...]
    worth: float
    late_worth: float
    stretch: float
    allowance_ms: int
    attempts: int = 3
    tasks_spread: float = 0.8
    max_tasks: int = 230
    work_spread: float = 0.3
    estimate_error: float = 0.3
    uneven: float = 0.2
    gang_share: float = 0.0
    one_rack_share: float = 0.0
    checkpointing_share: float = 0.0
    cancelled_share: float = 0.0
    hopeless_share: float = 0.0
    tail_share: float = 0.0
    tail_factor: float = 1.0
    crashing_share: float = 0.0
    crash_after_ms: float = 10.0
    burst: Burst | None = None


@attrs.frozen
class WorkerFault:
    """A fault of a share of the workers.

    Attributes
    ----------
    kind : str
        Lost, leaving (lost after `for_ms`, as announced), silent, failing,
        slow, crash or rack_crash (of a share of the racks); a worker that
        crashed is back after `for_ms`.
    """

    kind: str
    at_ms: int
    share: float
    for_ms: int = 0
    factor: float = 1.0


@attrs.frozen
class Load:
    """A fleet with its arrivals and faults.

    Attributes
    ----------
    lead_ms, length_ms, finish_ms : int
        Time in ms before the first job, of the arrivals, and after them.
    intensity : float
        Factor of all arrival rates.
    stop_ms : int
        Time in ms that a worker takes to stop a run.
    speeds : tuple of float
        Speeds of the workers, each of as many workers; empty if all have the
        usual speed of 1.
    swing, period_ms : float, int
        Arrival rates rise and fall by this share in each period.
    workspace_skew : float
        Exponent by which later workspaces submit less; 0 for equal shares.
    """

    workers: int
    rack_size: int
    capacity: ResourceVector
    classes: tuple[JobClass, ...]
    workspaces: int = 4
    guaranteed_share: float = 0.3
    lead_ms: int = 2_000
    length_ms: int = 34_000
    finish_ms: int = 14_000
    intensity: float = 1.0
    stop_ms: int = 200
    speeds: tuple[float, ...] = ()
    swing: float = 0.0
    period_ms: int = 12_000
    workspace_skew: float = 0.0
    faults: tuple[WorkerFault, ...] = ()


def load_named(name: str) -> Load:
    """Read a load of this folder.

    Raises
    ------
    FileNotFoundError
        If there is no load of this name.
    """
    document = yaml.safe_load((FOLDER / f"{name}.yaml").read_text())
    return cattrs.Converter(forbid_extra_keys=True).structure(document, Load)


def load_names() -> list[str]:
    """Return the names of all loads."""
    return sorted(path.stem for path in FOLDER.glob("*.yaml"))
