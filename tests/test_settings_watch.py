"""Tests of the settings file at the start, without a process."""

from __future__ import annotations

import dataclasses
import pathlib

import pytest
from twisted.internet import task

from anvillug import clock, event_log, findings
from anvillug.process import mesh_settings, settings_watch
from tests import test_mesh_host

_PATH = pathlib.Path('local.json')
_FIRST = findings.Finding('local.json: Self', 'required key is missing')
_SECOND = findings.Finding('local.json: Terms', 'required key is missing')


class _Time(clock.ManualClock):
    """Clock that goes on only while the start sleeps."""

    def __init__(self) -> None:
        super().__init__()
        self.sleeps_s: list[float] = []

    def sleep(self, duration_s: float) -> None:
        self.advance(duration_s * 1000)
        self.sleeps_s.append(duration_s)


@pytest.fixture
def time(monkeypatch):
    """Return the clock of the start."""
    stepped = _Time()
    monkeypatch.setattr(settings_watch.system_time, 'sleep', stepped.sleep)
    return stepped


@pytest.fixture
def lines(monkeypatch):
    """Return a list of the lines that are logged."""
    logged: list[str] = []

    def log(event: str, **fields: object) -> None:
        logged.append(event_log.format_line(event, fields))

    monkeypatch.setattr(settings_watch.event_log, 'emit', log)
    monkeypatch.setattr(settings_watch.event_log, 'warn', log)
    return logged


def _load(time: _Time, valid_from_ms: float, *found: findings.Finding):
    """Return a loader of a file that has findings until a time."""

    def load(path: pathlib.Path) -> findings.Findings | str:
        if time.now() < valid_from_ms:
            return found
        return 'settings'

    return load


class TestStart:
    """Guards against a node that gives up, busy loops or floods its log while it waits."""

    def test_file_is_read_until_it_is_valid(self, time, lines):
        load = _load(time, 600_000, _FIRST)
        assert settings_watch.load_at_start(_PATH, load, time)[1] == 'settings'
        assert time.now() >= 600_000
        assert lines[-1] == f'event=settings_valid invalid_ms={int(time.now())}'

    def test_file_is_read_each_second_after_the_first_two(self, time, lines):
        settings_watch.load_at_start(_PATH, _load(time, 10_000, _FIRST), time)
        assert set(time.sleeps_s[:20]) == {0.1}
        assert set(time.sleeps_s[21:]) == {1.0}

    def test_each_finding_is_logged_at_once_and_now_and_then(self, time, lines):
        settings_watch.load_at_start(_PATH, _load(time, 29_000, _FIRST, _SECOND), time)
        for finding in (_FIRST, _SECOND):
            times_ms = [
                int(line.rpartition('=')[2]) for line in lines if f'place="{finding.place}"' in line
            ]
            assert times_ms[0] == 0
            assert len(times_ms) == 3
            assert all(
                9_900 <= late - early <= 11_100
                for early, late in zip(times_ms, times_ms[1:], strict=False)
            )

    def test_valid_file_is_not_mentioned(self, time, lines):
        settings_watch.load_at_start(_PATH, _load(time, 0), time)
        assert not lines


class _Watched:
    """A watched file that can't be read for a time, and changes once meanwhile."""

    def __init__(self, path: pathlib.Path) -> None:
        path.write_text('changed')
        self.reactor = task.Clock()
        self.results: list[findings.Findings | mesh_settings.MeshSettings] = []
        self.applied: list[mesh_settings.MeshSettings] = []
        former = test_mesh_host.settings()
        self.changed = dataclasses.replace(former, service='changed')
        self.watch = settings_watch.SettingsWatch(
            self.reactor, path, self._load, self.applied.append, former, (0, 0)
        )

    def pass_seconds(self, count: int) -> None:
        """Let whole seconds pass."""
        for _ in range(count):
            self.reactor.advance(1)

    def _load(self, path: pathlib.Path) -> findings.Findings | mesh_settings.MeshSettings:
        return self.results.pop(0) if self.results else self.changed


def _errors(count: int, *found: findings.Finding) -> list[findings.Findings]:
    return [found for _ in range(count)]


@pytest.fixture
def watched(tmp_path):
    """Return a file that is watched."""
    watched_file = _Watched(tmp_path / 'local.json')
    watched_file.watch.start()
    return watched_file


class TestWatch:
    """Guards against changes that are lost since the file could not be read for a moment."""

    def test_file_that_could_not_be_read_is_read_again(self, watched, lines):
        # The change was lost; a node that waits for an address would wait for ever.
        watched.results = _errors(3, _FIRST)
        watched.pass_seconds(3)
        assert not watched.applied
        watched.pass_seconds(1)
        assert watched.applied == [watched.changed]
        watched.pass_seconds(3)
        assert len(watched.applied) == 1

    def test_findings_that_last_are_logged_once(self, watched, lines):
        watched.results = [*_errors(3, _FIRST), *_errors(3, _FIRST, _SECOND)]
        watched.pass_seconds(6)
        assert _FIRST.place in lines[0]
        assert _SECOND.place in lines[1]
        assert len(lines) == 2

    def test_findings_are_logged_at_each_signal(self, watched, lines):
        watched.results = _errors(2, _FIRST)
        watched.watch.reload()
        watched.watch.reload()
        assert len(lines) == 2
