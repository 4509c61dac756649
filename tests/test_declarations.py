"""Tests of declarations: parsing, checks, differences and JSON Schema."""

import json
from pathlib import Path

import pytest

from crocuswell_cli import declarations
from crocuswell_cli.documents import DeclarationError

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
VALID_DECLARATIONS = """\
workspaces:
  - name: quotes
    guarantees:
      - members: 2
        per_member: {accelerators: 8}
        adjacency: rack
presets:
  - name: ordinary
active_preset: ordinary
fleet:
  - {rack: r1, failure_domain: fd-1, workers: 2, accelerators: 8}
"""


def load_declarations(tmp_path: Path, text: str) -> declarations.Declarations:
    (tmp_path / "all.yaml").write_text(text, encoding="utf-8")
    return declarations.load(tmp_path)


@pytest.mark.parametrize("deployment", ["bracketworks", "skupni-tisk"])
def test_examples_are_valid(deployment: str) -> None:
    declared = declarations.load(EXAMPLES / deployment / "declarations")
    assert sum(rack.workers for rack in declared.fleet) == 10


@pytest.mark.parametrize(
    ("found", "replaced", "expected"),
    [
        ("name: quotes", "nam: quotes", "all.yaml:2: workspaces[0].nam: unknown key"),
        ("name: quotes", "weight: 2", "all.yaml:2: workspaces[0]: key 'name'"),
        ("members: 2", "members: two", "all.yaml:4: workspaces[0].guarantees[0]"),
        ("adjacency: rack", "adjacency: row", "expected one of none, worker, rack"),
        ("presets:", "presets: 3\nlimits:", "all.yaml:7: presets: found 3"),
        ("active_preset: ordinary", "active_preset: peak", "all.yaml:9: active_preset"),
        ("workers: 2", "workers: 1", "all.yaml:4: workspaces[0].guarantees[0]: the"),
        ("- name: ordinary", "- {name: ordinary, reserve_share: 0.5}", "kept idle"),
        ("- name: ordinary", "- {name: ordinary, placement: false}", "no guarantee"),
        (
            "fleet:",
            "objectives:\n  - {workspace: x, job_class: a, completion_ms: 1}\nfleet:",
            "all.yaml:11: objectives[0].workspace: workspace 'x'",
        ),
        ("members: 2", "members: [", "all.yaml:"),
    ],
)
def test_finding_names_file_line_and_key(
    tmp_path: Path, found: str, replaced: str, expected: str
) -> None:
    """Guards against declarations that are accepted and cannot work."""
    load_declarations(tmp_path, VALID_DECLARATIONS)
    with pytest.raises(DeclarationError) as info:
        load_declarations(tmp_path, VALID_DECLARATIONS.replace(found, replaced))
    assert expected in str(info.value)


def test_key_in_two_files_is_refused(tmp_path: Path) -> None:
    """Guards against a file that silently overrides keys of another one."""
    (tmp_path / "more.yaml").write_text("active_preset: ordinary\n", encoding="utf-8")
    with pytest.raises(DeclarationError, match=r"declared in all\.yaml too"):
        load_declarations(tmp_path, VALID_DECLARATIONS)


def test_differences_compare_named_entries_by_name() -> None:
    before = {"workspaces": [{"name": "a", "weight": 1}, {"name": "b", "weight": 1}]}
    after = {"workspaces": [{"name": "b", "weight": 2}, {"name": "a", "weight": 1}]}
    assert declarations.differences(before, after) == [
        declarations.Difference("workspaces.b.weight", 1, 2)
    ]


def test_published_schema_matches_the_classes() -> None:
    published = json.loads(
        (EXAMPLES.parent / "docs" / "declarations.schema.json").read_text("utf-8")
    )
    assert published == declarations.json_schema()
