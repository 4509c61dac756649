"""Checks of the settings against this machine: addresses and data folder."""

import errno
import os
import socket
import tempfile
from functools import singledispatch
from pathlib import Path

import attrs

from crocuswell_daemon.roles import AgentSettings, EntrySettings
from crocuswell_daemon.setting_rules import Mismatch, parse_address


@singledispatch
def check_host(settings: EntrySettings | AgentSettings) -> None:
    """Check that this machine can run with the settings.

    Raises
    ------
    Mismatch
        For the first invalid key.
    """
    raise NotImplementedError(type(settings).__name__)


@check_host.register
def _(settings: EntrySettings) -> None:
    for key, address in attrs.asdict(settings.listen).items():
        _check_bindable(f"listen.{key}", address)
    if settings.data_folder is not None:
        _check_writable("data_folder", Path(settings.data_folder))


@check_host.register
def _(settings: AgentSettings) -> None:
    """Check nothing: an agent opens no listener and writes no files."""


def _check_bindable(key: str, address: str) -> None:
    parsed = parse_address(address)
    if parsed is None:
        raise Mismatch(key, repr(address), "host:port with an IP number")
    family = socket.AF_INET6 if ":" in parsed[0] else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(parsed)
            probe.listen(1)
        except OSError as exc:
            if exc.errno == errno.EADDRINUSE:
                raise Mismatch(
                    key, f"{address} in use", "an address that is free"
                ) from exc
            raise Mismatch(
                key, f"{address} ({exc.strerror})", "an address of this host"
            ) from exc


def _check_writable(key: str, folder: Path) -> None:
    # A folder that does not exist yet is created in its parent at start.
    directory = folder if folder.exists() else folder.parent
    if not directory.is_dir():
        raise Mismatch(key, f"{str(directory)!r} is not a folder", "a folder")
    try:
        with tempfile.TemporaryFile(dir=directory):
            return
    except OSError as exc:
        raise Mismatch(
            key,
            f"{str(directory)!r} ({os.strerror(exc.errno or 0)})",
            "a writable folder",
        ) from exc
