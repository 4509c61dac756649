"""Simulated callers and operators of the platform."""

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
# After these refusals it is unknown whether the command takes effect, so it is
# sent again with the same key.
TRANSIENT_REFUSALS = frozenset({ErrorKind.UNAVAILABLE, ErrorKind.OVERLOADED})


@attrs.define
class ObservedState:
    """Newest state returned to a caller; later reads must not be older.

    Attributes
    ----------
    number : int
        Highest configuration number.
    requests : dict
        Number of attempts, and whether it is done, of each request.
    """

    number: int = 0
    requests: dict[str, tuple[int, bool]] = attrs.Factory(dict)


@attrs.define
class OpenCall:
    """A call without a reply so far.

    Attributes
    ----------
    minimum : ObservedState
        What the caller had observed before the call.
    """

    caller: int
    call: Call
    host: str
    minimum: ObservedState


class Callers:
    """Makes calls and checks the consistency of the replies."""

    def __init__(self, platform: "Platform"):
        self.platform = platform
        self.observed = [ObservedState() for _ in range(CALLERS)]
        self.open: dict[int, OpenCall] = {}
        self.replies: dict[str, object] = {}
        self.accepted: list[str] = []
        self.changes: dict[int, str] = {}
        self.reads = 0
        # Run time in ms of all members of all jobs, from which the simulation
        # derives its time limit for finishing the queued work.
        self.work_ms = 0
        self._numbers = itertools.count(1)

    def make_next_call(self) -> None:
        """Make a random call and schedule the next one."""
        rng = self.platform.rng
        self.platform._schedule(rng.expovariate(1 / CALL_EVERY_MS), self.make_next_call)
        if self.platform.faults_disabled:
            return
        caller = rng.randrange(CALLERS)
        kinds = [self._submit] * 3 + [self._read] * 4 + [self._cancel, self._configure]
        if not any(observed.number for observed in self.observed):
            kinds = [self._configure]
        rng.choice(kinds)(caller)

    def _submit(self, caller: int) -> None:
        rng = self.platform.rng
        number = next(self._numbers)
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
            key = f"workspace/quotes:{next(self._numbers)}"
            self._send(caller, Proposal(key, "d", command))

    def _configure(self, caller: int) -> None:
        """Let two operators change the same configuration number."""
        number = max(observed.number for observed in self.observed)
        for author in ("ana", "bor"):
            key = f"operator:{next(self._numbers)}"
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
        """Send a command; resend it to random hosts until it is answered."""
        call = CommandCall(proposal)
        self._call(caller, call)

        def resend() -> None:
            if proposal.command_id not in self.replies:
                self.platform.faults["resend"] += 1
                self._send(caller, proposal)
            elif not self.platform.faults_disabled and self.platform.rng.random() < 0.3:
                self.platform.faults["resend_of_answered"] += 1
                self._call(caller, call)

        self.platform._schedule(RESEND_MS * self.platform.rng.random(), resend)

    def _call(self, caller: int, call: Call) -> None:
        platform = self.platform
        running = [host for host in platform.hosts.values() if host.state is not None]
        if not running:
            return
        host = platform.rng.choice(running)
        observed = self.observed[caller]
        minimum = ObservedState(observed.number, dict(observed.requests))
        call_id = next(platform._sequence)
        self.open[call_id] = OpenCall(caller, call, host.id, minimum)
        platform._post(host, CallReceived(call_id, call))

    def on_host_crash(self, host: Host) -> None:
        for call_id, call in list(self.open.items()):
            if call.host == host.id:
                del self.open[call_id]

    # --- replies ---------------------------------------------------------

    def on_reply(self, call_id: int, reply: object) -> None:
        call = self.open.pop(call_id, None)
        if call is None:
            raise InvariantError("a reply to a call that is not open", call_id, reply)
        name = type(call.call).__name__
        if isinstance(reply, Refused) and reply.kind in TRANSIENT_REFUSALS:
            self.platform.counts[f"{name}: {reply.detail}"] += 1
            return
        self.platform.counts[f"{name}: answered"] += 1
        if isinstance(call.call, CommandCall):
            self._check_command_reply(call, call.call.proposal.command_id, reply)
        else:
            self._check_read_reply(call, reply)

    def _check_command_reply(self, call: OpenCall, key: str, reply: object) -> None:
        first = self.replies.setdefault(key, reply)
        if first != reply:
            raise InvariantError("two different replies to one key", key, first, reply)
        observed = self.observed[call.caller]
        match reply:
            case RequestAccepted(request_id):
                if request_id not in self.accepted:
                    self.accepted.append(request_id)
                observed.requests.setdefault(request_id, (0, False))
            case ChangeAccepted(number):
                if self.changes.setdefault(number, key) != key:
                    raise InvariantError("two accepted changes with one number", number)
                observed.number = max(observed.number, number)
            case Refused(kind=ErrorKind.CONFLICT, current_number=number):
                observed.number = max(observed.number, number)

    def _check_read_reply(self, call: OpenCall, reply: object) -> None:
        self.reads += 1
        observed = self.observed[call.caller]
        match reply:
            case ConfigurationView(change):
                if change.number < call.minimum.number:
                    raise InvariantError("a configuration read is stale", change.number)
                key = self.changes.get(change.number)
                if key is not None and change.note != key:
                    raise InvariantError(
                        "a configuration differs from the change with its number",
                        change,
                        key,
                    )
                observed.number = max(observed.number, change.number)
            case RequestView(request):
                is_done = request.phase is RequestPhase.DONE
                state = (request.attempts_made, is_done)
                minimum_state = call.minimum.requests.get(request.id, (0, False))
                if state[0] < minimum_state[0] or state[1] < minimum_state[1]:
                    raise InvariantError("a read is stale", request, minimum_state)
                observed_state = observed.requests.get(request.id, (0, False))
                observed.requests[request.id] = max(observed_state, state)
                outcome = request.outcome
                if outcome and outcome.outcome is Outcome.NOT_RUN:
                    self.platform.work.not_run.add(request.id)
            case Refused() if (
                isinstance(call.call, GetRequest)
                and call.call.request_id in call.minimum.requests
            ):
                raise InvariantError("an accepted request is refused", call, reply)
