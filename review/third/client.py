"""Calls of requesters and operators, and a configuration to send."""

import http.client
import json
import time
from typing import Any

import attrs

SERVICE = "order-engine"
ZONE = "dach-a"
HOST = "nony24.example"


@attrs.frozen
class Reply:
    """A response; status 0 if there was none."""

    status: int
    body: Any = None


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = 3.0,
    key: str = "",
) -> Reply:
    """Make one call on a connection of its own."""
    host, _, port = address.rpartition(":")
    headers = {"Content-Type": "application/json", "Host": HOST}
    if key:
        headers["Authorization"] = f"Token {key}"
    data = None if body is None else json.dumps(body).encode()
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        conn.request(method, path, body=data, headers=headers)
        resp = conn.getresponse()
        raw = resp.read()
        return Reply(resp.status, json.loads(raw) if raw.strip() else None)
    except (OSError, http.client.HTTPException, ValueError):
        return Reply(0)
    finally:
        conn.close()


def call_until(
    statuses: tuple[int, ...], limit_s: float, *args: Any, **kw: Any
) -> Reply:
    """Repeat a call until it has one of the statuses, or the time is over."""
    until_s = time.monotonic() + limit_s
    while True:
        reply = call(*args, **kw)
        if reply.status in statuses or time.monotonic() > until_s:
            return reply
        time.sleep(0.1)


def route(name: str, priority: int, **fields: Any) -> dict[str, Any]:
    """Return a queue with the prefix `/NAME/`."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 1000,
        "priority": priority,
        "service": SERVICE,
        "max_attempts": 2,
        "stretch": 3.0,
        "allow_anonymous": False,
        **fields,
    }


def configuration(
    routes: list[dict[str, Any]], tenants: list[dict[str, Any]], version: int = 7
) -> dict[str, Any]:
    """Return a configuration with one service."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_connections": 64,
                "protocol": "h1",
                "tls": False,
                "enforces_capacity": False,
                "standby": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


def tenant(name: str, gpus: int = 0) -> dict[str, Any]:
    """Return a tenant with the key `key-NAME`."""
    return {
        "name": name,
        "api_keys": [f"key-{name}"],
        "priority": 1,
        "guaranteed": {"gpus": gpus},
    }
