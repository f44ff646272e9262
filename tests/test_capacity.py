"""Arithmetic of the capacity measurements."""

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
    """Lines through measured points."""

    def test_line_is_worked_out_beyond_the_points(self) -> None:
        """Guards against figures at the planned size that ignore the fixed part."""
        line = slopes.fit([100, 400, 1600], [30, 60, 180])
        assert line.at(6300) == pytest.approx(650)
        assert line.residual == pytest.approx(0)

    def test_points_off_the_line_show_in_the_residual(self) -> None:
        """Guards against a curve that is passed off as a straight line."""
        assert slopes.fit([0, 1, 2], [0, 0, 6]).residual == pytest.approx(2)

    def test_one_size_gives_no_slope(self) -> None:
        """Guards against a slope from a single size."""
        with pytest.raises(ValueError, match='two different sizes'):
            slopes.fit([16, 16], [1, 2])


class TestTimeInEffect:
    """Times at which a configuration was in effect, from event logs."""

    def test_later_number_counts_for_a_skipped_one(self) -> None:
        """Guards against a missing time when a node folds two patches from one read."""
        times = capacity_nodes.times_by_number(_OUTPUT)
        assert times == {1: 100, 3: 300}
        assert capacity_nodes.time_in_effect(times, 2) == 300

    def test_number_never_in_effect_is_not_hidden(self) -> None:
        """Guards against a spread that leaves out the nodes that never got a change."""
        assert capacity_nodes.time_in_effect({1: 100}, 2) == math.inf
