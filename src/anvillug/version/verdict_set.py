"""Set of bad versions; a verdict that was added once is never taken back."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from anvillug import ids

MOVES_PER_SERVICE = 4
"""Verdicts kept per service; only that of the current move is ever asked for."""
MAX_SERVICES = 2_000  # six times the planned 310; bounds memory against bad peers


@dataclasses.dataclass(frozen=True, slots=True)
class VerdictNotice:
    """A version found bad during a move; once true, always true."""

    service: ids.ServiceName
    """Service of the version."""
    version: ids.VersionName
    """The version that is bad."""
    move: int
    """Configuration number that started the move; a later move has a greater one."""
    evidence: str
    """What was observed, for operators."""


class VerdictSet:
    """Verdicts by service and move. Sets merged in any order become equal."""

    def __init__(self) -> None:
        self._notices_by_service: dict[ids.ServiceName, dict[int, VerdictNotice]] = {}

    def is_bad(self, service: ids.ServiceName, version: ids.VersionName, move: int) -> bool:
        """Tell whether a version was found bad during a move."""
        notice = self._notices_by_service.get(service, {}).get(move)
        return notice is not None and notice.version == version

    def find(self, service: ids.ServiceName, move: int) -> VerdictNotice | None:
        """Return the verdict of a move, if there is one."""
        return self._notices_by_service.get(service, {}).get(move)

    def add(self, notice: VerdictNotice) -> bool:
        """Add a verdict.

        Args:
            notice: The verdict.

        Returns:
            Whether it was new; verdicts of moves long past are ignored.
        """
        by_move = self._notices_by_service.get(notice.service)
        if by_move is None:
            if len(self._notices_by_service) >= MAX_SERVICES:
                return False
            by_move = self._notices_by_service.setdefault(notice.service, {})
        if notice.move in by_move:
            return False
        by_move[notice.move] = notice
        if len(by_move) > MOVES_PER_SERVICE:
            by_move.pop(min(by_move))
        return notice.move in by_move

    def merge(self, notices: Iterable[VerdictNotice]) -> list[VerdictNotice]:
        """Add verdicts of a peer and return those that were new."""
        return [notice for notice in notices if self.add(notice)]

    def notices(self) -> tuple[VerdictNotice, ...]:
        """Return all verdicts."""
        return tuple(
            notice for by_move in self._notices_by_service.values() for notice in by_move.values()
        )
