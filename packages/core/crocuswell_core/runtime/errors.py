"""Error kinds and what a caller may conclude from each of them."""

import enum

import attrs


class ErrorKind(enum.Enum):
    """Kinds of errors that are reported to callers and operators."""

    INVALID_REQUEST = "invalid_request"
    UNAUTHORISED = "unauthorised"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    KEY_REUSED = "key_reused"
    NEVER_FITS = "never_fits"
    OVER_QUOTA = "over_quota"
    OVERLOADED = "overloaded"
    DEADLINE_PASSED = "deadline_passed"
    UNAVAILABLE = "unavailable"
    NOT_FINISHED = "not_finished"
    RESULT_EXPIRED = "result_expired"
    CORRUPT_STATE = "corrupt_state"
    STORAGE_FAILED = "storage_failed"
    INTERNAL = "internal"


@attrs.frozen
class Promise:
    """What a caller may conclude from an error kind.

    Attributes
    ----------
    not_run : bool
        Whether it is certain that this call neither submitted the request
        nor made it run.
    resend : bool
        Whether sending the same call again with the same key can succeed.
    title : str
        Human-readable summary in one sentence.
    """

    not_run: bool
    resend: bool
    title: str


PROMISES: dict[ErrorKind, Promise] = {
    ErrorKind.INVALID_REQUEST: Promise(True, False, "The request is not valid."),
    ErrorKind.UNAUTHORISED: Promise(True, False, "The token does not permit this."),
    ErrorKind.NOT_FOUND: Promise(True, False, "There is no such object."),
    ErrorKind.CONFLICT: Promise(
        True, False, "Another change with the same number was accepted first."
    ),
    ErrorKind.KEY_REUSED: Promise(
        True, False, "The idempotency key was used with other content."
    ),
    ErrorKind.NEVER_FITS: Promise(
        True, False, "The job can never run in this fleet and configuration."
    ),
    ErrorKind.OVER_QUOTA: Promise(True, False, "The job exceeds the quota."),
    ErrorKind.OVERLOADED: Promise(True, True, "The queue is full; retry later."),
    ErrorKind.DEADLINE_PASSED: Promise(
        True, False, "The deadline passed before the job started."
    ),
    ErrorKind.UNAVAILABLE: Promise(
        False, True, "No majority is in reach; resend with the same key."
    ),
    ErrorKind.NOT_FINISHED: Promise(False, True, "The request has not ended yet."),
    ErrorKind.RESULT_EXPIRED: Promise(
        False, False, "The result was dropped after its retention time."
    ),
    ErrorKind.CORRUPT_STATE: Promise(False, False, "Stored state is damaged."),
    ErrorKind.STORAGE_FAILED: Promise(False, True, "State could not be stored."),
    ErrorKind.INTERNAL: Promise(False, True, "The server failed to answer."),
}
