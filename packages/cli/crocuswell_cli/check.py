"""Check of a configuration or catalog before it is sent.

The errors are those for which it would be refused, found by the same code.
Warnings are about parts that would be accepted and cannot do what they say.
"""

from functools import singledispatch
from pathlib import Path
from typing import Any

import attrs

from crocuswell_cli import declarations
from crocuswell_cli.check_rules import (
    CatalogDeclarations,
    Displacement,
    find_displaced,
    find_warnings,
)
from crocuswell_cli.declarations import Declarations, Difference
from crocuswell_cli.documents import (
    DeclarationError,
    Documents,
    Finding,
    read_folder,
)
from crocuswell_core.jobs.catalog import Catalog, find_catalog_problem

EXIT_SOUND = 0
EXIT_WARNED = 1
EXIT_INVALID = 2
# Top-level keys that only a catalog has.
CATALOG_KEYS = frozenset({"queues", "services", "version"})

Checked = Declarations | CatalogDeclarations


@attrs.frozen
class Report:
    """What was found in a configuration or catalog.

    Attributes
    ----------
    differences, displaced : tuple
        Changes to what it was compared with, and whom they take what from;
        empty if it was compared with nothing.
    """

    errors: tuple[Finding, ...] = ()
    warnings: tuple[Finding, ...] = ()
    differences: tuple[Difference, ...] = ()
    displaced: tuple[Displacement, ...] = ()

    @property
    def exit_code(self) -> int:
        """Exit code of the command."""
        if self.errors:
            return EXIT_INVALID
        return EXIT_WARNED if self.warnings or self.displaced else EXIT_SOUND


def check(path: Path, before: Checked | None = None) -> Report:
    """Check a folder or file, and compare it with what is in force."""
    try:
        documents = read_folder(path)
        checked = parse(documents)
    except DeclarationError as exc:
        return Report(exc.findings)
    errors = find_errors(checked, documents)
    if errors:
        return Report(tuple(errors))
    warnings = tuple(find_warnings(checked, documents))
    if before is None:
        return Report((), warnings)
    if type(before) is not type(checked):
        problem = "a configuration and a catalog cannot be compared"
        return Report((Finding(str(path), 0, "(file)", problem),))
    changed = declarations.differences(
        declarations.to_document(content(before)),
        declarations.to_document(content(checked)),
    )
    return Report((), warnings, tuple(changed), tuple(find_displaced(checked, before)))


def load(path: Path) -> Checked:
    """Read what a configuration or catalog is compared with.

    Raises
    ------
    DeclarationError
        If it is not well-formed.
    """
    return parse(read_folder(path))


def parse(documents: Documents) -> Checked:
    """Convert well-formed documents to a configuration or a catalog.

    Raises
    ------
    DeclarationError
        If they are not well-formed.
    """
    if CATALOG_KEYS.isdisjoint(documents.values):
        return declarations.parse(documents)
    return CatalogDeclarations(*declarations.build_with_fleet(Catalog, documents))


def from_reply(document: dict[str, Any]) -> Declarations:
    """Convert the configuration that a host holds.

    Raises
    ------
    DeclarationError
        If it has keys that this program does not know.
    """
    return declarations.parse(Documents(document))


@singledispatch
def find_errors(checked: Checked, documents: Documents) -> list[Finding]:
    """Return why something would be refused, or cannot work."""
    raise NotImplementedError(type(checked).__name__)


@find_errors.register
def _(checked: Declarations, documents: Documents) -> list[Finding]:
    return declarations.find_semantic_errors(checked, documents)


@find_errors.register
def _(checked: CatalogDeclarations, documents: Documents) -> list[Finding]:
    problem = find_catalog_problem(checked.catalog)
    return [_locate(problem, checked.catalog, documents)] if problem else []


def _locate(problem: str, catalog: Catalog, documents: Documents) -> Finding:
    """Return a finding at the queue or workspace that a problem names."""
    kind, _, rest = problem.partition(" ")
    name = rest.partition(" ")[0]
    named = {
        "queue": ("queues", [queue.name for queue in catalog.queues]),
        "workspace": ("workspaces", [each.workspace for each in catalog.workspaces]),
    }
    key, names = named.get(kind, ("queues", []))
    path = (key, names.index(name)) if name in names else (key,)
    return documents.finding(path, problem)


@singledispatch
def content(checked: Checked) -> Any:
    """Return what would be sent, without the declared fleet."""
    raise NotImplementedError(type(checked).__name__)


@content.register
def _(checked: Declarations) -> Any:
    return checked.configuration


@content.register
def _(checked: CatalogDeclarations) -> Any:
    return attrs.evolve(checked.catalog, document="")


def to_document(report: Report) -> dict[str, Any]:
    """Return a report as JSON."""
    return {**attrs.asdict(report), "exit_code": report.exit_code}


def to_text(report: Report) -> str:
    """Return a report as text, one line for each finding."""
    lines = [
        *(f"error: {finding}" for finding in report.errors),
        *(f"warning: {finding}" for finding in report.warnings),
        *(f"change: {d.key}: {d.before} -> {d.after}" for d in report.differences),
        *(f"displaced: {each.who}: {each.what}" for each in report.displaced),
    ]
    return "\n".join(lines) or "nothing found"
