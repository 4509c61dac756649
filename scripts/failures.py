"""Kill, freeze, cut off and restart real processes under load.

Reports the longest gap in service of each scenario. Each scenario starts its
own processes and so is independent of the others. The last line counts the
scenarios that met the target: at most 3 s without a completed request, no
request lost and none run twice.
"""

import argparse
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import attrs
from load import Load, LoadResult
from local_hosts import (
    ROOT,
    EntryProcess,
    LocalHosts,
    prepare,
    running,
    stop_all,
    wait_until_entry_ready,
)
from platform_calls import PlatformClient, load_declarations
from relay import Relay

GAP_TARGET_S = 3.0
# Must be well below the target: a caller that waits longer for a silent host
# exceeds the target however fast the other hosts are.
READ_TIMEOUT_S = 1.5
LOAD_BEFORE_FAULT_S = 2.0
LOAD_AFTER_FAULT_S = 6.0
REJOIN_LIMIT_S = 20.0
POLL_S = 0.2


@attrs.define
class Scenario:
    """The processes of one scenario and the client that loads them."""

    hosts: LocalHosts
    platform: PlatformClient
    relays: list[Relay] = attrs.Factory(list)

    def leader(self) -> EntryProcess:
        """Return the leading entry host."""
        leader = self.platform.leader()
        return next(entry for entry in self.hosts.entries if entry.id == leader)

    def follower(self) -> EntryProcess:
        """Return an entry host that is not the leader."""
        leader = self.platform.leader()
        return next(entry for entry in self.hosts.entries if entry.id != leader)


FaultAction = Callable[[Scenario], None]


def kill_leader(scenario: Scenario) -> None:
    """Kill the leader and do not restart it."""
    scenario.leader().process.kill()


def freeze_leader(scenario: Scenario) -> None:
    """Suspend the leader for 5 s, then resume it."""
    process = scenario.leader().process
    process.signal(signal.SIGSTOP)
    time.sleep(5)
    process.signal(signal.SIGCONT)


def kill_two_in_turn(scenario: Scenario) -> None:
    """Kill the leader, restart it, then kill the next leader at once."""
    first = scenario.leader()
    first.process.kill()
    time.sleep(2)
    first.process.start()
    wait_until_entry_ready(first)
    scenario.leader().process.kill()


def kill_agent(scenario: Scenario) -> None:
    """Kill an agent and restart it."""
    process = scenario.hosts.workers[0].agent_process
    process.kill()
    time.sleep(1)
    process.start()


def silence_follower(scenario: Scenario) -> None:
    """Drop all traffic of one entry host, keeping its connections open."""
    for relay in scenario.relays:
        relay.drop()


def restart_all_in_turn(scenario: Scenario) -> None:
    """Restart every entry host and agent, one after the other."""
    for entry in scenario.hosts.entries:
        require_clean_stop(entry.process.stop(), entry.id)
        entry.process.start()
        wait_until_entry_ready(entry)
    for worker in scenario.hosts.workers:
        previous_incarnation = scenario.platform.worker(worker.id)["incarnation"]
        require_clean_stop(worker.agent_process.stop(), worker.id)
        worker.agent_process.start()
        wait_until_active(scenario, worker.id, previous_incarnation)


def wait_until_active(
    scenario: Scenario, worker: str, previous_incarnation: str
) -> None:
    """Wait until a worker is active again after a restart of its agent."""
    deadline = time.monotonic() + REJOIN_LIMIT_S
    while time.monotonic() < deadline:
        view = scenario.platform.worker(worker)
        if view["incarnation"] != previous_incarnation and view["mode"] == "active":
            return
        time.sleep(POLL_S)
    raise RuntimeError(f"{worker} was not active again within {REJOIN_LIMIT_S} s")


def require_clean_stop(status: int, name: str) -> None:
    """Raise `RuntimeError` unless the exit status is 0."""
    if status != 0:
        raise RuntimeError(f"{name} exited with status {status}, expected 0")


SCENARIOS: dict[str, FaultAction] = {
    "kill-leader": kill_leader,
    "freeze-leader": freeze_leader,
    "kill-two-in-turn": kill_two_in_turn,
    "kill-agent": kill_agent,
    "silence-one-host": silence_follower,
    "rolling-restart": restart_all_in_turn,
}
RELAYED_SCENARIO = "silence-one-host"


def main() -> int:
    """Run the scenarios and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help=", ".join(SCENARIOS))
    args = parser.parse_args()
    met = missed = 0
    for name in args.names or SCENARIOS:
        if run_scenario(name):
            met += 1
        else:
            missed += 1
    print(f"failures: {met} met, {missed} missed")
    return 1 if missed else 0


def run_scenario(name: str) -> bool:
    """Run one scenario and return whether it met the target."""
    with tempfile.TemporaryDirectory(prefix="crocuswell-failures-") as folder:
        hosts = prepare(Path(folder))
        relays = insert_relays(hosts) if name == RELAYED_SCENARIO else []
        with running(hosts):
            platform = PlatformClient(hosts.endpoints(), read_timeout_s=READ_TIMEOUT_S)
            platform.apply(
                load_declarations(ROOT / "examples/bracketworks/declarations")
            )
            scenario = Scenario(hosts, platform, relays)
            with Load(platform) as load:
                time.sleep(LOAD_BEFORE_FAULT_S)
                SCENARIOS[name](scenario)
                time.sleep(LOAD_AFTER_FAULT_S)
            duplicates = platform.count_duplicate_starts(hosts.backends())
            for relay in relays:
                relay.close()
            stop_all(hosts)
    return report(name, load.result, duplicates)


def insert_relays(hosts: LocalHosts) -> list[Relay]:
    """Insert relays before the callers' and agents' listeners of one host."""
    entry = hosts.entries[-1]
    return [
        Relay.insert_before(hosts, entry, "callers"),
        Relay.insert_before(hosts, entry, "agents"),
    ]


def report(name: str, result: LoadResult, duplicates: int) -> bool:
    """Print the result line and return whether the target was met."""
    gap_s = result.longest_gap_s()
    met = gap_s <= GAP_TARGET_S and not result.failures and not duplicates
    print(
        f"{name}: {result.sent} sent, {result.complete} whole, "
        f"{result.unknown} unknown, {len(result.failures)} failed, "
        f"{duplicates} doubled, longest gap {gap_s:.2f} s of {GAP_TARGET_S:.0f} s: "
        f"{'met' if met else 'missed'}"
    )
    for failure in result.failures[:3]:
        print(f"    {failure}")
    return met


if __name__ == "__main__":
    sys.exit(main())
