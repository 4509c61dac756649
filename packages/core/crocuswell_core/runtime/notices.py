"""Notices between parts of the reducer on one entry host.

They are values handled at once by `dispatch.notify`, so that agreement need
not import the parts that depend on it.
"""

import attrs

from crocuswell_core.cluster.commands import CommandReply, Proposal


@attrs.frozen
class HostBooted:
    """The entry host read its data folder."""


@attrs.frozen
class LeadershipGained:
    """The entry host became the leader."""


@attrs.frozen
class LeadershipLost:
    """The entry host is no longer the leader."""


@attrs.frozen
class CommandApplied:
    """A committed command was applied here; calls that wait get `reply`."""

    proposal: Proposal
    reply: CommandReply


@attrs.frozen
class EntriesApplied:
    """All entries up to the commit index are applied here."""


@attrs.frozen
class SnapshotInstalled:
    """The state was replaced; effects of the skipped entries never come."""


@attrs.frozen
class JobsChanged:
    """Applied entries changed jobs or the catalog."""


Notice = (
    HostBooted
    | LeadershipGained
    | LeadershipLost
    | CommandApplied
    | EntriesApplied
    | SnapshotInstalled
    | JobsChanged
)
