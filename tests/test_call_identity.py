"""Concurrent calls that share a name but not their content."""

import json
from typing import Any

import pytest

from crocuswell_core.cluster.commands import Refused
from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.jobs.job_commands import (
    CatalogInForce,
    JobAccepted,
    JobCancelled,
)
from crocuswell_core.runtime.effects import AnswerCall, Effect
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import CallReceived
from crocuswell_daemon.http_messages import HttpRequest
from crocuswell_platform.caller_json import parse_caller_call, parse_operator_call
from tests.group_harness import Group, Host

SEEDS = ("a", "b", "c")
CALLER_HOST, KEY = "a.example", "key-1"
JOB_ID = "5c0e7a21d94b36f8"
JOB_BODY = {"spec": "work", "steps": [{"count": 1}]}


class CallingGroup(Group):
    """A formed group that takes calls over HTTP."""

    def __init__(self) -> None:
        super().__init__(SEEDS)
        self.replies: dict[int, Any] = {}
        for name in SEEDS:
            self.start(name, founds=name == SEEDS[0])
        self.run(3_000)

    def _execute(self, host: Host, effect: Effect) -> None:
        if isinstance(effect, AnswerCall):
            self.replies[effect.call_id] = effect.reply
        super()._execute(host, effect)

    def call(self, *calls: tuple[str, CommandCall]) -> list[Any]:
        """Make calls to hosts at one moment, and return their replies."""
        first_id = len(self.replies) + 1
        for call_id, (name, call) in enumerate(calls, first_id):
            self.post(self.hosts[name], CallReceived(call_id, call))
        self.run(1_500)
        return [self.replies[first_id + number] for number in range(len(calls))]


def put_config(version: int, allowance_ms: int = 250, **layout: Any) -> CommandCall:
    document = {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": CALLER_HOST,
                "path_prefix": "/queue/",
                "timeout_ms": 3_000,
                "target_latency_ms": allowance_ms,
                "service": "press",
            }
        ],
        "services": [{"name": "press"}],
        "tenants": [{"name": "t", "api_keys": [KEY]}],
    }
    body = json.dumps(document, **layout).encode()
    call = parse_operator_call(HttpRequest("PUT", "/config", body=body))
    assert isinstance(call, CommandCall)
    return call


def job_call(method: str, key: str = KEY, **changes: Any) -> CommandCall:
    body = json.dumps(JOB_BODY | changes).encode() if method == "POST" else b""
    request = HttpRequest(
        method,
        f"/queue/{JOB_ID}",
        body=body,
        host=CALLER_HOST,
        authorization=f"Token {key}",
    )
    call = parse_caller_call(request)
    assert isinstance(call, CommandCall)
    return call


@pytest.mark.parametrize("names", [("a", "b"), ("b", "a"), ("b", "c"), ("b", "b")])
def test_one_of_two_contents_of_a_version_is_refused(names) -> None:
    """Guards against a refusal of a change that was acknowledged before."""
    group = CallingGroup()
    contents = [put_config(10, 1_001), put_config(10, 1_002)]
    replies = group.call(*zip(names, contents, strict=True))
    accepted = [
        call
        for call, reply in zip(contents, replies, strict=True)
        if reply == CatalogInForce(10)
    ]
    refused = [reply for reply in replies if isinstance(reply, Refused)]
    assert [reply.kind for reply in refused] == [ErrorKind.CONFLICT]
    (in_force,) = accepted
    for name in SEEDS:
        assert group.call((name, in_force)) == [CatalogInForce(10)]
        held = group.hosts[name].state.cluster.jobs.catalog
        assert held == in_force.proposal.command.catalog


def test_same_content_in_another_layout_is_one_change() -> None:
    """Guards against a refusal of content that is written differently."""
    group = CallingGroup()
    calls = [put_config(10), put_config(10, indent=2)]
    assert calls[0].proposal == calls[1].proposal
    replies = group.call(("a", calls[0]), ("b", calls[1]))
    assert replies == [CatalogInForce(10)] * 2


@pytest.mark.parametrize("names", [("a", "b"), ("b", "a"), ("b", "b")])
@pytest.mark.parametrize(
    ("method", "reply"),
    [("POST", JobAccepted(JOB_ID)), ("DELETE", JobCancelled(JOB_ID))],
)
def test_call_with_another_key_gets_its_own_reply(method, reply, names) -> None:
    """Guards against a reply that belongs to a call with another key."""
    group = CallingGroup()
    group.call(("a", put_config(1)))
    if method == "DELETE":
        group.call(("a", job_call("POST")))
    calls = [job_call(method, "stranger"), job_call(method)]
    refused, answered = group.call(*zip(names, calls, strict=True))
    assert refused.kind is ErrorKind.UNAUTHORISED
    assert answered == reply


@pytest.mark.parametrize(
    "other",
    [
        job_call("POST", "stranger"),
        job_call("POST", spec="other"),
        job_call("DELETE"),
    ],
)
def test_identity_of_a_call_covers_its_content(other) -> None:
    """Guards against calls that are joined though their content differs."""
    assert job_call("POST").proposal == job_call("POST").proposal
    first, second = job_call("POST").proposal, other.proposal
    assert (first.command_id, first.digest) != (second.command_id, second.digest)
