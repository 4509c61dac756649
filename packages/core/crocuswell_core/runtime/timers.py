"""Timers; the value given to `StartTimer` comes back in `TimerFired`."""

import attrs


@attrs.frozen
class ElectionTimer:
    """The election timeout passed without a message from a leader."""


@attrs.frozen
class LeaderTimer:
    """The leader's next heartbeat round is due."""


@attrs.frozen
class LivenessTimer:
    """Report live agents to the leader; the leader checks for silent ones."""


@attrs.frozen
class RetryTimer:
    """Resend forwarded proposals and reads without an answer."""


@attrs.frozen
class ClusterTimer:
    """The leader should propose `AdvanceTime`."""


@attrs.frozen
class SessionTimer:
    """Send heartbeats to agents and close silent streams."""


@attrs.frozen
class CallTimer:
    """A waiting call reached its time limit."""

    call_id: int


@attrs.frozen
class StopTimer:
    """Check whether a planned stop is complete or has reached its limit."""


@attrs.frozen
class AgentTimer:
    """The agent's periodic work: heartbeats, lease checks, reconnects."""


@attrs.frozen
class PollTimer:
    """Poll the backend server for the state of its tasks."""


@attrs.frozen
class ControlTimer:
    """Send keepalives to clients, dispatch tasks and discover the group."""


@attrs.frozen
class UplinkTimer:
    """Do the periodic work for a client's stream to the leader."""


@attrs.frozen
class FrontTimer:
    """Resend waiting calls and fail those that reached their time limit."""


@attrs.frozen
class RunnerTimer:
    """A runner's periodic work: reports, retries, lease renewal."""


@attrs.frozen
class OrderTimer:
    """A runner may send its worker another order."""


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
    | OrderTimer
)
