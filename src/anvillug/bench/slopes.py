"""Straight lines through measured points, to work out figures at sizes not run here."""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line through measured points."""

    slope: float
    """Growth per unit of the size."""
    base: float
    """Value at size 0."""
    residual: float
    """Largest distance of a point from the line; tells whether a line fits at all."""

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def fit(sizes: Sequence[float], figures: Sequence[float]) -> Line:
    """Return the line through points.

    Args:
        sizes: Sizes, at least two different ones.
        figures: The figure measured at each size.

    Returns:
        The line.

    Raises:
        ValueError: If the points do not determine a line.
    """
    if len(set(sizes)) < 2:
        raise ValueError(f'a slope needs two different sizes, got {sorted(set(sizes))}')
    slope, base = statistics.linear_regression(sizes, figures)
    residual = max(
        abs(figure - base - slope * size) for size, figure in zip(sizes, figures, strict=True)
    )
    return Line(slope, base, residual)
