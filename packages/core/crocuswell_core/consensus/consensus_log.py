"""Access to the in-memory part of the replicated log."""

from crocuswell_core.cluster.commands import LogEntry
from crocuswell_core.consensus.consensus_state import ConsensusState


def last_index(consensus: ConsensusState) -> int:
    """Return the index of the newest entry."""
    return consensus.snapshot_index + len(consensus.entries)


def last_term(consensus: ConsensusState) -> int:
    """Return the term of the newest entry."""
    if consensus.entries:
        return consensus.entries[-1].term
    return consensus.snapshot_term


def entry_at(consensus: ConsensusState, index: int) -> LogEntry | None:
    """Return the entry at an index, or None if it is not in memory."""
    offset = index - consensus.snapshot_index - 1
    if 0 <= offset < len(consensus.entries):
        return consensus.entries[offset]
    return None


def term_at(consensus: ConsensusState, index: int) -> int | None:
    """Return the term of the entry at an index, or None if unknown."""
    if index == consensus.snapshot_index:
        return consensus.snapshot_term
    entry = entry_at(consensus, index)
    return None if entry is None else entry.term


def entries_from(
    consensus: ConsensusState, first: int, limit: int
) -> tuple[LogEntry, ...]:
    """Return at most `limit` entries, starting at index `first`."""
    offset = first - consensus.snapshot_index - 1
    return tuple(consensus.entries[offset : offset + limit])


def truncate_from(consensus: ConsensusState, first: int) -> None:
    """Remove the entries from index `first` onwards."""
    del consensus.entries[first - consensus.snapshot_index - 1 :]
    consensus.synced_index = min(consensus.synced_index, first - 1)


def compact_up_to(consensus: ConsensusState, index: int) -> None:
    """Remove the entries up to `index`, which must be in memory.

    Raises
    ------
    ValueError
        If there is no entry at `index` in memory.
    """
    term = term_at(consensus, index)
    if term is None:
        raise ValueError(f"no log entry in memory at index {index}")
    del consensus.entries[: index - consensus.snapshot_index]
    consensus.snapshot_index = index
    consensus.snapshot_term = term


def is_up_to_date(consensus: ConsensusState, index: int, term: int) -> bool:
    """Return whether a log ending at `index` is at least as up to date.

    `term` is the term of its last entry; terms are compared first.
    """
    return (term, index) >= (last_term(consensus), last_index(consensus))
