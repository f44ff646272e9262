"""Tests of the calculations on capacity measurements."""

from __future__ import annotations

import math

import pytest

from anvillug.bench import capacity_nodes, slopes

_OUTPUT = """
time_ms=100 level=info event=config_in_effect number=1 next_offset=1
time_ms=150 level=info event=other number=2
time_ms=300 level=info event=config_in_effect number=3 next_offset=3
"""


class TestSlopes:
    """Linear fits through measured points."""

    def test_line_extrapolates_beyond_the_points(self) -> None:
        """Guards against extrapolated values that omit the constant part of a cost."""
        line = slopes.fit([100, 400, 1600], [30, 60, 180])
        assert line.at(6300) == pytest.approx(650)
        assert line.residual == pytest.approx(0)

    def test_residual_shows_deviation_from_the_line(self) -> None:
        """Guards against a nonlinear cost that is reported as linear."""
        assert slopes.fit([0, 1, 2], [0, 0, 6]).residual == pytest.approx(2)

    def test_single_size_is_rejected(self) -> None:
        """Guards against a slope computed from a single size."""
        with pytest.raises(ValueError, match='two different sizes'):
            slopes.fit([16, 16], [1, 2])


class TestTimeInEffect:
    """Times at which configurations came into effect, from event logs."""

    def test_skipped_number_takes_time_of_the_next_one(self) -> None:
        """Guards against a missing time if a node folds two patches from one read."""
        times = capacity_nodes.times_by_number(_OUTPUT)
        assert times == {1: 100, 3: 300}
        assert capacity_nodes.time_in_effect(times, 2) == 300

    def test_number_never_in_effect_has_infinite_time(self) -> None:
        """Guards against a spread that omits the nodes that never received a change."""
        assert capacity_nodes.time_in_effect({1: 100}, 2) == math.inf
