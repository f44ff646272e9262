"""Documents and messages with values that a damaged or foreign sender writes."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

from hypothesis import strategies


@strategies.composite
def content(draw, whole: Any, values: strategies.SearchStrategy[Any]) -> Any:
    """Return a copy of a content in which a value at any depth is replaced or removed.

    Args:
        draw: Draws from strategies; see hypothesis.
        whole: Lists and mappings of values.
        values: Values that replace others.
    """
    damaged = copy.deepcopy(whole)
    container, key = draw(strategies.sampled_from(list(_places(damaged))))
    if draw(strategies.booleans()):
        container.pop(key)
    else:
        container[key] = draw(values)
    return damaged


def _places(whole: Any) -> Iterator[tuple[Any, Any]]:
    """Yield each container at any depth with each of its keys."""
    keys: Any = ()
    if isinstance(whole, list):
        keys = range(len(whole))
    elif isinstance(whole, dict):
        keys = tuple(whole)
    for key in keys:
        yield whole, key
        yield from _places(whole[key])
