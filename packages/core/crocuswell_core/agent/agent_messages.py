"""Messages between an agent and an entry host."""

import attrs

from crocuswell_core.cluster.commands import (
    Report,
)
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.cluster.resources import Resources
from crocuswell_core.runtime.counter_values import CounterValue


@attrs.frozen
class Hello:
    """First message on a stream.

    Attributes
    ----------
    sequence : int
        Sequence number as in a heartbeat; `Welcome.confirmed` may echo it.
    """

    info: WorkerInfo
    incarnation: str
    backend_incarnation: str
    attempts: tuple[AttemptId, ...]
    sequence: int = 0


@attrs.frozen
class TaskUsage:
    """Resources in use by a task, as the backend server last reported them."""

    attempt: AttemptId
    rank: int
    used: Resources


@attrs.frozen
class AgentHeartbeat:
    """Sent each second; the entry host echoes `sequence` to extend the leases.

    Attributes
    ----------
    configuration_number : int
        Number of the configuration that the agent uses.
    """

    sequence: int
    configuration_number: int
    usage: tuple[TaskUsage, ...] = ()
    counters: tuple[CounterValue, ...] = ()


@attrs.frozen
class SendReports:
    """Reports not yet acknowledged, oldest first.

    Attributes
    ----------
    first_sequence : int
        Sequence number of the first report in `reports`.
    """

    first_sequence: int
    reports: tuple[Report, ...]


@attrs.frozen
class DrainNotice:
    """The backend server started or stopped draining."""

    draining: bool


AgentMessage = Hello | AgentHeartbeat | SendReports | DrainNotice


@attrs.frozen
class ReserveTask:
    """Reserve resources for a gang member until started, stopped or fenced."""

    attempt: AttemptId
    rank: int
    resources: Resources
    accelerators: tuple[int, ...]


@attrs.frozen
class StartTask:
    """Start a member, unless its epoch is outdated or it was started before.

    Attributes
    ----------
    checkpoint : bytes or None
        Token of the checkpoint to resume from.
    checkpoint_ms : int or None
        Time in ms to write a checkpoint; None if the task writes none.
    """

    attempt: AttemptId
    rank: int
    members: int
    resources: Resources
    accelerators: tuple[int, ...]
    payload: bytes
    idempotent: bool
    run_time_ms: int
    checkpoint: bytes | None = None
    checkpoint_ms: int | None = None


@attrs.frozen
class StopTask:
    """Stop a member; with `checkpoint_ms` set, write a checkpoint first."""

    attempt: AttemptId
    rank: int
    checkpoint_ms: int | None


Order = ReserveTask | StartTask | StopTask


@attrs.frozen
class Welcome:
    """Answer to `Hello`, with an order for every wanted member.

    Attributes
    ----------
    run_lease_ms : int
        Run lease in ms, counted from the sending of the confirmed
        heartbeat.
    acknowledged : int
        Highest committed report sequence of this incarnation.
    confirmed : int
        As in `EntryHeartbeat`; 0 extends no lease.
    """

    orders: tuple[Order, ...]
    configuration_number: int
    run_lease_ms: int
    acknowledged: int
    confirmed: int = 0


@attrs.frozen
class EntryHeartbeat:
    """Sent each second and whenever the leader confirms a heartbeat.

    Attributes
    ----------
    confirmed : int
        Highest heartbeat sequence that the leader has confirmed; the
        agent's leases run from the time it sent that heartbeat.
    """

    confirmed: int
    configuration_number: int
    run_lease_ms: int


@attrs.frozen
class Orders:
    """Changes to the set of wanted members."""

    orders: tuple[Order, ...]


@attrs.frozen
class ReportAck:
    """Reports up to `sequence` are committed."""

    sequence: int


@attrs.frozen
class Goodbye:
    """The entry host is stopping; connect to another one."""


EntryMessage = Welcome | EntryHeartbeat | Orders | ReportAck | Goodbye
