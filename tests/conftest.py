"""Fixtures shared by several test modules."""

from collections.abc import Iterator

import pytest

from crocuswell_daemon import streams
from tests.http_fake import FakeLoop, serving


@pytest.fixture(scope="module")
def shared_loop() -> Iterator[FakeLoop]:
    with serving() as loop:
        yield loop


@pytest.fixture
def loop(shared_loop: FakeLoop) -> FakeLoop:
    shared_loop.replies.clear()
    shared_loop.calls.clear()
    return shared_loop


@pytest.fixture
def long_stream_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lengthen stream timeouts that a busy machine could exceed."""
    monkeypatch.setattr(streams, "OPEN_TIMEOUT_S", 10.0)
    monkeypatch.setattr(streams, "CLOSE_GRACE_S", 5.0)
