"""Finds habits of callers that cost them answers, although each missing answer has an excuse."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from anvillug.bench import soak_records

# A share of requests without an answer that no reason justifies: a quarter, eight at least, as
# CONFIG counts answers that are missing; and over three times the others', as LOST compares cuts.
_MAX_SHARE = 0.25
_MIN_COUNT = 8
_FACTOR = 3
_PERIOD_MS = 2000

_Place = tuple[int, int]
"""Node, and number of a period."""


@dataclasses.dataclass(slots=True)
class _Count:
    """Requests of one group."""

    requests: int = 0
    unanswered: int = 0

    @property
    def share(self) -> float:
        """Share of requests without an answer."""
        return self.unanswered / self.requests

    def add(self, requests: int, unanswered: int) -> None:
        """Add requests."""
        self.requests += requests
        self.unanswered += unanswered

    def without(self, other: _Count) -> _Count:
        """Return the requests that are not in another group."""
        return _Count(self.requests - other.requests, self.unanswered - other.unanswered)


def starved(attempts: Iterable[soak_records.Attempt]) -> list[str]:
    """Return the habits whose callers get no answer far more often than the others.

    Callers are compared with others of the same node at the same time, unless most of those have
    no answer either, as those of a node that is gone. One habit may have callers at that node only.
    """
    habits_by_place: dict[_Place, dict[str, _Count]] = collections.defaultdict(
        lambda: collections.defaultdict(_Count)
    )
    for attempt in attempts:
        place = (attempt.node, int(attempt.sent_at // _PERIOD_MS))
        habits_by_place[place][attempt.group].add(1, int(attempt.is_unanswered))
    habits = {habit for counts in habits_by_place.values() for habit in counts}
    return [habit for habit in sorted(habits) if _is_starved(habit, habits_by_place.values())]


def _is_starved(habit: str, places: Iterable[Mapping[str, _Count]]) -> bool:
    total_of_others = _total(
        count for counts in places for name, count in counts.items() if name != habit
    )
    if not total_of_others.requests:
        return False
    compared = _Count()
    expected = 0.0
    for counts in places:
        own = counts.get(habit)
        if own is None:
            continue
        others = _total(counts.values()).without(own)
        share = others.share if others.requests else total_of_others.share
        if share <= 1 / 2:
            compared.add(own.requests, own.unanswered)
            expected += own.requests * share
    return (
        compared.unanswered >= _MIN_COUNT
        and compared.unanswered > _MAX_SHARE * compared.requests
        and compared.unanswered > _FACTOR * expected
    )


def _total(counts: Iterable[_Count]) -> _Count:
    total = _Count()
    for count in counts:
        total.add(count.requests, count.unanswered)
    return total
