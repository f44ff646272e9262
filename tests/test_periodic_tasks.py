"""Periodic tasks of a process after one of their runs has failed."""

from __future__ import annotations

import contextlib
import types

import pytest
from twisted.internet import task

from anvillug import clock
from anvillug.process import backend_watch, beacon, mesh_stop, peer_table, settings_watch
from tests import test_beacon


class _Failing:
    """Fails once when it is called, and counts the calls."""

    def __init__(self) -> None:
        self.calls = 0

    def __call__(self, *arguments: object) -> None:
        self.calls += 1
        if self.calls == 1:
            raise ZeroDivisionError


@pytest.fixture
def reactor():
    """Return a reactor whose time the test sets."""
    return task.Clock()


def _run(reactor: task.Clock, seconds: float) -> None:
    """Let time pass; Twisted logs a failure of a timer, and goes on with the others."""
    for _ in range(int(seconds / 0.01)):
        with contextlib.suppress(ZeroDivisionError):
            reactor.advance(0.01)


class TestFailedRun:
    """Guards against tasks that end for good, and without a word, at their first failure."""

    def test_beacons_go_on(self, reactor):
        failing = _Failing()
        time = clock.ManualClock()
        beacons = beacon.BeaconTask(
            reactor,
            time,
            lambda: test_beacon.announcement(host_id='local', zone='z'),
            peer_table.PeerTable('local', time),
            dict,
            dict,
            lambda *_: None,
            lambda: failing() or beacon.Need.NONE,
            lambda *_: {},
        )
        with pytest.raises(ZeroDivisionError):
            beacons.start()
        _run(reactor, 1)
        assert failing.calls > 10

    def test_settings_are_watched_on(self, reactor, tmp_path):
        path = tmp_path / 'settings.json'
        failing = _Failing()

        def load(_: object) -> tuple[object, ...]:
            failing()
            return ()

        watch = settings_watch.SettingsWatch(
            reactor, path, load, lambda _: None, None, settings_watch.Version((0, 0))
        )
        watch.start()
        for text in ('one', 'three'):
            path.write_text(text)
            _run(reactor, 1.1)
        assert failing.calls == 2

    def test_stop_goes_on(self, reactor):
        failing = _Failing()
        time = clock.ManualClock()
        connections = types.SimpleNamespace(
            close_after_responses=lambda: None,
            close_when_idle=failing,
            busy_count=0,
            open_count=0,
            request_count=0,
        )
        # An error in the last step must not keep the process running either.
        entry = types.SimpleNamespace(in_progress=(), closed=False, cut_calls=_Failing())
        host = types.SimpleNamespace(running=0, closed=False, log_cut_runs=_Failing())
        stopped = []
        reactor.stop = lambda: stopped.append(reactor.seconds())
        stop = mesh_stop.MeshStop(reactor, time, entry, host, connections, connections, float)
        stop.peer_port = types.SimpleNamespace(stopListening=lambda: None)
        stop.begin()
        time.advance(1)
        _run(reactor, 4)
        assert len(stopped) == 1
        assert failing.calls > 1

    def test_silence_of_a_backend_server_is_noticed(self, reactor):
        failing = _Failing()
        time = clock.ManualClock()
        watch = backend_watch.BackendWatch(reactor, time, failing)
        watch.backend = types.SimpleNamespace()
        time.advance(2 * backend_watch.ANNOUNCEMENT_TIMEOUT_MS)
        _run(reactor, 5)
        watch.backend = types.SimpleNamespace()
        _run(reactor, 5)
        assert failing.calls == 2
