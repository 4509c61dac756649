"""State of the consensus protocol on one entry host."""

import enum

import attrs

from crocuswell_core.cluster.commands import EntryHost, LogEntry


class Role(enum.Enum):
    """Role in the consensus protocol."""

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
    """Replication progress of one other host, as tracked by the leader.

    Attributes
    ----------
    last_heard_ms : int
        Time in ms of the last reply from the host in this term; initially
        the time at which tracking began.
    tracked_since_ms : int
        Time in ms at which this leader began to replicate to the host.
    acknowledged_ms : int or None
        Time in ms at which the newest heartbeat round that the host
        acknowledged was sent.
    snapshot_sent_ms : int or None
        Time in ms at which an unacknowledged snapshot was sent.
    """

    next_index: int
    match_index: int = 0
    last_heard_ms: int = 0
    tracked_since_ms: int = 0
    acknowledged_round: int = 0
    acknowledged_ms: int | None = None
    snapshot_sent_ms: int | None = None


@attrs.define
class ConsensusState:
    """State of the consensus protocol on one entry host.

    Attributes
    ----------
    hosts, voters : tuple
        The newest membership in the log, whether committed or not.
    memberships : list of Membership
        Memberships by ascending index, starting with the newest committed
        one; a truncation of the log reverts to an earlier one.
    entries : list of LogEntry
        Entries after `snapshot_index`.
    snapshot_index : int
        Index before the first entry in memory. Entries covered by a
        saved snapshot may stay in memory for hosts that lag behind.
    saved_snapshot_index : int
        Index of the newest saved snapshot.
    unsaved_bytes : int
        Size in bytes of the content of the entries applied since then.
    synced_index : int
        Highest index known to be durable on this host's disk.
    term_start_index : int
        On the leader: index of the first entry of its own term.
    last_leader_contact_ms : int
        Time in ms of the last message from a current leader.
    election_due_ms : int
        Earliest time in ms at which this host starts an election.
    round_sent_ms : dict
        For each heartbeat round that may still extend the lease, the time
        in ms at which it was sent.
    lease_until_ms : int
        Time in ms at which the leader's lease ends.
    transfer_target : str or None
        Voter that takes over leadership once it has the whole log; the
        transfer is abandoned at `transfer_deadline_ms`.
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
    saved_snapshot_index: int = 0
    unsaved_bytes: int = 0
    synced_index: int = 0
    commit_index: int = 0
    applied_index: int = 0
    term_start_index: int = 0
    last_leader_contact_ms: int = -1_000_000
    election_due_ms: int = 0
    votes: dict[str, bool] = attrs.Factory(dict)
    progress: dict[str, PeerProgress] = attrs.Factory(dict)
    round: int = 0
    round_sent_ms: dict[int, int] = attrs.Factory(dict)
    lease_until_ms: int = 0
    leader_since_ms: int = 0
    transfer_target: str | None = None
    transfer_deadline_ms: int = 0
