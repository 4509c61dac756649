"""Parse JSON request bodies into the core's classes, without side effects.

Unknown keys are rejected and values are never coerced: a string is not
accepted as a number, nor 1 as true. Each error names the key, the value found
and the value expected.
"""

import base64
import binascii
import enum
import json
from collections.abc import Callable
from typing import Any, TypeVar, get_args, get_origin

import attrs
import cattrs
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)
from cattrs.gen import make_dict_structure_fn
from result import Err, Ok, Result

from crocuswell_core.cluster.configuration import Configuration
from crocuswell_core.cluster.records import JobSpec, WorkerMode
from crocuswell_core.cluster.value_limits import (
    LIST_LIMIT,
    check_float,
    check_int,
    check_length,
    check_text,
    find_out_of_bounds,
)
from crocuswell_daemon.problems import Problem, invalid

MAX_SHOWN_CHARACTERS = 60

T = TypeVar("T")


@attrs.frozen
class CancelBody:
    """Body of a cancellation; exactly one of the fields must be set."""

    request_ids: tuple[str, ...] = ()
    job_class: str = ""


@attrs.frozen
class PresetBody:
    """Body of a request to switch to another preset."""

    preset: str


class OperatorMode(enum.Enum):
    """Worker modes that an operator may set."""

    ACTIVE = WorkerMode.ACTIVE.value
    DRAINING = WorkerMode.DRAINING.value
    QUARANTINED = WorkerMode.QUARANTINED.value


@attrs.frozen
class ModeBody:
    """Body of a request to set a worker's mode."""

    mode: OperatorMode


class _MismatchError(ValueError):
    """Raised for an invalid value; `path` is relative to the current class."""

    def __init__(self, found: object, expected: str, path: str = "") -> None:
        super().__init__(found, expected, path)
        self.found = found
        self.expected = expected
        self.path = path


def parse_job(body: bytes) -> Result[JobSpec, Problem]:
    """Parse a job specification; `shape` is required."""
    return _parse(body, JobSpec, required="shape")


def parse_configuration(body: bytes) -> Result[Configuration, Problem]:
    """Parse a complete configuration."""
    return _parse(body, Configuration, required="workspaces")


def parse_preset(body: bytes) -> Result[PresetBody, Problem]:
    """Parse a request to switch to another preset."""
    return _parse(body, PresetBody)


def parse_mode(body: bytes) -> Result[WorkerMode, Problem]:
    """Parse a request to set a worker's mode."""
    return _parse(body, ModeBody).map(lambda parsed: WorkerMode(parsed.mode.value))


def parse_cancel(body: bytes) -> Result[CancelBody, Problem]:
    """Parse a request to cancel requests."""
    return _parse(body, CancelBody).and_then(_check_cancel)


def _check_cancel(body: CancelBody) -> Result[CancelBody, Problem]:
    if bool(body.request_ids) == bool(body.job_class):
        return Err(invalid("body: expected either request_ids or job_class"))
    return Ok(body)


def _parse(body: bytes, cls: type[T], required: str = "") -> Result[T, Problem]:
    try:
        document = json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as exc:
        return Err(invalid(f"body: found no valid JSON ({exc}), expected an object"))
    if isinstance(document, dict) and required and required not in document:
        return Err(invalid(f"{required}: found nothing, expected a value"))
    try:
        return Ok(_CONVERTER.structure(document, cls))
    except (cattrs.BaseValidationError, ValueError, RecursionError) as exc:
        return Err(invalid(_describe_first_error(exc, "")))


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) != len(pairs):
        raise ValueError("a key occurs twice in one object")
    return document


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def _describe_first_error(exc: Exception, path: str) -> str:
    if isinstance(exc, IterableValidationError):
        return _describe_first_nested_error(exc, path, lambda note: f"[{note.index}]")
    if isinstance(exc, ClassValidationError):
        return _describe_first_nested_error(exc, path, lambda note: f".{note.name}")
    if isinstance(exc, _MismatchError):
        location = (path + exc.path).lstrip(".") or "body"
        return f"{location}: found {_format_value(exc.found)}, expected {exc.expected}"
    location = path.lstrip(".") or "body"
    if isinstance(exc, ForbiddenExtraKeysError):
        names = ", ".join(sorted(field.name for field in attrs.fields(exc.cl)))
        unknown = ", ".join(_format_value(key) for key in sorted(exc.extra_fields))
        return f"{location}: found unknown key {unknown}, expected keys among {names}"
    if isinstance(exc, KeyError):
        return f"{location}: found nothing, expected a value"
    return f"{location}: found a value that is not valid ({exc})"


def _describe_first_nested_error(
    exc: Any, path: str, format_step: Callable[[Any], str]
) -> str:
    noted, others = exc.group_exceptions()
    if noted:
        inner, note = noted[0]
        return _describe_first_error(inner, path + format_step(note))
    return _describe_first_error(others[0], path)


def _format_value(value: object) -> str:
    try:
        text = json.dumps(value)
    except (TypeError, ValueError, RecursionError):
        text = type(value).__name__
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[:MAX_SHOWN_CHARACTERS] + "..."


def _require(value: Any, expected: str) -> None:
    if expected:
        raise _MismatchError(value, expected)


def _structure_int(value: Any, _: Any) -> int:
    _require(value, check_int(value))
    return int(value)


def _structure_float(value: Any, _: Any) -> float:
    _require(value, check_float(value))
    return float(value)


def _structure_bool(value: Any, _: Any) -> bool:
    if type(value) is not bool:
        raise _MismatchError(value, "true or false")
    return value


def _structure_str(value: Any, _: Any) -> str:
    _require(value, check_text(value))
    return str(value)


def _structure_bytes(value: Any, _: Any) -> bytes:
    if type(value) is not str:
        raise _MismatchError(value, "text in base64")
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        raise _MismatchError(value, "text in base64") from None


def _structure_enum(value: Any, cls: type[enum.Enum]) -> enum.Enum:
    names = [member.value for member in cls]
    if type(value) is not str or value not in names:
        raise _MismatchError(value, "one of " + ", ".join(names))
    return cls(value)


def _is_tuple(cls: Any) -> bool:
    return get_origin(cls) is tuple


def _structure_tuple(value: Any, cls: Any) -> tuple[Any, ...]:
    if type(value) is not list or check_length(value):
        raise _MismatchError(value, f"a list of at most {LIST_LIMIT} values")
    element = get_args(cls)[0]
    return tuple(_CONVERTER.structure(value, list[element]))  # type: ignore[valid-type]


def _make_class_hook(cls: type) -> Callable[[Any, Any], Any]:
    structure: Callable[..., Any] = make_dict_structure_fn(
        cls,
        _CONVERTER,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
    )

    def hook(value: Any, _: Any) -> Any:
        if type(value) is not dict:
            raise _MismatchError(value, "an object")
        record = structure(value, cls)
        wrong = find_out_of_bounds(record)
        if wrong is not None:
            raise _MismatchError(wrong.found, wrong.expected, f".{wrong.field}")
        return record

    return hook


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True, forbid_extra_keys=True)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(bytes, _structure_bytes)
    converter.register_structure_hook_func(_is_enum, _structure_enum)
    converter.register_structure_hook_func(_is_tuple, _structure_tuple)
    converter.register_structure_hook_factory(attrs.has, _make_class_hook)
    return converter


def _is_enum(cls: Any) -> bool:
    return isinstance(cls, type) and issubclass(cls, enum.Enum)


_CONVERTER = _make_converter()
