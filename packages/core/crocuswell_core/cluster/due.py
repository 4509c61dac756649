"""Actions that are scheduled for a cluster time."""

import attrs

from crocuswell_core.cluster.records import AttemptId


@attrs.frozen
class RetryDue:
    """A request's retry back-off ends."""

    request_id: str


@attrs.frozen
class DeadlineDue:
    """A request's start deadline passes."""

    request_id: str


@attrs.frozen
class ResultExpiryDue:
    """The retention period of a request's result ends."""

    request_id: str


@attrs.frozen
class RecordExpiryDue:
    """The retention period of a request's record ends."""

    request_id: str


@attrs.frozen
class ReplyExpiryDue:
    """The retention period of a command's cached reply ends."""

    command_id: str


@attrs.frozen
class ReservationTimeoutDue:
    """The time for a gang's agents to confirm their reservations ends."""

    attempt: AttemptId


@attrs.frozen
class ProbeDue:
    """The delay before the next probe of a quarantined worker ends."""

    worker: str


Due = (
    RetryDue
    | DeadlineDue
    | ResultExpiryDue
    | RecordExpiryDue
    | ReplyExpiryDue
    | ReservationTimeoutDue
    | ProbeDue
)


@attrs.frozen(order=True)
class DueItem:
    """A scheduled action; ordered by time, then by sequence number."""

    at_ms: int
    sequence: int
    due: Due = attrs.field(order=False)
