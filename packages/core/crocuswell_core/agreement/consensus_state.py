"""State of the agreement protocol on one entry host."""

import enum

import attrs

from crocuswell_core.cluster.commands import EntryHost, LogEntry


class Role(enum.Enum):
    """Role in the agreement protocol."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class Membership:
    """The control group as of the log entry at `index`."""

    index: int
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]


@attrs.define
class PeerProgress:
    """What the leader knows of one other host.

    Attributes
    ----------
    heard_ms : int
        Time of receipt of its newest reply in this term, at first the
        start of this leader.
    since_ms : int
        Time at which this leader began to send to it.
    acknowledged_ms : int or None
        Time of sending of the newest heartbeat round it acknowledged.
    snapshot_sent_ms : int or None
        Time at which a snapshot that is not yet acknowledged was sent.
    """

    next_index: int
    match_index: int = 0
    heard_ms: int = 0
    since_ms: int = 0
    acknowledged_round: int = 0
    acknowledged_ms: int | None = None
    snapshot_sent_ms: int | None = None


@attrs.define
class ConsensusState:
    """State of the agreement protocol on one entry host.

    Attributes
    ----------
    hosts, voters : tuple
        The newest membership in the log, committed or not.
    memberships : list of Membership
        Memberships by ascending index, from the newest committed one on;
        the earlier ones come back if the log is truncated.
    entries : list of LogEntry
        Entries after `snapshot_index`.
    snapshot_index : int
        Index before the first entry in memory. Entries that a saved
        snapshot covers may stay in memory for hosts that lag behind.
    saved_index : int
        Index of the newest saved snapshot.
    synced_index : int
        Highest index known to be on this host's disk.
    term_start_index : int
        On the leader: index of its own first entry.
    heard_leader_ms : int
        Time at which a current leader was last heard.
    election_due_ms : int
        Earliest time of the next election by this host.
    rounds : dict
        For each unacknowledged heartbeat round its time of sending in ms.
    lease_until_ms : int
        End of the leader's lease.
    transferring_to : str or None
        Voter that gets leadership once it has the whole log, until
        `transfer_until_ms`.
    """

    term: int = 0
    voted_for: str | None = None
    role: Role = Role.FOLLOWER
    leader: str | None = None
    hosts: tuple[EntryHost, ...] = ()
    voters: tuple[str, ...] = ()
    memberships: list[Membership] = attrs.Factory(list)
    entries: list[LogEntry] = attrs.Factory(list)
    snapshot_index: int = 0
    snapshot_term: int = 0
    saved_index: int = 0
    synced_index: int = 0
    commit_index: int = 0
    applied_index: int = 0
    term_start_index: int = 0
    heard_leader_ms: int = -1_000_000
    election_due_ms: int = 0
    votes: dict[str, bool] = attrs.Factory(dict)
    progress: dict[str, PeerProgress] = attrs.Factory(dict)
    round: int = 0
    rounds: dict[int, int] = attrs.Factory(dict)
    lease_until_ms: int = 0
    leader_since_ms: int = 0
    transferring_to: str | None = None
    transfer_until_ms: int = 0
