"""What the leader knows of workers and has under way; not replicated."""

import attrs

from crocuswell_core.jobs.job_records import (
    Room,
    RunId,
    RunProgress,
    StepKey,
    TaskId,
)
from crocuswell_core.links.link_messages import WorkerDescription


@attrs.define
class ProgressMark:
    """The newest progress of a run.

    Attributes
    ----------
    still_ms : int
        Time in ms over which lists have shown the same percent.
    """

    percent: int
    still_ms: int = 0


@attrs.define
class WorkerView:
    """A worker's boot in reach of the leader.

    Attributes
    ----------
    stream_id : int
        Stream of its runner.
    heard_ms : int
        Time of the newest report.
    lease_end_ms : int
        Time after which no run of this boot goes on without a new grant.
    recording : int
        Highest number of an end that was proposed for recording.
    started, stopped : set of RunId
        Orders sent on this stream.
    lists, listed_ms : int
        Number of the newest list, and the time in ms at which it was heard.
    marks : dict
        Progress of the listed runs.
    events : dict
        Counts of the runner's events on this stream.
    """

    worker: WorkerDescription
    stream_id: int
    heard_ms: int = 0
    reachable: bool = False
    lease_end_ms: int = 0
    recording: int = 0
    running: dict[RunId, RunProgress] = attrs.Factory(dict)
    started: set[RunId] = attrs.Factory(set)
    stopped: set[RunId] = attrs.Factory(set)
    absent: set[RunId] = attrs.Factory(set)
    lists: int = 0
    listed_ms: int = 0
    marks: dict[RunId, ProgressMark] = attrs.Factory(dict)
    events: dict[str, int] = attrs.Factory(dict)


@attrs.define
class WorkerRecord:
    """Recent ends of runs on one worker, by its id.

    Attributes
    ----------
    failed_jobs : dict
        Jobs that failed there since the newest success, in order.
    barred_until_ms : int
        Time in ms before which nothing new is placed there.
    """

    failed_jobs: dict[str, None] = attrs.Factory(dict)
    barred_until_ms: int = 0
    barred_times: int = 0


@attrs.frozen
class Claim:
    """Room that is kept for a step while other runs make room for it.

    Attributes
    ----------
    copies : dict
        Number of the step's tasks by the key of the worker's boot.
    since_ms : int
        Time in ms at which the other runs were stopped.
    """

    demand: Room
    copies: dict[str, int]
    since_ms: int


@attrs.define
class DispatchState:
    """State of the leader's dispatching in one term.

    Attributes
    ----------
    since_ms : int
        Start of this term's dispatching.
    views : dict
        Workers in reach, by the key of their boot.
    plan : str
        Name of the plan that was proposed and is not yet applied; empty
        if there is none.
    planned_at_ms : int
        Time in ms at which it was proposed.
    plans : int
        Number of plans in this term.
    stopping : set of RunId
        Runs that make room for others or stand still.
    claims : dict
        Claims by key of the step.
    recorded_ms : int
        Time in ms at which checkpoints were last proposed.
    held_racks : dict
        Rack that is kept free for a waiting gang, by key of the step.
    roomy_since_ms : dict
        Time in ms since which a step that waits would find ample room that
        is held for others or lies in other racks, by key of the step.
    """

    term: int = -1
    since_ms: int = 0
    views: dict[str, WorkerView] = attrs.Factory(dict)
    records: dict[str, WorkerRecord] = attrs.Factory(dict)
    plan: str = ""
    planned_at_ms: int = 0
    plans: int = 0
    losing: dict[str, int] = attrs.Factory(dict)
    stopping: set[RunId] = attrs.Factory(set)
    claims: dict[StepKey, Claim] = attrs.Factory(dict)
    recorded_ms: int = 0
    held_racks: dict[StepKey, str] = attrs.Factory(dict)
    roomy_since_ms: dict[StepKey, int] = attrs.Factory(dict)


@attrs.define
class Space:
    """What a plan may still use of one worker.

    Attributes
    ----------
    free : Room
        Room that no run takes.
    placed : dict
        Placed tasks with their demand; their room is not free.
    claims : dict
        Free room that is kept for a step, by its key.
    held_ms : int or None
        Time in ms for which the rest of the room may still be used until
        a more urgent step needs it; None if no step waits for it.
    room : Room
        What the step that is looked at may use.
    """

    view: WorkerView
    free: Room
    placed: dict[TaskId, Room] = attrs.Factory(dict)
    claims: dict[StepKey, Room] = attrs.Factory(dict)
    held_ms: int | None = None
    room: Room = attrs.field(init=False, factory=Room)

    def offer_to(self, key: StepKey, estimated_ms: int) -> None:
        """Set `room` to what a step may use."""
        held_ms = self.held_ms
        if held_ms is not None and estimated_ms > held_ms and key not in self.claims:
            self.room = Room()
        else:
            self.room = self.unclaimed(key)

    def unclaimed(self, key: StepKey) -> Room:
        """Return the free room that is not kept for other steps."""
        room = self.free
        for owner, claimed in self.claims.items():
            if owner != key:
                room = room - claimed
        return room
