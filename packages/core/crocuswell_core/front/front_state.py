"""State of a front; written only by the reducer."""

import attrs

from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.jobs.job_commands import JobRead
from crocuswell_core.links.link_messages import Attach
from crocuswell_core.links.uplink import Uplink

# Keeps the ids of relayed streams apart from those of the front's own stream.
RELAY_STREAM_ID_BASE = 1_000_000


@attrs.frozen
class FrontConfig:
    """Fixed settings of a front.

    Attributes
    ----------
    call_limit_ms : int
        Longest time in ms that a call waits for the leader's answer.
    leaderless_limit_ms : int
        Time in ms without a leader after which calls are refused at once;
        an election and the new connection usually take less.
    silence_limit_ms : int
        Time in ms without a message of the attached leader after which no
        call is sent to it; it sends one each 500 ms.
    retry_ms : int
        Time in ms after which an unanswered call is sent again.
    ready_grace_ms : int
        Time in ms for which a front stays ready after it lost the leader.
    drain_ms : int
        Time in ms for which a stopping front still accepts calls, so that
        the load balancer takes it out first.
    stop_limit_ms : int
        Longest duration in ms of a planned stop.
    """

    call_limit_ms: int = 2_400
    leaderless_limit_ms: int = 2_000
    silence_limit_ms: int = 900
    retry_ms: int = 300
    ready_grace_ms: int = 1_500
    drain_ms: int = 2_500
    stop_limit_ms: int = 5_000


@attrs.define
class PendingCall:
    """A call that waits for the leader's answer.

    Attributes
    ----------
    sent : bool
        Whether it may have reached a leader.
    sent_ms : int
        Time in ms at which it was last sent.
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
    client_stream_id, leader_stream_id : int
        Ids of the stream from the client and of the one to the leader.
    attach : Attach or None
        The client's first message, until the stream to the leader is open.
    """

    client_stream_id: int
    leader_stream_id: int
    attach: Attach | None = None


@attrs.define
class FrontState:
    """State of a front.

    Attributes
    ----------
    relayed : dict
        Relayed streams by the id of the client's stream.
    newest_relay_stream_id : int
        Id of the newest relayed stream to the leader.
    stopping_since_ms : int or None
        Time in ms of the stop signal.
    """

    cfg: FrontConfig
    uplink: Uplink
    now_ms: int = 0
    wall_ms: int = 0
    calls: dict[int, PendingCall] = attrs.Factory(dict)
    ready: bool = False
    relayed: dict[int, RelayedStream] = attrs.Factory(dict)
    newest_relay_stream_id: int = RELAY_STREAM_ID_BASE
    stopping_since_ms: int | None = None
