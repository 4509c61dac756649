"""Classes of validated settings; need none of the parsing libraries."""

import attrs

from crocuswell_core.agent.agent_state import AgentConfig
from crocuswell_core.cluster.commands import EntryHost
from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_core.entry.entry_state import EntryConfig

# Fields of `EntryConfig` and `AgentConfig` that are not timing keys. Those in
# the second line apply only to groups that discover their own members.
NON_TIMING_FIELDS = frozenset(
    {
        *("host", "hosts", "voters", "seed", "entries", "incarnation"),
        *("voter_target", "forget_host_ms", "task_lease_ms"),
    }
)


def timing_keys(cls: type) -> tuple[str, ...]:
    """Return the names of the optional timing keys of a role."""
    return tuple(
        field.name
        for field in attrs.fields(cls)
        if field.type is int and field.name not in NON_TIMING_FIELDS
    )


@attrs.frozen
class Listen:
    """Addresses of an entry host's listeners, `host:port`.

    Attributes
    ----------
    callers : str
        HTTP listener for callers and operators.
    peers, agents : str
        Listeners for streams of other entry hosts and of agents.
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
        Folder of log and snapshot; None for a host without a disk.
    timing : dict
        Fields of `EntryConfig` that are set: times in ms and numbers of
        log entries.
    features : DispatchFeatures
        Optional parts of dispatching that are switched on.
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
    features: DispatchFeatures = attrs.Factory(DispatchFeatures)

    def core_config(self, seed: int) -> EntryConfig:
        """Return the configuration of the reducer."""
        return EntryConfig(
            host=next(host for host in self.hosts if host.id == self.id),
            hosts=self.hosts,
            voters=self.voters,
            seed=seed,
            features=self.features,
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
        Fields of `AgentConfig` that are set, in ms.
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
        """Return the configuration of the reducer."""
        return AgentConfig(
            entries=self.entries, incarnation=incarnation, seed=seed, **self.timing
        )
