"""Reads the settings file at the start, and again when it changes or on SIGHUP."""

from __future__ import annotations

import pathlib
import time as system_time
from collections.abc import Callable
from typing import Any, NewType

from anvillug import clock, event_log, findings
from anvillug.process import mesh_settings

_CHECK_INTERVAL_S = 1.0  # maximum delay until a change is detected without a signal
# The platform may still be writing the file when it starts the process.
_WRITING_MS = 2000.0
_WRITING_CHECK_S = 0.1
# An invalid file may stay for as long as nobody corrects it.
_LOG_INTERVAL_MS = 10_000.0

Version = NewType('Version', tuple[int, int])
"""Time of modification and size of the file, which identify a version."""

_NO_FILE = Version((0, 0))

Loader = Callable[[pathlib.Path], mesh_settings.MeshSettings | findings.Findings]


def load_at_start(
    path: pathlib.Path, load: Loader, time: clock.Clock
) -> tuple[Version, mesh_settings.MeshSettings]:
    """Read the settings file, and try again until it is valid.

    Args:
        path: Settings file.
        load: Reads and validates the file.
        time: Clock.

    Returns:
        The version of the file before it was read, and the settings.
    """
    log = _FindingsLog(time)
    while True:
        version = _version_of(path)
        loaded = load(path)
        if not isinstance(loaded, tuple):
            log.write_end()
            return version, loaded
        log.write(loaded)
        is_being_written = log.duration_ms < _WRITING_MS
        system_time.sleep(_WRITING_CHECK_S if is_being_written else _CHECK_INTERVAL_S)


class _FindingsLog:
    """Logs each finding of the start at once, and again now and then while it lasts.

    Args:
        time: Clock.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._began_at = time.now()
        self._logged_at_by_finding: dict[findings.Finding, float] = {}

    @property
    def duration_ms(self) -> float:
        """Time in milliseconds since the first try."""
        return self._clock.now() - self._began_at

    def write(self, found: findings.Findings) -> None:
        """Log the findings of a try that are due."""
        now = self._clock.now()
        # Those that are gone are logged at once if they come back.
        former = self._logged_at_by_finding
        self._logged_at_by_finding = {finding: former.get(finding, now) for finding in found}
        for finding, logged_at in self._logged_at_by_finding.items():
            if finding not in former or now - logged_at >= _LOG_INTERVAL_MS:
                self._logged_at_by_finding[finding] = now
                event_log.warn(
                    'settings_not_read',
                    place=finding.place,
                    reason=finding.message,
                    invalid_ms=int(self.duration_ms),
                )

    def write_end(self) -> None:
        """Log that the settings are valid, if they were not."""
        if self._logged_at_by_finding:
            event_log.emit('settings_valid', invalid_ms=int(self.duration_ms))


def _version_of(path: pathlib.Path) -> Version:
    try:
        status = path.stat()
    except OSError:
        return _NO_FILE
    return Version((status.st_mtime_ns, status.st_size))


class SettingsWatch:
    """Reloads the settings file when it changes.

    Args:
        reactor: Twisted reactor.
        path: Settings file.
        load: Reads and validates the file.
        apply: Called with valid settings that differ from those in effect.
        current: Settings in effect.
        version: Version of the file with these settings.
    """

    def __init__(
        self,
        reactor: Any,
        path: pathlib.Path,
        load: Loader,
        apply: Callable[[mesh_settings.MeshSettings], None],
        current: mesh_settings.MeshSettings,
        version: Version,
    ) -> None:
        self._reactor = reactor
        self._path = path
        self._load = load
        self._apply = apply
        self._current = current
        self._version = version
        # Findings of the last reading.
        self._rejected: findings.Findings = ()

    def start(self) -> None:
        """Watch the file until the process ends."""
        self._reactor.callLater(_CHECK_INTERVAL_S, self._check)

    def reload(self) -> None:
        """Read the file and apply its changes; an invalid file changes nothing."""
        self._rejected = ()
        self._read()

    def _read(self) -> None:
        self._version = _version_of(self._path)
        loaded = self._load(self._path)
        if isinstance(loaded, tuple):
            for finding in loaded:
                if finding not in self._rejected:
                    event_log.warn('settings_rejected', place=finding.place, reason=finding.message)
            self._rejected = loaded
            return
        self._rejected = ()
        changed = mesh_settings.differences(self._current, loaded)
        event_log.emit('settings_applied', changed=','.join(changed))
        if changed:
            self._current = loaded
            self._apply(loaded)

    def _check(self) -> None:
        # First, so that a failure does not end the task.
        self._reactor.callLater(_CHECK_INTERVAL_S, self._check)
        version = _version_of(self._path)
        if version == _NO_FILE:
            event_log.warn('settings_not_found', path=self._path)
        if version != self._version:
            self.reload()
        elif self._rejected:
            # The file may be readable by now without a change of its version.
            self._read()
