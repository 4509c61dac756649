"""Validation rules of settings that do not depend on the machine."""

import ipaddress
from collections.abc import Sequence
from functools import singledispatch
from urllib.parse import urlsplit

import attrs

from crocuswell_core.agent.agent_state import AgentConfig
from crocuswell_core.entry.entry_state import EntryConfig
from crocuswell_daemon.roles import AgentSettings, EntrySettings

MAX_PORT = 65_535
MAX_TIMING_MS = 3_600_000
MAX_ENTRIES = 1_000_000
MAX_BYTES = 1_000_000_000
MAX_SEED = 2**63 - 1

# In each pair the first time must be shorter than the second, or leases could
# overlap.
ENTRY_TIMING_ORDER = (
    ("heartbeat_ms", "leader_lease_ms"),
    ("leader_lease_ms", "election_min_ms"),
    ("election_min_ms", "election_max_ms"),
    ("agent_heartbeat_ms", "agent_silence_ms"),
    ("agent_silence_ms", "admission_lease_ms"),
)
AGENT_TIMING_ORDER = (
    ("heartbeat_ms", "silence_ms"),
    ("silence_ms", "admission_lease_ms"),
    ("backoff_min_ms", "backoff_max_ms"),
)


class Mismatch(Exception):  # noqa: N818 (not every mismatch is an error here)
    """A setting whose value is not what is expected."""

    def __init__(self, key: str, found: str, expected: str) -> None:
        super().__init__(f"{key}: found {found}, expected {expected}")


@singledispatch
def check_rules(settings: EntrySettings | AgentSettings) -> None:
    """Check the values and the relations between them.

    Raises
    ------
    Mismatch
        For the first invalid key.
    """
    raise NotImplementedError(type(settings).__name__)


@check_rules.register
def _(settings: EntrySettings) -> None:
    _check_loopback_only(settings.insecure_loopback)
    _check_seed(settings.seed)
    _check_name("id", settings.id)
    _check_name("failure_domain", settings.failure_domain)
    addresses = attrs.asdict(settings.listen)
    for key, address in addresses.items():
        _check_address(f"listen.{key}", address)
    _check_distinct("listen", list(addresses.values()))
    _check_hosts(settings)
    _check_voters(settings)
    _check_own_host(settings)
    _check_timing(settings.timing, EntryConfig, ENTRY_TIMING_ORDER)


@check_rules.register
def _(settings: AgentSettings) -> None:
    _check_loopback_only(settings.insecure_loopback)
    _check_seed(settings.seed)
    _check_url("backend_server", settings.backend_server)
    if not settings.entries:
        raise Mismatch("entries", "an empty list", "one address or more")
    for index, address in enumerate(settings.entries):
        _check_address(f"entries.{index}", address)
    _check_distinct("entries", settings.entries)
    _check_timing(settings.timing, AgentConfig, AGENT_TIMING_ORDER)


def _check_loopback_only(insecure_loopback: bool) -> None:
    if not insecure_loopback:
        raise Mismatch(
            "insecure_loopback", "false", "true, because there are no keys yet"
        )


def _check_seed(seed: int | None) -> None:
    if seed is not None and not 0 <= seed <= MAX_SEED:
        raise Mismatch("seed", str(seed), f"0 to {MAX_SEED}")


def _check_name(key: str, name: str) -> None:
    if not name or not name.isprintable() or " " in name:
        raise Mismatch(key, repr(name), "a name without blanks")


def parse_address(address: str) -> tuple[str, int] | None:
    """Return IP address and port of `host:port`, None if malformed."""
    host, _, port = address.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > 5:
        return None
    if not 0 < int(port) <= MAX_PORT:
        return None
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        ip = ipaddress.ip_address(bare)
    except ValueError:
        return None
    if (ip.version == 6) != (bare != host):
        return None
    return bare, int(port)


def _check_address(key: str, address: str) -> None:
    parsed = parse_address(address)
    if parsed is None:
        raise Mismatch(key, repr(address), "host:port with an IP number")
    if not ipaddress.ip_address(parsed[0]).is_loopback:
        raise Mismatch(key, repr(address), "a loopback address (insecure_loopback)")


def _check_url(key: str, url: str) -> None:
    try:
        parts = urlsplit(url)
    except ValueError:
        raise Mismatch(key, repr(url), "http://host:port") from None
    if parts.scheme != "http" or url != f"http://{parts.netloc}":
        raise Mismatch(key, repr(url), "http://host:port")
    _check_address(key, parts.netloc)


def _check_distinct(key: str, values: Sequence[str]) -> None:
    for value in values:
        if values.count(value) > 1:
            raise Mismatch(key, f"{value!r} twice", "values that differ")


def _check_hosts(settings: EntrySettings) -> None:
    for index, host in enumerate(settings.hosts):
        key = f"hosts.{index}"
        _check_name(f"{key}.id", host.id)
        _check_name(f"{key}.failure_domain", host.failure_domain)
        _check_address(f"{key}.address", host.address)
    _check_distinct("hosts", [host.id for host in settings.hosts])
    _check_distinct("hosts", [host.address for host in settings.hosts])


def _check_voters(settings: EntrySettings) -> None:
    if not settings.voters:
        raise Mismatch("voters", "an empty list", "one id or more of hosts")
    _check_distinct("voters", settings.voters)
    hosts = {host.id: host for host in settings.hosts}
    for index, voter in enumerate(settings.voters):
        key = f"voters.{index}"
        if voter not in hosts:
            raise Mismatch(key, repr(voter), f"one of {', '.join(hosts)}")
        if not hosts[voter].has_disk:
            raise Mismatch(key, f"{voter!r} without a disk", "a host with has_disk")


def _check_own_host(settings: EntrySettings) -> None:
    own_host = next((host for host in settings.hosts if host.id == settings.id), None)
    if own_host is None:
        ids = ", ".join(host.id for host in settings.hosts)
        raise Mismatch("id", repr(settings.id), f"an id of hosts ({ids})")
    if own_host.address != settings.listen.peers:
        raise Mismatch(
            "listen.peers",
            repr(settings.listen.peers),
            f"{own_host.address!r} as in hosts for {own_host.id}",
        )
    if own_host.failure_domain != settings.failure_domain:
        raise Mismatch(
            "failure_domain",
            repr(settings.failure_domain),
            f"{own_host.failure_domain!r} as in hosts for {own_host.id}",
        )
    if own_host.has_disk != (settings.data_folder is not None):
        raise Mismatch(
            "data_folder",
            repr(settings.data_folder),
            "a folder if has_disk is true in hosts, else null",
        )


def _maximum_of(key: str) -> tuple[int, str]:
    """Return the largest value of a key, and its unit for messages."""
    if key.endswith("_ms"):
        return MAX_TIMING_MS, " ms"
    if key.endswith("_bytes"):
        return MAX_BYTES, " bytes"
    return MAX_ENTRIES, ""


def _check_timing(
    timing: dict[str, int], cls: type, order: tuple[tuple[str, str], ...]
) -> None:
    for key, value in timing.items():
        maximum, unit = _maximum_of(key)
        if not 1 <= value <= maximum:
            raise Mismatch(key, str(value), f"1 to {maximum}{unit}")
    defaults = {field.name: field.default for field in attrs.fields(cls)}
    values = {**defaults, **timing}
    for shorter, longer in order:
        if values[shorter] >= values[longer]:
            raise Mismatch(
                shorter if shorter in timing else longer,
                f"{shorter} {values[shorter]} ms and {longer} {values[longer]} ms",
                f"{shorter} below {longer}",
            )
