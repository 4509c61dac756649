"""State of a front; written only by the reducer."""

import attrs

from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.jobs.job_commands import JobRead
from crocuswell_core.links.link_messages import Attach
from crocuswell_core.links.uplink import Uplink

# Apart from the ids of the front's own stream.
FIRST_RELAY_ID = 1_000_000


@attrs.frozen
class FrontConfig:
    """Fixed settings of a front.

    Attributes
    ----------
    call_limit_ms : int
        Longest time in ms for which a call waits for the leader.
    retry_ms : int
        Time in ms after which a call without an answer is sent again.
    drain_ms : int
        Time in ms for which a front that stops still takes calls, so that
        the balancer notices first.
    stop_limit_ms : int
        Longest time in ms of a planned stop.
    """

    call_limit_ms: int = 2_400
    retry_ms: int = 300
    ready_grace_ms: int = 1_500
    drain_ms: int = 2_500
    stop_limit_ms: int = 5_000


@attrs.define
class WaitingCall:
    """A call that waits for the leader's answer.

    Attributes
    ----------
    sent : bool
        Whether it may have reached a leader.
    sent_ms : int
        Time in ms of the newest sending.
    """

    call_id: int
    call: CommandCall | JobRead
    received_ms: int
    sent: bool = False
    sent_ms: int = 0


@attrs.define
class RelayedStream:
    """A stream that another process opened to reach the leader.

    Attributes
    ----------
    client_id, leader_id : int
        Ids of its two halves.
    attach : Attach or None
        First message, until the half to the leader is open.
    """

    client_id: int
    leader_id: int
    attach: Attach | None = None


@attrs.define
class FrontState:
    """State of a front.

    Attributes
    ----------
    relayed : dict
        Relayed streams by the id of the client's half.
    relay_count : int
        Id of the newest half to the leader.
    stopping_since_ms : int or None
        Time in ms of the stop signal.
    """

    cfg: FrontConfig
    uplink: Uplink
    now_ms: int = 0
    wall_ms: int = 0
    calls: dict[int, WaitingCall] = attrs.Factory(dict)
    ready: bool = False
    relayed: dict[int, RelayedStream] = attrs.Factory(dict)
    relay_count: int = FIRST_RELAY_ID
    stopping_since_ms: int | None = None
