"""Tests of the settings file at the start, without a process."""

from __future__ import annotations

import pathlib

import expression
import pytest

from anvillug import clock, event_log, findings
from anvillug.process import settings_watch

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

    def load(path: pathlib.Path) -> expression.Result:
        if time.now() < valid_from_ms:
            return expression.Error(found)
        return expression.Ok('settings')

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
