"""Random runs of jobs with workers that start again under the id they had.

A later boot holds nothing of the earlier one: its clock, fence, ends and
counts start anew. Calls name the id alone, so one that was made to a boot may
be carried out by a later one, also seconds late and without an answer. Crashes
of workers, runners and leaders come in series and overlap.
"""

from collections import Counter, defaultdict, deque
from functools import partial, singledispatch

import attrs

from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.jobs.job_records import RunId, TaskId
from crocuswell_core.jobs.run_labels import task_label
from crocuswell_core.runner.worker_calls import (
    ConfirmBoot,
    ListRuns,
    NoAnswer,
    RunsListed,
    StartOnWorker,
    StopOnWorker,
    WorkerCall,
    WorkerHeartbeat,
    WorkerReply,
)
from crocuswell_core.runtime.effects import Effect, EmitLogEvent
from crocuswell_core.runtime.events import CallReceived, WorkerReplied
from tests.group_harness import Host
from tests.job_fleet import (
    CALL_TIMEOUT_MS,
    PLAY_MS,
    PROVEN_CRASHES,
    SEEDS,
    JobFleet,
    Worker,
)
from tests.simulated_host import InvariantError

SAME_ID_SHARE = 0.8
LOWER_BORN_SHARE = 0.15
LATE_HEARTBEAT_SHARE = 0.03
# Share of the calls that are carried out later than they are answered.
LATE_SHARE = 0.5
MAX_LATE_MS = 12_000
MAX_TRANSIT_MS = 60
MAX_REPLY_MS = 300
# Starts that were sent within this time may be on their way.
RECENT_MS = 2 * CALL_TIMEOUT_MS
# Time between two looks of a worker that holds a list back.
HOLD_MS = 10
MAX_TRACE_LINES = 100_000
MAX_SHOWN_LINES = 60


@attrs.frozen
class TraceLine:
    """A message that reached a boot, or a line that a process logged.

    Attributes
    ----------
    at_ms : int
        Virtual time in ms.
    source : str
        Machine of the worker, or the process that logged it.
    subject : str
        Task that it concerns; empty for one about a boot.
    """

    at_ms: int
    source: str
    subject: str
    text: str

    def __str__(self) -> str:
        return f"{self.at_ms:7d} {self.source:3s} {self.text}"


@singledispatch
def call_subject(call: WorkerCall) -> str:
    """Return the task that a call concerns; empty if it concerns a boot."""
    return ""


@call_subject.register(StartOnWorker)
@call_subject.register(StopOnWorker)
def _(call: StartOnWorker | StopOnWorker) -> str:
    return task_label(call.run.task)


@singledispatch
def describe_call(call: WorkerCall) -> str:
    return type(call).__name__


@describe_call.register
def _(call: StartOnWorker) -> str:
    return f"start run {call.run.number} fence {call.fence}"


@describe_call.register
def _(call: StopOnWorker) -> str:
    return f"stop run {call.run.number} fence {call.fence}"


@describe_call.register
def _(call: ListRuns) -> str:
    return f"list last_seen {call.acknowledged_end} fence {call.fence}"


@describe_call.register
def _(call: ConfirmBoot) -> str:
    return f"confirm born {call.heartbeat.born_ms} fence {call.fence}"


@singledispatch
def crash_share(call: WorkerCall) -> float:
    """Return the share of calls just before which the worker crashes."""
    return 0.0


@crash_share.register
def _(call: StartOnWorker) -> float:
    return 0.04


@crash_share.register
def _(call: StopOnWorker) -> float:
    return 0.04


@crash_share.register
def _(call: ListRuns) -> float:
    return 0.001


def run_restarts_seed(seed: int, steps: int) -> "RestartingFleet":
    """Play one seed with workers that start again under their id."""
    fleet = RestartingFleet(seed)
    try:
        fleet.play(PLAY_MS)
    except InvariantError as exc:
        if isinstance(exc.args[1], RunId):
            exc.add_note("\n".join(fleet.trace_of(exc.args[1].task)))
        raise
    fleet.steps = steps
    return fleet


class RestartingFleet(JobFleet):
    """Processes, workers and callers; workers come back under their id.

    No task crashes its workers. With every third seed workers also refuse
    orders at times.
    """

    def __init__(self, seed: int) -> None:
        self.trace: deque[TraceLine] = deque(maxlen=MAX_TRACE_LINES)
        self._newest_start: dict[TaskId, tuple[RunId, Worker]] = {}
        self._crashes_beside: Counter[str] = Counter()
        # Time of the newest start of a task that was sent to a worker.
        self._ordered_ms: dict[str, dict[str, int]] = defaultdict(dict)
        super().__init__(seed, refuses=seed % 3 == 0)
        self._crashing_share = 0.0
        self._schedule(3_000, self._inject_restarts)

    def trace_of(self, task: TaskId) -> list[str]:
        """Return the newest lines on a task, and on all boots."""
        label = task_label(task)
        lines = [str(line) for line in self.trace if line.subject in ("", label)]
        return lines[-MAX_SHOWN_LINES:]

    def _note(self, source: str, subject: str, text: str) -> None:
        self.trace.append(TraceLine(self.now_ms, source, subject, text))

    # --- calls to workers --------------------------------------------------

    def _call_worker(self, call: WorkerCall, host: Host) -> None:
        boot = self.workers[host.name]
        if isinstance(call, StartOnWorker):
            self._ordered_ms[boot.name][call_subject(call)] = self.now_ms
        if boot.down_until_ms > self.now_ms:
            refused = WorkerReplied(call, NoAnswer("refused", sent=False))
            self._schedule(1, partial(self.post, host, refused))
            return
        if self.rng.random() < self._unanswered_share():
            self._call_unanswered(call, host, boot)
            return
        transit_ms = self.rng.choice((1, 1, 1, self.rng.randint(1, MAX_TRANSIT_MS)))
        if not self.is_calm and self.rng.random() < crash_share(call):
            self.faults["crash_under_call"] += 1
            down_ms = self.rng.randint(1, MAX_TRANSIT_MS)
            self._schedule(transit_ms, partial(self._restart, boot.name, down_ms))
            transit_ms += down_ms + 1
        sent_ms = self.now_ms
        arrive = partial(self._answer, call, host, boot, sent_ms)
        self._schedule(transit_ms, arrive)

    def _call_unanswered(self, call: WorkerCall, host: Host, boot: Worker) -> None:
        """Lose the call or its answer; it may be carried out much later."""
        self.faults["unanswered"] += 1
        reply = NoAnswer("timed out", sent=True)
        answer = partial(self.post, host, WorkerReplied(call, reply))
        self._schedule(CALL_TIMEOUT_MS, answer)
        arrive = partial(self._serve_unanswered, call, boot, self.now_ms)
        if self.rng.random() < LATE_SHARE:
            self._schedule(self.rng.randint(1_000, MAX_LATE_MS), arrive)
        elif self.rng.random() < 0.8:
            self._schedule(1, arrive)

    def _serve_unanswered(self, call: WorkerCall, boot: Worker, sent_ms: int) -> None:
        self._serve_current(call, boot, sent_ms)

    def _answer(
        self, call: WorkerCall, host: Host, sent_to: Worker, sent_ms: int
    ) -> None:
        reply: WorkerReply = NoAnswer("reset", sent=True)
        boot = self.workers[sent_to.name]
        if boot is sent_to or self.rng.random() < 0.7:
            reply = self._serve_current(call, sent_to, sent_ms)
        if isinstance(call, ListRuns) and isinstance(reply, RunsListed):
            self._hold(call, host, boot, self.now_ms + call.wait_ms)
        else:
            self._reply(call, host, reply)

    def _reply(self, call: WorkerCall, host: Host, reply: WorkerReply) -> None:
        delay_ms = self.rng.choice((1, 1, 1, self.rng.randint(1, MAX_REPLY_MS)))
        answer = partial(self.post, host, WorkerReplied(call, reply))
        self._schedule(delay_ms, answer)

    def _hold(self, call: ListRuns, host: Host, boot: Worker, until_ms: int) -> None:
        """Answer with a list once a run has ended, or at `until_ms`."""
        is_gone = self.workers[boot.name] is not boot
        if not (is_gone or boot.ended) and self.now_ms < until_ms:
            self._schedule(HOLD_MS, partial(self._hold, call, host, boot, until_ms))
            return
        reply: WorkerReply = NoAnswer("reset", sent=True)
        if not is_gone:
            self._lapse(boot)
            reply = self._obey(call, boot)
        self._reply(call, host, reply)

    def _serve_current(
        self, call: WorkerCall, sent_to: Worker, sent_ms: int
    ) -> WorkerReply:
        """Let the boot that is up now carry out a call, also for another."""
        boot = self.workers[sent_to.name]
        if boot.down_until_ms > self.now_ms:
            return NoAnswer("reset", sent=True)
        ends = len(boot.ended)
        text = f"{describe_call(call)} sent {sent_ms} to {sent_to.id}@{sent_to.born_ms}"
        if boot is not sent_to:
            self.faults["served_by_later_boot"] += 1
            text += f", reaches {boot.id}@{boot.born_ms}"
        subject = call_subject(call)
        self._note(boot.name, subject, text)
        reply = self._serve(call, boot)
        if len(boot.ended) < ends or boot is not sent_to or subject:
            kept = f"{len(boot.running)} runs, ends {ends} -> {len(boot.ended)}"
            self._note(boot.name, subject, f"  {type(reply).__name__}; {kept}")
        else:
            self.trace.pop()
        return reply

    def _check_start(self, run: RunId, worker: Worker) -> None:
        super()._check_start(run, worker)
        self._newest_start[run.task] = (run, worker)

    def _note_done(self, run: RunId, worker: Worker) -> None:
        super()._note_done(run, worker)
        self._note(worker.name, task_label(run.task), f"end as done of {run} noted")
        if self._newest_start[run.task] != (run, worker):
            raise InvariantError("a task that is done has started again", run)

    # --- boots -------------------------------------------------------------

    def _crash(self, name: str) -> None:
        up_ms = self.workers[name].down_until_ms
        if up_ms > self.now_ms:
            # It crashes soon after it is up again.
            delay_ms = up_ms - self.now_ms + self.rng.randint(1, 500)
            self._schedule(delay_ms, partial(self._crash, name))
            return
        down_ms = self.rng.choice(
            (self.rng.randint(1, 60), self.rng.randint(1, 500), 3_000)
        )
        self._restart(name, down_ms)

    def _restart(self, name: str, down_ms: int) -> None:
        """Let a worker crash, and start again after `down_ms`.

        Not if the crash would make a task look like its cause.
        """
        earlier = self.workers[name]
        if earlier.down_until_ms > self.now_ms:
            return
        ordered_ms = self._ordered_ms[name]
        tasks = {task_label(run.task) for run in earlier.running}
        tasks |= {t for t, ms in ordered_ms.items() if self.now_ms - ms < RECENT_MS}
        if any(self._crashes_beside[task] >= PROVEN_CRASHES - 1 for task in tasks):
            return
        self._crashes_beside.update(tasks)
        up_ms = self.now_ms + down_ms
        keeps_id = self.rng.random() < SAME_ID_SHARE
        born_ms = up_ms
        if self.rng.random() < LOWER_BORN_SHARE and earlier.born_ms > 1:
            born_ms = self.rng.randint(1, earlier.born_ms - 1)
        silent_ms = self.rng.choice((0, 0, self.rng.randint(0, 2_000)))
        boot = Worker(
            name,
            born_ms,
            earlier.id if keeps_id else f"{name}-{up_ms}",
            clock_start_ms=up_ms,
            down_until_ms=up_ms,
            silent_until_ms=up_ms + silent_ms,
        )
        self.workers[name] = boot
        self.faults["restart_with_runs" if earlier.running else "restart"] += 1
        runs = " ".join(f"{task_label(r.task)}/{r.number}" for r in earlier.running)
        text = f"{earlier.id}@{earlier.born_ms} crashes with [{runs}]"
        up = f"{boot.id}@{born_ms} up at {up_ms}, pings from {boot.silent_until_ms}"
        self._note(name, "", f"{text}; {up}")
        first_ms = boot.silent_until_ms - self.now_ms
        self._schedule(first_ms, partial(self._announce_if_up, boot))

    def _announce_if_up(self, boot: Worker) -> None:
        if self.workers[boot.name] is boot:
            self._announce(boot)

    def _post_heartbeat(self, name: str, heartbeat: WorkerHeartbeat) -> None:
        if self.rng.random() < LATE_HEARTBEAT_SHARE:
            self.faults["late_heartbeat"] += 1
            late_ms = self.rng.randint(200, 6_000)
            self._schedule(late_ms, partial(self._post_late, name, heartbeat))
            return
        super()._post_heartbeat(name, heartbeat)

    def _post_late(self, name: str, heartbeat: WorkerHeartbeat) -> None:
        self.post(self.hosts[name], CallReceived(-1, heartbeat))

    # --- faults ------------------------------------------------------------

    def _inject_restarts(self) -> None:
        """Restart a worker, at times in series, or with its runner."""
        if self.is_calm:
            return
        self._schedule(self.rng.randint(2_000, 8_000), self._inject_restarts)
        name = self.rng.choice(sorted(self.workers))
        at_ms = 0
        for _ in range(self.rng.choice((1, 1, 2, 3))):
            self._schedule(at_ms, partial(self._crash, name))
            at_ms += self.rng.randint(20, 1_500)
        beside = self.rng.choice((None, self._kill_runner, self._kill_leader))
        if beside is not None:
            self._schedule(self.rng.randint(0, 300), partial(beside, name))

    def _kill_runner(self, name: str) -> None:
        self.faults["kill_runner"] += 1
        self._note(name, "", "runner killed and started")
        self.kill(name)
        self._boot_runner(name)

    def _kill_leader(self, name: str) -> None:
        leading = [
            seed
            for seed in SEEDS
            if seed in self.hosts
            and self.hosts[seed].state.consensus.role is Role.LEADER
        ]
        for leader in leading:
            self.faults["kill_leader"] += 1
            self._note(leader, "", "leader killed")
            self.kill(leader)
            delay_ms = self.rng.randint(100, 3_000)
            self._schedule(delay_ms, partial(self._start_if_down, leader))

    def _execute(self, host: Host, effect: Effect) -> None:
        if isinstance(effect, EmitLogEvent):
            labels = {label.name: label.value for label in effect.ids}
            text = " ".join(f"{name}={value}" for name, value in labels.items())
            self._note(host.name, labels.get("task", ""), f"{effect.event} {text}")
        super()._execute(host, effect)
