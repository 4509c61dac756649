"""Guards against an error kind without an entry in `PROMISES`."""

import pytest

from crocuswell_core.runtime.errors import PROMISES, ErrorKind


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_each_kind_has_a_promise(kind: ErrorKind) -> None:
    assert PROMISES[kind].title
