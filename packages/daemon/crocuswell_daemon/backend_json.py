"""JSON encoding of the protocol in docs/backend-protocol.md."""

import base64
import json
from typing import Any

from crocuswell_core.agent.backend import (
    BackendTask,
    Described,
    Rejected,
    StartOnBackend,
    StopOnBackend,
    ThrottleOnBackend,
)
from crocuswell_core.cluster.records import AttemptId, WorkerInfo
from crocuswell_core.cluster.resources import Resources

TASK_STATES = frozenset({"running", "finished", "failed", "stopped", "fenced"})


class BadReplyError(Exception):
    """Raised if a reply is incomplete, malformed or for another call."""


def start_body(call: StartOnBackend) -> bytes:
    """Encode the body of a start call."""
    return _encode_json(
        {
            "members": call.members,
            "resources": _resources_to_json(call.resources),
            "accelerators": list(call.accelerators),
            "payload": base64.b64encode(call.payload).decode(),
            "run_time_ms": call.run_time_ms,
            "checkpoint": _bytes_to_json(call.checkpoint),
            "start_by_ms": call.start_by_ms,
            "lease_until_ms": call.lease_until_ms,
        }
    )


def stop_body(call: StopOnBackend) -> bytes:
    """Encode the body of a stop call."""
    return _encode_json({"checkpoint_ms": call.checkpoint_ms})


def throttle_body(call: ThrottleOnBackend) -> bytes:
    """Encode the body of a throttle call."""
    return _encode_json({"percent": call.percent})


def read_description(body: bytes) -> Described:
    """Decode the worker's description and its list of tasks.

    Raises
    ------
    BadReplyError
        If the description is malformed.
    """
    try:
        data = json.loads(body)
        return Described(
            WorkerInfo(
                worker=str(data["worker"]),
                rack=str(data["rack"]),
                failure_domain=str(data["failure_domain"]),
                capacity=_resources_from_json(data["capacity"]),
                slots=int(data["slots"]),
                draining=bool(data["draining"]),
            ),
            str(data["incarnation"]),
            tuple(_task_from_json(task) for task in data["tasks"]),
        )
    except (ValueError, KeyError, TypeError) as exc:
        raise BadReplyError(f"bad description: {exc!r}") from exc


def read_rejection(body: bytes) -> Rejected:
    """Decode a rejection.

    Raises
    ------
    BadReplyError
        If the rejection is malformed.
    """
    try:
        data = json.loads(body)
        return Rejected(str(data["detail"]), bool(data["known"]))
    except (ValueError, KeyError, TypeError) as exc:
        raise BadReplyError(f"bad refusal: {exc!r}") from exc


def _encode_json(data: dict[str, Any]) -> bytes:
    return json.dumps(data, separators=(",", ":")).encode()


def _task_from_json(data: dict[str, Any]) -> BackendTask:
    state = str(data["state"])
    if state not in TASK_STATES:
        raise ValueError(f"unknown task state {state}")
    checkpoint = data["checkpoint"]
    return BackendTask(
        AttemptId(str(data["request_id"]), int(data["epoch"])),
        int(data["rank"]),
        state,
        _resources_from_json(data["used"]),
        str(data["detail"]),
        None if checkpoint is None else base64.b64decode(checkpoint, validate=True),
        _resources_from_json(data["resources"]),
        tuple(int(index) for index in data["accelerators"]),
    )


def _resources_to_json(resources: Resources) -> dict[str, int]:
    return {
        "accelerators": resources.accelerators,
        "processors": resources.processors,
        "memory_mb": resources.memory_mb,
    }


def _resources_from_json(data: dict[str, Any]) -> Resources:
    return Resources(
        int(data["accelerators"]), int(data["processors"]), int(data["memory_mb"])
    )


def _bytes_to_json(data: bytes | None) -> str | None:
    return None if data is None else base64.b64encode(data).decode()
