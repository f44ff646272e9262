"""Tests of the decoding of messages of other processes."""

from __future__ import annotations

import itertools
import tracemalloc
import zlib

import msgpack
import pytest

from anvillug import clock, wire_message
from anvillug.connection import http_head
from anvillug.request import job, job_wire
from anvillug.version import directives

_BOMB_BYTES = 64 << 20
_BOUND_BYTES = 32 << 20


class TestUnpack:
    """Guards against messages that take far more memory than their size."""

    @pytest.mark.parametrize('part', [[], {}], ids=['lists', 'maps'])
    def test_message_of_many_values_is_malformed(self, part):
        content = list(itertools.repeat(part, 1000))
        message = msgpack.packb(list(itertools.repeat(content, 1000)))
        with pytest.raises(ValueError, match='values'):
            wire_message.unpack(message)

    def test_long_list_is_malformed(self):
        with pytest.raises(ValueError, match='max_array_len'):
            wire_message.unpack(msgpack.packb(list(range(1_000_000))))

    def test_large_values_are_decoded(self):
        content = [[b'x' * 1_000_000, 'a', None], {'b': [1.5]}]
        assert wire_message.unpack(msgpack.packb(content)) == content


class TestMessagesOfNodes:
    """Guards against messages of nodes that no node of any release sends."""

    def test_job_that_is_no_list_is_malformed(self):
        with pytest.raises(job_wire.MalformedError, match='list'):
            job_wire.unpack_job(msgpack.packb(bytes(1000)), clock.Milliseconds(0))

    def test_result_with_the_largest_head_is_decoded(self):
        headers = list(itertools.repeat((b'a', b''), 65_536))
        result = job.Result(job.ResultKind.ANSWERED, head=http_head.ResponseHead(200, headers))
        decoded = job_wire.unpack_result(job_wire.pack_result(result))
        assert decoded.head.headers == headers

    # A message of 64 KiB took 64 MB.
    def test_directives_of_any_size_are_not_decompressed(self):
        packed = zlib.compress(bytes(_BOMB_BYTES))
        message = msgpack.packb([directives.ORIGIN, packed])
        tracemalloc.start()
        try:
            with pytest.raises(job_wire.MalformedError, match='exceed'):
                job_wire.unpack_directives(message)
            assert tracemalloc.get_traced_memory()[1] < _BOUND_BYTES
        finally:
            tracemalloc.stop()
