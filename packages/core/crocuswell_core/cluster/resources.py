"""Resource amounts and the resource shape of a job."""

import enum
from typing import Self

import attrs

SLOTS_PER_WORKER = 8
CONNECTIONS_PER_WORKER = 64
MAX_GANG_SIZE = 1_024


class Adjacency(enum.Enum):
    """Topology level at which all members of a gang must share one unit."""

    NONE = "none"
    WORKER = "worker"
    RACK = "rack"
    FAILURE_DOMAIN = "failure_domain"


@attrs.frozen(cache_hash=True)
class Resources:
    """An immutable amount of worker resources.

    Attributes
    ----------
    accelerators : int
        Number of accelerators.
    processors : int
        Number of processor cores.
    memory_mb : int
        Memory in MB.
    """

    accelerators: int = 0
    processors: int = 0
    memory_mb: int = 0

    def __add__(self, other: Self) -> "Resources":
        return Resources(
            self.accelerators + other.accelerators,
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
        )

    def __sub__(self, other: Self) -> "Resources":
        return Resources(
            self.accelerators - other.accelerators,
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
        )

    def times(self, count: int) -> "Resources":
        """Return this amount multiplied by `count`."""
        return Resources(
            self.accelerators * count, self.processors * count, self.memory_mb * count
        )

    def fits_in(self, available: Self) -> bool:
        """Return whether no component exceeds that of `available`."""
        return (
            self.accelerators <= available.accelerators
            and self.processors <= available.processors
            and self.memory_mb <= available.memory_mb
        )

    def is_negative(self) -> bool:
        """Return whether any component is negative."""
        return self.accelerators < 0 or self.processors < 0 or self.memory_mb < 0


NO_RESOURCES = Resources()


@attrs.frozen(cache_hash=True)
class Shape:
    """Resources of a gang: those a job needs or a workspace is guaranteed.

    Attributes
    ----------
    members : int
        Gang size; each member occupies one slot of a worker.
    per_member : Resources
        Resources of each member.
    adjacency : Adjacency
        Topology level at which one unit must hold all members.
    """

    members: int = 1
    per_member: Resources = Resources(0, 1, 256)
    adjacency: Adjacency = Adjacency.NONE

    @property
    def total(self) -> Resources:
        """Total resources of all members."""
        return self.per_member.times(self.members)
