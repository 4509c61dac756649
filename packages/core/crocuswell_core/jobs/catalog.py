"""The versioned catalog of queues, services and workspaces.

The catalog is independent of the numbered configuration. The configuration
is changed by compare-and-set, and its number increases by one. The catalog
is replaced as a whole, its versions may have gaps, and the highest version
wins.
"""

from functools import cached_property

import attrs

# Larger factors, infinity and NaN give objectives that cannot be computed.
MAX_STRETCH = 1_000_000.0


@attrs.frozen
class Queue:
    """A queue that callers submit jobs to.

    Attributes
    ----------
    host, prefix : str
        Host and path prefix under which callers reach the queue.
    priority : int
        Priority of its jobs; 0 is the highest.
    attempt_limit : int
        Number of failed runs of a task after which its job fails.
    stretch : float
        Latency objective as a multiple of the job's critical path.
    latency_allowance_ms : int
        Time in ms that is added to this objective.
    open_access : bool
        Whether calls need no key.
    timeout_ms : int
        Longest time in ms of a call.
    needs_placement_advice : bool
        Whether an external service decides which workers may run a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempt_limit: int = 1
    stretch: float = 1.0
    latency_allowance_ms: int = 0
    open_access: bool = False
    timeout_ms: int = 1
    needs_placement_advice: bool = False


@attrs.frozen
class Service:
    """A set of workers that run the tasks of one or more queues."""

    name: str
    checks_capacity: bool = False
    disabled: bool = False


@attrs.frozen
class CatalogWorkspace:
    """A workspace's keys, priority and guarantee in the catalog.

    Attributes
    ----------
    guaranteed_accelerators : int
        Number of accelerators guaranteed to its jobs of priority 0.
    """

    workspace: str
    keys: tuple[str, ...] = ()
    priority: int = 0
    guaranteed_accelerators: int = 0


@attrs.frozen
class Catalog:
    """All queues, services and workspaces of one version.

    Attributes
    ----------
    document : str
        The operator's document, returned when the catalog is read.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[CatalogWorkspace, ...] = ()
    document: str = ""

    @cached_property
    def queues_by_name(self) -> dict[str, Queue]:
        """Queues by their names."""
        return {queue.name: queue for queue in reversed(self.queues)}

    @cached_property
    def least_stretch(self) -> float:
        """Stretch of the queue with the tightest objective, at least 1."""
        return max(1.0, min((queue.stretch for queue in self.queues), default=1.0))

    @cached_property
    def queues_by_host(self) -> dict[str, list[Queue]]:
        """Queues of each host."""
        by_host: dict[str, list[Queue]] = {}
        for queue in self.queues:
            by_host.setdefault(queue.host, []).append(queue)
        return by_host

    @cached_property
    def workspaces_by_key(self) -> dict[str, str]:
        """Names of the workspaces by their keys."""
        return {
            key: declared.workspace
            for declared in self.workspaces
            for key in declared.keys
        }


def find_queue_by_path(catalog: Catalog, host: str, path: str) -> Queue | None:
    """Return the host's queue whose prefix is the longest match of a path."""
    matches = [
        queue
        for queue in catalog.queues_by_host.get(host, ())
        if path.startswith(queue.prefix)
    ]
    return max(matches, key=lambda queue: len(queue.prefix), default=None)


def find_queue_by_name(catalog: Catalog | None, name: str) -> Queue | None:
    """Return the queue with a name, None if the catalog has none."""
    if catalog is None:
        return None
    return catalog.queues_by_name.get(name)


def find_key_owner(catalog: Catalog, key: str) -> str | None:
    """Return the workspace that a key belongs to, None for an unknown key."""
    return catalog.workspaces_by_key.get(key)


def find_catalog_problem(catalog: Catalog) -> str:
    """Return why a catalog is invalid, an empty string if it is valid."""
    services = {service.name for service in catalog.services}
    addresses: set[tuple[str, str]] = set()
    for queue in catalog.queues:
        if queue.service not in services:
            return f"queue {queue.name} names the unknown service {queue.service}"
        if queue.timeout_ms <= 0:
            return f"queue {queue.name} has a timeout of {queue.timeout_ms} ms"
        if not 0 <= queue.stretch <= MAX_STRETCH:
            return f"queue {queue.name} has a stretch of {queue.stretch}"
        address = (queue.host, queue.prefix)
        if address in addresses:
            return f"two queues share the host {queue.host} and {queue.prefix}"
        addresses.add(address)
    keys: set[str] = set()
    for declared in catalog.workspaces:
        if keys.intersection(declared.keys):
            return f"workspace {declared.workspace} shares a key with another one"
        keys.update(declared.keys)
    return ""
