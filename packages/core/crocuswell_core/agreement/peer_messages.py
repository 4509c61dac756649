"""Messages between entry hosts."""

import attrs

from crocuswell_core.cluster.commands import (
    EntryHost,
    LogEntry,
    Proposal,
)


@attrs.frozen
class VoteRequest:
    """Ask for a vote; with `pre_vote` only whether it would be granted."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


@attrs.frozen
class VoteReply:
    """Answer to a `VoteRequest`."""

    term: int
    granted: bool
    pre_vote: bool


@attrs.frozen
class Append:
    """Entries after `previous_index`; empty as a heartbeat.

    Attributes
    ----------
    round : int
        Number of the heartbeat round, for the leader's lease and for
        read index.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int


@attrs.frozen
class AppendReply:
    """Answer to `Append`.

    Attributes
    ----------
    match_index : int
        Highest index known equal to the leader's log if `success`, else
        the index from which the leader should send.
    """

    term: int
    success: bool
    match_index: int
    round: int


@attrs.frozen
class InstallSnapshot:
    """The whole replicated state at `index`.

    Attributes
    ----------
    state : bytes
        Encoded `ClusterState`; the runtime encodes and decodes it.
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
    """Hand leadership over: the receiver starts an election at once."""

    term: int


@attrs.frozen
class Forward:
    """A proposal for the leader."""

    proposal: Proposal


@attrs.frozen
class ReadIndexRequest:
    """Ask the leader up to which index a read must wait."""

    read_id: int


@attrs.frozen
class ReadIndexReply:
    """The commit index, sent only under the leader's lease."""

    read_id: int
    index: int


@attrs.frozen
class WorkerLiveness:
    """An agent heard by the sending entry host since its last report.

    Attributes
    ----------
    number : int
        Configuration number that the agent confirmed.
    """

    worker: str
    incarnation: str
    number: int


@attrs.frozen
class Liveness:
    """Agents heard by an entry host since its last `Liveness`.

    Attributes
    ----------
    number : int
        Configuration number that the entry host itself has applied.
    lost : tuple of WorkerLiveness
        Agents whose stream ended since.
    """

    sequence: int
    number: int
    workers: tuple[WorkerLiveness, ...]
    lost: tuple[WorkerLiveness, ...] = ()


@attrs.frozen
class LivenessReply:
    """Sent only under the leader's lease; permits lease extensions.

    Attributes
    ----------
    number : int
        The leader's newest configuration number.
    refused : tuple of str
        Workers that must announce themselves again; no extension.
    """

    sequence: int
    number: int = 0
    refused: tuple[str, ...] = ()


PeerMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | TimeoutNow
    | Forward
    | ReadIndexRequest
    | ReadIndexReply
    | Liveness
    | LivenessReply
)
