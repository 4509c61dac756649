"""Operators' declarations: parsing, checks, JSON Schema and differences."""

import enum
import types
import typing
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

from crocuswell_cli.documents import (
    DeclarationError,
    Documents,
    Finding,
    KeyPath,
    read_folder,
)
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    AnnounceWorker,
    ChangeConfiguration,
    Command,
    LogEntry,
    Proposal,
)
from crocuswell_core.cluster.configuration import (
    Configuration,
    find_configuration_problem,
)
from crocuswell_core.cluster.records import WorkerInfo
from crocuswell_core.cluster.resources import SLOTS_PER_WORKER, Resources
from crocuswell_core.cluster.value_limits import (
    check_float,
    check_int,
    check_length,
    check_text,
    find_out_of_bounds,
)
from crocuswell_core.consensus.log_application import apply_entry
from crocuswell_core.runtime import reducer  # noqa: F401  (registers the handlers)

VALUE_CHECKS: dict[type, Callable[[Any], str]] = {
    int: check_int,
    float: check_float,
    str: check_text,
}
SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"


@attrs.frozen
class Rack:
    """Identical workers in one rack of the declared fleet.

    Attributes
    ----------
    workers : int
        Number of workers in the rack.
    """

    rack: str
    failure_domain: str
    workers: int
    accelerators: int = 0
    processors: int = 1
    memory_mb: int = 1_024
    slots: int = SLOTS_PER_WORKER


@attrs.frozen
class Declarations:
    """The declarations of a folder.

    Attributes
    ----------
    fleet : tuple of Rack
        Expected workers; used for checks only and not sent.
    """

    configuration: Configuration
    fleet: tuple[Rack, ...] = ()


@attrs.frozen
class _Folder:
    """Top-level key of a folder that is not part of the configuration."""

    fleet: tuple[Rack, ...] = ()


def load(folder: Path) -> Declarations:
    """Read a folder and check its declarations.

    Raises
    ------
    DeclarationError
        If the declarations are not valid; with the file, line, key and problem
        of every finding.
    """
    documents = read_folder(folder)
    declared = parse(documents)
    findings = find_semantic_errors(declared, documents)
    if findings:
        raise DeclarationError(tuple(findings))
    return declared


def parse(documents: Documents) -> Declarations:
    """Convert well-formed declarations.

    Raises
    ------
    DeclarationError
        If a key is unknown or missing, or a value has another type.
    """
    configuration, fleet = build_with_fleet(Configuration, documents)
    return Declarations(configuration, fleet)


def build_with_fleet(cls: Any, documents: Documents) -> tuple[Any, tuple[Rack, ...]]:
    """Convert the documents to a class, and the fleet that they declare.

    Raises
    ------
    DeclarationError
        If a key is unknown or missing, or a value has another type.
    """
    findings: list[Finding] = []
    values = dict(documents.values)
    fleet = _build(
        tuple[Rack, ...], values.pop("fleet", ()), ("fleet",), findings, documents
    )
    built = _build(cls, values, (), findings, documents)
    if findings:
        raise DeclarationError(tuple(findings))
    return built, fleet


# --- parsing -------------------------------------------------------------


def _build(
    hint: Any,
    value: Any,
    path: KeyPath,
    findings: list[Finding],
    documents: Documents,
) -> Any:
    """Convert a value to its declared type and collect all findings."""
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        if value is None:
            return None
        inner = next(h for h in typing.get_args(hint) if h is not types.NoneType)
        return _build(inner, value, path, findings, documents)
    if origin is tuple:
        return _build_tuple(typing.get_args(hint)[0], value, path, findings, documents)
    if attrs.has(hint):
        return _build_object(hint, value, path, findings, documents)
    if issubclass(hint, enum.Enum):
        return _build_enum(hint, value, path, findings, documents)
    accepted = (int, float) if hint is float else (hint,)
    expected = (
        _type_description(hint)
        if type(value) not in accepted
        else VALUE_CHECKS.get(hint, _accept_any)(value)
    )
    if expected:
        problem = f"found {value!r}, expected {expected}"
        findings.append(documents.finding(path, problem))
    return value


def _accept_any(value: Any) -> str:
    return ""


def _build_tuple(
    item: Any, value: Any, path: KeyPath, findings: list[Finding], documents: Documents
) -> Any:
    if type(value) not in (list, tuple):
        findings.append(documents.finding(path, f"found {value!r}, expected a list"))
        return ()
    if expected := check_length(value):
        problem = f"found {len(value)} values, expected {expected}"
        findings.append(documents.finding(path, problem))
        return ()
    return tuple(
        _build(item, entry, (*path, index), findings, documents)
        for index, entry in enumerate(value)
    )


def _build_enum(
    hint: Any, value: Any, path: KeyPath, findings: list[Finding], documents: Documents
) -> Any:
    names = [member.value for member in hint]
    if value not in names:
        problem = f"found {value!r}, expected one of {', '.join(names)}"
        findings.append(documents.finding(path, problem))
        return None
    return hint(value)


def _build_object(
    cls: Any, value: Any, path: KeyPath, findings: list[Finding], documents: Documents
) -> Any:
    if type(value) is not dict:
        findings.append(documents.finding(path, f"found {value!r}, expected a mapping"))
        return None
    hints = typing.get_type_hints(cls)
    fields = {field.name: field for field in attrs.fields(cls)}
    for key in value:
        if key not in fields:
            problem = f"unknown key; known are {', '.join(fields)}"
            findings.append(documents.finding((*path, str(key)), problem))
    for name, field in fields.items():
        if field.default is attrs.NOTHING and name not in value:
            findings.append(documents.finding(path, f"key {name!r} is missing"))
    before = len(findings)
    parts = {
        name: _build(hints[name], value[name], (*path, name), findings, documents)
        for name in fields
        if name in value
    }
    complete = all(
        f.default is not attrs.NOTHING or f.name in parts for f in fields.values()
    )
    if not complete or len(findings) > before:
        return None
    built = cls(**parts)
    if wrong := find_out_of_bounds(built):
        problem = f"found {wrong.found}, expected {wrong.expected}"
        findings.append(documents.finding((*path, wrong.field), problem))
    return built


def _type_description(hint: Any) -> str:
    return {
        int: "a whole number",
        float: "a number",
        str: "text",
        bool: "true or false",
    }.get(hint, hint.__name__)


# --- semantic checks -----------------------------------------------------


def find_semantic_errors(declared: Declarations, documents: Documents) -> list[Finding]:
    """Return the findings in well-formed declarations that cannot work."""
    problem = find_configuration_problem(declared.configuration)
    if problem is not None:
        return [_locate_problem(problem, declared, documents)]
    return [
        *_check_objectives(declared.configuration, documents),
        *_check_presets(declared, documents),
        *_check_guarantees(declared, documents),
    ]


def _locate_problem(
    problem: str, declared: Declarations, documents: Documents
) -> Finding:
    key, _, rest = problem.partition(": ")
    if key == "workspaces":
        name, _, rest = rest.partition(": ")
        names = [w.name for w in declared.configuration.workspaces]
        if name in names:
            field = rest.partition(":")[0]
            path = ("workspaces", names.index(name), field)
            return documents.finding(path, rest.partition(": ")[2] or rest)
        return documents.finding(("workspaces",), name)
    return documents.finding((key,), rest)


def _check_objectives(
    configuration: Configuration, documents: Documents
) -> list[Finding]:
    findings: list[Finding] = []
    for index, objective in enumerate(configuration.objectives):
        path: KeyPath = ("objectives", index)
        if configuration.workspace(objective.workspace) is None:
            problem = f"workspace {objective.workspace!r} is not declared"
            findings.append(documents.finding((*path, "workspace"), problem))
        if not 0 < objective.target < 1:
            problem = "must lie between 0 and 1; with 1 there is no error budget"
            findings.append(documents.finding((*path, "target"), problem))
        if objective.completion_ms < 1:
            problem = "must be at least 1 ms"
            findings.append(documents.finding((*path, "completion_ms"), problem))
    return findings


def _check_presets(declared: Declarations, documents: Documents) -> list[Finding]:
    findings: list[Finding] = []
    configuration = declared.configuration
    guaranteed = sum(
        shape.total.accelerators
        for workspace in configuration.workspaces
        for shape in workspace.guarantees
    )
    fleet = sum(rack.workers * rack.accelerators for rack in declared.fleet)
    for index, preset in enumerate(configuration.presets):
        path: KeyPath = ("presets", index)
        if not 0 <= preset.reserve_share < 1:
            problem = "must be at least 0 and less than 1"
            findings.append(documents.finding((*path, "reserve_share"), problem))
        if fleet and guaranteed + preset.reserve_share * fleet > fleet:
            problem = (
                f"with {guaranteed} guaranteed of {fleet} accelerators, no such "
                f"share can be kept idle; lower it or the guarantees"
            )
            findings.append(documents.finding((*path, "reserve_share"), problem))
        if not preset.placement and guaranteed:
            problem = (
                "places nothing, so no guarantee could be claimed; use "
                "borrowing: false to keep claims working"
            )
            findings.append(documents.finding((*path, "placement"), problem))
    return findings


def _check_guarantees(declared: Declarations, documents: Documents) -> list[Finding]:
    return check_guarantees(declared, documents, "the declared fleet")


def check_guarantees(
    declared: Declarations, documents: Documents, fleet: str
) -> list[Finding]:
    """Check that the scheduler can plan all guarantees on a fleet.

    Parameters
    ----------
    fleet : str
        How to call it in the findings.
    """
    if not declared.fleet:
        return []
    cluster = ClusterState()
    for info in fleet_workers(declared.fleet):
        _apply_command(cluster, AnnounceWorker(info, "declared", "declared"))
    _apply_command(cluster, ChangeConfiguration(0, declared.configuration, "validate"))
    findings: list[Finding] = []
    names = [w.name for w in declared.configuration.workspaces]
    for planned in cluster.plan.values():
        if planned.workers:
            continue
        position = names.index(planned.workspace)
        guarantees = declared.configuration.workspaces[position].guarantees
        path = (
            "workspaces",
            position,
            "guarantees",
            guarantees.index(planned.shape),
        )
        shape = planned.shape
        problem = (
            f"{fleet} cannot hold {shape.members} x "
            f"{shape.per_member.accelerators} accelerators in one "
            f"{shape.adjacency.value} beside the other guarantees"
        )
        findings.append(documents.finding(path, problem))
    return findings


def fleet_workers(fleet: tuple[Rack, ...]) -> list[WorkerInfo]:
    """Return the worker information that the fleet would announce."""
    return [
        WorkerInfo(
            f"{rack.failure_domain}-{rack.rack}-{number}",
            rack.rack,
            rack.failure_domain,
            Resources(rack.accelerators, rack.processors, rack.memory_mb),
            rack.slots,
        )
        for rack in fleet
        for number in range(1, rack.workers + 1)
    ]


def _apply_command(cluster: ClusterState, command: Command) -> None:
    apply_entry(cluster, LogEntry(1, 1, 1, Proposal("", "", command)))


# --- API documents and JSON Schema ---------------------------------------


def to_document(value: Any) -> Any:
    """Return a configuration as the JSON body of the API."""
    return attrs.asdict(value, value_serializer=_serialise_enum)


def _serialise_enum(_cls: object, _field: object, value: Any) -> Any:
    return value.value if issubclass(type(value), enum.Enum) else value


def json_schema() -> dict[str, Any]:
    """Return the JSON Schema of the merged declarations of a folder."""
    schema = _schema_of(Configuration)
    schema["properties"]["fleet"] = _schema_of(tuple[Rack, ...])
    return {"$schema": SCHEMA_DIALECT, "title": "crocuswell declarations", **schema}


def _schema_of(hint: Any) -> dict[str, Any]:
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return {"anyOf": [_schema_of(inner) for inner in typing.get_args(hint)]}
    if origin is tuple:
        return {"type": "array", "items": _schema_of(typing.get_args(hint)[0])}
    if attrs.has(hint):
        return _object_schema(hint)
    if issubclass(hint, enum.Enum):
        return {"enum": [member.value for member in hint]}
    names = {
        int: "integer",
        float: "number",
        str: "string",
        bool: "boolean",
        types.NoneType: "null",
    }
    return {"type": names[hint]}


def _object_schema(cls: Any) -> dict[str, Any]:
    hints = typing.get_type_hints(cls)
    fields = attrs.fields(cls)
    return {
        "type": "object",
        "additionalProperties": False,
        "properties": {field.name: _schema_of(hints[field.name]) for field in fields},
        "required": [f.name for f in fields if f.default is attrs.NOTHING],
    }


# --- differences ----------------------------------------------------------


@attrs.frozen
class Difference:
    """A value that a change would alter; None stands for a missing value."""

    key: str
    before: Any
    after: Any


def differences(before: Any, after: Any, key: str = "") -> list[Difference]:
    """Return the differences between two configuration documents.

    Lists of named objects are compared by name, so that a mere change of
    their order is not a difference.
    """
    if type(before) is dict and type(after) is dict:
        found: list[Difference] = []
        for name in dict.fromkeys([*before, *after]):
            path = f"{key}.{name}" if key else str(name)
            found += differences(before.get(name), after.get(name), path)
        return found
    if _is_named(before) and _is_named(after):
        return differences(_index_by_name(before), _index_by_name(after), key)
    return (
        []
        if _normalise(before) == _normalise(after)
        else [Difference(key, before, after)]
    )


def _is_named(value: Any) -> bool:
    return type(value) in (list, tuple) and all(
        type(item) is dict and "name" in item for item in value
    )


def _index_by_name(items: Any) -> dict[str, Any]:
    return {item["name"]: item for item in items}


def _normalise(value: Any) -> Any:
    return list(value) if type(value) is tuple else value
