"""HTTP requests and responses as plain data."""

import hashlib
import json
from http import HTTPStatus
from typing import Any

import attrs

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@attrs.frozen
class Header:
    """A response header."""

    name: str
    value: str


@attrs.frozen
class HttpRequest:
    """A complete request.

    Attributes
    ----------
    path : str
        Percent-decoded path; `%2F` stays encoded.
    query : str
        Query string without the question mark.
    idempotency_key, if_match, author, note, host, authorization : str or None
        Values of the supported headers; None if absent.
    new_request_id : str
        Random id for the job request this call may create.
    """

    method: str
    path: str
    query: str = ""
    body: bytes = b""
    idempotency_key: str | None = None
    if_match: str | None = None
    author: str | None = None
    note: str | None = None
    host: str | None = None
    authorization: str | None = None
    new_request_id: str = ""


@attrs.frozen
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[Header, ...] = ()


def content_digest(*parts: bytes) -> str:
    """Return a digest that tells calls with different content apart."""
    content = hashlib.sha256()
    for part in parts:
        content.update(len(part).to_bytes(8, "big"))
        content.update(part)
    return content.hexdigest()


def metrics_response(body: bytes) -> HttpResponse:
    """Return a response in the Prometheus text format."""
    return HttpResponse(HTTPStatus.OK, body, METRICS_TYPE)


def json_response(
    status: int,
    document: Any,
    headers: tuple[Header, ...] = (),
    content_type: str = "application/json",
) -> HttpResponse:
    """Return a response with a JSON document as its body."""
    body = json.dumps(document, ensure_ascii=False).encode("utf-8", "replace")
    return HttpResponse(status, body + b"\n", content_type, headers)
