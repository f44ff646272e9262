"""Tests of the median."""

from __future__ import annotations

import statistics

from hypothesis import given, strategies

from anvillug import median


class TestMedian:
    """Guards against a time of day or a room that is not that of most nodes."""

    @given(strategies.lists(strategies.floats(-1e15, 1e15), min_size=1))
    def test_equals_that_of_the_standard_library(self, numbers):
        assert median.of(iter(numbers)) == statistics.median(numbers)
