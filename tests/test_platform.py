"""Tests of the whole platform under random faults and planted faults."""

import pytest

from crocuswell_core.agent import agent_backend, agent_tasks
from crocuswell_core.cluster import outcomes
from crocuswell_core.entry import call_handlers
from tests.platform_simulator import run_platform_seed
from tests.simulated_host import InvariantError

SEEDS = (300, 301)
STEPS = 12_000


@pytest.mark.parametrize("seed", SEEDS)
def test_platform_invariants_hold_under_random_faults(seed):
    """Guards against defects in the interplay of hosts, agents and callers."""
    run_platform_seed(seed, STEPS)


def test_a_platform_seed_replays_exactly():
    """Guards against a failing seed that cannot be reproduced."""
    first, second = (run_platform_seed(301, 3_000) for _ in range(2))
    assert first.faults == second.faults
    assert first.time_ms == second.time_ms
    assert first.callers.replies == second.callers.replies


def known_attempt_started_again(monkeypatch):
    handle_unlisted_task = agent_backend._handle_unlisted_task

    def faulty(state, task, incarnation):
        restarted = task.backend_incarnation != incarnation
        if task.order is None or task.start_in_flight or not restarted:
            return handle_unlisted_task(state, task, incarnation)
        return agent_tasks._start(state, task, task.order)

    monkeypatch.setattr(agent_backend, "_handle_unlisted_task", faulty)


def lost_attempt_taken_as_not_run(monkeypatch):
    monkeypatch.setattr(outcomes, "_may_have_run", lambda attempt: False)


def read_without_read_index(monkeypatch):
    def faulty(state, pending):
        pending.read_index = 0
        return call_handlers._answer_if_applied(state, pending)

    monkeypatch.setattr(call_handlers, "_ask_read_index", faulty)


# Each case has a seed that triggers the fault early and the message of the
# check that detects it.
@pytest.mark.parametrize(
    ("plant", "seed", "caught"),
    [
        (known_attempt_started_again, 40, "a member was started twice"),
        (lost_attempt_taken_as_not_run, 2, "started again"),
        (read_without_read_index, 3, "a configuration read is stale"),
    ],
)
def test_planted_fault_is_caught(monkeypatch, plant, seed, caught):
    """Guards against checks that do not detect the faults they are for."""
    plant(monkeypatch)
    with pytest.raises(InvariantError, match=caught):
        run_platform_seed(seed, STEPS)
