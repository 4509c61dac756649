"""Two operators send one version with different contents at the same time."""

import sys
import threading
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

PAIRS = 3
GAP_S = 1.2


def acknowledged_change_is_refused(record: harness.Record) -> str:
    """Send pairs of changes on one version, then send each again."""
    with harness.deployment(record, workers=3) as dep:
        harness.start_all(dep)
        for pair in range(PAIRS):
            version = 10 * (pair + 1)
            contents = [
                harness.make_config(version, target_latency_ms=1_000 + operator)
                for operator in (1, 2)
            ]
            if not harness.TROUBLE:
                contents.pop()
            acknowledged = _send_at_once(dep, contents)
            broken = _find_refused(dep, version, acknowledged)
            if broken:
                return broken
            threading.Event().wait(GAP_S)
    return ""


def _send_at_once(
    dep: harness.Deployment, contents: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Send each content to another node; return the acknowledged ones."""
    barrier = threading.Barrier(len(contents))
    statuses: dict[int, int] = {}

    def send(operator: int) -> None:
        barrier.wait()
        statuses[operator] = dep.put_config(operator, contents[operator])

    threads = [
        threading.Thread(target=send, args=(operator,))
        for operator in range(len(contents))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return [
        content
        for operator, content in enumerate(contents)
        if statuses[operator] == 200
    ]


def _find_refused(
    dep: harness.Deployment, version: int, acknowledged: list[dict[str, Any]]
) -> str:
    """Send each acknowledged change again, as if its answer had been lost."""
    for content in acknowledged:
        again = dep.put_config(2, content)
        if 400 <= again < 500:
            return (
                f"CONFIG: a change to version {version} was acknowledged with 200 and, "
                f"sent again with no other change since, refused with {again}"
            )
    return ""


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, acknowledged_change_is_refused))
