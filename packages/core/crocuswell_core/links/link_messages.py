"""Messages on a stream between a client of the group and a control host.

Clients are fronts, runners and hosts that join the group. Only the leader
attaches a client; the other hosts redirect it.
"""

import attrs

from crocuswell_core.cluster.commands import EntryHost, Refused
from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.jobs.job_commands import JobRead, JobReadReply, JobReply
from crocuswell_core.jobs.job_records import (
    Room,
    RunId,
    RunProgress,
    TaskEnd,
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
        `host:port` at which this client relays the streams of others;
        empty if it relays none.
    """

    sender: str
    relay: str = ""


@attrs.frozen
class LinkKeepalive:
    """Shows that the other end is alive; sent both ways."""


@attrs.frozen
class ForwardCall:
    """A call that a front received."""

    call_id: int
    call: CommandCall | JobRead


@attrs.frozen
class JoinGroup:
    """A host with a disk asks to become a member."""

    host: EntryHost


@attrs.frozen
class WorkerDescription:
    """One boot of a worker as its runner knows it.

    Attributes
    ----------
    machine : str
        Name of the runner's machine; it has one worker at a time.
    id : str
        Id that the worker chose; may come back with another boot.
    born_ms : int
        Start of this boot in ms since the epoch.
    remaining_ms : int
        While it drains, the least time in ms before it leaves.
    cold_ms : int
        Time in ms for which it stays slow after its start.
    """

    machine: str
    id: str
    born_ms: int
    service: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: Room
    draining: bool = False
    remaining_ms: int = 0
    cold_ms: int = 0

    @property
    def key(self) -> str:
        """Name of this boot."""
        return boot_key(self.machine, self.id, self.born_ms)


@attrs.frozen
class WorkerReport:
    """All that a runner knows of its worker.

    Attributes
    ----------
    sequence : int
        Echoed by `LeaseGrant`; the grant runs from the sending of this.
    worker : WorkerDescription or None
        None while no worker has registered.
    reachable : bool
        Whether the worker answered the newest call.
    lists : int
        Number of lists that the worker gave; `running` is of the newest.
    lease_left_ms : int
        Longest time in ms for which runs may go on without a new grant.
    gone : bool
        Whether the worker said that it ends and no longer answers.
    absent : tuple of RunId
        Ordered runs that are not there and that the worker refuses now.
    events : tuple of CounterValue
        Counts that changed since the newest report on this stream.
    """

    sequence: int
    worker: WorkerDescription | None = None
    reachable: bool = False
    lease_left_ms: int = 0
    running: tuple[RunProgress, ...] = ()
    ended: tuple[TaskEnd, ...] = ()
    absent: tuple[RunId, ...] = ()
    gone: bool = False
    lists: int = 0
    events: tuple[CounterValue, ...] = ()


ClientMessage = Attach | LinkKeepalive | ForwardCall | JoinGroup | WorkerReport

# --- host to client ------------------------------------------------------


@attrs.frozen
class Attached:
    """The sender leads the group.

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
    """The sender does not lead; `leader` is empty if it knows none."""

    leader: str
    hosts: tuple[str, ...]


ForwardedReply = Refused | JobReply | JobReadReply


@attrs.frozen
class CallAnswered:
    """The answer to a `ForwardCall`."""

    call_id: int
    reply: ForwardedReply


@attrs.frozen
class GroupView:
    """The members, in answer to `JoinGroup`."""

    hosts: tuple[EntryHost, ...]


@attrs.frozen
class StartRun:
    """Start a run, resuming from a checkpoint if there is one."""

    run: RunId
    payload: str
    checkpoint: str = ""


@attrs.frozen
class StopRun:
    """Stop a run, or keep it from starting if it is not there."""

    run: RunId


@attrs.frozen
class RunOrders:
    """Orders for one boot of a worker.

    Attributes
    ----------
    term : int
        The leader's term; the worker refuses orders of earlier ones.
    """

    term: int
    worker: str
    starts: tuple[StartRun, ...] = ()
    stops: tuple[StopRun, ...] = ()


@attrs.frozen
class LeaseGrant:
    """Runs may go on for `lease_ms` from the sending of a report.

    Attributes
    ----------
    seen : int
        Ends of `worker` up to this number are durable.
    """

    sequence: int
    term: int
    lease_ms: int
    worker: str = ""
    seen: int = 0


HostMessage = (
    Attached
    | Redirect
    | LinkKeepalive
    | CallAnswered
    | GroupView
    | RunOrders
    | LeaseGrant
)
