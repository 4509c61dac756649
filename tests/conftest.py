"""Fixtures that more than one test module uses."""

from collections.abc import Iterator

import pytest

from crocuswell_daemon import streams
from tests.http_fake import FakeLoop, serving


@pytest.fixture(scope="module")
def shared() -> Iterator[FakeLoop]:
    with serving() as loop:
        yield loop


@pytest.fixture
def loop(shared: FakeLoop) -> FakeLoop:
    shared.replies.clear()
    shared.calls.clear()
    return shared


@pytest.fixture
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lengthen limits of streams that a busy machine could exceed."""
    monkeypatch.setattr(streams, "OPEN_LIMIT_S", 10.0)
    monkeypatch.setattr(streams, "CLOSE_GRACE_S", 5.0)
