"""Fixtures that more than one test module uses."""

from collections.abc import Iterator

import pytest

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
