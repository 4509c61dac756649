"""Timers that parts subscribe to; each is a value that comes back as is."""

import attrs


@attrs.frozen
class ElectionTimer:
    """No leader was heard for the election timeout."""


@attrs.frozen
class LeaderTimer:
    """The leader's next heartbeat round is due."""


@attrs.frozen
class LivenessTimer:
    """Report heard agents to the leader; the leader looks for silent ones."""


@attrs.frozen
class RetryTimer:
    """Resend forwarded proposals and reads that are not answered."""


@attrs.frozen
class ClusterTimer:
    """The leader should propose `AdvanceTime`."""


@attrs.frozen
class SessionTimer:
    """Send heartbeats to agents and drop silent streams."""


@attrs.frozen
class CallTimer:
    """A waiting call reached its limit."""

    call_id: int


@attrs.frozen
class StopTimer:
    """The planned stop has taken its longest permitted time."""


@attrs.frozen
class AgentTimer:
    """The agent's periodic work: heartbeats, lease checks, reconnects."""


@attrs.frozen
class PollTimer:
    """Ask the backend server for the state of its tasks."""


@attrs.frozen
class ControlTimer:
    """Keep clients' streams alive, dispatch tasks, look for the group."""


@attrs.frozen
class UplinkTimer:
    """Look after a client's stream to the leader."""


@attrs.frozen
class FrontTimer:
    """Send waiting calls again and end those that waited too long."""


@attrs.frozen
class RunnerTimer:
    """A runner's periodic work: reports, retries, lease renewal."""


Timer = (
    ElectionTimer
    | LeaderTimer
    | LivenessTimer
    | RetryTimer
    | ClusterTimer
    | SessionTimer
    | CallTimer
    | StopTimer
    | AgentTimer
    | PollTimer
    | ControlTimer
    | UplinkTimer
    | FrontTimer
    | RunnerTimer
)
