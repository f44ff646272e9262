"""Traffic of a soak: that of the guhachitra-mesh deployment."""

from __future__ import annotations

import dataclasses

HOST = 'soak.example'
"""Host of all routes."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request of the traffic table."""

    route: str
    """Name and path prefix of the route."""
    kind: str
    """Kind of the route, as the configuration names it."""
    service: str
    """Service that runs the requests."""
    per_second: float
    """Requests a second, over all nodes."""
    work_ms: float
    """Mean time that a backend server works on one."""
    target_ms: float
    """Latency objective."""
    deadline_ms: float
    """Time that callers wait."""
    body_bytes: int = 0
    """Mean size of the body."""
    calls: int = 0
    """Calls that some of its runs make to another service; see `CALL`."""

    @property
    def repeatable(self) -> bool:
        """Whether the requests may run more than once."""
        return self.kind == 'idempotent'


SHEET = RequestClass('sheet', 'idempotent', 'drawbook', 224, 60, 200, 1200, calls=2)
REVISION = RequestClass('rev', 'non_idempotent', 'drawbook', 76, 78, 250, 1500, 300)
SCAN = RequestClass('scan', 'upload', 'fieldvault', 27.2, 72, 300, 2000, 60_000)
BILL = RequestClass('bill', 'non_idempotent', 'fieldvault', 24.6, 48, 150, 1000, 300)
CALLERS = (SHEET, REVISION, SCAN, BILL)
"""Requests of callers."""
CALL = RequestClass('tile', 'idempotent', 'fieldvault', 0, 15, 80, 200)
"""Calls between services, made only in soaks that include them."""
