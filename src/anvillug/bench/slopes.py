"""Linear fits through measured points, to extrapolate metrics to sizes that were not run."""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Line fitted to measured points by least squares."""

    slope: float
    """Increase per unit of the size."""
    base: float
    """Value at size 0."""
    residual: float
    """Maximum deviation of a point from the line; shows whether the relation is linear."""

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line to points.

    Args:
        sizes: Sizes, at least two different ones.
        values: Value measured at each size.

    Returns:
        Fitted line.

    Raises:
        ValueError: If the points do not determine a line.
    """
    if len(set(sizes)) < 2:
        raise ValueError(f'a slope needs two different sizes, got {sorted(set(sizes))}')
    slope, base = statistics.linear_regression(sizes, values)
    residual = max(
        abs(value - base - slope * size) for size, value in zip(sizes, values, strict=True)
    )
    return Line(slope, base, residual)
