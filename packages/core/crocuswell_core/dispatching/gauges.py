"""Gauges of a control host: leadership, catalog, jobs and workers."""

from collections import Counter

from crocuswell_core.consensus import election
from crocuswell_core.dispatching import evacuation, health
from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.effects import Effect, Label, SetGauge

GAUGE_INTERVAL_MS = 1_000
WORKER_STATES = ("usable", "barred", "draining", "evacuated", "unreachable")
WORKER_SPEEDS = ("slow", "usual")


def set_gauges(state: EntryState) -> list[Effect]:
    """Return the gauges' values, at most once per interval."""
    if state.now_ms - state.last_gauges_ms < GAUGE_INTERVAL_MS:
        return []
    state.last_gauges_ms = state.now_ms
    leads = election.holds_lease(state)
    table = state.cluster.jobs
    effects: list[Effect] = [
        SetGauge("leader", float(leads)),
        SetGauge("term", state.consensus.term),
    ]
    if table.catalog is not None:
        age_s = (state.cluster.now_ms - table.catalog_ms) / 1_000
        effects.append(SetGauge("catalog_version", table.catalog.version))
        effects.append(SetGauge("catalog_age_seconds", age_s))
    views = state.dispatch.views.values() if leads else ()
    workers = Counter(_worker_state(state, view) for view in views)
    open_jobs = sum(job.is_open for job in table.jobs.values()) if leads else 0
    if leads:
        effects += evacuation.report_empty_domains(state)
    runs_left = sum(evacuation.count_runs(state).values()) if leads else 0
    return [
        *effects,
        SetGauge("jobs_open", open_jobs),
        SetGauge("evacuated_domains", len(state.cluster.evacuations)),
        SetGauge("evacuated_domain_runs", runs_left),
        *(
            SetGauge("workers", workers[name], (Label("state", name),))
            for name in WORKER_STATES
        ),
        *_speed_gauges(state, leads),
    ]


def _speed_gauges(state: EntryState, leads: bool) -> list[Effect]:
    """Return how many workers are known to be slow, or not to be."""
    if not state.cfg.features.worker_speeds:
        return []
    workers = state.dispatch.speeds.workers.values() if leads else ()
    speeds = Counter(
        "slow" if worker.is_slow else "usual" for worker in workers if worker.is_known
    )
    return [
        SetGauge("workers_by_speed", speeds[name], (Label("speed", name),))
        for name in WORKER_SPEEDS
    ]


def _worker_state(state: EntryState, view: WorkerView) -> str:
    if not view.reachable or view.stream_id not in state.clients:
        return "unreachable"
    if view.worker.draining:
        return "draining"
    if evacuation.is_evacuated(state, view):
        return "evacuated"
    return "barred" if health.is_barred(state, view) else "usable"
