"""Kill, stop and cut off real processes under load; report the gaps.

Each scenario starts its own processes, so that none depends on another. The
last line counts the scenarios that met the target of at most 3 s without a
completed request, nothing lost and nothing run twice.
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
    wait_until_answering,
)
from platform_calls import Platform, load_declarations
from relay import Relay

GAP_TARGET_S = 3.0
# A caller that waits longer for a silent host cannot see service within the
# target, whatever the other hosts do.
ATTEMPT_LIMIT_S = 1.5
BEFORE_S = 2.0
AFTER_S = 6.0
REJOIN_LIMIT_S = 20.0
POLL_S = 0.2


@attrs.define
class Scene:
    """The processes of one scenario under load."""

    hosts: LocalHosts
    platform: Platform
    relays: list[Relay] = attrs.Factory(list)

    def leader(self) -> EntryProcess:
        """Return the leading entry host."""
        leader = self.platform.leader()
        return next(entry for entry in self.hosts.entries if entry.id == leader)

    def follower(self) -> EntryProcess:
        """Return an entry host that does not lead."""
        leader = self.platform.leader()
        return next(entry for entry in self.hosts.entries if entry.id != leader)


Act = Callable[[Scene], None]


def kill_leader(scene: Scene) -> None:
    """Kill the leader for good."""
    scene.leader().process.kill()


def freeze_leader(scene: Scene) -> None:
    """Freeze the leader for 5 s, then let it go on."""
    process = scene.leader().process
    process.signal(signal.SIGSTOP)
    time.sleep(5)
    process.signal(signal.SIGCONT)


def kill_two_in_turn(scene: Scene) -> None:
    """Kill a host, repair it, and lose another one right after."""
    first = scene.leader()
    first.process.kill()
    time.sleep(2)
    first.process.start()
    wait_until_answering(first)
    scene.leader().process.kill()


def kill_agent(scene: Scene) -> None:
    """Kill an agent and start it again."""
    process = scene.hosts.workers[0].agent_process
    process.kill()
    time.sleep(1)
    process.start()


def silence_follower(scene: Scene) -> None:
    """Drop all bytes to and from one entry host, without closing."""
    for relay in scene.relays:
        relay.drop()


def restart_each(scene: Scene) -> None:
    """Stop and start every process of the product, one after the other."""
    for entry in scene.hosts.entries:
        require_clean_stop(entry.process.stop(), entry.id)
        entry.process.start()
        wait_until_answering(entry)
    for worker in scene.hosts.workers:
        before = scene.platform.worker(worker.id)["incarnation"]
        require_clean_stop(worker.agent_process.stop(), worker.id)
        worker.agent_process.start()
        wait_until_active(scene, worker.id, before)


def wait_until_active(scene: Scene, worker: str, before: str) -> None:
    """Wait until a worker takes work again after a restart of its agent."""
    deadline = time.monotonic() + REJOIN_LIMIT_S
    while time.monotonic() < deadline:
        view = scene.platform.worker(worker)
        if view["incarnation"] != before and view["mode"] == "active":
            return
        time.sleep(POLL_S)
    raise RuntimeError(f"{worker} did not come back in {REJOIN_LIMIT_S} s")


def require_clean_stop(status: int, name: str) -> None:
    """Raise unless a planned stop ended with status 0."""
    if status != 0:
        raise RuntimeError(f"{name} ended with status {status}")


SCENARIOS: dict[str, Act] = {
    "kill-leader": kill_leader,
    "freeze-leader": freeze_leader,
    "kill-two-in-turn": kill_two_in_turn,
    "kill-agent": kill_agent,
    "silence-one-host": silence_follower,
    "rolling-restart": restart_each,
}
RELAYED = "silence-one-host"


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
    """Run one scenario and tell whether it met the target."""
    with tempfile.TemporaryDirectory(prefix="crocuswell-failures-") as folder:
        hosts = prepare(Path(folder))
        relays = put_relays(hosts) if name == RELAYED else []
        with running(hosts):
            platform = Platform(hosts.endpoints(), read_s=ATTEMPT_LIMIT_S)
            platform.apply(
                load_declarations(ROOT / "examples/bracketworks/declarations")
            )
            scene = Scene(hosts, platform, relays)
            with Load(platform) as load:
                time.sleep(BEFORE_S)
                SCENARIOS[name](scene)
                time.sleep(AFTER_S)
            doubled = platform.count_doubled(hosts.backends())
            for relay in relays:
                relay.close()
            stop_all(hosts)
    return report(name, load.result, doubled)


def put_relays(hosts: LocalHosts) -> list[Relay]:
    """Put relays before the callers' and agents' listeners of one host."""
    entry = hosts.entries[-1]
    return [
        Relay.before(hosts, entry, "callers"),
        Relay.before(hosts, entry, "agents"),
    ]


def report(name: str, result: LoadResult, doubled: int) -> bool:
    """Print one line and tell whether the target was met."""
    gap_s = result.longest_gap_s()
    met = gap_s <= GAP_TARGET_S and not result.failures and not doubled
    print(
        f"{name}: {result.sent} sent, {result.whole} whole, "
        f"{result.unknown} unknown, {len(result.failures)} failed, "
        f"{doubled} doubled, longest gap {gap_s:.2f} s of {GAP_TARGET_S:.0f} s: "
        f"{'met' if met else 'missed'}"
    )
    for failure in result.failures[:3]:
        print(f"    {failure}")
    return met


if __name__ == "__main__":
    sys.exit(main())
