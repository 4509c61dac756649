"""Run the example requests of both deployments on local processes.

Starts three entry hosts and three workers, applies the declarations, sends
the requests, prints each answer as it arrives, and stops everything. With
`--kill-leader`, the leading entry host is killed in the middle.
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
from platform_calls import Platform, load_declarations, load_requests

DEPLOYMENTS = ("bracketworks", "skupni-tisk")
ROUNDS = 4
KILL_AFTER_ANSWERS = 10


@attrs.define
class Tally:
    """Counts over all requests."""

    sent: int = 0
    whole: int = 0
    lost: int = 0
    doubled: int = 0


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
        f"demo: {tally.sent} requests, {tally.whole} whole answers, "
        f"{tally.lost} lost, {tally.doubled} doubled"
    )
    succeeded = tally.whole == tally.sent and not tally.doubled and not unclean
    return 0 if succeeded else 1


def run_all(hosts: LocalHosts, *, kill_leader: bool) -> Tally:
    """Send the requests of both deployments, one after the other."""
    platform = Platform(hosts.endpoints())
    tally = Tally()
    for deployment in DEPLOYMENTS:
        folder = ROOT / "examples" / deployment
        number = platform.apply(load_declarations(folder / "declarations"))
        print(f"{deployment}: configuration {number} accepted")
        requests = load_requests(folder / "requests.yaml", rounds=ROUNDS)
        run_requests(hosts, platform, requests, tally, kill_leader=kill_leader)
        # Only one leader is killed: two of three voters must remain.
        kill_leader = False
    tally.doubled += platform.count_doubled(hosts.backends())
    return tally


def run_requests(
    hosts: LocalHosts,
    platform: Platform,
    requests: list[dict[str, Any]],
    tally: Tally,
    *,
    kill_leader: bool,
) -> None:
    """Send requests at once and print each answer as it arrives."""
    tally.sent += len(requests)
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        futures = {pool.submit(platform.run, request): request for request in requests}
        done = concurrent.futures.as_completed(futures)
        for count, fut in enumerate(done, start=1):
            if kill_leader and count == KILL_AFTER_ANSWERS:
                kill_leading_host(hosts, platform)
            report(futures[fut], fut, tally)


def report(
    request: dict[str, Any], fut: "concurrent.futures.Future[Any]", tally: Tally
) -> None:
    """Check and print one answer."""
    name = f"{request['workspace']}/{request['key']}"
    try:
        answer = fut.result()
    except Exception as exc:
        tally.lost += 1
        print(f"  {name}: LOST ({exc})")
        return
    expected = request.get("expect", "completed")
    if answer.kind != expected:
        tally.lost += 1
        print(f"  {name}: {answer.kind}, expected {expected}: {answer.detail}")
        return
    tally.whole += 1
    digest = hashlib.sha256(answer.result).hexdigest()[:8] if answer.result else ""
    size = f", {len(answer.result)} bytes {digest}" if answer.result else ""
    detail = f": {answer.detail}" if answer.detail else ""
    print(f"  {name}: {answer.kind}{size}{detail}")


def kill_leading_host(hosts: LocalHosts, platform: Platform) -> None:
    """Kill the process of the leading entry host."""
    leader = platform.leader()
    entry = next(entry for entry in hosts.entries if entry.id == leader)
    print(f"  killing the leader {leader}")
    entry.process.kill()
    hosts.entries.remove(entry)


if __name__ == "__main__":
    sys.exit(main())
