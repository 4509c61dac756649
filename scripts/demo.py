"""Run the example requests of both deployments on local processes.

Starts three entry hosts and three workers, applies the declarations, sends
the requests, prints each outcome as it arrives, and stops everything. With
`--kill-leader`, the leading entry host is killed while requests are running.
"""

import argparse
import concurrent.futures
import hashlib
import sys
import tempfile
from pathlib import Path
from typing import Any

import attrs
from local_hosts import ROOT, LocalHosts, prepare, running, stop_all
from platform_calls import PlatformClient, load_declarations, load_requests

DEPLOYMENTS = ("bracketworks", "skupni-tisk")
ROUNDS = 4
KILL_AFTER_ANSWERS = 10


@attrs.define
class Tally:
    """Counters over all requests."""

    sent: int = 0
    complete: int = 0
    lost: int = 0
    duplicate_starts: int = 0


def main() -> int:
    """Run the demo and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kill-leader", action="store_true")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="crocuswell-demo-") as folder:
        hosts = prepare(Path(folder))
        with running(hosts):
            tally = run_all(hosts, kill_leader=args.kill_leader)
            unclean = stop_all(hosts)
    if unclean:
        print(f"demo: did not stop cleanly: {', '.join(unclean)}")
    print(
        f"demo: {tally.sent} requests, {tally.complete} whole answers, "
        f"{tally.lost} lost, {tally.duplicate_starts} doubled"
    )
    succeeded = (
        tally.complete == tally.sent and not tally.duplicate_starts and not unclean
    )
    return 0 if succeeded else 1


def run_all(hosts: LocalHosts, *, kill_leader: bool) -> Tally:
    """Run the requests of each deployment in turn."""
    platform = PlatformClient(hosts.endpoints())
    tally = Tally()
    for deployment in DEPLOYMENTS:
        folder = ROOT / "examples" / deployment
        number = platform.apply(load_declarations(folder / "declarations"))
        print(f"{deployment}: configuration {number} accepted")
        requests = load_requests(folder / "requests.yaml", rounds=ROUNDS)
        run_requests(hosts, platform, requests, tally, kill_leader=kill_leader)
        # Kill only one leader: a majority of the three voters must remain.
        kill_leader = False
    tally.duplicate_starts += platform.count_duplicate_starts(hosts.backends())
    return tally


def run_requests(
    hosts: LocalHosts,
    platform: PlatformClient,
    requests: list[dict[str, Any]],
    tally: Tally,
    *,
    kill_leader: bool,
) -> None:
    """Send requests concurrently and print each outcome as it arrives."""
    tally.sent += len(requests)
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        request_by_future = {
            pool.submit(platform.run, request): request for request in requests
        }
        completed_futures = concurrent.futures.as_completed(request_by_future)
        for count, future in enumerate(completed_futures, start=1):
            if kill_leader and count == KILL_AFTER_ANSWERS:
                kill_leader_process(hosts, platform)
            report(request_by_future[future], future, tally)


def report(
    request: dict[str, Any], future: "concurrent.futures.Future[Any]", tally: Tally
) -> None:
    """Check and print the outcome of one request."""
    name = f"{request['workspace']}/{request['key']}"
    try:
        answer = future.result()
    except Exception as exc:
        tally.lost += 1
        print(f"  {name}: LOST ({exc})")
        return
    expected = request.get("expect", "completed")
    if answer.kind != expected:
        tally.lost += 1
        print(f"  {name}: {answer.kind}, expected {expected}: {answer.detail}")
        return
    tally.complete += 1
    digest = hashlib.sha256(answer.result).hexdigest()[:8] if answer.result else ""
    size = f", {len(answer.result)} bytes {digest}" if answer.result else ""
    detail = f": {answer.detail}" if answer.detail else ""
    print(f"  {name}: {answer.kind}{size}{detail}")


def kill_leader_process(hosts: LocalHosts, platform: PlatformClient) -> None:
    """Kill the process of the leading entry host."""
    leader = platform.leader()
    entry = next(entry for entry in hosts.entries if entry.id == leader)
    print(f"  killing the leader {leader}")
    entry.process.kill()
    hosts.entries.remove(entry)


if __name__ == "__main__":
    sys.exit(main())
