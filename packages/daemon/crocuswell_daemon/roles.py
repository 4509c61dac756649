"""Checked settings of the two roles, without the libraries that read them."""

import attrs

from crocuswell_core.agent.agent_state import AgentConfig
from crocuswell_core.cluster.commands import EntryHost
from crocuswell_core.entry.entry_state import EntryConfig

# The last three belong to a membership that the group finds for itself.
FIXED_KEYS = frozenset(
    {
        *("host", "hosts", "voters", "seed", "entries", "incarnation"),
        *("voter_target", "forget_host_ms", "task_lease_ms"),
    }
)


def timing_keys(cls: type) -> tuple[str, ...]:
    """Return the names of the optional keys of a role's timing."""
    return tuple(
        field.name
        for field in attrs.fields(cls)
        if field.type is int and field.name not in FIXED_KEYS
    )


@attrs.frozen
class Listen:
    """Addresses of an entry host's listeners, `host:port`.

    Attributes
    ----------
    callers : str
        HTTP for callers and operators.
    peers, agents : str
        Streams of other entry hosts and of agents.
    """

    callers: str
    peers: str
    agents: str


@attrs.frozen
class EntrySettings:
    """Settings of an entry host.

    Attributes
    ----------
    data_folder : str or None
        None for a host without a disk.
    timing : dict
        Keys of `EntryConfig` in ms, and `snapshot_entries`.
    """

    role: str
    id: str
    failure_domain: str
    data_folder: str | None
    listen: Listen
    hosts: tuple[EntryHost, ...]
    voters: tuple[str, ...]
    insecure_loopback: bool
    seed: int | None = None
    timing: dict[str, int] = attrs.Factory(dict)

    def core_config(self, seed: int) -> EntryConfig:
        """Return the settings that the reducer needs."""
        return EntryConfig(
            host=next(host for host in self.hosts if host.id == self.id),
            hosts=self.hosts,
            voters=self.voters,
            seed=seed,
            **self.timing,  # type: ignore[arg-type]
        )


@attrs.frozen
class AgentSettings:
    """Settings of an agent.

    Attributes
    ----------
    backend_server : str
        URL of the backend server, `http://host:port`.
    entries : tuple of str
        `host:port` of the entry hosts' agent listeners.
    timing : dict
        Keys of `AgentConfig` in ms.
    """

    role: str
    backend_server: str
    entries: tuple[str, ...]
    insecure_loopback: bool
    seed: int | None = None
    timing: dict[str, int] = attrs.Factory(dict)

    @property
    def backend_address(self) -> str:
        """`host:port` of the backend server."""
        return self.backend_server.removeprefix("http://")

    def core_config(self, seed: int, incarnation: str) -> AgentConfig:
        """Return the settings that the reducer needs."""
        return AgentConfig(
            entries=self.entries, incarnation=incarnation, seed=seed, **self.timing
        )
