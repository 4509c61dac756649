"""Commands of the client `crocuswell`; the logic is in other modules."""

import base64
import json
import sys
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import attrs
import typer

from crocuswell_cli import (
    burn,
    check as checking,
    declarations,
    render,
    trace as tracing,
)
from crocuswell_cli.client import CallError, Client
from crocuswell_cli.documents import DeclarationError

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_NOT_COMPLETED = 4
WAIT_MS = 20_000
LIST_LIMIT = 1_000

app = typer.Typer(
    help=(
        "Operate crocuswell and submit requests to it.\n\n"
        "Exit codes: 0 success, 1 refused, 2 wrong usage or invalid input, 3 no "
        "entry host reachable, 4 the request did not complete."
    ),
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
preset_app = typer.Typer(help="Presets.", no_args_is_help=True)
report_app = typer.Typer(help="Reports.", no_args_is_help=True)
app.add_typer(preset_app, name="preset")
app.add_typer(report_app, name="report")

Folder = Annotated[Path, typer.Argument(help="Folder with the declarations.")]
Yes = Annotated[bool, typer.Option("--yes", help="Do not ask for confirmation.")]


@app.callback()
def options(
    ctx: typer.Context,
    endpoint: Annotated[
        list[str] | None,
        typer.Option(
            envvar="CROCUSWELL_ENDPOINTS",
            help="host:port of an entry host; repeatable.",
        ),
    ] = None,
    output: Annotated[str, typer.Option(help="text or json")] = "text",
    author: Annotated[
        str,
        typer.Option(envvar="CROCUSWELL_AUTHOR", help="Author recorded with changes."),
    ] = "",
) -> None:
    """Store the options of all commands."""
    if output not in {"text", "json"}:
        fail(f"--output {output}: use text or json", EXIT_USAGE)
    endpoints = tuple(endpoint or ("127.0.0.1:8080",))
    ctx.obj = Session(Client(endpoints, author), output == "json")


class Session:
    """The client and the output format."""

    def __init__(self, client: Client, as_json: bool):
        self.client = client
        self.as_json = as_json

    def show(self, document: Any, text: Callable[[Any], str]) -> None:
        """Print a reply as text or as JSON."""
        typer.echo(json.dumps(document, indent=2) if self.as_json else text(document))


def fail(message: str, code: int) -> None:
    """Print an error message and exit with an exit code."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


@app.command()
def trace(
    ctx: typer.Context,
    wanted: Annotated[str, typer.Argument(metavar="ID", help="Id to look for.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Logs; standard input if none.")
    ] = None,
) -> None:
    """Show what happened to a job, task, worker or catalog version."""
    lines: list[str] = []
    try:
        for path in files or []:
            lines += path.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as exc:
        fail(f"{exc.filename}: {exc.strerror}", EXIT_USAGE)
    if not files:
        lines = sys.stdin.read().splitlines()
    trace_lines = tracing.build_trace(lines, wanted)
    document = [attrs.asdict(line) for line in trace_lines]
    ctx.obj.show(document, lambda _: tracing.render_trace(trace_lines))
    if not trace_lines:
        raise typer.Exit(EXIT_REFUSED)


def confirm(question: str, yes: bool) -> None:
    """Ask for confirmation before an action that is hard to undo."""
    if not yes:
        typer.confirm(question, abort=True)


# --- declarations ----------------------------------------------------------


@app.command()
def validate(folder: Folder) -> None:
    """Check declarations offline for syntax and consistency."""
    declared = declarations.load(folder)
    configuration = declared.configuration
    typer.echo(
        f"{folder}: valid: {len(configuration.workspaces)} workspaces, "
        f"{len(configuration.presets)} presets, "
        f"{len(configuration.objectives)} objectives"
    )


@app.command()
def check(
    ctx: typer.Context,
    path: Annotated[
        Path, typer.Argument(metavar="FILE", help="File or folder to check.")
    ],
    against: Annotated[
        str,
        typer.Option(help="File, folder or host:port of an entry host to compare to."),
    ] = "",
) -> None:
    """Check a configuration or catalog before it is sent.

    Exit codes: 0 nothing found, 1 it would be accepted with warnings or
    displaces someone, 2 it would be refused or cannot be read.
    """
    report = checking.check(path, read_compared(ctx, against) if against else None)
    ctx.obj.show(checking.to_document(report), lambda _: checking.to_text(report))
    raise typer.Exit(report.exit_code)


def read_compared(ctx: typer.Context, against: str) -> checking.Checked:
    """Read what to compare with from a file, a folder or a host."""
    if Path(against).exists():
        return checking.load(Path(against))
    client = Client((against,), ctx.obj.client.author)
    try:
        reply = client.get("/v1/configuration").json()
    except CallError as exc:
        fail(f"{against}: {exc.detail}", EXIT_USAGE)
    return checking.from_reply(reply["configuration"])


@app.command()
def schema() -> None:
    """Print the JSON Schema of declarations."""
    typer.echo(json.dumps(declarations.json_schema(), indent=2))


@app.command()
def diff(ctx: typer.Context, folder: Folder) -> None:
    """Show what `apply` would change."""
    document = declarations.to_document(declarations.load(folder).configuration)
    current = ctx.obj.client.get("/v1/configuration").json()
    changed_values = declarations.differences(current["configuration"], document)
    as_json = [
        {"key": d.key, "before": d.before, "after": d.after} for d in changed_values
    ]
    ctx.obj.show(as_json, format_differences)


def format_differences(changed_values: list[dict[str, Any]]) -> str:
    """Return differences as text."""
    if not changed_values:
        return "no differences"
    return "\n".join(
        f"{d['key']}: {d['before']} -> {d['after']}" for d in changed_values
    )


@app.command()
def apply(
    ctx: typer.Context,
    folder: Folder,
    yes: Yes = False,
    key: Annotated[
        str,
        typer.Option(
            help="Idempotency key, to repeat a command whose answer was lost."
        ),
    ] = "",
    if_number: Annotated[
        int | None, typer.Option(help="Apply only if this is still the newest change.")
    ] = None,
) -> None:
    """Apply declarations as one change."""
    document = declarations.to_document(declarations.load(folder).configuration)
    current = ctx.obj.client.get("/v1/configuration").json()
    number = current["number"] if if_number is None else if_number
    changed_values = declarations.differences(current["configuration"], document)
    if not changed_values and if_number is None and not key:
        typer.echo(f"no differences from change {number}")
        return
    confirm(f"{len(changed_values)} values change after change {number}. Apply?", yes)
    send_change(ctx, "PUT", "/v1/configuration", document, number, key)


@app.command()
def rollback(
    ctx: typer.Context,
    number: Annotated[int, typer.Argument(help="Change to return to.")],
    yes: Yes = False,
) -> None:
    """Apply an earlier configuration again, as a new change."""
    changes = ctx.obj.client.get("/v1/configuration/history?limit=200").json()
    earlier = [c for c in changes["changes"] if c["number"] == number]
    if not earlier:
        fail(f"change {number} is not in the history; see `history`", EXIT_REFUSED)
    current = changes["changes"][0]["number"]
    confirm(f"Apply the configuration of change {number} as {current + 1}?", yes)
    document = earlier[0]["configuration"]
    send_change(ctx, "PUT", "/v1/configuration", document, current, "")


@preset_app.command("switch")
def preset_switch(
    ctx: typer.Context,
    name: Annotated[str, typer.Argument(help="Declared preset.")],
    yes: Yes = False,
) -> None:
    """Activate another preset."""
    current = ctx.obj.client.get("/v1/configuration").json()
    before = current["configuration"]["active_preset"]
    confirm(f"Switch from preset {before} to {name}?", yes)
    send_change(ctx, "POST", "/v1/preset", {"preset": name}, current["number"], "")


def send_change(
    ctx: typer.Context, method: str, path: str, body: Any, number: int, key: str
) -> None:
    """Send a configuration change, conditional on the current number."""
    key = key or uuid.uuid4().hex
    headers = {"If-Match": f'"{number}"'}
    try:
        reply = ctx.obj.client.call(method, path, body, key, headers).json()
    except CallError as exc:
        if exc.kind in {"unreachable", "unavailable"}:
            hint = f"it may have been accepted; repeat it with --key {key}"
            fail(f"{exc.detail}; {hint}", EXIT_UNREACHABLE)
        raise
    ctx.obj.show(reply, lambda r: f"change {r['number']} accepted")


@app.command()
def history(ctx: typer.Context, limit: int = 20) -> None:
    """Show the newest configuration changes."""
    reply = ctx.obj.client.get(f"/v1/configuration/history?limit={limit}").json()
    ctx.obj.show(reply["changes"], render.format_history)


# --- requests --------------------------------------------------------------


@app.command()
def submit(
    ctx: typer.Context,
    workspace: str,
    job: Annotated[Path, typer.Argument(help="JSON file with the job; - for stdin.")],
    payload: Annotated[Path | None, typer.Option(help="File with the input.")] = None,
    key: Annotated[str, typer.Option(help="Idempotency key.")] = "",
    wait: Annotated[bool, typer.Option(help="Wait for the outcome.")] = False,
) -> None:
    """Submit a job."""
    body = load_job(job)
    if payload is not None:
        body["payload"] = base64.b64encode(payload.read_bytes()).decode()
    path = f"/v1/workspaces/{workspace}/requests"
    request = ctx.obj.client.call("POST", path, body, key).json()
    if wait:
        request = wait_for_outcome(ctx, request)
    ctx.obj.show(request, lambda r: render.format_requests([r]))
    outcome = request["outcome"]
    if wait and outcome["outcome"] != "completed":
        raise typer.Exit(EXIT_NOT_COMPLETED)


def load_job(path: Path) -> dict[str, Any]:
    """Read the JSON document of a job."""
    text = sys.stdin.read() if str(path) == "-" else path.read_text(encoding="utf-8")
    document = json.loads(text)
    if type(document) is not dict:
        raise ValueError(f"{path}: expected a JSON object")
    return document


def wait_for_outcome(ctx: typer.Context, request: dict[str, Any]) -> dict[str, Any]:
    """Wait for the outcome and print each change of phase."""
    phase = ""
    while request["outcome"] is None:
        if request["phase"] != phase:
            phase = request["phase"]
            typer.echo(f"{request['id']}: {phase}", err=True)
        path = f"/v1/requests/{request['id']}?wait_ms={WAIT_MS}"
        request = ctx.obj.client.get(path).json()
    return request


@app.command()
def status(
    ctx: typer.Context,
    name: Annotated[str, typer.Argument(help="Request id, or a workspace.")],
    limit: int = 20,
) -> None:
    """Show a request, or the newest requests of a workspace."""
    try:
        reply = ctx.obj.client.get(f"/v1/requests/{name}").json()
        ctx.obj.show(reply, lambda r: render.format_requests([r]))
    except CallError as exc:
        if exc.kind != "not_found":
            raise
        path = f"/v1/workspaces/{name}/requests?limit={limit}"
        reply = ctx.obj.client.get(path).json()
        ctx.obj.show(reply["requests"], render.format_requests)


@app.command()
def result(ctx: typer.Context, request_id: str) -> None:
    """Write the result of a completed request to standard output."""
    reply = ctx.obj.client.get(f"/v1/requests/{request_id}/result")
    sys.stdout.buffer.write(reply.body)


@app.command()
def explain(ctx: typer.Context, request_id: str) -> None:
    """Show why a request waits, and when and where it can start."""
    reply = ctx.obj.client.get(f"/v1/requests/{request_id}/explanation").json()
    ctx.obj.show(reply, render.format_explanation)


@app.command()
def cancel(
    ctx: typer.Context,
    workspace: str,
    request_id: Annotated[list[str] | None, typer.Argument(help="Ids.")] = None,
    job_class: Annotated[
        str, typer.Option(help="Cancel all requests of a job class.")
    ] = "",
    yes: Yes = False,
) -> None:
    """Cancel requests of a workspace by id or by class."""
    if bool(request_id) == bool(job_class):
        fail("cancel: give either request ids or --job-class", EXIT_USAGE)
    selection = f"{len(request_id)} requests" if request_id else f"class {job_class}"
    confirm(f"Cancel {selection} of {workspace}?", yes)
    body: dict[str, Any] = {"job_class": job_class}
    if request_id:
        body = {"request_ids": request_id}
    path = f"/v1/workspaces/{workspace}/cancel"
    reply = ctx.obj.client.call("POST", path, body).json()
    ctx.obj.show(reply, lambda r: f"{r['count']} requests cancelled")


# --- fleet -----------------------------------------------------------------


@app.command()
def workers(ctx: typer.Context) -> None:
    """Show all workers with their resources and attempts."""
    reply = ctx.obj.client.get("/v1/workers").json()
    ctx.obj.show(reply["workers"], render.format_workers)


@app.command()
def members(ctx: typer.Context) -> None:
    """Show the members of the control group."""
    ctx.obj.show(ctx.obj.client.get("/v1/members").json(), render.format_members)


@app.command()
def forecasts(ctx: typer.Context) -> None:
    """Show learned run times, and speeds of workers if the host leads."""
    ctx.obj.show(ctx.obj.client.get("/v1/forecasts").json(), render.format_forecasts)


@app.command()
def drain(ctx: typer.Context, worker: str, yes: Yes = False) -> None:
    """Drain a worker: no new work; work that can checkpoint is moved."""
    confirm(f"Drain {worker}? Work that can checkpoint is moved.", yes)
    set_mode(ctx, worker, "draining")


@app.command()
def undrain(ctx: typer.Context, worker: str) -> None:
    """Return a worker to service."""
    set_mode(ctx, worker, "active")


@app.command()
def quarantine(ctx: typer.Context, worker: str, yes: Yes = False) -> None:
    """Take a worker out of service until `undrain`."""
    confirm(f"Quarantine {worker}?", yes)
    set_mode(ctx, worker, "quarantined")


@app.command()
def evacuate(
    ctx: typer.Context,
    domain: Annotated[str, typer.Argument(help="Failure domain.")],
    end: Annotated[bool, typer.Option("--end", help="End its evacuation.")] = False,
    key: Annotated[
        str,
        typer.Option(help="Idempotency key, to repeat an order without an answer."),
    ] = "",
    yes: Yes = False,
) -> None:
    """Evacuate a failure domain: nothing more starts there."""
    if not end:
        confirm(f"Evacuate {domain}? Nothing starts there until --end.", yes)
    path = f"/v1/evacuations/{quote(domain, safe='')}"
    reply = ctx.obj.client.call("DELETE" if end else "POST", path, key=key).json()
    ctx.obj.show(reply, render.format_evacuation)


@app.command()
def evacuations(ctx: typer.Context) -> None:
    """Show the evacuated failure domains with what is left there."""
    reply = ctx.obj.client.get("/v1/evacuations").json()
    ctx.obj.show(reply["evacuations"], render.format_evacuations)


def set_mode(ctx: typer.Context, worker: str, mode: str) -> None:
    """Set the mode of a worker."""
    path = f"/v1/workers/{worker}/mode"
    reply = ctx.obj.client.call("POST", path, {"mode": mode}).json()
    ctx.obj.show(reply, lambda r: f"{r['worker']}: {r['mode']}")


# --- reports ---------------------------------------------------------------


@report_app.command("burn")
def report_burn(
    ctx: typer.Context,
    html: Annotated[
        Path | None, typer.Option(help="Also write the report as an HTML page.")
    ] = None,
) -> None:
    """Show how fast each objective uses its error budget."""
    client = ctx.obj.client
    current = client.get("/v1/configuration").json()["configuration"]
    requests = []
    for workspace in current["workspaces"]:
        path = f"/v1/workspaces/{workspace['name']}/requests?limit={LIST_LIMIT}"
        requests += client.get(path).json()["requests"]
    fleet = client.get("/v1/workers").json()["workers"]
    objective_burns = burn.measure_burn(current, requests)
    if html is not None:
        html.write_text(burn.to_html(objective_burns, fleet), encoding="utf-8")
    ctx.obj.show(
        burn.to_document(objective_burns), lambda _: burn.to_text(objective_burns)
    )


def main() -> None:
    """Run the command; errors become a message and an exit code."""
    try:
        # An exit within a command is returned, not raised.
        sys.exit(app(standalone_mode=False))
    except typer.Abort:
        print("aborted; no changes were made", file=sys.stderr)
        sys.exit(EXIT_REFUSED)
    except DeclarationError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except CallError as exc:
        print(f"{exc.kind}: {exc.detail}", file=sys.stderr)
        sys.exit(EXIT_UNREACHABLE if exc.status in {0, 503} else EXIT_REFUSED)
    except (OSError, ValueError) as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    main()
