"""Reads and validates the YAML settings of both roles."""

from collections.abc import Hashable
from pathlib import Path
from typing import Any

import attrs
import cattrs
import yaml
from cattrs.errors import (
    AttributeValidationNote,
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
    IterableValidationNote,
)

from crocuswell_core.agent.agent_state import AgentConfig
from crocuswell_core.cluster.commands import EntryHost
from crocuswell_core.entry.entry_state import EntryConfig
from crocuswell_daemon.host_checks import check_host
from crocuswell_daemon.roles import (
    AgentSettings,
    EntrySettings,
    Listen,
    timing_keys,
)
from crocuswell_daemon.setting_rules import Mismatch, check_rules

Settings = EntrySettings | AgentSettings
ROLES: dict[str, tuple[type, tuple[str, ...]]] = {
    "entry": (EntrySettings, timing_keys(EntryConfig)),
    "agent": (AgentSettings, timing_keys(AgentConfig)),
}
TYPE_DESCRIPTIONS = {str: "text", int: "a whole number", bool: "true or false"}


class SettingsError(Exception):
    """Invalid settings; one line with file, key, found and expected value."""


def load_settings(path: Path) -> Settings:
    """Read a settings file and validate it, also against this machine.

    Raises
    ------
    SettingsError
        If the file is unreadable or a setting is invalid.
    """
    try:
        settings = parse_settings(path.read_text(encoding="utf-8"))
        check_host(settings)
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or "bytes that are not UTF-8"
        raise _to_settings_error(
            path, Mismatch("file", reason, "a readable file")
        ) from exc
    except Mismatch as exc:
        raise _to_settings_error(path, exc) from exc
    return settings


def parse_settings(text: str) -> Settings:
    """Parse settings and validate what does not depend on this machine.

    Raises
    ------
    Mismatch
        For the first invalid key.
    """
    settings = _convert(_parse_yaml(text))
    check_rules(settings)
    return settings


def _to_settings_error(path: Path, exc: Mismatch) -> SettingsError:
    return SettingsError(" ".join(f"{path}: {exc}".split()))


# --- YAML ----------------------------------------------------------------


class _Loader(yaml.SafeLoader):
    """Rejects duplicate keys, of which PyYAML would keep only the last."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        seen = set()
        for key_node, _ in node.value:
            key = key_node.value
            if isinstance(key, str) and key in seen:
                raise Mismatch(key, "the key twice", "it once")
            seen.add(key if isinstance(key, str) else None)
        return super().construct_mapping(node, deep)


def _parse_yaml(text: str) -> dict[str, Any]:
    try:
        raw = yaml.load(text, Loader=_Loader)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark else "file"
        problem = getattr(exc, "problem", None) or "characters that YAML forbids"
        raise Mismatch(place, problem.removeprefix("found "), "YAML") from exc
    except (RecursionError, ValueError) as exc:
        raise Mismatch("file", "a value that can't be read", "YAML") from exc
    if not isinstance(raw, dict):
        raise Mismatch("file", format_value(raw), "a mapping of keys")
    return raw


# --- structure -----------------------------------------------------------


def format_value(value: Any) -> str:
    """Return the value as it is shown in an error message."""
    text = "nothing" if value is None else repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _check_scalar(value: Any, cls: type) -> Any:
    if type(value) is not cls:
        raise _WrongTypeError(value, TYPE_DESCRIPTIONS[cls])
    return value


class _WrongTypeError(Exception):
    def __init__(self, value: Any, expected: str) -> None:
        super().__init__(expected)
        self.value = value
        self.expected = expected


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for cls in TYPE_DESCRIPTIONS:
        converter.register_structure_hook(cls, _check_scalar)
    for hint in (str | None, int | None):
        converter.register_structure_hook(hint, _check_optional)
    # The hook of a class uses the hooks of its fields that exist when it is
    # created, so these are registered first.
    _require_list(converter, tuple[EntryHost, ...], EntryHost)
    _require_list(converter, tuple[str, ...], str)
    for settings_class in (EntryHost, Listen, EntrySettings, AgentSettings):
        _require_mapping(converter, settings_class)
    return converter


def _check_optional(value: Any, hint: Any) -> Any:
    cls = next(cls for cls in hint.__args__ if cls in TYPE_DESCRIPTIONS)
    if value is not None and type(value) is not cls:
        raise _WrongTypeError(value, f"{TYPE_DESCRIPTIONS[cls]} or null")
    return value


def _require_mapping(converter: cattrs.Converter, cls: type) -> None:
    structure: Any = cattrs.gen.make_dict_structure_fn(
        cls, converter, _cattrs_forbid_extra_keys=True
    )

    def check(value: Any, _: type) -> Any:
        if type(value) is not dict:
            raise _WrongTypeError(value, "a mapping of keys")
        return structure(value, cls)

    converter.register_structure_hook(cls, check)


def _require_list(converter: cattrs.Converter, hint: Any, item: type) -> None:
    def check(value: Any, _: Any) -> Any:
        if type(value) is not list:
            raise _WrongTypeError(value, "a list")
        items: Any = list[item]  # type: ignore[valid-type]
        return tuple(converter.structure(value, items))

    converter.register_structure_hook_func(lambda found: found == hint, check)


def _convert(raw: dict[str, Any]) -> Settings:
    role = raw.get("role")
    if not isinstance(role, str) or role not in ROLES:
        raise Mismatch("role", format_value(role), "entry or agent")
    cls, keys = ROLES[role]
    if "timing" in raw:
        raise _unknown_key("timing", cls, keys)
    if "data_folder" not in raw and cls is EntrySettings:
        raise Mismatch("data_folder", "nothing", "a folder or null")
    timing = {key: raw[key] for key in keys if key in raw}
    other_keys = {key: value for key, value in raw.items() if key not in timing}
    try:
        return _CONVERTER.structure({**other_keys, "timing": timing}, cls)
    except (ClassValidationError, IterableValidationError) as exc:
        raise _first_mismatch(exc, "", (cls, keys)) from exc


def _first_mismatch(
    exc: BaseException, path: str, role: tuple[type, tuple[str, ...]]
) -> Mismatch:
    """Return the first invalid key in the converter's tree of errors."""
    for note in getattr(exc, "__notes__", ()):
        if isinstance(note, AttributeValidationNote):
            path = _join_path(path, note.name)
        elif isinstance(note, IterableValidationNote):
            path = _join_path(path, str(note.index))
    if isinstance(exc, (ClassValidationError, IterableValidationError)):
        return _first_mismatch(exc.exceptions[0], path, role)
    if isinstance(exc, _WrongTypeError):
        return Mismatch(path, format_value(exc.value), exc.expected)
    if isinstance(exc, ForbiddenExtraKeysError):
        key = min(map(str, exc.extra_fields))
        cls, keys = role if exc.cl is role[0] else (exc.cl, ())
        return _unknown_key(_join_path(path, key), cls, keys)
    return Mismatch(path, "nothing", "a value")


def _join_path(path: str, key: str) -> str:
    if path in ("", "timing"):
        return key
    return f"{path}.{key}"


def _unknown_key(path: str, cls: type, keys: tuple[str, ...]) -> Mismatch:
    known = [f.name for f in attrs.fields(cls) if f.name != "timing"]
    return Mismatch(path, "an unknown key", f"one of {', '.join((*known, *keys))}")


_CONVERTER = _make_converter()
