"""Preemption as a decision: what the claimant gains against what others lose.

For each group of workers, several plans are compared: to stop runs at once,
to count on runs that end soon and stop the others, and to wait for room that
becomes free by itself.
"""

import enum

import attrs

from crocuswell_core.dispatching.expectations import USUAL_SLOWDOWN, slowdown
from crocuswell_core.dispatching.expected_ends import (
    END_MARGIN_MS,
    RunOnWorker,
    runs_on,
    time_until_fit_ms,
)
from crocuswell_core.dispatching.fleet import CandidateWorker, FittingWorkers
from crocuswell_core.dispatching.preemption import ENDING_SOON_MS, Preemption
from crocuswell_core.dispatching.preemption_balance import (
    MAX_STOPS,
    MIN_CHANCE,
    Balance,
    Stake,
    loss_of_work,
    stake_of,
)
from crocuswell_core.dispatching.preemption_groups import (
    promising_groups,
    usable_candidates,
)
from crocuswell_core.dispatching.stoppable_units import (
    StoppableUnit,
    choose_units,
    copies_on,
    total_loss,
)
from crocuswell_core.dispatching.victims import RESUME_COST_S, find_victim
from crocuswell_core.dispatching.waiting_steps import RankedStep, WaitingStep
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import ResourceVector, RunId, StepKey

# Time that a stop takes until the resources are free.
STOP_MS = 400
# Runs that end within one of these times may be awaited instead of stopped.
HORIZONS_MS = (STOP_MS, ENDING_SOON_MS)


class Verdict(enum.Enum):
    """What was decided for a step that could stop others' runs."""

    STOP = "stop"
    AWAIT = "await"
    TOO_LATE = "too_late"
    TOO_DEAR = "too_dear"
    NO_ROOM = "no_room"


@attrs.frozen
class PreemptionPlan:
    """One way to make room for a step.

    Attributes
    ----------
    delay_ms : int
        Time in ms until the step can start.
    pace : float
        Slowdown of the slowest of its workers.
    awaits_ends : bool
        Whether it counts on runs that should end by themselves.
    """

    units: tuple[StoppableUnit, ...]
    tasks_by_worker: dict[str, int]
    delay_ms: int
    pace: float
    awaits_ends: bool

    @property
    def loss(self) -> float:
        """What the plan loses altogether, in core seconds."""
        return total_loss(self.units)

    @property
    def lost_core_s(self) -> float:
        """Lost work in core seconds."""
        return sum(unit.lost_core_s for unit in self.units)

    @property
    def runs(self) -> tuple[RunId, ...]:
        """Runs to stop."""
        return tuple(run for unit in self.units for run in unit.runs)


@attrs.frozen
class Weighing:
    """Result of weighing a preemption.

    Attributes
    ----------
    plan : PreemptionPlan or None
        What to do; None if the step waits.
    """

    verdict: Verdict
    balance: Balance
    plan: PreemptionPlan | None = None

    @property
    def preemption(self) -> Preemption | None:
        """The preemption to make, None if the step waits."""
        plan = self.plan
        if plan is None:
            return None
        return Preemption(
            plan.runs,
            plan.lost_core_s,
            plan.tasks_by_worker,
            plan.awaits_ends,
            plan.delay_ms + END_MARGIN_MS,
            self.balance,
        )


@attrs.define
class Claim:
    """A step that could stop others' runs, with what its caller has at stake.

    Attributes
    ----------
    usable : dict
        Workers that may hold its tasks, by the key of their boot.
    stakes : dict
        Stakes of others by key of the step.
    """

    ranked: RankedStep
    stake: Stake
    usable: dict[str, CandidateWorker] = attrs.Factory(dict)
    stakes: dict[StepKey, Stake] = attrs.Factory(dict)

    @property
    def is_guaranteed(self) -> bool:
        """Whether the step must start soon, whatever that costs."""
        return self.ranked.is_guaranteed

    def path_ms(self, pace: float) -> float:
        """Return the time in ms from the step's start to the job's end."""
        return pace * self.stake.step_ms + self.stake.after_ms

    def worth(self, delay_ms: float, pace: float) -> float:
        """Return the expected value in core seconds of a start."""
        return self.stake.worth(delay_ms, self.path_ms(pace))

    def has_chance(self, delay_ms: float, pace: float) -> bool:
        """Tell whether a start is likely enough to be in time."""
        chances = self.stake.chances(delay_ms, self.path_ms(pace))
        return chances.in_aim >= MIN_CHANCE

    def accepts(self, plan: PreemptionPlan) -> bool:
        """Tell whether a plan is within the limits for the step."""
        return self.is_guaranteed or (
            plan.lost_core_s <= self.ranked.preemption_limit_core_s
            and self.has_chance(plan.delay_ms, plan.pace)
        )

    def surplus(self, plan: PreemptionPlan) -> float:
        """Return what a plan is worth beyond its loss, in core seconds."""
        return self.worth(plan.delay_ms, plan.pace) - plan.loss


def weigh_preemption(
    state: EntryState, waiting: WaitingStep, fitting: FittingWorkers
) -> Weighing:
    """Decide whether runs are stopped for a step, and which."""
    ranked = waiting.ranked
    stake = stake_of(state, ranked.job, ranked.occurrence, ranked.step_index)
    claim = Claim(ranked, stake)
    if not claim.is_guaranteed and not claim.has_chance(STOP_MS, USUAL_SLOWDOWN):
        return Weighing(Verdict.TOO_LATE, Balance(0.0, 0.0))
    candidates = usable_candidates(state, ranked, fitting)
    claim.usable = {candidate.key: candidate for candidate in candidates}
    groups = promising_groups(state, ranked, candidates)
    plans = [plan for group in groups for plan in _plans(state, claim, group)]
    if not plans:
        return Weighing(Verdict.NO_ROOM, Balance(0.0, 0.0))
    waits_worth = max(_worth_of_waiting(state, claim, group) for group in groups)
    acceptable = [plan for plan in plans if claim.accepts(plan)]
    best = max(acceptable or plans, key=claim.surplus)
    balance = Balance(claim.worth(best.delay_ms, best.pace) - waits_worth, best.loss)
    if claim.is_guaranteed:
        return Weighing(Verdict.STOP, balance, best)
    if not claim.has_chance(best.delay_ms, best.pace):
        return Weighing(Verdict.TOO_LATE, balance)
    if not best.units:
        return Weighing(Verdict.AWAIT, balance, best)
    if not acceptable or not balance.is_worthwhile:
        return Weighing(Verdict.TOO_DEAR, balance)
    return Weighing(Verdict.STOP, balance, best)


# --- plans -----------------------------------------------------------------


def _plans(
    state: EntryState, claim: Claim, group: list[CandidateWorker]
) -> list[PreemptionPlan]:
    """Return plans for one group of workers."""
    found: list[PreemptionPlan] = []
    for workers in _groups_by_pace(state, claim, _with_mates(state, claim, group)):
        runs = [each for c in workers for each in runs_on(state, c)]
        units = _stoppable_units(state, claim, workers, runs)
        for horizon_ms in _horizons_ms(state, claim):
            plan = _plan(state, claim, workers, runs, units, horizon_ms)
            if plan is not None:
                found.append(plan)
                if not plan.units:
                    break
    return found


def _with_mates(
    state: EntryState, claim: Claim, group: list[CandidateWorker]
) -> list[CandidateWorker]:
    """Add the workers of the gangs that have members on a group.

    A gang is stopped as a whole, so that its room elsewhere counts too.
    """
    if claim.ranked.needs_one_rack:
        return group
    found = {candidate.key: candidate for candidate in group}
    table = state.cluster.jobs
    gangs = {
        task_id.step_key: task_id
        for candidate in group
        for task_id in candidate.placed
        # Tasks that were placed in this plan are not in the log yet.
        if task_id in table.placed.get(candidate.key, ())
        and table.jobs[task_id.job_id].steps[task_id.step].gang
    }
    for task_id in gangs.values():
        for task in table.step_tasks(task_id):
            mate = claim.usable.get(task.worker)
            if mate is not None:
                found[mate.key] = mate
    return list(found.values())


def _groups_by_pace(
    state: EntryState, claim: Claim, group: list[CandidateWorker]
) -> list[list[CandidateWorker]]:
    """Return the workers on which the step is in time.

    For a guaranteed step all workers are another choice.
    """
    in_time = [
        candidate
        for candidate in group
        if claim.has_chance(STOP_MS, _pace(state, candidate))
    ]
    if claim.is_guaranteed and len(in_time) < len(group):
        return [in_time, group]
    return [in_time]


def _pace(state: EntryState, candidate: CandidateWorker) -> float:
    return slowdown(state, candidate.worker.machine).factor


def _horizons_ms(state: EntryState, claim: Claim) -> tuple[int, ...]:
    """Return the times in ms within which runs may be awaited.

    With 0 none are. A step awaits ends only once: the runs may not end as
    expected.
    """
    if claim.ranked.key in state.dispatch.awaited_ends:
        return (0,)
    if claim.is_guaranteed and claim.stake.elapsed_ms > STOP_MS:
        # It must start soon, whatever that costs.
        return (0,)
    return HORIZONS_MS


def _plan(
    state: EntryState,
    claim: Claim,
    workers: list[CandidateWorker],
    runs: list[RunOnWorker],
    units: dict[RunId, StoppableUnit],
    horizon_ms: int,
) -> PreemptionPlan | None:
    """Return a plan that counts on the runs which end within a time."""
    ranked = claim.ranked
    free = {candidate.key: candidate.available for candidate in workers}
    awaited: set[RunId] = set()
    stopping: set[str] = set()
    ends_ms: dict[str, int] = {}
    for each in runs:
        key = each.candidate.key
        if each.run in state.dispatch.stopping:
            free[key] = free[key] + each.demand
            stopping.add(key)
        elif each.is_certain and each.remaining_ms < horizon_ms:
            free[key] = free[key] + each.demand
            awaited.add(each.run)
            ends_ms[key] = max(ends_ms.get(key, 0), each.remaining_ms)
    usable = dict.fromkeys(unit for run, unit in units.items() if run not in awaited)
    chosen = choose_units(ranked.step, ranked.waiting_count, free, usable)
    if chosen is None:
        return None
    for unit in chosen:
        for key, room in unit.room.items():
            free[key] = free[key] + room
    tasks_by_worker = _distribute(ranked, free)
    used = [c for c in workers if c.key in tasks_by_worker]
    is_stopping = bool(chosen) or any(c.key in stopping for c in used)
    awaited_ms = [ends_ms[c.key] for c in used if c.key in ends_ms]
    return PreemptionPlan(
        units=chosen,
        tasks_by_worker=tasks_by_worker,
        delay_ms=max(STOP_MS if is_stopping else 0, *awaited_ms, 0),
        pace=max((_pace(state, c) for c in used), default=USUAL_SLOWDOWN),
        awaits_ends=bool(awaited_ms),
    )


def _distribute(ranked: RankedStep, free: dict[str, ResourceVector]) -> dict[str, int]:
    """Return how many of the step's tasks each worker will hold."""
    copies = {key: copies_on(ranked.step, room) for key, room in free.items()}
    tasks_by_worker: dict[str, int] = {}
    unplaced = ranked.waiting_count
    for key in sorted(copies, key=lambda key: -copies[key]):
        count = min(unplaced, copies[key])
        if count > 0:
            tasks_by_worker[key] = count
            unplaced -= count
    return tasks_by_worker


# --- loss ------------------------------------------------------------------


def _stoppable_units(
    state: EntryState,
    claim: Claim,
    workers: list[CandidateWorker],
    runs: list[RunOnWorker],
) -> dict[RunId, StoppableUnit]:
    """Return the units that may be stopped, by each of their runs."""
    keys = {candidate.key for candidate in workers}
    found: dict[RunId, StoppableUnit] = {}
    refused: set[RunId] = set()
    for each in runs:
        if each.run in found or each.run in refused:
            continue
        unit = _stoppable_unit(state, claim, each, keys)
        if unit is None:
            refused.add(each.run)
        else:
            found.update(dict.fromkeys(unit.runs, unit))
    return found


def _stoppable_unit(
    state: EntryState, claim: Claim, each: RunOnWorker, keys: set[str]
) -> StoppableUnit | None:
    victim = find_victim(state, claim.ranked, each.candidate, each.run)
    if victim is None:
        return None
    table = state.cluster.jobs
    room: dict[str, ResourceVector] = {}
    stops = 0
    for run in victim.gang:
        task = table.task(run.task)
        if task is None:
            continue
        stops = max(stops, task.stops)
        if task.worker in keys:
            room[task.worker] = room.get(task.worker, ResourceVector()) + victim.demand
    if stops >= MAX_STOPS and not claim.is_guaranteed:
        return None
    return StoppableUnit(
        victim.gang,
        room,
        lost_core_s=victim.cost,
        loss=loss_of_work(victim.cost, stops),
        caller_loss=_lost_worth(state, claim, each),
    )


def _lost_worth(state: EntryState, claim: Claim, each: RunOnWorker) -> float:
    """Return what a victim's caller loses if it starts again later.

    The victim is taken to start once the claimant has ended.
    """
    table = state.cluster.jobs
    task_id = each.run.task
    job = table.jobs[task_id.job_id]
    stake = claim.stakes.get(task_id.step_key)
    if stake is None:
        occurrence = job.occurrences[task_id.occurrence]
        stake = stake_of(state, job, occurrence, task_id.step)
        claim.stakes[task_id.step_key] = stake
    left_ms = float(stake.step_ms)
    if job.steps[task_id.step].checkpointing:
        left_ms = each.remaining_ms + 1_000 * RESUME_COST_S
    away_ms = STOP_MS + claim.stake.step_ms
    kept = stake.worth(0, each.remaining_ms + stake.after_ms)
    return max(0.0, kept - stake.worth(away_ms, left_ms + stake.after_ms))


# --- waiting ---------------------------------------------------------------


def _worth_of_waiting(
    state: EntryState, claim: Claim, group: list[CandidateWorker]
) -> float:
    """Return what a step is worth if it waits for room on a group."""
    wait_ms = time_until_fit_ms(state, claim.ranked, group)
    return 0.0 if wait_ms is None else claim.worth(wait_ms, USUAL_SLOWDOWN)
