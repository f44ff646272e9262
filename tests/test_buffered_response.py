"""Tests of responses that are read completely before they are used."""

from __future__ import annotations

import pytest

from anvillug import clock
from anvillug.connection import memory_account
from anvillug.request import buffered_response

_LIMIT_BYTES = 1 << 20
_PART = bytes(_LIMIT_BYTES // 8)


@pytest.fixture
def account():
    """Return an account of a small machine."""
    return memory_account.MemoryAccount(_LIMIT_BYTES, clock.ManualClock())


def _response(account=None):
    return buffered_response.BufferedResponse(buffered_response.MAX_BYTES, account)


class TestBufferedResponse:
    """Guards against responses that a process holds although it has no memory for them."""

    def test_parts_are_joined_and_released(self, account):
        response = _response(account)
        assert [response.add(part) for part in (_PART, b'a', _PART)] == ['', '', '']
        assert account.used_bytes > len(_PART)
        assert response.take() == b'%ba%b' % (_PART, _PART)
        assert account.used_bytes == 0

    def test_responses_have_a_share_of_the_account_together(self, account):
        responses = [_response(account) for _ in range(20)]
        reasons = [response.add(_PART) for response in responses]
        assert set(reasons) == {'', 'no memory for the answer'}
        assert account.used_bytes <= _LIMIT_BYTES
        for response in responses:
            response.clear()
        assert account.used_bytes == 0

    def test_small_response_is_held_without_memory(self, account):
        assert account.reserve(_LIMIT_BYTES)
        assert not _response(account).add(b'small')

    def test_large_response_is_held_in_calm(self, account):
        assert not _response(account).add(bytes(buffered_response.MAX_BYTES))

    def test_size_is_limited_without_an_account(self):
        response = _response()
        assert not response.add(bytes(buffered_response.MAX_BYTES))
        assert 'exceeds' in response.add(b'a')
