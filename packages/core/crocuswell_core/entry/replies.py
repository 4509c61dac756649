"""Replies to read calls."""

import attrs

from crocuswell_core.cluster.commands import EntryHost, Refused
from crocuswell_core.cluster.configuration import ConfigurationChange
from crocuswell_core.cluster.evacuations import Evacuation
from crocuswell_core.cluster.records import Attempt, Request, Worker
from crocuswell_core.cluster.resources import Resources
from crocuswell_core.jobs.job_commands import JobReadReply
from crocuswell_core.runner.worker_calls import WorkerCallAcknowledged


@attrs.frozen
class RequestView:
    """A request in the form shown to its caller."""

    request: Request


@attrs.frozen
class RequestsView:
    """Requests of a workspace, newest first."""

    requests: tuple[Request, ...]


@attrs.frozen
class ConfigurationView:
    """The newest accepted configuration and the newest number in force."""

    change: ConfigurationChange
    in_force: int


@attrs.frozen
class HistoryView:
    """Configuration changes, newest first."""

    changes: tuple[ConfigurationChange, ...]


@attrs.frozen
class WorkerView:
    """A worker with its free resources and its attempts."""

    worker: Worker
    free: Resources
    attempts: tuple[str, ...]


@attrs.frozen
class WorkersView:
    """All workers."""

    workers: tuple[WorkerView, ...]


@attrs.frozen
class EvacuationView:
    """An evacuated failure domain with what is left there.

    Attributes
    ----------
    workers, attempts : int
        Number of its known workers, and of attempts with a member there.
    """

    failure_domain: str
    evacuation: Evacuation
    workers: int
    attempts: int


@attrs.frozen
class EvacuationsView:
    """The failure domains that are evacuated, oldest order first."""

    evacuations: tuple[EvacuationView, ...]


@attrs.frozen
class MembersView:
    """The control group membership as known to the answering host."""

    host: str
    leader: str
    term: int
    commit_index: int
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]


@attrs.frozen
class RunTimeForecast:
    """Learned run times of one class of work.

    Attributes
    ----------
    runs : int
        Number of runs that were done.
    median_ratio, p90_ratio : float
        Quantiles of the ratio of real to declared time.
    """

    class_key: str
    runs: int
    median_ratio: float
    p90_ratio: float


@attrs.frozen
class SpeedForecast:
    """Learned slowdown of the worker on a machine."""

    machine: str
    slowdown: float
    is_known: bool


@attrs.frozen
class ForecastsView:
    """Learned run times, and the speeds of workers if this host leads."""

    run_times: tuple[RunTimeForecast, ...]
    workers: tuple[SpeedForecast, ...]


@attrs.frozen
class Explanation:
    """Why a request waits, or why it was placed where it is.

    Attributes
    ----------
    waiting_for : str
        The reason in one sentence; empty if the request does not wait.
    expected_start_ms : int or None
        Cluster time in ms of the reserved start.
    """

    request: Request
    waiting_for: str = ""
    expected_start_ms: int | None = None
    attempt: Attempt | None = None
    displaced: tuple[str, ...] = ()


ReadReply = (
    RequestView
    | RequestsView
    | ConfigurationView
    | HistoryView
    | WorkersView
    | EvacuationsView
    | MembersView
    | ForecastsView
    | Explanation
    | Refused
    | JobReadReply
    | WorkerCallAcknowledged
)
