"""From an id to the cause of a failure, by logs alone."""

import json

import pytest
from typer.testing import CliRunner

from crocuswell_cli.main import app
from crocuswell_cli.trace import build_trace, parse_line, render_trace
from crocuswell_core.cluster.commands import LogEntry, Proposal
from crocuswell_core.jobs.job_commands import LoseWorker, PutCatalog, RecordEnds
from crocuswell_core.jobs.job_records import EndKind
from crocuswell_core.runtime.effects import LogChange
from tests.job_world import Table, catalog, end_of, run_of, step


def line(time: float, event: str, process: str = "control:a", **fields: str) -> str:
    return json.dumps({"time": time, "event": event, "process": process, **fields})


def logged(table: Table, *commands: object) -> list[str]:
    """Return the log lines that applying commands leads to."""
    from crocuswell_core.agreement.committed import apply_entry  # noqa: PLC0415

    lines = []
    for index, command in enumerate(commands, start=100):
        entry = LogEntry(1, index, 1_000 + index, Proposal("", "", command))
        for effect in apply_entry(table.cluster, entry).effects:
            if isinstance(effect, LogChange):
                fields = {label.name: label.value for label in effect.ids}
                lines.append(line(float(index), effect.change, **fields))
    return lines


def settled(lines: list[str], wanted: str) -> dict[str, str]:
    (found,) = [entry for entry in build_trace(lines, wanted) if entry.settles]
    return {"event": found.event, **found.fields}


def test_trace_names_the_cause_of_a_job_that_failed() -> None:
    """Guards against a failed job whose failures cannot be found."""
    table = Table()
    table.submit("j", step())
    for number in range(1, 4):
        run = run_of("j", number=number)
        table.start(run)
        commands = [
            RecordEnds("m1/w1@5", (end_of(run, EndKind.FAILED, number),), number)
        ]
        lines = logged(table, *commands)
    found = settled(lines, "j")
    assert (found["event"], found["phase"], found["failures"]) == (
        "job_ended",
        "failed",
        "3",
    )


def test_trace_names_the_worker_whose_work_was_lost() -> None:
    """Guards against work that is done twice for no visible reason."""
    table = Table()
    table.submit("j", step())
    table.start(run_of("j"))
    lines = logged(table, LoseWorker("m1/w1@5"))
    events = [
        (entry.event, entry.fields.get("kind")) for entry in build_trace(lines, "j")
    ]
    assert events == [("run_ended", "lost")]
    assert settled(lines, "w1")["event"] == "worker_lost"


def test_trace_names_the_reason_of_a_call_given_up_at_the_front() -> None:
    """Guards against a refusal at the front that no host can explain."""
    lines = [
        line(1.0, "leader_lost", "front:f", reason="silence"),
        line(3.4, "call_given_up", "front:f", job="j", reason="no leader is in reach"),
    ]
    assert settled(lines, "j")["reason"] == "no leader is in reach"


def test_trace_names_the_reason_of_a_refused_catalog() -> None:
    """Guards against an operator who does not see why a change is missing."""
    table = Table()
    table.apply(PutCatalog(catalog(7)))
    lines = logged(table, PutCatalog(catalog(7, document="other")))
    assert "other content" in settled(lines, "7")["reason"]


def test_lines_are_ordered_by_their_place_in_the_log() -> None:
    """Guards against an effect before its cause where clocks differ."""
    lines = [
        line(
            9.0, "job_accepted", "control:ahead", job="j", log_term="1", log_index="5"
        ),
        line(4.0, "run_placed", "control:behind", job="j", log_term="2", log_index="8"),
        line(4.5, "run_ended", "control:behind", job="j", log_term="2", log_index="9"),
    ]
    events = [entry.event for entry in build_trace(reversed(lines), "j")]
    assert events == ["job_accepted", "run_placed", "run_ended"]


@pytest.mark.parametrize(
    ("text", "event"),
    [
        ('  45.1 frontend-a-1/control {"event": "x"}', "x"),
        ('{"event": "x"}', "x"),
        ("Traceback (most recent call last):", None),
        ('{"no": "event"}', None),
        ("{broken", None),
    ],
)
def test_lines_with_a_prefix_or_without_an_object(text, event) -> None:
    """Guards against a log that one foreign line makes unreadable."""
    found = parse_line(text)
    assert (found or {}).get("event") == event


def test_command_reads_files_and_standard_input(tmp_path) -> None:
    """Guards against logs that can only be read on their host."""
    text = line(1.0, "job_ended", job="j", phase="failed")
    path = tmp_path / "a.log"
    path.write_text(text)
    for args, data in ((["trace", "j", str(path)], None), (["trace", "j"], text)):
        done = CliRunner().invoke(app, args, input=data)
        assert done.exit_code == 0
        assert "> " in done.output
        assert "phase=failed" in done.output
    done = CliRunner().invoke(app, ["--output", "json", "trace", "j", str(path)])
    assert json.loads(done.output)[0]["event"] == "job_ended"
    assert CliRunner().invoke(app, ["trace", "other", str(path)]).exit_code == 1
    assert render_trace([]) == "no line names this id"
