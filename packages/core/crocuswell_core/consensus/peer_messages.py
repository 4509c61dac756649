"""Messages between entry hosts."""

import attrs

from crocuswell_core.cluster.commands import (
    EntryHost,
    LogEntry,
    Proposal,
)


@attrs.frozen
class VoteRequest:
    """Ask for a vote, or with `pre_vote` whether it would be granted.

    Attributes
    ----------
    transfer : bool
        Whether the leader initiated the election, so that voters need not
        wait for its lease to end.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


@attrs.frozen
class VoteReply:
    """Reply to a `VoteRequest`."""

    term: int
    granted: bool
    pre_vote: bool


@attrs.frozen
class AppendEntries:
    """Log entries after `previous_index`; without entries, a heartbeat.

    Attributes
    ----------
    round : int
        Number of the heartbeat round. Its acknowledgement extends the
        leader's lease, under which the leader answers read index requests.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int


@attrs.frozen
class AppendEntriesReply:
    """Reply to `AppendEntries` and `InstallSnapshot`.

    Attributes
    ----------
    match_index : int
        On success, the highest index known to match the leader's log;
        otherwise the index after which the leader should resume.
    """

    term: int
    success: bool
    match_index: int
    round: int


@attrs.frozen
class InstallSnapshot:
    """Snapshot of the whole replicated state at `index`.

    Attributes
    ----------
    state : bytes
        `ClusterState` as encoded by the runtime.
    """

    term: int
    index: int
    entry_term: int
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]
    state: bytes
    round: int = 0


@attrs.frozen
class TimeoutNow:
    """Transfer leadership: the receiver starts an election at once."""

    term: int


@attrs.frozen
class ForwardProposal:
    """Forward a proposal to the leader."""

    proposal: Proposal


@attrs.frozen
class ReadIndexRequest:
    """Ask the leader for the index that must be applied before a read."""

    read_id: int


@attrs.frozen
class ReadIndexReply:
    """Reply with the commit index, sent only by a leader with a lease."""

    read_id: int
    index: int


@attrs.frozen
class WorkerLiveness:
    """One agent in a `LivenessReport`.

    Attributes
    ----------
    configuration_number : int
        Newest configuration number that the agent confirmed.
    """

    worker: str
    incarnation: str
    configuration_number: int


@attrs.frozen
class LivenessReport:
    """Report of the agents that sent heartbeats since the last report.

    Attributes
    ----------
    configuration_number : int
        Newest configuration number that the entry host has applied.
    lost : tuple of WorkerLiveness
        Agents whose stream ended since the last report.
    """

    sequence: int
    configuration_number: int
    workers: tuple[WorkerLiveness, ...]
    lost: tuple[WorkerLiveness, ...] = ()


@attrs.frozen
class LivenessReply:
    """Reply to `LivenessReport`; permits the agents' leases to be extended.

    Sent only by a leader that holds its lease.

    Attributes
    ----------
    configuration_number : int
        The leader's newest configuration number.
    refused : tuple of str
        Workers whose lease is not extended; they must announce themselves
        again.
    commit_index : int
        The leader's commit index. Orders that an agent got before its newest
        stream come from entries up to it.
    """

    sequence: int
    configuration_number: int = 0
    refused: tuple[str, ...] = ()
    commit_index: int = 0


PeerMessage = (
    VoteRequest
    | VoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | TimeoutNow
    | ForwardProposal
    | ReadIndexRequest
    | ReadIndexReply
    | LivenessReport
    | LivenessReply
)
