"""Replies to calls that read."""

import attrs

from crocuswell_core.cluster.commands import EntryHost, Refused
from crocuswell_core.cluster.configuration import ConfigurationChange
from crocuswell_core.cluster.records import Attempt, Request, Worker
from crocuswell_core.cluster.resources import Resources
from crocuswell_core.jobs.job_commands import JobReadReply
from crocuswell_core.runner.worker_calls import BeatTaken


@attrs.frozen
class RequestView:
    """A request as its caller may see it."""

    request: Request


@attrs.frozen
class RequestsView:
    """Requests of a workspace, newest first."""

    requests: tuple[Request, ...]


@attrs.frozen
class ConfigurationView:
    """The newest accepted change and the newest number in force."""

    change: ConfigurationChange
    in_force: int


@attrs.frozen
class HistoryView:
    """Newest changes, newest first."""

    changes: tuple[ConfigurationChange, ...]


@attrs.frozen
class WorkerView:
    """A worker with what it holds."""

    worker: Worker
    free: Resources
    attempts: tuple[str, ...]


@attrs.frozen
class WorkersView:
    """All workers."""

    workers: tuple[WorkerView, ...]


@attrs.frozen
class MembersView:
    """The control group as the answering host sees it."""

    host: str
    leader: str
    term: int
    commit_index: int
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]


@attrs.frozen
class Explanation:
    """Why a request waits, or why it was placed where it is.

    Attributes
    ----------
    waiting_for : str
        One sentence; empty if it does not wait.
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
    | MembersView
    | Explanation
    | Refused
    | JobReadReply
    | BeatTaken
)
