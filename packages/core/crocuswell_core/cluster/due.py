"""Kinds of things that fall due at a cluster time."""

import attrs

from crocuswell_core.cluster.records import AttemptId


@attrs.frozen
class RetryDue:
    """A request's back-off ends."""

    request_id: str


@attrs.frozen
class DeadlineDue:
    """A request's latest start passes."""

    request_id: str


@attrs.frozen
class ResultDue:
    """The retention of a request's result ends."""

    request_id: str


@attrs.frozen
class RecordDue:
    """The retention of a request's record ends."""

    request_id: str


@attrs.frozen
class AnswerDue:
    """The retention of a command's first answer ends."""

    command_id: str


@attrs.frozen
class ReservationDue:
    """The time in which a gang's agents must confirm ends."""

    attempt: AttemptId


@attrs.frozen
class ProbeDue:
    """A quarantined worker may be probed."""

    worker: str


Due = (
    RetryDue
    | DeadlineDue
    | ResultDue
    | RecordDue
    | AnswerDue
    | ReservationDue
    | ProbeDue
)


@attrs.frozen(order=True)
class DueItem:
    """Something to do at a cluster time; ordered by time, then sequence."""

    at_ms: int
    sequence: int
    due: Due = attrs.field(order=False)
