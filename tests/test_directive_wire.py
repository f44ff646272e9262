"""Tests of the encoding of directives between nodes."""

from __future__ import annotations

import random

import pytest

from anvillug.request import job_wire
from anvillug.version import directives

_POSITION = directives.Position(1, 7)


def _directives(value: bytes) -> directives.Directives:
    return directives.Directives(
        _POSITION, records={'config': directives.Record(directives.Position(1, 3), value)}
    )


class TestDirectives:
    """Guards against directives that change in transit, or saturate the links between nodes."""

    def test_records_are_unpacked_unchanged(self):
        packed = job_wire.pack_directives(_directives(b'x' * 200_000))
        records, position = job_wire.unpack_directives(packed)
        assert (records['config'].value, position) == (b'x' * 200_000, _POSITION)

    def test_large_records_are_left_out(self):
        packed = job_wire.pack_directives(_directives(random.Random(1).randbytes(50_000)))
        assert len(packed) < 1000
        assert job_wire.unpack_directives(packed) == (None, _POSITION)

    @pytest.mark.parametrize('data', [b'', b'\xc1', b'\x92\x01\xc4\x01x'])
    def test_malformed_data_is_rejected(self, data):
        with pytest.raises(job_wire.MalformedError):
            job_wire.unpack_directives(data)
