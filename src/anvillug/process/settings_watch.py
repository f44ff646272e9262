"""Reloads the settings file when it changes, or on SIGHUP."""

from __future__ import annotations

import pathlib
from collections.abc import Callable
from typing import Any

import expression

from anvillug import event_log, findings
from anvillug.process import mesh_settings

_CHECK_INTERVAL_S = 1.0  # maximum delay until a change is detected without a signal

Loader = Callable[[pathlib.Path], expression.Result[mesh_settings.MeshSettings, findings.Findings]]


class SettingsWatch:
    """Reloads the settings file when it changes.

    Args:
        reactor: Twisted reactor.
        path: Settings file.
        load: Reads and validates the file.
        apply: Called with valid settings that differ from those in effect.
        current: Settings in effect.
    """

    def __init__(
        self,
        reactor: Any,
        path: pathlib.Path,
        load: Loader,
        apply: Callable[[mesh_settings.MeshSettings], None],
        current: mesh_settings.MeshSettings,
    ) -> None:
        self._reactor = reactor
        self._path = path
        self._load = load
        self._apply = apply
        self._current = current
        self._version = self._file_version()

    def start(self) -> None:
        """Watch the file until the process ends."""
        self._reactor.callLater(_CHECK_INTERVAL_S, self._check)

    def reload(self) -> None:
        """Read the file and apply its changes; an invalid file changes nothing."""
        self._version = self._file_version()
        loaded = self._load(self._path)
        if loaded.is_error():
            for finding in loaded.error:
                event_log.warn('settings_rejected', place=finding.place, reason=finding.message)
            return
        changed = mesh_settings.differences(self._current, loaded.ok)
        event_log.emit('settings_applied', changed=','.join(changed))
        if changed:
            self._current = loaded.ok
            self._apply(loaded.ok)

    def _check(self) -> None:
        version = self._file_version()
        if version != self._version:
            self.reload()
        self._reactor.callLater(_CHECK_INTERVAL_S, self._check)

    def _file_version(self) -> tuple[int, int]:
        """Return time of modification and size, which identify a version; zeros without a file."""
        try:
            status = self._path.stat()
        except OSError as error:
            event_log.warn('settings_not_found', path=self._path, reason=error.strerror)
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
