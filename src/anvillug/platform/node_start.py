"""Starts a node once its addresses are free; until then its settings may be replaced."""

from __future__ import annotations

import pathlib
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from anvillug import event_log
from anvillug.connection import http_exchange
from anvillug.platform import control, settings
from anvillug.process import lifetime, listeners, mesh_node, mesh_settings, settings_watch

_EXIT_FAILURE = 1
_EXIT_BAD_INPUT = 2

Build = Callable[[mesh_settings.MeshSettings], mesh_node.MeshNode]
"""Creates a node."""


class NodeStart:
    """Start of the node of this process.

    Args:
        reactor: Twisted reactor; stopped if the start fails.
        path: Settings file.
        build: Creates a node.
        current: Settings.
        version: Version of the file with these settings.
    """

    def __init__(
        self,
        reactor: Any,
        path: pathlib.Path,
        build: Build,
        current: mesh_settings.MeshSettings,
        version: settings_watch.Version,
    ) -> None:
        self.status = 0
        """Exit status of the process."""
        self._reactor = reactor
        self._path = path
        self._build = build
        self._watch = settings_watch.SettingsWatch(
            reactor, path, settings.load, self._apply, current, version
        )
        self._begin(current)
        self._watch.start()

    # Private

    def _begin(
        self,
        current: mesh_settings.MeshSettings,
        former: mesh_settings.MeshSettings | None = None,
    ) -> None:
        """Start a node.

        Args:
            current: Its settings.
            former: Settings to go back to if an address of these can never be used.
        """
        self._current = current
        self._former = former
        self._node = self._build(current)
        self._requests = control.Control(self._node)
        # The readiness check is answered as not ready while other addresses are in use.
        self._node.listen('readiness', current.ready_address, self._readiness, is_early=True)
        self._node.listen('control', current.control_address, self._requests.control)
        self._starting = defer.ensureDeferred(self._node.start(self._watch.reload))
        self._starting.addErrback(self._failed)

    def _readiness(self, exchange: http_exchange.ServerExchange) -> None:
        # Connections of the check outlast a node that is replaced.
        self._requests.readiness(exchange)

    def _apply(self, changed: mesh_settings.MeshSettings) -> None:
        """Apply changed settings; an address that can't be used may be replaced by them."""
        if self._node.has_started:
            self._node.apply(changed)
        else:
            self._starting.cancel()
            self._begin(changed, self._current)

    def _failed(self, reason: failure.Failure) -> None:
        if reason.check(defer.CancelledError):
            return
        if reason.check(listeners.ListenError):
            self._reject_address(reason.getErrorMessage())
        else:
            event_log.error('start_failed', reason.value)
            self._end(_EXIT_FAILURE)

    def _reject_address(self, reason: str) -> None:
        """Go back to the former settings, or end if there are none."""
        if self._former is None:
            lifetime.print_error(f'{self._path}: {reason}')
            self._end(_EXIT_BAD_INPUT)
        else:
            event_log.warn('settings_rejected', place=self._path, reason=reason)
            self._begin(self._former)

    def _end(self, status: int) -> None:
        self.status = status
        if self._reactor.running:
            self._reactor.stop()
