"""The backend server beside a node: its announcements and its loss."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import clock, event_log, ids

SILENT_AFTER_MS = 5000
"""Five announcements missed: the backend server is taken as gone."""

_CHECK_INTERVAL_S = 0.5
_CRASH_CHECK_S = 0.3
_CRASH_CHECKS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """What a backend server announced of itself."""

    service: ids.ServiceName
    """Service that it serves."""
    version: ids.VersionName
    """Version that it runs."""
    address: str
    """IP:port that takes calls."""
    slots: int
    """Calls that it runs at once."""
    connections: int
    """Connections that it accepts."""
    incarnation: str
    """Changes with each start of the backend server."""
    leaving: bool
    """Whether it asked for no new work."""

    @property
    def host_and_port(self) -> tuple[str, int]:
        """Address split for a connect."""
        host, _, port = self.address.rpartition(':')
        return host, int(port)


class BackendWatch:
    """Holds the newest announcement and notes when announcements stop.

    Args:
        reactor: Timers.
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
        """Newest announcement, None without one."""
        self._reactor = reactor
        self._clock = time
        self._changed = changed
        self._heard_at = time.now()
        self._check()

    def announced(self, backend: Backend) -> None:
        """Take an announcement."""
        self._heard_at = self._clock.now()
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
        silent_ms = self._clock.now() - self._heard_at
        if self.backend is not None and silent_ms > SILENT_AFTER_MS:
            event_log.warn('backend_server_silent', silent_ms=round(silent_ms))
            self.backend = None
            self._changed(None)
        self._reactor.callLater(_CHECK_INTERVAL_S, self._check)


class _RefusedFactory:
    """Notes whether a connect is refused; for `confirm_crash`."""

    noisy = False

    def __init__(self, refused: Callable[[], None], alive: Callable[[], None]) -> None:
        self._refused = refused
        self._alive = alive

    def doStart(self) -> None:  # noqa: N802
        """Do nothing; see Twisted."""

    def doStop(self) -> None:  # noqa: N802
        """Do nothing; see Twisted."""

    def startedConnecting(self, connector: object) -> None:  # noqa: N802
        """Do nothing; see Twisted."""

    def buildProtocol(self, addr: object) -> None:  # noqa: N802
        """Refuse to speak: the connect alone tells enough."""
        self._alive()

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        """Note the refusal; see Twisted."""
        self._refused()

    def clientConnectionLost(self, connector: object, reason: object) -> None:  # noqa: N802
        """Do nothing; see Twisted."""


def confirm_crash(
    reactor: interfaces.IReactorTime,
    lost: Backend,
    current: Callable[[], Backend | None],
    crashed: Callable[[], None],
    checks_left: int = _CRASH_CHECKS,
) -> None:
    """Tell a crash from a cut connection.

    A backend server has crashed when connects to it are refused or another
    incarnation announces itself; a lost connection alone is no evidence.

    Args:
        reactor: Twisted reactor.
        lost: Backend server whose connection was lost.
        current: Returns the newest announcement.
        crashed: Called once when the crash is confirmed.
        checks_left: How often to look again while the server accepts connects.
    """

    def look_again() -> None:
        newest = current()
        if newest is not None and newest.incarnation != lost.incarnation:
            crashed()
        elif checks_left > 1 and (newest is None or not newest.leaving):
            confirm_crash(reactor, lost, current, crashed, checks_left - 1)

    def alive() -> None:
        reactor.callLater(_CRASH_CHECK_S, look_again)

    host, port = lost.host_and_port
    reactor.connectTCP(host, port, _RefusedFactory(crashed, alive), timeout=1)
