"""Tests of call properties and their wire formats."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from anvillug import clock, event_log, ids
from anvillug.request import call


class TestCallId:
    """Guards against call ids that are altered by formatting and parsing."""

    @given(strategies.from_regex('[a-z][a-z0-9.-]{0,20}', fullmatch=True))
    def test_round_trip(self, host: str):
        call_id = ids.CallId(ids.HostId(host), ids.Incarnation(7), 12)
        assert ids.parse_call_id(str(call_id)) == call_id

    @pytest.mark.parametrize('text', ['', 'a.1', '.1.2', 'a.b.c'])
    def test_malformed_call_id_is_rejected(self, text: str):
        with pytest.raises(ValueError, match=r'call id|invalid literal'):
            ids.parse_call_id(text)


class TestLoadHeader:
    """Guards against load samples that the entry side parses wrongly."""

    def test_round_trip(self):
        now = clock.Milliseconds(5)
        sample = call.LoadSample(3, 10, 1, 2.5, call.HostState.SERVING, now)
        assert call.parse_load(call.format_load(sample), now) == sample


class TestEventLine:
    """Guards against log lines that can't be split back into key-value pairs."""

    def test_values_with_blanks_are_quoted(self):
        assert event_log.format_line('x', {'a': 1, 'b': 'c d'}) == 'event=x a=1 b="c d"'
