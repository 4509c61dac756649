"""The catalog of queues, services and workspaces, by rising version.

It stands beside the numbered configuration: that one is changed by
compare-and-set and counts up by one, this one is replaced as a whole, its
versions have gaps, and the highest wins.
"""

import attrs


@attrs.frozen
class Queue:
    """A queue that callers submit jobs to.

    Attributes
    ----------
    host, prefix : str
        Callers' address of the queue.
    priority : int
        0 comes first.
    attempt_limit : int
        Failed runs of a task after which its job has failed.
    stretch : float
        Objective as a multiple of the job's longest chain of work.
    target_ms : int
        Latency objective in ms on top of that.
    open_access : bool
        Whether calls need no key.
    timeout_ms : int
        Longest time in ms of a call.
    needs_advice : bool
        Whether only an outside service knows which workers may run a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempt_limit: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    open_access: bool = False
    timeout_ms: int = 1
    needs_advice: bool = False


@attrs.frozen
class Service:
    """A set of workers that run the tasks of queues."""

    name: str
    checks_room: bool = False
    switched_off: bool = False


@attrs.frozen
class Tenancy:
    """A workspace's keys, rank and guarantee in the catalog.

    Attributes
    ----------
    guaranteed_accelerators : int
        Accelerators that its work of priority 0 can always claim.
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
        The operator's text, returned as it was sent.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    tenancies: tuple[Tenancy, ...] = ()
    document: str = ""


def find_queue(catalog: Catalog, host: str, path: str) -> Queue | None:
    """Return the queue of a host with the longest prefix of a path."""
    found = [
        queue
        for queue in catalog.queues
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(found, key=lambda queue: len(queue.prefix), default=None)


def queue_named(catalog: Catalog | None, name: str) -> Queue | None:
    """Return the queue with a name, None if no version has it now."""
    if catalog is None:
        return None
    return next((queue for queue in catalog.queues if queue.name == name), None)


def owner_of(catalog: Catalog, key: str) -> str | None:
    """Return the workspace that holds a key."""
    for tenancy in catalog.tenancies:
        if key in tenancy.keys:
            return tenancy.workspace
    return None


def fault_in(catalog: Catalog) -> str:
    """Return why a catalog is not valid, empty if it is."""
    services = {service.name for service in catalog.services}
    places: set[tuple[str, str]] = set()
    for queue in catalog.queues:
        if queue.service not in services:
            return f"queue {queue.name} names the unknown service {queue.service}"
        if queue.timeout_ms <= 0:
            return f"queue {queue.name} has a timeout of {queue.timeout_ms} ms"
        place = (queue.host, queue.prefix)
        if place in places:
            return f"two queues share the host {queue.host} and {queue.prefix}"
        places.add(place)
    keys: set[str] = set()
    for tenancy in catalog.tenancies:
        if keys.intersection(tenancy.keys):
            return f"workspace {tenancy.workspace} shares a key with another one"
        keys.update(tenancy.keys)
    return ""
