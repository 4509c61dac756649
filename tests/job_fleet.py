"""Random runs of jobs: control hosts, runners, workers and callers together.

All processes are the real reducers; the network, the workers and the callers
are simulated in virtual time. One seed makes all choices. The fleet checks,
from what workers and callers see, that no task runs twice, that none starts
after its end is recorded, that no accepted job is lost, that an acknowledged
catalog stays in force, that nothing starts in an evacuated failure domain, and
that the tasks that crash their workers, and only those, are given up.
"""

import random
from collections import Counter
from functools import partial, singledispatchmethod
from typing import Any

import attrs

from crocuswell_core.cluster.commands import (
    EndEvacuation,
    EvacuationSet,
    Proposal,
    StartEvacuation,
)
from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.entry.calls import Call, CommandCall
from crocuswell_core.jobs.job_commands import (
    CatalogInForce,
    CatalogView,
    GetCatalog,
    GetJob,
    JobAccepted,
    JobView,
    PutCatalog,
    SubmitJob,
)
from crocuswell_core.jobs.job_records import (
    JobPhase,
    RunEnd,
    RunEndKind,
    RunId,
    RunProgress,
    TaskId,
)
from crocuswell_core.links.link_messages import WorkerReport
from crocuswell_core.links.uplink import Uplink
from crocuswell_core.runner.runner_state import RunnerConfig, RunnerState
from crocuswell_core.runner.worker_calls import (
    ConfirmBoot,
    ListRuns,
    NoAnswer,
    OrderAccepted,
    OrderRefused,
    OtherWorker,
    RunsListed,
    StartOnWorker,
    StopOnWorker,
    WorkerCall,
    WorkerHeartbeat,
    WorkerReply,
)
from crocuswell_core.runtime.effects import (
    AnswerCall,
    CallWorker,
    Effect,
    SendAgent,
    SendEntry,
    SendPeer,
)
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    CallReceived,
    EntryMessageReceived,
    Event,
    RunnerBooted,
    WorkerReplied,
)
from crocuswell_platform.worker_json import MAX_LISTED_ENDS
from tests.group_harness import DELAY_MS, Disk, Group, Host, Stream
from tests.job_harness import CAPACITY, LONG, TIGHT, URGENT, address, catalog, step
from tests.simulated_host import InvariantError

SEEDS = ("a", "b", "c")
WORKERS = 5
MAX_LEASE_MS = 6_000
CALL_TIMEOUT_MS = 1_000
HEARTBEAT_MS = 1_000
STOP_MS = 100
PLAY_MS = 60_000
SETTLE_MS = 40_000
# The first task of some jobs crashes each worker that starts it.
CRASHING = "crashing"
CRASHING_SHARE = 0.1
CRASH_AFTER_MS = 10
PROVEN_CRASHES = 3
MAX_LATE_STARTS = 2
# Evacuations end early enough for the jobs that they delay.
EVACUATIONS_MS = 40_000
DOMAINS = ("d0", "d1", "d2")
# After this time nothing may start in an evacuated domain: the time for which
# a runner starts runs without contact, and some more.
EVACUATION_MS = 2_500
MALFORMED = RunId(TaskId("job-0", 7, 0), 1)


@attrs.define(eq=False)
class Worker:
    """A simulated worker; it has one runner."""

    name: str
    born_ms: int
    id: str = attrs.Factory(lambda self: f"{self.name}-{self.born_ms}", takes_self=True)
    # Time at which its clock was at 0.
    clock_start_ms: int = 0
    fence: int = 0
    sequence: int = 0
    lease_end_ms: int = 0
    running: dict[RunId, int] = attrs.Factory(dict)
    ended: list[RunEnd] = attrs.Factory(list)
    ends: int = 0
    refused: dict[TaskId, int] = attrs.Factory(dict)
    down_until_ms: int = 0
    unwell_until_ms: int = 0
    silent_until_ms: int = 0
    lapsed_end: int = 0

    @property
    def failure_domain(self) -> str:
        return DOMAINS[int(self.name[1:]) // 2]

    def clock_ms(self, now_ms: int) -> int:
        return now_ms - self.clock_start_ms


def run_jobs_seed(seed: int, steps: int, refuses: bool = False) -> "JobFleet":
    """Play one seed; `steps` is the number of events it counts as."""
    fleet = JobFleet(seed, refuses=refuses)
    fleet.play(PLAY_MS)
    fleet.steps = steps
    return fleet


def run_refusals_seed(seed: int, steps: int) -> "JobFleet":
    """Play one seed with workers that refuse orders at times."""
    return run_jobs_seed(seed, steps, refuses=True)


class JobFleet(Group):
    """Processes, workers and callers under random faults.

    Parameters
    ----------
    evacuates : bool
        Whether an operator evacuates failure domains; no task crashes its
        workers then.
    refuses : bool
        Whether workers refuse starts and stops for some seconds at a time.
    """

    snapshot_entries = 60
    max_listed_ends = MAX_LISTED_ENDS

    def __init__(
        self, seed: int, evacuates: bool = False, refuses: bool = False
    ) -> None:
        super().__init__(SEEDS)
        self.rng = random.Random(seed)
        self.faults: Counter[str] = Counter()
        self.workers: dict[str, Worker] = {}
        self.accepted_jobs: set[str] = set()
        self.done: set[TaskId] = set()
        self.acknowledged_version = 0
        self.starts = 0
        self.steps = 0
        self.crashes_under: Counter[TaskId] = Counter()
        self.late_starts: Counter[TaskId] = Counter()
        self.is_calm = False
        # Runs with an order that a worker left unanswered.
        self.unanswered_runs: set[RunId] = set()
        self._last_reports: dict[str, WorkerReport] = {}
        self._arrivals: dict[str, int] = {}
        self._cut: dict[str, int] = {}
        self._paused: dict[str, int] = {}
        self._slow_until_ms = 0
        self._calls: dict[int, Call] = {}
        self._version_at_call: dict[int, int] = {}
        self._call_count = 0
        self._job_count = 0
        self._version = 1
        self._evacuated_ms: dict[str, int] = {}
        self._evacuations_ended = not evacuates
        self._crashing_share = 0.0 if evacuates else CRASHING_SHARE
        self._awaits_order = False
        # Orders that were sent again may also be carried out much later.
        self._resent_domains: set[str] = set()
        self._late_ms = 0
        self._work_ms: dict[TaskId, int] = {}
        for name in SEEDS:
            self.start(name, founds=name == SEEDS[0])
        self.run(2_000)
        for number in range(WORKERS):
            self._add_worker(f"m{number}")
        self._schedule(10, self._change_catalog)
        self._schedule(1_000, self._submit)
        self._schedule(4_000, self._operate)
        if evacuates:
            for end_ms in (EVACUATIONS_MS, PLAY_MS):
                self._schedule(end_ms, self._end_evacuations)
        self._schedule(3_000, self._inject_fault)
        if refuses:
            self._schedule(3_000, self._make_unwell)

    def play(self, ms: int) -> None:
        """Run with faults, then without, and check what callers were told."""
        self.run(ms)
        self._cut.clear()
        self.is_calm = True
        for name in SEEDS:
            if name not in self.hosts:
                self.start(name)
        self.run(SETTLE_MS)
        jobs = self.leader().state.cluster.jobs.jobs
        if lost := sorted(self.accepted_jobs - jobs.keys()):
            raise InvariantError("accepted jobs are lost", lost)
        if stuck := [job.id for job in jobs.values() if job.is_open]:
            raise InvariantError("jobs do not end", stuck)
        failed = [j.id for j in jobs.values() if j.phase is JobPhase.FAILED]
        if failed := [id_ for id_ in failed if not id_.startswith(CRASHING)]:
            raise InvariantError("jobs failed without a cause", failed)

    # --- processes ---------------------------------------------------------

    def leader(self) -> Host:
        leading = [
            self.hosts[name]
            for name in SEEDS
            if name in self.hosts
            and self.hosts[name].state.consensus.role is Role.LEADER
        ]
        return max(leading, key=lambda host: host.state.consensus.term)

    def _add_worker(self, name: str) -> None:
        self.workers[name] = Worker(name, self.now_ms)
        self._boot_runner(name)
        self._schedule(self.rng.randrange(500), partial(self._send_heartbeat, name))

    def _boot_runner(self, name: str) -> None:
        uplink = Uplink(name, tuple(f"{seed}:2" for seed in SEEDS))
        cfg = RunnerConfig(name, may_be_evacuated=not self._evacuations_ended)
        state: Any = RunnerState(cfg, uplink)
        self.hosts[name] = Host(name, state, Disk(name))
        self.post(self.hosts[name], RunnerBooted())

    def post(self, host: Host, event: Event) -> None:
        paused_ms = self._paused.get(host.name, 0) - self.now_ms
        if paused_ms > 0:
            self._schedule(paused_ms, partial(self.post, host, event))
            return
        super().post(host, event)

    def _execute(self, host: Host, effect: Effect) -> None:
        if not self._carry_out(effect, host):
            super()._execute(host, effect)

    @singledispatchmethod
    def _carry_out(self, effect: Effect, host: Host) -> bool:
        """Carry out an effect on a worker or caller, if it is one."""
        return False

    @_carry_out.register
    def _(self, effect: CallWorker, host: Host) -> bool:
        self._call_worker(effect.call, host)
        return True

    def _call_worker(self, call: WorkerCall, host: Host) -> None:
        worker = self.workers[host.name]
        late_ms = 0
        if self.rng.random() < self._unanswered_share():
            self.faults["unanswered"] += 1
            if isinstance(call, StartOnWorker | StopOnWorker):
                self.unanswered_runs.add(call.run)
            late_ms = self.rng.choice((0, self.rng.randint(2_000, 6_000)))
            reply: WorkerReply = NoAnswer("timed out", sent=True)
            answer = partial(self.post, host, WorkerReplied(call, reply))
            self._schedule(CALL_TIMEOUT_MS, answer)
            serve_late = partial(self._serve_unheard, call, worker, late_ms)
            self._schedule(1 + late_ms, serve_late)
            return

        def serve() -> None:
            served = self._serve(call, worker)
            self._schedule(1, partial(self.post, host, WorkerReplied(call, served)))

        self._schedule(1, serve)

    @_carry_out.register
    def _(self, effect: AnswerCall, host: Host) -> bool:
        call = self._calls.pop(effect.call_id, None)
        if call is None:
            return host.name in self.workers
        if self.rng.random() < 0.2:
            # The answer is lost, and the caller sends the same call again.
            self.faults["lost_answer"] += 1
            self._schedule(300, partial(self._call, call))
        else:
            self._note_reply(effect.reply, call, effect.call_id)
        return True

    # --- the network -------------------------------------------------------

    def _is_cut(self, *names: str) -> bool:
        return any(self._cut.get(name, 0) > self.now_ms for name in names)

    def _delay_ms(self) -> int:
        if self.now_ms < self._slow_until_ms:
            return self.rng.randint(DELAY_MS, 2_500)
        return DELAY_MS

    def _send_peer(self, host: Host, effect: SendPeer) -> None:
        if not self._is_cut(host.name, host.peers.get(effect.to, "")):
            super()._send_peer(host, effect)

    def _send_up(self, host: Host, effect: SendEntry) -> None:
        stream = host.uplinks.get(effect.stream_id)
        if stream is None:
            return
        if isinstance(effect.message, WorkerReport):
            self._last_reports[host.name] = effect.message
        event = AgentMessageReceived(stream.server_id, effect.message)
        self._deliver(stream, stream.server, host, event)

    def _send_down(self, host: Host, effect: SendAgent) -> None:
        stream = host.accepted.get(effect.stream_id)
        if stream is None:
            return
        event = EntryMessageReceived(stream.client_id, effect.message)
        self._deliver(stream, stream.client, host, event)

    def _deliver(self, stream: Stream, to: Host, sender: Host, event: Event) -> None:
        """Deliver in order, after a cut, unless the stream has ended."""
        key = f"{sender.name}>{to.name}"
        at_ms = max(
            self.now_ms + self._delay_ms(),
            self._arrivals.get(key, 0),
            self._cut.get(sender.name, 0),
            self._cut.get(to.name, 0),
        )
        self._arrivals[key] = at_ms

        def arrive() -> None:
            if stream.client.uplinks.get(stream.client_id) is stream:
                self.post(to, event)

        self._schedule(at_ms - self.now_ms, arrive)

    # --- workers -----------------------------------------------------------

    def _send_heartbeat(self, name: str) -> None:
        self._schedule(HEARTBEAT_MS, partial(self._send_heartbeat, name))
        worker = self.workers[name]
        if max(worker.down_until_ms, worker.silent_until_ms) <= self.now_ms:
            self._announce(worker)

    def _announce(self, worker: Worker) -> None:
        name = worker.name
        worker.sequence += 1
        heartbeat = WorkerHeartbeat(
            worker.id,
            worker.born_ms,
            worker.sequence,
            f"{name}:9",
            "press",
            worker.failure_domain,
            f"r{int(name[1:]) // 2}",
            ("a",),
            CAPACITY,
            worker.clock_ms(self.now_ms),
        )
        self._post_heartbeat(name, heartbeat)

    def _post_heartbeat(self, name: str, heartbeat: WorkerHeartbeat) -> None:
        self.post(self.hosts[name], CallReceived(-1, heartbeat))

    def _serve_unheard(self, call: WorkerCall, worker: Worker, late_ms: int) -> None:
        self._late_ms = late_ms
        self._serve(call, worker)
        self._late_ms = 0

    def _serve(self, call: WorkerCall, worker: Worker) -> WorkerReply:
        is_gone = self.workers[worker.name] is not worker
        if is_gone or worker.down_until_ms > self.now_ms:
            return NoAnswer("refused", sent=False)
        if call.worker != worker.id:
            return OtherWorker()
        self._lapse(worker)
        is_order = isinstance(call, StartOnWorker | StopOnWorker)
        if is_order and self.now_ms < worker.unwell_until_ms:
            self.faults["refused_order"] += 1
            return OrderRefused(0, "unwell", is_unable=True)
        if call.fence < worker.fence:
            return OrderRefused(worker.clock_ms(self.now_ms), "fence")
        worker.fence = call.fence
        return self._obey(call, worker)

    @singledispatchmethod
    def _obey(self, call: WorkerCall, worker: Worker) -> WorkerReply:
        raise NotImplementedError(type(call).__name__)

    @_obey.register
    def _(self, call: StartOnWorker, worker: Worker) -> WorkerReply:
        clock_ms = worker.clock_ms(self.now_ms)
        self._extend(worker, call.lease_end_ms)
        run = call.run
        if run in worker.running:
            return OrderAccepted(clock_ms)
        if run.number <= worker.refused.get(run.task, 0):
            return OrderRefused(clock_ms, "old")
        if call.lease_end_ms <= clock_ms:
            return OrderRefused(clock_ms, "late")
        self._check_start(run, worker)
        self.starts += 1
        worker.running[run] = self.now_ms
        work_ms = self._work_ms.setdefault(run.task, self._draw_work_ms())
        if run.task.job_id.startswith(CRASHING) and run.task.index == 0:
            self._check_late_start(run)
            self._schedule(CRASH_AFTER_MS, partial(self._crash_under, run, worker))
            return OrderAccepted(clock_ms)
        end = partial(self._end, worker, run, RunEndKind.DONE, worker.born_ms)
        self._schedule(work_ms, end)
        return OrderAccepted(clock_ms)

    @_obey.register
    def _(self, call: StopOnWorker, worker: Worker) -> WorkerReply:
        known = worker.refused.get(call.run.task, 0)
        worker.refused[call.run.task] = max(known, call.run.number)
        stop = partial(self._end, worker, call.run, RunEndKind.STOPPED, worker.born_ms)
        self._schedule(STOP_MS, stop)
        return OrderAccepted(worker.clock_ms(self.now_ms))

    @_obey.register
    def _(self, call: ConfirmBoot, worker: Worker) -> WorkerReply:
        return self._obey(ListRuns(call.worker, call.fence, 0), worker)

    @_obey.register
    def _(self, call: ListRuns, worker: Worker) -> WorkerReply:
        if call.lease_end_ms:
            self._extend(worker, call.lease_end_ms)
        for end in worker.ended:
            # After a lapse the run may have been given up before its end.
            recorded = worker.lapsed_end < end.number <= call.acknowledged_end
            if recorded and end.kind is RunEndKind.DONE:
                self._note_done(end.run, worker)
        worker.ended = [e for e in worker.ended if e.number > call.acknowledged_end]
        running = tuple(
            RunProgress(run, "", self._percent(run, since_ms))
            for run, since_ms in worker.running.items()
        )
        ended = tuple(worker.ended[: self.max_listed_ends])
        is_whole = len(ended) < self.max_listed_ends
        clock_ms = worker.clock_ms(self.now_ms)
        return RunsListed(
            clock_ms, worker.born_ms, running, ended, lists_all_ends=is_whole
        )

    def _draw_work_ms(self) -> int:
        return self.rng.randint(500, 9_000)

    def _percent(self, run: RunId, since_ms: int) -> int:
        return min(99, 100 * (self.now_ms - since_ms) // self._work_ms[run.task])

    def _note_done(self, run: RunId, worker: Worker) -> None:
        """Note that the end of a run as done is acknowledged."""
        self.done.add(run.task)

    def _extend(self, worker: Worker, end_ms: int) -> None:
        end_ms = min(end_ms + worker.clock_start_ms, self.now_ms + MAX_LEASE_MS)
        worker.lease_end_ms = max(worker.lease_end_ms, end_ms)

    def _lapse(self, worker: Worker) -> None:
        if self.now_ms > worker.lease_end_ms:
            worker.lapsed_end = worker.ends
            for run in list(worker.running):
                self._end(worker, run, RunEndKind.LAPSED, worker.born_ms)

    def _end(self, worker: Worker, run: RunId, kind: RunEndKind, born_ms: int) -> None:
        if worker.born_ms != born_ms or run not in worker.running:
            return
        if kind is RunEndKind.DONE and self.now_ms > worker.lease_end_ms:
            kind = RunEndKind.LAPSED
        del worker.running[run]
        worker.ends += 1
        worker.ended.append(RunEnd(worker.ends, run, kind))
        known = worker.refused.get(run.task, 0)
        worker.refused[run.task] = max(known, run.number)

    def _check_start(self, run: RunId, worker: Worker) -> None:
        for other in self.workers.values():
            if other.down_until_ms > self.now_ms or self.now_ms > other.lease_end_ms:
                continue
            for present in other.running:
                if present.task == run.task:
                    raise InvariantError("a task runs twice", run, other.name)
        evacuated_ms = self._evacuated_ms.get(worker.failure_domain, self.now_ms)
        since_ms = self.now_ms - self._late_ms - evacuated_ms
        if since_ms > EVACUATION_MS:
            raise InvariantError("a run starts in an evacuated domain", run, since_ms)
        if run.task in self.done:
            raise InvariantError("a task that is done starts again", run)

    def _check_late_start(self, run: RunId) -> None:
        """Check that a task that crashes its workers does not go on."""
        crashes = self.crashes_under[run.task]
        self.late_starts[run.task] += crashes >= PROVEN_CRASHES
        if self.late_starts[run.task] > MAX_LATE_STARTS:
            raise InvariantError("a task goes on crashing workers", run, crashes)

    def _crash_under(self, run: RunId, worker: Worker) -> None:
        if run in worker.running and self.workers[worker.name] is worker:
            self.crashes_under[run.task] += 1
            self._crash(worker.name)

    # --- callers -----------------------------------------------------------

    def _call(self, call: Call) -> None:
        names = [name for name in SEEDS if name in self.hosts]
        if not names or self._is_cut(names[0]):
            self._schedule(300, partial(self._call, call))
            return
        self._call_count += 1
        self._calls[self._call_count] = call
        self._version_at_call[self._call_count] = self.acknowledged_version
        host = self.hosts[self.rng.choice(names)]
        self.post(host, CallReceived(self._call_count, call))
        self._schedule(3_000, partial(self._resend, self._call_count))

    def _resend(self, call_id: int) -> None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._note_resent(call)
            self._call(call)

    def _note_resent(self, call: Call) -> None:
        if isinstance(call, CommandCall) and isinstance(
            call.proposal.command, StartEvacuation | EndEvacuation
        ):
            self._resent_domains.add(call.proposal.command.failure_domain)

    def _operate(self) -> None:
        """Evacuate a domain, or end an evacuation; wait for the answer."""
        domains = set(DOMAINS) - self._resent_domains
        if len(self._evacuated_ms) > 1:
            domains &= self._evacuated_ms.keys()
        if self._evacuations_ended or self._awaits_order or not domains:
            return
        self._awaits_order = True
        # Operators evacuate a domain when something there goes wrong.
        dark = {w.failure_domain for w in self.workers.values() if self._is_cut(w.name)}
        dark -= self._evacuated_ms.keys()
        domain = self.rng.choice(sorted(domains & dark or domains))
        self.faults["evacuation"] += 1
        is_evacuated = self._evacuated_ms.pop(domain, None) is not None
        kind = EndEvacuation if is_evacuated else StartEvacuation
        self._send_order(kind(domain))

    def _send_order(self, command: StartEvacuation | EndEvacuation) -> None:
        key = f"{type(command).__name__}/{command.failure_domain}"
        self._call(CommandCall(Proposal(key, "", command)))

    def _end_evacuations(self) -> None:
        self._evacuations_ended = True
        self._evacuated_ms.clear()
        for domain in DOMAINS:
            self._send_order(EndEvacuation(domain))

    def _submit(self) -> None:
        if self.is_calm:
            return
        self._schedule(self.rng.randint(200, 2_500), self._submit)
        prefix = CRASHING if self.rng.random() < self._crashing_share else "job"
        job_id = f"{prefix}-{self._job_count}"
        self._job_count += 1
        spec = step(self.rng.randint(1, 3), self.rng.choice((1, 2, 4)))
        queue = self.rng.choice((URGENT, LONG, TIGHT))
        command = SubmitJob(job_id, address(queue), "work", (spec,))
        self._call(CommandCall(Proposal("", "", command)))

    def _change_catalog(self) -> None:
        self._schedule(self.rng.randint(2_000, 6_000), self._change_catalog)
        # An older change may arrive again.
        for version in (self._version, max(1, self._version - 1)):
            self._call(CommandCall(Proposal("", "", PutCatalog(catalog(version)))))
        self._version += self.rng.randint(1, 3)
        self._schedule(1_500, lambda: self._call(GetCatalog()))

    @singledispatchmethod
    def _note_reply(self, reply: object, call: Call, call_id: int) -> None:
        """Note what a caller was told; a refusal is sent again."""
        self._note_resent(call)
        if not isinstance(call, GetCatalog | GetJob):
            self._schedule(500, partial(self._call, call))

    @_note_reply.register
    def _(self, reply: JobAccepted, call: Call, call_id: int) -> None:
        self.accepted_jobs.add(reply.job_id)
        self._schedule(9_000, lambda: self._call(GetJob(reply.job_id, address(LONG))))
        if self.rng.random() < 0.3:
            self._schedule(self.rng.randint(100, 12_000), partial(self._call, call))

    @_note_reply.register
    def _(self, reply: CatalogInForce, call: Call, call_id: int) -> None:
        self.acknowledged_version = max(self.acknowledged_version, reply.version)

    @_note_reply.register
    def _(self, reply: EvacuationSet, call: Call, call_id: int) -> None:
        self._awaits_order = False
        if reply.is_evacuated and not self._evacuations_ended:
            self._evacuated_ms[reply.failure_domain] = self.now_ms
        self._schedule(self.rng.randint(3_000, 9_000), self._operate)

    @_note_reply.register
    def _(self, reply: CatalogView, call: Call, call_id: int) -> None:
        if reply.version < self._version_at_call[call_id]:
            raise InvariantError("an older catalog is in force", reply.version)

    @_note_reply.register
    def _(self, reply: JobView, call: Call, call_id: int) -> None:
        crashes_workers = reply.job_id.startswith(CRASHING)
        if reply.phase is JobPhase.FAILED and not crashes_workers:
            raise InvariantError("a job failed without a cause", reply.job_id)

    # --- faults ------------------------------------------------------------

    def _unanswered_share(self) -> float:
        return 0.3 if self.now_ms < self._slow_until_ms else 0.02

    def _inject_fault(self) -> None:
        if self.is_calm:
            return
        self._schedule(self.rng.randint(1_000, 5_000), self._inject_fault)
        faults = (
            self._cut_off,
            self._pause,
            self._restart_host,
            self._restart_runner,
            self._crash_workers,
            self._slow_down,
            self._send_malformed,
        )
        for fault in self.rng.sample(faults, self.rng.choice((1, 1, 2, 3))):
            self.faults[fault.__name__.strip("_")] += 1
            fault()

    def _cut_off(self) -> None:
        until_ms = self.now_ms + self.rng.randint(500, 12_000)
        for name in self.rng.sample(sorted(self.workers), self.rng.randint(1, 3)):
            self._cut[name] = until_ms
        self._schedule(300, self._operate)
        if self.rng.random() < 0.3:
            self._cut[self.rng.choice(SEEDS)] = self.now_ms + 3_000

    def _pause(self) -> None:
        name = self.rng.choice(sorted(self.hosts))
        until_ms = self.now_ms + self.rng.randint(200, 9_000)
        # Events wait for the end of a pause; a shorter one would let later
        # events overtake them, which no stream does.
        self._paused[name] = max(until_ms, self._paused.get(name, 0))

    def _restart_host(self) -> None:
        name = self.rng.choice(SEEDS)
        if name in self.hosts:
            self.kill(name)
            delay_ms = self.rng.randint(100, 3_000)
            self._schedule(delay_ms, partial(self._start_if_down, name))

    def _start_if_down(self, name: str) -> None:
        if name not in self.hosts:
            self.start(name)

    def _restart_runner(self) -> None:
        name = self.rng.choice(sorted(self.workers))
        self.kill(name)
        self._boot_runner(name)

    def _crash_workers(self) -> None:
        for name in self.rng.sample(sorted(self.workers), self.rng.randint(1, 2)):
            if self.workers[name].down_until_ms <= self.now_ms:
                self._crash(name)

    def _crash(self, name: str) -> None:
        down_ms = self.rng.randint(500, 4_000)
        worker = Worker(name, self.now_ms, down_until_ms=self.now_ms + down_ms)
        self.workers[name] = worker

    def _make_unwell(self) -> None:
        """Make a worker refuse orders for a while; it still lists its runs."""
        if self.is_calm:
            return
        self._schedule(self.rng.randint(1_000, 4_000), self._make_unwell)
        worker = self.workers[self.rng.choice(sorted(self.workers))]
        worker.unwell_until_ms = self.now_ms + self.rng.randint(500, 6_000)

    def _slow_down(self) -> None:
        self._slow_until_ms = self.now_ms + self.rng.randint(500, 3_000)

    def _send_malformed(self) -> None:
        name = self.rng.choice(sorted(self.workers))
        last = self._last_reports.get(name)
        if last is None:
            return
        for stream in self.hosts[name].uplinks.values():
            report = attrs.evolve(last, running=(RunProgress(MALFORMED, "", 5),))
            event = AgentMessageReceived(stream.server_id, report)
            # A message does not overtake earlier ones of its stream.
            ahead_ms = self._arrivals.get(f"{name}>{stream.server.name}", 0)
            if ahead_ms > self.now_ms:
                self._deliver(stream, stream.server, self.hosts[name], event)
            else:
                self.post(stream.server, event)
