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
class ErrorContract:
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


ERROR_CONTRACTS: dict[ErrorKind, ErrorContract] = {
    ErrorKind.INVALID_REQUEST: ErrorContract(True, False, "The request is not valid."),
    ErrorKind.UNAUTHORISED: ErrorContract(
        True, False, "The token does not permit this."
    ),
    ErrorKind.NOT_FOUND: ErrorContract(True, False, "There is no such object."),
    ErrorKind.CONFLICT: ErrorContract(
        True, False, "Another change with the same number was accepted first."
    ),
    ErrorKind.KEY_REUSED: ErrorContract(
        True, False, "The idempotency key was used with other content."
    ),
    ErrorKind.NEVER_FITS: ErrorContract(
        True, False, "The job can never run in this fleet and configuration."
    ),
    ErrorKind.OVER_QUOTA: ErrorContract(True, False, "The job exceeds the quota."),
    ErrorKind.OVERLOADED: ErrorContract(True, True, "The queue is full; retry later."),
    ErrorKind.DEADLINE_PASSED: ErrorContract(
        True, False, "The deadline passed before the job started."
    ),
    ErrorKind.UNAVAILABLE: ErrorContract(
        False, True, "No majority is in reach; resend with the same key."
    ),
    ErrorKind.NOT_FINISHED: ErrorContract(
        False, True, "The request has not ended yet."
    ),
    ErrorKind.RESULT_EXPIRED: ErrorContract(
        False, False, "The result was dropped after its retention time."
    ),
    ErrorKind.CORRUPT_STATE: ErrorContract(False, False, "Stored state is damaged."),
    ErrorKind.STORAGE_FAILED: ErrorContract(False, True, "State could not be stored."),
    ErrorKind.INTERNAL: ErrorContract(False, True, "The server failed to answer."),
}
