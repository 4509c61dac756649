"""Parts of a configuration or catalog that cannot do what they say."""

from collections.abc import Iterator
from functools import singledispatch

import attrs

from crocuswell_cli.declarations import Declarations, Rack, check_guarantees
from crocuswell_cli.documents import Documents, Finding
from crocuswell_core.cluster.configuration import Configuration, Workspace
from crocuswell_core.jobs.catalog import Catalog, find_queue_by_path

# A job's path is its queue's prefix and an id of this form.
SAMPLE_ID = "0" * 16


@attrs.frozen
class CatalogDeclarations:
    """A catalog, with the fleet that it is checked against."""

    catalog: Catalog
    fleet: tuple[Rack, ...] = ()


@attrs.frozen
class Displacement:
    """What a change takes from a workspace or queue."""

    who: str
    what: str


@singledispatch
def find_warnings(
    checked: Declarations | CatalogDeclarations, documents: Documents
) -> Iterator[Finding]:
    """Yield the entries that have no effect or contradict each other."""
    raise NotImplementedError(type(checked).__name__)


@singledispatch
def find_displaced(
    after: Declarations | CatalogDeclarations,
    before: Declarations | CatalogDeclarations,
) -> Iterator[Displacement]:
    """Yield what a change takes away."""
    raise NotImplementedError(type(after).__name__)


# --- configurations --------------------------------------------------------


@find_warnings.register
def _(checked: Declarations, documents: Documents) -> Iterator[Finding]:
    configuration = checked.configuration
    yield from _unmet_objectives(configuration, documents)
    yield from _stopped_workspaces(configuration, documents)
    yield from _idle_quotas(checked, documents)
    domains = sorted({rack.failure_domain for rack in checked.fleet})
    for domain in domains if len(domains) > 1 else ():
        left = tuple(rack for rack in checked.fleet if rack.failure_domain != domain)
        reduced = attrs.evolve(checked, fleet=left)
        yield from check_guarantees(reduced, documents, f"the fleet without {domain}")


def _unmet_objectives(
    configuration: Configuration, documents: Documents
) -> Iterator[Finding]:
    retention_ms = configuration.limits.result_retention_ms
    declared: dict[tuple[str, str], int] = {}
    for index, objective in enumerate(configuration.objectives):
        key = (objective.workspace, objective.job_class)
        first = declared.setdefault(key, index)
        if first != index:
            problem = f"is for the same jobs as objectives[{first}]"
            yield documents.finding(("objectives", index), problem)
        if objective.completion_ms > retention_ms:
            problem = f"is longer than results are kept ({retention_ms} ms)"
            yield documents.finding(("objectives", index, "completion_ms"), problem)


def _stopped_workspaces(
    configuration: Configuration, documents: Documents
) -> Iterator[Finding]:
    preset = configuration.preset()
    if not preset.placement:
        problem = f"preset {preset.name} places nothing"
        yield documents.finding(("active_preset",), problem)
    elif not preset.borrowing:
        for index, workspace in enumerate(configuration.workspaces):
            if not workspace.guarantees:
                problem = f"has no guarantee and preset {preset.name} lends nothing"
                yield documents.finding(("workspaces", index), problem)


def _idle_quotas(checked: Declarations, documents: Documents) -> Iterator[Finding]:
    fleet = _accelerators(checked.fleet)
    for index, workspace in enumerate(checked.configuration.workspaces):
        quota = workspace.quota
        if fleet and quota is not None and quota.accelerators > fleet:
            problem = f"exceeds the fleet's {fleet} accelerators and limits nothing"
            yield documents.finding(("workspaces", index, "quota"), problem)


@find_displaced.register
def _(after: Declarations, before: Declarations) -> Iterator[Displacement]:
    kept = {each.name: each for each in after.configuration.workspaces}
    for old in before.configuration.workspaces:
        new = kept.get(old.name)
        if new is None:
            yield Displacement(old.name, "the workspace is removed")
            continue
        before_count, after_count = _guaranteed(old), _guaranteed(new)
        if after_count < before_count:
            what = f"{after_count} instead of {before_count} guaranteed accelerators"
            yield Displacement(old.name, what)
        if new.quota is not None and (
            old.quota is None or not old.quota.fits_in(new.quota)
        ):
            yield Displacement(old.name, "the quota is lower")
        if new.queue_limit < old.queue_limit:
            what = f"{new.queue_limit} instead of {old.queue_limit} queued requests"
            yield Displacement(old.name, what)
    preset_before, preset = before.configuration.preset(), after.configuration.preset()
    if preset_before.borrowing and not preset.borrowing:
        yield Displacement("all workspaces", "nothing is lent above the guarantees")
    if preset_before.placement and not preset.placement:
        yield Displacement("all workspaces", "nothing is placed any more")


def _guaranteed(workspace: Workspace) -> int:
    return sum(shape.total.accelerators for shape in workspace.guarantees)


def _accelerators(fleet: tuple[Rack, ...]) -> int:
    return sum(rack.workers * rack.accelerators for rack in fleet)


# --- catalogs ----------------------------------------------------------------


@find_warnings.register
def _(checked: CatalogDeclarations, documents: Documents) -> Iterator[Finding]:
    catalog = checked.catalog
    yield from _hidden_queues(catalog, documents)
    yield from _queue_problems(catalog, documents)
    used = {queue.service for queue in catalog.queues}
    for index, service in enumerate(catalog.services):
        if service.name not in used:
            yield documents.finding(("services", index), "is named by no queue")
    for index, declared in enumerate(catalog.workspaces):
        if not declared.keys:
            problem = "has no keys, so that nobody can use it"
            yield documents.finding(("workspaces", index), problem)
    yield from _excess_guarantees(checked, documents)


def _hidden_queues(catalog: Catalog, documents: Documents) -> Iterator[Finding]:
    for index, queue in enumerate(catalog.queues):
        path = queue.prefix + SAMPLE_ID
        found = find_queue_by_path(catalog, queue.host, path)
        if found is not None and found is not queue:
            problem = f"is hidden by queue {found.name} at {found.prefix}"
            yield documents.finding(("queues", index, "prefix"), problem)
        elif not queue.prefix.startswith("/"):
            problem = "does not begin with /, so that no path matches it"
            yield documents.finding(("queues", index, "prefix"), problem)


def _queue_problems(catalog: Catalog, documents: Documents) -> Iterator[Finding]:
    disabled = {service.name for service in catalog.services if service.disabled}
    for index, queue in enumerate(catalog.queues):
        if queue.service in disabled:
            problem = f"service {queue.service} is disabled"
            yield documents.finding(("queues", index, "service"), problem)
        if queue.timeout_ms < queue.latency_allowance_ms:
            problem = (
                f"is shorter than the objective allows ({queue.latency_allowance_ms} "
                f"ms and more)"
            )
            yield documents.finding(("queues", index, "timeout_ms"), problem)
        if queue.attempt_limit < 1:
            yield documents.finding(
                ("queues", index, "attempt_limit"), "should be at least 1"
            )
        if not queue.open_access and not catalog.workspaces_by_key:
            problem = "needs a key and no workspace has one"
            yield documents.finding(("queues", index), problem)


def _excess_guarantees(
    checked: CatalogDeclarations, documents: Documents
) -> Iterator[Finding]:
    guaranteed = sum(
        each.guaranteed_accelerators for each in checked.catalog.workspaces
    )
    domains = sorted({rack.failure_domain for rack in checked.fleet})
    for lost in ("", *domains) if domains else ():
        left = _accelerators(
            tuple(rack for rack in checked.fleet if rack.failure_domain != lost)
        )
        if guaranteed > left:
            without = f" without {lost}" if lost else ""
            problem = (
                f"{guaranteed} accelerators are guaranteed, the fleet{without} has "
                f"{left}"
            )
            yield documents.finding(("workspaces",), problem)


@find_displaced.register
def _(
    after: CatalogDeclarations, before: CatalogDeclarations
) -> Iterator[Displacement]:
    queues = after.catalog.queues_by_name
    for queue in before.catalog.queues:
        if queue.name not in queues:
            what = "the queue is removed and its jobs are not dispatched"
            yield Displacement(f"queue {queue.name}", what)
        elif queues[queue.name].priority > queue.priority:
            what = f"priority {queues[queue.name].priority} instead of {queue.priority}"
            yield Displacement(f"queue {queue.name}", what)
    workspaces = {each.workspace: each for each in after.catalog.workspaces}
    for old in before.catalog.workspaces:
        new = workspaces.get(old.workspace)
        if new is None:
            yield Displacement(old.workspace, "the workspace is removed")
            continue
        lost = set(old.keys) - set(new.keys)
        if lost:
            yield Displacement(old.workspace, f"{len(lost)} keys are removed")
        if new.guaranteed_accelerators < old.guaranteed_accelerators:
            what = (
                f"{new.guaranteed_accelerators} instead of "
                f"{old.guaranteed_accelerators} guaranteed accelerators"
            )
            yield Displacement(old.workspace, what)
