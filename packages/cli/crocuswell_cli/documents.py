"""Reads YAML declarations and records the line of every key."""

from functools import singledispatch
from pathlib import Path
from typing import Any

import attrs
import yaml

KeyPath = tuple[str | int, ...]


@attrs.frozen
class Finding:
    """One error in a declaration.

    Attributes
    ----------
    line : int
        Line in the file, counted from 1; 0 if the file has no such line.
    key : str
        Path of the key, such as `workspaces[0].quota`.
    """

    file: str
    line: int
    key: str
    problem: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key}: {self.problem}"


class DeclarationError(Exception):
    """Invalid declarations, with all findings."""

    def __init__(self, findings: tuple[Finding, ...]):
        super().__init__("\n".join(map(str, findings)))
        self.findings = findings


@attrs.define
class Documents:
    """The merged top-level keys of a folder and the position of each key.

    Attributes
    ----------
    values : dict
        Decoded values by top-level key.
    lines : dict
        File and line by path of keys.
    """

    values: dict[str, Any] = attrs.Factory(dict)
    lines: dict[KeyPath, tuple[str, int]] = attrs.Factory(dict)

    def finding(self, path: KeyPath, problem: str) -> Finding:
        """Return a finding at a path, or at its nearest parent with a line."""
        nearest = path
        while nearest and nearest not in self.lines:
            nearest = nearest[:-1]
        file, line = self.lines.get(nearest, ("declarations", 0))
        return Finding(file, line, format_path(path), problem)


def format_path(path: KeyPath) -> str:
    """Return a path of keys as text."""
    text = ""
    for part in path:
        text += f"[{part}]" if type(part) is int else f".{part}"
    return text.lstrip(".") or "(file)"


def read_folder(folder: Path) -> Documents:
    """Read and merge all `*.yaml` files of a folder, or read one file.

    Raises
    ------
    DeclarationError
        If there is no file, a file cannot be read or is not a YAML mapping,
        or two files declare the same top-level key.
    """
    documents = Documents()
    paths = sorted(folder.glob("*.yaml")) if folder.is_dir() else [folder]
    if not folder.exists():
        paths = []
    if not paths:
        finding = Finding(str(folder), 0, "(folder)", "holds no *.yaml file")
        raise DeclarationError((finding,))
    for path in paths:
        _read_file(path, documents)
    return documents


def _read_file(path: Path, documents: Documents) -> None:
    try:
        text = path.read_text(encoding="utf-8")
        node = yaml.compose(text, yaml.SafeLoader)
        value = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        problem = getattr(exc, "problem", None) or "is not YAML"
        raise DeclarationError(
            (Finding(path.name, line, "(file)", str(problem)),)
        ) from exc
    except (OSError, UnicodeDecodeError) as exc:
        raise DeclarationError(
            (Finding(path.name, 0, "(file)", f"cannot be read: {exc}"),)
        ) from exc
    if node is None:
        return
    if type(value) is not dict:
        finding = Finding(path.name, 1, "(file)", "must be a mapping of keys")
        raise DeclarationError((finding,))
    for key in value:
        if key in documents.values:
            other = documents.lines[key,][0]
            finding = Finding(path.name, 1, str(key), f"is declared in {other} too")
            raise DeclarationError((finding,))
    documents.values |= value
    _record_lines(node, (), path.name, documents)


def _record_lines(
    node: yaml.Node, path: KeyPath, file: str, documents: Documents
) -> None:
    documents.lines.setdefault(path, (file, node.start_mark.line + 1))
    for child in _children(node):
        child_path = (*path, child.part)
        documents.lines[child_path] = (file, child.line)
        _record_lines(child.node, child_path, file, documents)


@attrs.frozen
class _ChildNode:
    part: str | int
    line: int
    node: yaml.Node


@singledispatch
def _children(node: yaml.Node) -> list[_ChildNode]:
    return []


@_children.register
def _(node: yaml.MappingNode) -> list[_ChildNode]:
    return [
        _ChildNode(str(key.value), key.start_mark.line + 1, value)
        for key, value in node.value
    ]


@_children.register
def _(node: yaml.SequenceNode) -> list[_ChildNode]:
    return [
        _ChildNode(index, item.start_mark.line + 1, item)
        for index, item in enumerate(node.value)
    ]
