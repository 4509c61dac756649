"""Run a tour of the operator's commands and write it to docs/tour.md.

Every command runs against real local processes, and the page contains its
output. Exits with status 1 if a command's exit code is not the expected one.
"""

import json
import shlex
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import attrs
from local_hosts import BIN, ROOT, LocalHosts, prepare, running, stop_all

PAGE = ROOT / "docs" / "tour.md"
DECLARATIONS = "examples/bracketworks/declarations"
OUTPUT_LINES = 24
SETTLE_S = 2.0

LARGE_JOB = {
    "job_class": "load-table",
    "shape": {
        "members": 2,
        "per_member": {"accelerators": 8, "processors": 16, "memory_mb": 32768},
        "adjacency": "rack",
    },
    "run_time_ms": 5000,
    "checkpoint_ms": 500,
}


@attrs.define
class Tour:
    """Runs commands and collects the lines of the page."""

    hosts: LocalHosts
    folder: Path
    lines: list[str] = attrs.Factory(list)
    unexpected_results: list[str] = attrs.Factory(list)

    def add_text(self, text: str) -> None:
        """Add a paragraph to the page."""
        self.lines += ["", text, ""]
        print(text)

    def run(self, command: str, expected: int = 0) -> str:
        """Run a command, add it with its output to the page, return stdout."""
        endpoints = self.hosts.endpoints()
        options = [part for e in endpoints for part in ("--endpoint", e)]
        args = shlex.split(command)
        completed = subprocess.run(
            [str(BIN / "crocuswell"), *options, "--author", "ana", *args[1:]],
            capture_output=True,
            text=True,
            cwd=ROOT,
            check=False,
        )
        output = (completed.stdout + completed.stderr).rstrip().splitlines()
        shown_lines = output[:OUTPUT_LINES]
        if len(output) > OUTPUT_LINES:
            shown_lines.append(f"... {len(output) - OUTPUT_LINES} more lines")
        self.lines += ["```console", f"$ {command}", *shown_lines, "```"]
        print("\n".join([f"$ {command}", *shown_lines]))
        if completed.returncode != expected:
            self.unexpected_results.append(
                f"{command}: exit code {completed.returncode}"
            )
        return completed.stdout

    def request_ids(self, workspace: str) -> list[str]:
        """Return the ids of a workspace's requests, newest first."""
        completed = subprocess.run(
            [
                str(BIN / "crocuswell"),
                "--endpoint",
                self.hosts.endpoints()[0],
                "--output",
                "json",
                "status",
                workspace,
            ],
            capture_output=True,
            text=True,
            check=True,
        )
        return [request["id"] for request in json.loads(completed.stdout)]


def main() -> int:
    """Run the tour and return the exit status."""
    with tempfile.TemporaryDirectory(prefix="crocuswell-tour-") as name:
        folder = Path(name)
        hosts = prepare(folder)
        with running(hosts):
            tour = Tour(hosts, folder)
            run_steps(tour)
            unclean = stop_all(hosts)
    tour.unexpected_results += unclean
    text = "\n".join(["# Tour", "", "Made by `make tour`.", *tour.lines, ""])
    PAGE.write_text(text.replace(str(folder), "/tmp/tour"), encoding="utf-8")
    for problem in tour.unexpected_results:
        print(f"tour: unexpected: {problem}")
    print(f"tour: {len(tour.unexpected_results)} unexpected")
    return 1 if tour.unexpected_results else 0


def run_steps(tour: Tour) -> None:
    """Run the steps of the tour."""
    tour.add_text("Check the declarations, without any server.")
    tour.run(f"crocuswell validate {DECLARATIONS}")
    tour.add_text("Look at the running system: three entry hosts, three workers.")
    tour.run("crocuswell members")
    tour.run("crocuswell workers")
    tour.add_text("Put the declarations in force. A second apply finds nothing to do.")
    tour.run(f"crocuswell apply {DECLARATIONS} --yes")
    tour.run(f"crocuswell apply {DECLARATIONS} --yes")
    tour.add_text("Switch to the peak preset and back. A preset must be declared.")
    tour.run("crocuswell preset switch peak --yes")
    tour.run("crocuswell preset switch festival --yes", expected=1)
    tour.run("crocuswell preset switch ordinary --yes")
    tour.run("crocuswell history")
    tour.add_text("Submit a gang job that needs two whole workers in one rack.")
    job = tour.folder / "load-table.json"
    job.write_text(json.dumps(LARGE_JOB), encoding="utf-8")
    tour.run(f"crocuswell submit load-tables {job} --wait")
    tour.add_text("Two more at once: the second waits, and `explain` says for what.")
    for key in ("night-1", "night-2"):
        tour.run(f"crocuswell submit load-tables {job} --key {key}")
    waiting, started = tour.request_ids("load-tables")[:2]
    tour.run(f"crocuswell explain {started}")
    tour.run(f"crocuswell explain {waiting}")
    tour.add_text("Drain a worker: work that can checkpoint moves away.")
    tour.run("crocuswell drain worker-1 --yes")
    time.sleep(SETTLE_S)
    tour.run("crocuswell workers")
    tour.run("crocuswell undrain worker-1")
    tour.add_text("Keep new work out of a failure domain, and let it back in.")
    tour.run("crocuswell evacuate fd-1 --yes")
    tour.run("crocuswell evacuations")
    tour.run("crocuswell evacuate fd-1 --end")
    tour.add_text("Cancel what is left, and see the outcomes.")
    tour.run("crocuswell cancel load-tables --job-class load-table --yes")
    time.sleep(SETTLE_S)
    tour.run("crocuswell status load-tables")
    tour.add_text("Return to an earlier change, as a new one.")
    tour.run("crocuswell rollback 1 --yes")
    tour.add_text("Read whether the service level is kept.")
    tour.run(f"crocuswell report burn --html {tour.folder / 'burn.html'}")


if __name__ == "__main__":
    sys.exit(main())
