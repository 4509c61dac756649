"""Callers and operators of the platform simulation."""

import itertools
from typing import TYPE_CHECKING

import attrs

from crocuswell_core.cluster.commands import (
    CancelRequests,
    ChangeAccepted,
    ChangeConfiguration,
    Proposal,
    Refused,
    RequestAccepted,
    SubmitRequest,
)
from crocuswell_core.cluster.configuration import Configuration, Limits, Workspace
from crocuswell_core.cluster.records import JobSpec, Outcome, RequestPhase
from crocuswell_core.cluster.resources import Resources, Shape
from crocuswell_core.entry.calls import Call, CommandCall, GetConfiguration, GetRequest
from crocuswell_core.entry.replies import ConfigurationView, RequestView
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import CallReceived
from tests.simulated_host import Host, InvariantError

if TYPE_CHECKING:
    from tests.platform_simulator import Platform

CALLERS = 4
RESEND_MS = 3_000
CALL_EVERY_MS = 100
# These refusals promise only that nothing is known; the key is sent again.
PASSING = frozenset({ErrorKind.UNAVAILABLE, ErrorKind.OVERLOADED})


@attrs.define
class Seen:
    """What a caller was told: later reads may not return less."""

    number: int = 0
    requests: dict[str, tuple[int, bool]] = attrs.Factory(dict)


@attrs.define
class OpenCall:
    """A call that waits for its answer."""

    caller: int
    call: Call
    host: str
    floor: Seen


class Callers:
    """Makes calls and checks the answers against each other."""

    def __init__(self, platform: "Platform"):
        self.platform = platform
        self.seen = [Seen() for _ in range(CALLERS)]
        self.open: dict[int, OpenCall] = {}
        self.replies: dict[str, object] = {}
        self.accepted: list[str] = []
        self.changes: dict[int, str] = {}
        self.reads = 0
        # Run time of all members of all jobs, for the bound of the settling.
        self.work_ms = 0
        self._ids = itertools.count(1)

    def act(self) -> None:
        """Make one call, and the next one after a while."""
        rng = self.platform.rng
        self.platform._after(rng.expovariate(1 / CALL_EVERY_MS), self.act)
        if self.platform.calm:
            return
        caller = rng.randrange(CALLERS)
        kinds = [self._submit] * 3 + [self._read] * 4 + [self._cancel, self._configure]
        if not any(seen.number for seen in self.seen):
            kinds = [self._configure]
        rng.choice(kinds)(caller)

    def _submit(self, caller: int) -> None:
        rng = self.platform.rng
        number = next(self._ids)
        request_id = f"q{number}"
        idempotent = rng.random() < 0.5
        self.platform.work.idempotent[request_id] = idempotent
        fail = rng.choice(("true", "false", "false", "false"))
        run_ms = rng.choice((0, 200, 200, 1_000, 1_000, 5_000, 20_000))
        members = rng.choice((1, 1, 2, 3))
        self.work_ms += members * run_ms
        spec = JobSpec(
            shape=Shape(members, Resources(1, 1, 256)),
            run_time_ms=rng.choice((100, 1_000, 10_000)),
            idempotent=idempotent,
            checkpoint_ms=rng.choice((None, None, 500)),
            payload=f'{{"run_ms":{run_ms},"fail":{fail}}}'.encode(),
        )
        command = SubmitRequest(request_id, "quotes", spec)
        self._send(caller, Proposal(f"workspace/quotes:{number}", "d", command))

    def _cancel(self, caller: int) -> None:
        if self.accepted:
            request_id = self.platform.rng.choice(self.accepted)
            command = CancelRequests("quotes", (request_id,))
            key = f"workspace/quotes:{next(self._ids)}"
            self._send(caller, Proposal(key, "d", command))

    def _configure(self, caller: int) -> None:
        """Let two operators change the same number."""
        number = max(seen.number for seen in self.seen)
        for author in ("ana", "bor"):
            key = f"operator:{next(self._ids)}"
            workspace = Workspace("quotes", weight=self.platform.rng.randint(1, 9))
            limits = Limits(run_lease_ms=self.platform.rng.choice((4_000, 15_000)))
            configuration = Configuration((workspace,), limits=limits)
            command = ChangeConfiguration(number, configuration, author, key)
            self._send(caller, Proposal(key, "d", command))

    def _read(self, caller: int) -> None:
        rng = self.platform.rng
        if self.accepted and rng.random() < 0.7:
            wait_ms = rng.choice((0, 0, 2_000, 10_000))
            call: Call = GetRequest(rng.choice(self.accepted), "quotes", wait_ms)
        else:
            call = GetConfiguration()
        self._call(caller, call)

    def _send(self, caller: int, proposal: Proposal) -> None:
        """Send a command, and again elsewhere until it has an answer."""
        call = CommandCall(proposal)
        self._call(caller, call)

        def resend() -> None:
            if proposal.command_id not in self.replies:
                self.platform.faults["resend"] += 1
                self._send(caller, proposal)
            elif not self.platform.calm and self.platform.rng.random() < 0.3:
                self.platform.faults["resend_of_answered"] += 1
                self._call(caller, call)

        self.platform._after(RESEND_MS * self.platform.rng.random(), resend)

    def _call(self, caller: int, call: Call) -> None:
        platform = self.platform
        running = [host for host in platform.hosts.values() if host.state is not None]
        if not running:
            return
        host = platform.rng.choice(running)
        seen = self.seen[caller]
        floor = Seen(seen.number, dict(seen.requests))
        call_id = next(platform._sequence)
        self.open[call_id] = OpenCall(caller, call, host.id, floor)
        platform._post(host, CallReceived(call_id, call))

    def host_crashed(self, host: Host) -> None:
        for call_id, call in list(self.open.items()):
            if call.host == host.id:
                del self.open[call_id]

    # --- answers ---------------------------------------------------------

    def answered(self, call_id: int, reply: object) -> None:
        call = self.open.pop(call_id, None)
        if call is None:
            raise InvariantError("an answer that nobody waits for", call_id, reply)
        name = type(call.call).__name__
        if isinstance(reply, Refused) and reply.kind in PASSING:
            self.platform.counts[f"{name}: {reply.detail}"] += 1
            return
        self.platform.counts[f"{name}: answered"] += 1
        if isinstance(call.call, CommandCall):
            self._command_answered(call, call.call.proposal.command_id, reply)
        else:
            self._read_answered(call, reply)

    def _command_answered(self, call: OpenCall, key: str, reply: object) -> None:
        first = self.replies.setdefault(key, reply)
        if first != reply:
            raise InvariantError("two answers to one key", key, first, reply)
        seen = self.seen[call.caller]
        match reply:
            case RequestAccepted(request_id):
                if request_id not in self.accepted:
                    self.accepted.append(request_id)
                seen.requests.setdefault(request_id, (0, False))
            case ChangeAccepted(number):
                if self.changes.setdefault(number, key) != key:
                    raise InvariantError("two changes with one number", number)
                seen.number = max(seen.number, number)
            case Refused(kind=ErrorKind.CONFLICT, current_number=number):
                seen.number = max(seen.number, number)

    def _read_answered(self, call: OpenCall, reply: object) -> None:
        self.reads += 1
        seen = self.seen[call.caller]
        match reply:
            case ConfigurationView(change):
                if change.number < call.floor.number:
                    raise InvariantError("a configuration read is stale", change.number)
                key = self.changes.get(change.number)
                if key is not None and change.note != key:
                    raise InvariantError("another content of a number", change, key)
                seen.number = max(seen.number, change.number)
            case RequestView(request):
                is_done = request.phase is RequestPhase.DONE
                state = (request.attempts_made, is_done)
                least = call.floor.requests.get(request.id, (0, False))
                if state[0] < least[0] or state[1] < least[1]:
                    raise InvariantError("a read is stale", request, least)
                known = seen.requests.get(request.id, (0, False))
                seen.requests[request.id] = max(known, state)
                outcome = request.outcome
                if outcome and outcome.outcome is Outcome.NOT_RUN:
                    self.platform.work.not_run.add(request.id)
            case Refused() if (
                isinstance(call.call, GetRequest)
                and call.call.request_id in call.floor.requests
            ):
                raise InvariantError("an accepted request is refused", call, reply)
