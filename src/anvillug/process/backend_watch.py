"""Announcements of the local backend server, and detection of its loss."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock, event_log, ids

ANNOUNCEMENT_TIMEOUT_MS = 5000
"""Time without announcements, five intervals, after which the backend server counts as stopped."""

_CHECK_INTERVAL_S = 0.5
_CRASH_CHECK_INTERVAL_S = 0.3
_MAX_CRASH_CHECKS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """Announcement of a backend server."""

    service: ids.ServiceName
    """Service that it serves."""
    version: ids.VersionName
    """Version that it runs."""
    address: str
    """Address that accepts calls, as IP:port."""
    slots: int
    """Maximum number of concurrent calls."""
    connections: int
    """Maximum number of connections."""
    incarnation: str
    """Identifies one start of the backend server."""
    leaving: bool
    """Whether it is shutting down and must get no new calls."""

    @property
    def host_and_port(self) -> tuple[str, int]:
        """IP address and port of `address`."""
        host, _, port = self.address.rpartition(':')
        return host, int(port)


class BackendWatch:
    """Stores the newest announcement and detects when announcements stop.

    Args:
        reactor: Source of timers.
        time: Clock.
        changed: Called with each announcement, and with None when they stop.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        time: clock.Clock,
        changed: Callable[[Backend | None], None],
    ) -> None:
        self.backend: Backend | None = None
        """Newest announcement; None before the first one and after a loss."""
        self._reactor = reactor
        self._clock = time
        self._changed = changed
        self._announced_at = time.now()
        self._check()

    def announced(self, backend: Backend) -> None:
        """Record an announcement."""
        self._announced_at = self._clock.now()
        if backend != self.backend:
            self.backend = backend
            event_log.emit(
                'backend_server_announced',
                service=backend.service,
                version=backend.version,
                incarnation=backend.incarnation,
                leaving=backend.leaving,
            )
        self._changed(backend)

    def _check(self) -> None:
        # First, so that a failure does not end the task.
        self._reactor.callLater(_CHECK_INTERVAL_S, self._check)
        silent_ms = self._clock.now() - self._announced_at
        if self.backend is not None and silent_ms > ANNOUNCEMENT_TIMEOUT_MS:
            event_log.warn('backend_server_silent', silent_ms=round(silent_ms))
            self.backend = None
            self._changed(None)


class _ConnectCheckFactory:
    """Reports whether a connect succeeds; for `confirm_crash`."""

    noisy = False

    def __init__(self, connect_failed: Callable[[], None], connected: Callable[[], None]) -> None:
        self._connect_failed = connect_failed
        self._connected = connected

    def doStart(self) -> None:  # noqa: N802
        """Do nothing; see Twisted."""

    def doStop(self) -> None:  # noqa: N802
        """Do nothing; see Twisted."""

    def startedConnecting(self, connector: object) -> None:  # noqa: N802
        """Do nothing; see Twisted."""

    def buildProtocol(self, addr: object) -> None:  # noqa: N802
        """Build no protocol, which closes the connection: the successful connect is enough."""
        self._connected()

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        """Report the failed connect; see Twisted."""
        self._connect_failed()

    def clientConnectionLost(self, connector: object, reason: object) -> None:  # noqa: N802
        """Do nothing; see Twisted."""


def confirm_crash(
    reactor: interfaces.IReactorTime,
    lost: Backend,
    current: Callable[[], Backend | None],
    crashed: Callable[[], None],
    checks_left: int = _MAX_CRASH_CHECKS,
) -> None:
    """Check whether a connection was lost because the backend server crashed.

    A backend server has crashed if connects to it fail or a new incarnation announces itself.
    A lost connection alone does not prove a crash.

    Args:
        reactor: Twisted reactor.
        lost: Announcement of the backend server whose connection was lost.
        current: Returns the newest announcement.
        crashed: Called once if a crash is confirmed.
        checks_left: Remaining checks while the backend server accepts connections.
    """

    def check_again() -> None:
        newest = current()
        if newest is not None and newest.incarnation != lost.incarnation:
            crashed()
        elif checks_left > 1 and (newest is None or not newest.leaving):
            confirm_crash(reactor, lost, current, crashed, checks_left - 1)

    def connected() -> None:
        reactor.callLater(_CRASH_CHECK_INTERVAL_S, check_again)

    host, port = lost.host_and_port
    reactor.connectTCP(host, port, _ConnectCheckFactory(crashed, connected), timeout=1)
