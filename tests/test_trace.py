"""Tests of tracing an id to the cause of a failure from logs alone."""

import json

import pytest
from typer.testing import CliRunner

from crocuswell_cli.main import app
from crocuswell_cli.trace import build_trace, parse_line, render_trace
from crocuswell_core.cluster.commands import LogEntry, Proposal
from crocuswell_core.jobs.job_commands import MarkWorkerLost, PutCatalog, RecordRunEnds
from crocuswell_core.jobs.job_records import RunEndKind
from crocuswell_core.runtime.effects import EmitLogEvent
from tests.job_harness import ReplicatedTable, catalog, end_of, run_of, step


def line(time: float, event: str, process: str = "control:a", **fields: str) -> str:
    return json.dumps({"time": time, "event": event, "process": process, **fields})


def log_lines_of(table: ReplicatedTable, *commands: object) -> list[str]:
    """Return the log lines written when the commands are applied."""
    from crocuswell_core.consensus.log_application import apply_entry  # noqa: PLC0415

    lines = []
    for index, command in enumerate(commands, start=100):
        entry = LogEntry(1, index, 1_000 + index, Proposal("", "", command))
        for effect in apply_entry(table.cluster, entry).effects:
            if isinstance(effect, EmitLogEvent):
                fields = {label.name: label.value for label in effect.ids}
                lines.append(line(float(index), effect.event, **fields))
    return lines


def find_settling_line(lines: list[str], wanted_id: str) -> dict[str, str]:
    (found,) = [entry for entry in build_trace(lines, wanted_id) if entry.settles]
    return {"event": found.event, **found.fields}


def test_trace_names_the_cause_of_a_job_that_failed() -> None:
    """Guards against a failed job whose cause is not in the trace."""
    table = ReplicatedTable()
    table.submit("j", step())
    for number in range(1, 4):
        run = run_of("j", number=number)
        table.start(run)
        commands = [
            RecordRunEnds("m1/w1@5", (end_of(run, RunEndKind.FAILED, number),), number)
        ]
        lines = log_lines_of(table, *commands)
    found = find_settling_line(lines, "j")
    assert (found["event"], found["phase"], found["failures"]) == (
        "job_ended",
        "failed",
        "3",
    )


def test_trace_names_the_worker_whose_runs_were_lost() -> None:
    """Guards against a rerun whose reason is not in the trace."""
    table = ReplicatedTable()
    table.submit("j", step())
    table.start(run_of("j"))
    lines = log_lines_of(table, MarkWorkerLost("m1/w1@5"))
    events = [
        (entry.event, entry.fields.get("kind")) for entry in build_trace(lines, "j")
    ]
    assert events == [("run_ended", "lost")]
    assert find_settling_line(lines, "w1")["event"] == "worker_lost"


def test_trace_names_the_reason_of_a_call_given_up_at_the_front() -> None:
    """Guards against a refusal by a front whose reason is not in the trace."""
    lines = [
        line(1.0, "leader_lost", "front:f", reason="silence"),
        line(3.4, "call_given_up", "front:f", job="j", reason="no leader is in reach"),
    ]
    assert find_settling_line(lines, "j")["reason"] == "no leader is in reach"


def test_trace_names_the_reason_of_a_refused_catalog() -> None:
    """Guards against a refused catalog whose reason is not in the trace."""
    table = ReplicatedTable()
    table.apply(PutCatalog(catalog(7)))
    lines = log_lines_of(table, PutCatalog(catalog(7, document="other")))
    assert "other content" in find_settling_line(lines, "7")["reason"]


def test_lines_are_ordered_by_log_index() -> None:
    """Guards against an effect before its cause when clocks differ."""
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
    """Guards against a log that cannot be read because of one other line."""
    found = parse_line(text)
    assert (found or {}).get("event") == event


def test_command_reads_files_and_standard_input(tmp_path) -> None:
    """Guards against a command that reads logs from only one source."""
    text = line(1.0, "job_ended", job="j", phase="failed")
    path = tmp_path / "a.log"
    path.write_text(text)
    for args, stdin in ((["trace", "j", str(path)], None), (["trace", "j"], text)):
        result = CliRunner().invoke(app, args, input=stdin)
        assert result.exit_code == 0
        assert "> " in result.output
        assert "phase=failed" in result.output
    result = CliRunner().invoke(app, ["--output", "json", "trace", "j", str(path)])
    assert json.loads(result.output)[0]["event"] == "job_ended"
    assert CliRunner().invoke(app, ["trace", "other", str(path)]).exit_code == 1
    assert render_trace([]) == "no line names this id"
