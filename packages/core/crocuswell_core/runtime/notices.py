"""Notifications between modules of the reducer on one entry host.

`dispatch.notify` handles them synchronously. They spare the `consensus`
package from importing the modules that depend on it.
"""

import attrs

from crocuswell_core.cluster.commands import CommandReply, Proposal


@attrs.frozen
class HostBooted:
    """The entry host loaded its data folder."""


@attrs.frozen
class LeadershipGained:
    """The entry host became the leader."""


@attrs.frozen
class LeadershipLost:
    """The entry host is no longer the leader."""


@attrs.frozen
class CommandApplied:
    """A committed command was applied here; waiting calls get `reply`."""

    proposal: Proposal
    reply: CommandReply


@attrs.frozen
class EntriesApplied:
    """All entries up to the commit index have been applied here."""


@attrs.frozen
class SnapshotInstalled:
    """The state was replaced by a snapshot.

    The effects of the entries that it covers are never emitted here.
    """


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
