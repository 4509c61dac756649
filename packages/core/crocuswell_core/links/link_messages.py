"""Messages on a stream between a client and an entry host.

Clients are fronts, runners and hosts that join the control group. Only the
leader attaches a client; the other hosts redirect it to the leader.
"""

import attrs

from crocuswell_core.cluster.commands import EntryHost, EvacuationSet, Refused
from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.jobs.job_commands import JobRead, JobReadReply, JobReply
from crocuswell_core.jobs.job_records import (
    ResourceVector,
    RunEnd,
    RunId,
    RunProgress,
    WorkerCrash,
    boot_key,
)
from crocuswell_core.runtime.counter_values import CounterValue

# --- client to host ------------------------------------------------------


@attrs.frozen
class Attach:
    """First message on a stream.

    Attributes
    ----------
    sender : str
        Name of the client's process, for logs.
    relay : str
        `host:port` at which this client relays streams of other processes;
        empty if it does not relay.
    """

    sender: str
    relay: str = ""


@attrs.frozen
class LinkKeepalive:
    """Keeps an idle stream open; sent in both directions.

    Attributes
    ----------
    commit_index : int
        Index of the leader's newest committed entry; 0 from a client.
    """

    commit_index: int = 0


@attrs.frozen
class ForwardCall:
    """A call that a front received from a caller and forwards."""

    call_id: int
    call: CommandCall | JobRead


@attrs.frozen
class JoinGroup:
    """Request of a host with a disk to become a member of the group."""

    host: EntryHost


@attrs.frozen
class WorkerDescription:
    """One boot of a worker, as described by its runner.

    Attributes
    ----------
    machine : str
        Name of the runner's machine; it has one worker at a time.
    id : str
        Id that the worker chose; a later boot may use it again.
    born_ms : int
        Start of this boot in ms since the epoch.
    remaining_ms : int
        Least time in ms before a draining worker leaves.
    warm_up_ms : int
        Time in ms after its start during which it runs tasks slowly.
    """

    machine: str
    id: str
    born_ms: int
    service: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: ResourceVector
    draining: bool = False
    remaining_ms: int = 0
    warm_up_ms: int = 0

    @property
    def key(self) -> str:
        """Key of this boot."""
        return boot_key(self.machine, self.id, self.born_ms)


@attrs.frozen
class WorkerReport:
    """The state of a worker, as its runner knows it.

    Attributes
    ----------
    sequence : int
        Echoed by `LeaseGrant`, which counts from the sending of this report.
    worker : WorkerDescription or None
        None while no worker has registered.
    reachable : bool
        Whether the worker answered the newest call.
    list_number : int
        Number of run lists received from the worker; `running` comes from
        the newest.
    lease_left_ms : int
        Longest time in ms for which runs may go on without a new grant.
    has_exited : bool
        Whether the worker announced its end and no longer answers.
    absent : tuple of RunId
        Runs that were ordered, that the worker does not have and that it
        will refuse from now on.
    events : tuple of CounterValue
        Counts that changed since the previous report on this stream.
    crashes : tuple of WorkerCrash
        Crashes of earlier boots that are not known to be recorded, oldest
        first.
    refused : tuple of RunId
        Those of `absent` that the worker was unable to start.
    lists_all_ends : bool
        Whether `ended` has every end that is not acknowledged. If not, a run
        that the report names nowhere may have ended.
    """

    sequence: int
    worker: WorkerDescription | None = None
    reachable: bool = False
    lease_left_ms: int = 0
    running: tuple[RunProgress, ...] = ()
    ended: tuple[RunEnd, ...] = ()
    absent: tuple[RunId, ...] = ()
    has_exited: bool = False
    list_number: int = 0
    events: tuple[CounterValue, ...] = ()
    crashes: tuple[WorkerCrash, ...] = ()
    refused: tuple[RunId, ...] = ()
    lists_all_ends: bool = True


ClientMessage = Attach | LinkKeepalive | ForwardCall | JoinGroup | WorkerReport

# --- host to client ------------------------------------------------------


@attrs.frozen
class Attached:
    """The answer of the leader to `Attach`; sent again with each new relay.

    Attributes
    ----------
    hosts : tuple of str
        `host:port` of the stream listeners of all hosts.
    relays : tuple of str
        `host:port` of the clients that relay streams.
    """

    term: int
    hosts: tuple[str, ...]
    relays: tuple[str, ...] = ()


@attrs.frozen
class Redirect:
    """The sender is not the leader; `leader` is empty if it knows none."""

    leader: str
    hosts: tuple[str, ...]


ForwardedReply = Refused | EvacuationSet | JobReply | JobReadReply


@attrs.frozen
class CallAnswered:
    """The answer to a `ForwardCall`."""

    call_id: int
    reply: ForwardedReply


@attrs.frozen
class GroupView:
    """The members of the group, in answer to `JoinGroup`."""

    hosts: tuple[EntryHost, ...]


@attrs.frozen
class StartRun:
    """Start a run, resuming from a checkpoint if there is one."""

    run: RunId
    payload: str
    checkpoint: str = ""


@attrs.frozen
class StopRun:
    """Stop a run, or keep it from starting if the worker does not have it."""

    run: RunId


@attrs.frozen
class RunOrders:
    """Orders for one boot of a worker.

    Attributes
    ----------
    term : int
        Term of the leader; the worker refuses orders of earlier terms.
    """

    term: int
    worker: str
    starts: tuple[StartRun, ...] = ()
    stops: tuple[StopRun, ...] = ()


@attrs.frozen
class LeaseGrant:
    """Lets runs go on for `lease_ms` from the sending of a report.

    Attributes
    ----------
    acknowledged_end : int
        Ends of `worker` up to this number are durably recorded.
    recorded_crash_ms : int
        Crashes of boots that started up to this time in ms since the epoch are
        durably recorded.
    """

    sequence: int
    term: int
    lease_ms: int
    worker: str = ""
    acknowledged_end: int = 0
    recorded_crash_ms: int = 0


HostMessage = (
    Attached
    | Redirect
    | LinkKeepalive
    | CallAnswered
    | GroupView
    | RunOrders
    | LeaseGrant
)
