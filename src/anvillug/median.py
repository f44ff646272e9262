"""Median without the `statistics` module, whose import takes 5 ms of processor time."""

from __future__ import annotations

from collections.abc import Iterable


def of(numbers: Iterable[float]) -> float:
    """Return the median of at least one number; of two in the middle, their mean."""
    ordered = sorted(numbers)
    middle, is_odd = divmod(len(ordered), 2)
    return ordered[middle] if is_odd else (ordered[middle - 1] + ordered[middle]) / 2
