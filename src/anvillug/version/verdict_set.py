"""Set of versions found bad; verdicts are never revoked, so sets of several nodes can be merged."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from anvillug import ids

MAX_VERDICTS_PER_SERVICE = 4
"""Number of newest verdicts retained per service; only that of the current rollout is needed."""
MAX_SERVICES = 2_000  # six times the planned 310 services; limits memory if a peer misbehaves


@dataclasses.dataclass(frozen=True, slots=True)
class VerdictNotice:
    """Verdict that a version was found bad during a rollout; it is final."""

    service: ids.ServiceName
    """Service of the version."""
    version: ids.VersionName
    """Bad version."""
    move: int
    """Configuration number that started the rollout; later rollouts have greater ones."""
    evidence: str
    """Description of the observations, for operators."""


class VerdictSet:
    """Verdicts by service and rollout; merging in any order gives the same set."""

    def __init__(self) -> None:
        self._notices_by_service: dict[ids.ServiceName, dict[int, VerdictNotice]] = {}

    def is_bad(self, service: ids.ServiceName, version: ids.VersionName, move: int) -> bool:
        """Tell whether a version was found bad during a rollout."""
        notice = self._notices_by_service.get(service, {}).get(move)
        return notice is not None and notice.version == version

    def find(self, service: ids.ServiceName, move: int) -> VerdictNotice | None:
        """Return the verdict of a rollout, if any."""
        return self._notices_by_service.get(service, {}).get(move)

    def add(self, notice: VerdictNotice) -> bool:
        """Add a verdict.

        Args:
            notice: The verdict.

        Returns:
            Whether it was new; verdicts of old rollouts are ignored.
        """
        by_move = self._notices_by_service.get(notice.service)
        if by_move is None:
            if len(self._notices_by_service) >= MAX_SERVICES:
                return False
            by_move = self._notices_by_service.setdefault(notice.service, {})
        if notice.move in by_move:
            return False
        by_move[notice.move] = notice
        if len(by_move) > MAX_VERDICTS_PER_SERVICE:
            by_move.pop(min(by_move))
        return notice.move in by_move

    def merge(self, notices: Iterable[VerdictNotice]) -> list[VerdictNotice]:
        """Add the verdicts of a peer and return those that were new."""
        return [notice for notice in notices if self.add(notice)]

    def notices(self) -> tuple[VerdictNotice, ...]:
        """Return all verdicts."""
        return tuple(
            notice for by_move in self._notices_by_service.values() for notice in by_move.values()
        )
