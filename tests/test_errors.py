"""Guards against an error kind without an entry in `ERROR_CONTRACTS`."""

import pytest

from crocuswell_core.runtime.errors import ERROR_CONTRACTS, ErrorKind


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_each_kind_has_an_error_contract(kind: ErrorKind) -> None:
    assert ERROR_CONTRACTS[kind].title
