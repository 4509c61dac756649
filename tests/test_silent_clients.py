"""Streams to the leader on which nothing arrives any more."""

from typing import Any

from crocuswell_core.links.client_streams import (
    CLIENT_KEEPALIVE_MS,
    MAX_SILENT_KEEPALIVES,
)
from crocuswell_core.links.link_messages import LinkKeepalive
from crocuswell_core.links.uplink import Uplink
from crocuswell_core.runtime.effects import CloseAgentStream, Effect, SendEntry
from crocuswell_core.runtime.events import AgentMessageReceived
from tests.group_harness import Host
from tests.job_fleet import MAX_LEASE_MS, JobFleet
from tests.job_harness import Leader

LIMIT_MS = (MAX_SILENT_KEEPALIVES + 1) * CLIENT_KEEPALIVE_MS


def closed(effects: list[Effect]) -> list[int]:
    return [e.stream_id for e in effects if isinstance(e, CloseAgentStream)]


def test_stream_that_is_silent_towards_the_leader_is_closed() -> None:
    """Guards against a client that stays where it only hears the leader."""
    leader = Leader()
    leader.attach(1)
    leader.attach(2)
    effects: list[Effect] = []
    for _ in range(LIMIT_MS // CLIENT_KEEPALIVE_MS):
        leader.advance(CLIENT_KEEPALIVE_MS)
        effects += leader.tick()
        leader.post(AgentMessageReceived(2, LinkKeepalive()))
    assert closed(effects) == [1]
    assert list(leader.state.clients) == [2]


class OneWayFleet(JobFleet):
    """A fleet without random faults; one open stream is silent upwards."""

    silent: object = None

    def _send_up(self, host: Host, effect: SendEntry) -> None:
        if host.uplinks.get(effect.stream_id) is not self.silent or not self.silent:
            super()._send_up(host, effect)


def test_runner_leaves_a_stream_that_is_silent_one_way() -> None:
    """Guards against a sound worker that is used no more (review case 13)."""
    fleet = OneWayFleet(1)
    fleet.is_calm = True
    fleet.run(3_000)
    runner: Any = fleet.hosts["m0"].state
    uplink: Uplink = runner.uplink
    assert uplink.is_attached
    stream_id = uplink.stream_id
    fleet.silent = fleet.hosts["m0"].uplinks[stream_id]
    fleet.run(MAX_LEASE_MS - 2_000)
    assert uplink.is_attached and uplink.stream_id != stream_id
    assert runner.granted_until_ms > fleet.now_ms
