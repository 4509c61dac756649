"""The check of a configuration or catalog before it is sent."""

import json
from pathlib import Path

import pytest
from hypothesis import event, given, settings, strategies as st
from result import Ok
from typer.testing import CliRunner

from crocuswell_cli import check as checking
from crocuswell_cli.declarations import to_document
from crocuswell_cli.main import app, main
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    ChangeAccepted,
    ChangeConfiguration,
    LogEntry,
    Proposal,
)
from crocuswell_core.cluster.configuration import (
    Configuration,
    Limits,
    Objective,
    Preset,
    Workspace,
)
from crocuswell_core.cluster.resources import Resources, Shape
from crocuswell_core.consensus.log_application import apply_entry
from crocuswell_core.jobs.catalog import (
    Catalog,
    CatalogWorkspace,
    Queue,
    Service,
    find_catalog_problem,
)
from crocuswell_daemon.http_bodies import parse_configuration
from tests.test_declarations import EXAMPLES, VALID_DECLARATIONS

CATALOG = """\
version: 3
services:
  - name: press
queues:
  - {name: urgent, host: q, prefix: /urgent/, service: press, timeout_ms: 9000}
  - {name: batch, host: q, prefix: /batch/, service: press, timeout_ms: 9000}
workspaces:
  - {workspace: tisk, keys: [k], guaranteed_accelerators: 8}
fleet:
  - {rack: r1, failure_domain: fd-1, workers: 1, accelerators: 8}
  - {rack: r2, failure_domain: fd-2, workers: 1, accelerators: 8}
"""
TWO_DOMAINS = VALID_DECLARATIONS + (
    "  - {rack: r2, failure_domain: fd-2, workers: 2, accelerators: 8}\n"
)

names = st.sampled_from(["a", "b", "c", "d", "e", ""])
mostly_valid = st.sampled_from([1, 2, 3, 4, 5, 0, -1])
counts = st.sampled_from([1, 2, 3, 9, 0, -1])
shapes = st.builds(Shape, st.integers(1, 2), st.builds(Resources, st.integers(0, 8)))
configurations = st.builds(
    Configuration,
    st.lists(
        st.builds(
            Workspace,
            names,
            st.lists(shapes, max_size=2).map(tuple),
            st.none() | st.builds(Resources, st.integers(0, 16)),
            counts,
            counts,
        ),
        max_size=3,
    ).map(tuple),
    st.lists(
        st.builds(Preset, names, reserve_share=st.sampled_from([0.0, 0.5, 1.5])),
        max_size=2,
    ).map(tuple),
    names,
    st.builds(Limits, counts),
    st.lists(st.builds(Objective, names, names, counts), max_size=2).map(tuple),
) | st.builds(
    Configuration,
    st.lists(
        st.builds(Workspace, st.sampled_from(["a", "b"]), weight=mostly_valid),
        max_size=1,
    ).map(tuple),
    st.builds(
        Preset, st.just("ordinary"), reserve_share=st.sampled_from([0.0, 0.5, 1.5])
    ).map(lambda preset: (preset,)),
    limits=st.builds(Limits, mostly_valid, mostly_valid),
)
catalogs = st.builds(
    Catalog,
    st.integers(0, 5),
    st.lists(
        st.builds(
            Queue,
            names,
            st.just("q"),
            st.sampled_from(["", "/", "/a/", "/b/"]),
            names,
            stretch=st.sampled_from([-1.0, 1.5, 2e6]),
            timeout_ms=counts,
        ),
        max_size=3,
    ).map(tuple),
    st.lists(st.builds(Service, names), max_size=3).map(tuple),
    st.lists(
        st.builds(CatalogWorkspace, names, st.lists(names, max_size=2).map(tuple)),
        max_size=2,
    ).map(tuple),
)


def check_text(folder: Path, text: str, before: str = "") -> checking.Report:
    path = folder / "checked.yaml"
    path.write_text(text, encoding="utf-8")
    if not before:
        return checking.check(path)
    earlier = folder / "before.yaml"
    earlier.write_text(before, encoding="utf-8")
    return checking.check(path, checking.load(earlier))


def is_accepted(document: dict[str, object]) -> bool:
    """Send a document as an operator would and tell whether it is accepted."""
    parsed = parse_configuration(json.dumps(document).encode())
    if not isinstance(parsed, Ok):
        return False
    command = ChangeConfiguration(0, parsed.ok_value, "operator")
    entry = LogEntry(1, 1, 1, Proposal("", "", command))
    return isinstance(apply_entry(ClusterState(), entry).reply, ChangeAccepted)


@given(configurations)
@settings(max_examples=150, deadline=None)
def test_what_passes_is_accepted_and_what_is_refused_was_reported(
    tmp_path_factory: pytest.TempPathFactory, configuration: Configuration
) -> None:
    """Guards against a check that differs from what hosts accept."""
    document = to_document(configuration)
    folder = tmp_path_factory.mktemp("check")
    report = check_text(folder, json.dumps(document))
    accepted = is_accepted(document)
    event(f"accepted: {accepted}, errors: {bool(report.errors)}")
    assert accepted or report.errors


@given(catalogs)
@settings(max_examples=150, deadline=None)
def test_catalog_has_errors_if_and_only_if_it_would_be_refused(
    tmp_path_factory: pytest.TempPathFactory, catalog: Catalog
) -> None:
    """Guards against a catalog that passes and is refused."""
    folder = tmp_path_factory.mktemp("check")
    report = check_text(folder, json.dumps(to_document(catalog)))
    assert bool(report.errors) == bool(find_catalog_problem(catalog))


@pytest.mark.parametrize(
    ("text", "found", "replaced", "expected"),
    [
        (TWO_DOMAINS, "x", "x", ""),
        (
            TWO_DOMAINS,
            "r2, failure_domain: fd-2, workers: 2",
            "r2, failure_domain: fd-2, workers: 1",
            "checked.yaml:4: workspaces[0].guarantees[0]: the fleet without fd-1 "
            "cannot hold 2 x 8",
        ),
        (
            TWO_DOMAINS,
            "fleet:",
            "limits: {result_retention_ms: 5}\nobjectives:\n"
            "  - {workspace: quotes, job_class: a, completion_ms: 9}\nfleet:",
            "checked.yaml:12: objectives[0].completion_ms: is longer than results",
        ),
        (
            TWO_DOMAINS,
            "presets:",
            "  - {name: guest}\npresets:",
            "",
        ),
        (
            TWO_DOMAINS,
            "presets:\n  - name: ordinary",
            "  - {name: guest}\npresets:\n  - {name: ordinary, borrowing: false}",
            "workspaces[1]: has no guarantee and preset ordinary lends nothing",
        ),
        (CATALOG, "x", "x", ""),
        (CATALOG, "prefix: /batch/", "prefix: batch/", "no path matches it"),
        (CATALOG, "prefix: /batch/", "prefix: /urgent/0",
         "checked.yaml:5: queues[0].prefix: is hidden by queue batch"),
        (CATALOG, "press, timeout_ms: 9000}\nwork", "press, timeout_ms: 9,"
         " latency_allowance_ms: 10}\nwork", "checked.yaml:6: queues[1].timeout_ms"),
        (CATALOG, "accelerators: 8}\nfleet", "accelerators: 9}\nfleet",
         "9 accelerators are guaranteed, the fleet without fd-1 has 8"),
        (CATALOG, "keys: [k]", "keys: []", "needs a key and no workspace has one"),
        (CATALOG, "- name: press", "- {name: press}\n  - {name: spare}",
         "checked.yaml:4: services[1]: is named by no queue"),
    ],
)  # fmt: skip
def test_entry_without_effect_is_named_with_its_line(
    tmp_path: Path, text: str, found: str, replaced: str, expected: str
) -> None:
    """Guards against declarations that are accepted and do nothing."""
    report = check_text(tmp_path, text.replace(found, replaced))
    assert not report.errors
    assert expected in checking.to_text(report)
    assert report.exit_code == (1 if expected else 0)


def test_change_names_whom_it_displaces(tmp_path: Path) -> None:
    """Guards against a change that takes a guarantee away unnoticed."""
    after = CATALOG.replace("accelerators: 8}\nfleet", "accelerators: 4}\nfleet")
    report = check_text(tmp_path, after.replace("version: 3", "version: 4"), CATALOG)
    assert [each.who for each in report.displaced] == ["tisk"]
    assert {d.key for d in report.differences} == {"version", "workspaces"}
    fewer = TWO_DOMAINS.replace("members: 2", "members: 1")
    report = check_text(tmp_path, fewer, TWO_DOMAINS)
    assert report.displaced[0].what == "8 instead of 16 guaranteed accelerators"


@pytest.mark.parametrize(
    ("text", "code"),
    [(TWO_DOMAINS, 0), (CATALOG.replace("/batch/", "batch/"), 1), ("queues: 3\n", 2)],
)
def test_process_ends_with_the_exit_code(
    tmp_path: Path, text: str, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against exit codes that are lost between command and process."""
    path = tmp_path / "checked.yaml"
    path.write_text(text, encoding="utf-8")
    monkeypatch.setattr("sys.argv", ["crocuswell", "check", str(path)])
    with pytest.raises(SystemExit) as info:
        main()
    assert (info.value.code or 0) == code


def test_command_exits_with_the_code_and_prints_json(tmp_path: Path) -> None:
    """Guards against a script that takes a refused file for a sound one."""
    runner = CliRunner()
    folder = EXAMPLES / "bracketworks" / "declarations"
    sound = tmp_path / "sound.yaml"
    sound.write_text(TWO_DOMAINS, encoding="utf-8")
    assert runner.invoke(app, ["check", str(sound)]).exit_code == 0
    same = runner.invoke(
        app, ["--output", "json", "check", str(sound), "--against", str(sound)]
    )
    assert json.loads(same.stdout)["differences"] == []
    broken = tmp_path / "broken.yaml"
    broken.write_text("workspaces: 3\n", encoding="utf-8")
    invalid = runner.invoke(app, ["--output", "json", "check", str(broken)])
    assert (invalid.exit_code, len(json.loads(invalid.stdout)["errors"])) == (2, 1)
    assert runner.invoke(app, ["check", str(folder)]).exit_code in (0, 1)
    unreachable = ["check", str(sound), "--against", "127.0.0.1:1"]
    assert runner.invoke(app, unreachable).exit_code == 2
