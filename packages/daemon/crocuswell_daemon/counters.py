"""Table of all metrics, and counters that need no metrics library."""

import attrs

from crocuswell_core.runtime.effects import Label

PREFIX = "crocuswell_"


@attrs.frozen
class Metric:
    """Declaration of a metric.

    Attributes
    ----------
    labels : tuple of str
        Label names in order; each label must have a bounded set of values.
    buckets : tuple of float
        Upper bounds of a histogram's buckets; empty for the other kinds.
    is_gauge : bool
        Whether the metric is a gauge.
    """

    help: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()
    is_gauge: bool = False


# Includes 2.2 s, the limit for urgent work.
COMPLETION_BUCKETS_S = (
    *(0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.2, 5.0, 10.0, 30.0, 60.0),
    *(300.0, 1_800.0, 3_600.0, 14_400.0, 86_400.0),
)

# For waits for the leader or the disk; includes 2.4 s, after which a call is
# given up.
LATENCY_BUCKETS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2),
    *(0.5, 1.0, 2.4, 5.0, 15.0, 60.0),
)

METRICS: dict[str, Metric] = {
    "agent_events_total": Metric("Events counted by agents", ("event",)),
    "agent_messages_dropped": Metric(
        "Messages to agents that were not sent", ("reason",)
    ),
    "agent_streams_refused": Metric("Agent streams beyond the limit"),
    "agent_streams_silent_total": Metric("Agent streams closed for silence"),
    "calls_total": Metric("Callers' calls that a front answered", ("call", "answer")),
    "call_seconds": Metric(
        "Time from a call's arrival to its answer", ("call",), LATENCY_BUCKETS_S
    ),
    "catalog_age_seconds": Metric(
        "Time from the catalog's commit to the newest log entry", is_gauge=True
    ),
    "catalog_version": Metric("Version of the catalog that is held", is_gauge=True),
    "elections_total": Metric("Campaigns of this host"),
    "election_seconds": Metric(
        "Time from the last word of a leader to leading", buckets=LATENCY_BUCKETS_S
    ),
    "events_dropped_total": Metric("Events that could not be handled"),
    "front_answers_late": Metric("Answers of the leader that came too late"),
    "host_catch_up_seconds": Metric(
        "Time from the leader's first message to a host until it is made a voter",
        buckets=LATENCY_BUCKETS_S,
    ),
    "http_answers_late": Metric("Answers to calls that nobody waited for"),
    "http_responses": Metric("HTTP responses", ("status",)),
    "job_calls_refused_total": Metric(
        "Submissions and cancellations that were refused", ("call", "kind")
    ),
    "job_completion_seconds": Metric(
        "Time from acceptance to the job's end",
        ("queue", "phase"),
        COMPLETION_BUCKETS_S,
    ),
    "job_start_seconds": Metric(
        "Time from acceptance to the first start", ("queue",), COMPLETION_BUCKETS_S
    ),
    "jobs_accepted_total": Metric("Accepted jobs", ("queue",)),
    "jobs_given_up_for_crashes_total": Metric(
        "Jobs that failed because a task crashed its workers", ("queue",)
    ),
    "domain_empty_seconds": Metric(
        "Time from an evacuation to the end of the domain's last run",
        buckets=LATENCY_BUCKETS_S,
    ),
    "evacuated_domains": Metric("Failure domains that are evacuated", is_gauge=True),
    "evacuated_domain_runs": Metric(
        "Runs and attempts left in evacuated failure domains", is_gauge=True
    ),
    "evacuations_started_total": Metric("Evacuations of failure domains"),
    "jobs_open": Metric("Jobs that have not ended", is_gauge=True),
    "disk_full": Metric("Whether the disk takes no bytes, 1 or 0", is_gauge=True),
    "leader": Metric("Whether this host leads, 1 or 0", is_gauge=True),
    "leader_absence_seconds": Metric(
        "Time without a stream to the leader", buckets=LATENCY_BUCKETS_S
    ),
    "leases_granted_total": Metric("Grants of leases to runners"),
    "log_lines_dropped": Metric("Log lines that were not written", is_gauge=True),
    "log_sync_seconds": Metric(
        "Time to write and sync a batch", buckets=LATENCY_BUCKETS_S
    ),
    "lost_work_core_seconds_total": Metric(
        "Core seconds of runs that ended neither done nor resumable", ("kind",)
    ),
    "moves_total": Metric("Attempts moved to make room for a gang"),
    "peer_connects_failed": Metric("Failed attempts to open a link", ("peer",)),
    "peer_links_lost": Metric("Lost links to entry hosts", ("peer",)),
    "peer_messages_dropped": Metric(
        "Messages to entry hosts that were not sent", ("peer", "reason")
    ),
    "preemptions_total": Metric("Attempts stopped for a claim", ("workspace",)),
    "preemptions_withheld_total": Metric(
        "Preemptions that were weighed and not made", ("reason",)
    ),
    "probes_total": Metric("Probes of quarantined workers"),
    "quarantines_total": Metric("Workers put into quarantine"),
    "reports_dropped_total": Metric("Reports without an attempt or outcome to end"),
    "reports_stale_total": Metric("Reports of an earlier incarnation or after a gap"),
    "request_completion_seconds": Metric(
        "Time from acceptance to outcome", ("workspace",), COMPLETION_BUCKETS_S
    ),
    "requests_accepted_total": Metric("Accepted requests", ("workspace",)),
    "requests_ended_total": Metric("Ended requests", ("workspace", "outcome")),
    "requests_refused_total": Metric("Refused requests", ("workspace", "kind")),
    "reservations_unconfirmed_total": Metric("Gangs whose agents did not confirm"),
    "retries_total": Metric("Retries of requests", ("workspace",)),
    "runner_events_total": Metric("Events counted by runners", ("event",)),
    "run_time_error_seconds": Metric(
        "Difference of a done run's time from the expected median",
        ("queue",),
        COMPLETION_BUCKETS_S,
    ),
    "runs_above_p90_total": Metric(
        "Done runs that took longer than expected of nine in ten", ("queue",)
    ),
    "runs_ended_total": Metric("Ends of runs", ("queue", "kind")),
    "runs_placed_total": Metric("Runs that were given to a worker", ("queue",)),
    "runs_stopped_total": Metric("Runs stopped by the leader", ("reason",)),
    "snapshot_encode_seconds": Metric(
        "Time to encode the state for a snapshot", buckets=LATENCY_BUCKETS_S
    ),
    "snapshots_installed_total": Metric("Snapshots received from the leader"),
    "snapshots_saved_total": Metric("Snapshots of this host's own state"),
    "term": Metric("Newest term that this host knows", is_gauge=True),
    "usage_contradictions_total": Metric(
        "Usage reports that contradict the tables", ("kind",)
    ),
    "worker_crashes_total": Metric("Crashes of workers that had runs", ("coincident",)),
    "workers": Metric("Workers in reach of the leader", ("state",), is_gauge=True),
    "workers_by_speed": Metric(
        "Workers whose speed is known, by whether they are slow",
        ("speed",),
        is_gauge=True,
    ),
    "workers_lost_total": Metric("Workers whose runs were given up", ("reason",)),
    "yields_total": Metric("Long borrowers stopped for short work"),
}


class UnknownMetricError(Exception):
    """A metric is not in `METRICS` or is declared with other labels."""


def find_metric(name: str, labels: tuple[Label, ...]) -> Metric:
    """Return the declaration of a metric.

    Raises
    ------
    UnknownMetricError
        If the name or the label names differ from the table.
    """
    metric = METRICS.get(name)
    if metric is None:
        raise UnknownMetricError(f"{name} is not in the table of metrics")
    names = tuple(label.name for label in labels)
    if names != metric.labels:
        raise UnknownMetricError(f"{name} has labels {names}, not {metric.labels}")
    return metric


class PlainCounters:
    """Counters of a process without `/metrics`, such as an agent.

    It sends them in its heartbeats, and `/metrics` of its peer shows them.
    """

    def __init__(self) -> None:
        self.values: dict[str, int] = {}

    def count(self, name: str, amount: int, labels: tuple[Label, ...]) -> None:
        """Add to a counter; labels are ignored."""
        self.values[name] = self.values.get(name, 0) + amount

    def observe(self, name: str, value: float, labels: tuple[Label, ...]) -> None:
        """Count the observation; its value is ignored."""
        self.count(name, 1, labels)

    def set_gauge(self, name: str, value: float, labels: tuple[Label, ...]) -> None:
        """Keep the newest value, as an integer; labels are ignored."""
        self.values[name] = int(value)
