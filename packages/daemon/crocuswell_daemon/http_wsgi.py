"""Conversion between WSGI and HTTP message classes."""

import errno
import secrets
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from crocuswell_daemon.http_messages import HttpRequest, HttpResponse
from crocuswell_daemon.problems import Problem, invalid

REQUEST_ID_BYTES = 12


def read_request(environ: dict[str, Any]) -> HttpRequest | Problem:
    """Read a complete request from a WSGI environment.

    Raises
    ------
    OSError
        If the body is truncated; the server then closes the connection.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body: bytes = environ["wsgi.input"].read(length) if length else b""
    if len(body) < length:
        raise ConnectionResetError(errno.ECONNRESET, "the body is incomplete")
    try:
        path = environ["PATH_INFO"].encode("latin-1").decode()
    except UnicodeDecodeError:
        return invalid("path: found bytes that are not UTF-8")
    return HttpRequest(
        environ["REQUEST_METHOD"],
        path,
        environ["QUERY_STRING"],
        body,
        idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY"),
        if_match=environ.get("HTTP_IF_MATCH"),
        author=_decode(environ.get("HTTP_X_AUTHOR")),
        note=_decode(environ.get("HTTP_X_NOTE")),
        host=environ.get("HTTP_HOST"),
        authorization=environ.get("HTTP_AUTHORIZATION"),
        new_request_id=secrets.token_hex(REQUEST_ID_BYTES),
    )


def send_response(
    response: HttpResponse, environ: dict[str, Any], start_response: Callable[..., Any]
) -> list[bytes]:
    """Start a response and return its body."""
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        *((header.name, header.value) for header in response.headers),
    ]
    phrase = HTTPStatus(response.status).phrase
    start_response(f"{response.status} {phrase}", headers)
    return [] if environ["REQUEST_METHOD"] == "HEAD" else [response.body]


def _decode(text: str | None) -> str | None:
    """Decode a header as UTF-8, which WSGI passes decoded as Latin-1."""
    if text is None:
        return None
    try:
        return text.encode("latin-1").decode()
    except UnicodeDecodeError:
        return text
