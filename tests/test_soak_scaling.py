"""Backend servers of the fault soak that leave and end, and their nodes."""

from __future__ import annotations

import math
import pathlib
import random
import types

import pytest
from twisted.internet import defer

from anvillug import clock
from anvillug.bench import soak_backend, soak_host, soak_records, soak_signals


class _Backend(soak_backend.Backend):
    """Backend server whose calls get a status."""

    def __init__(self, events, status=200) -> None:
        behavior = soak_backend.Behavior()
        super().__init__(_Reactor(), 3, 'drawbook', 'i', 1, 0, None, {}, random.Random(1), behavior)
        self.events = events
        self.status = status

    async def send_heartbeat(self, address):
        """Record a heartbeat."""
        self.events.append(self.state)
        return self.status

    async def deregister(self, address):
        """Record the call."""
        self.events.append('deregister')
        return self.status

    def end(self):
        """Record the end."""
        super().end()
        self.events.append('end')


class _Reactor:
    """Reactor whose delays end at once."""

    def callLater(self, delay_s, action, *arguments):  # noqa: N802 the name is Twisted's
        """Call something."""
        action(*arguments)
        return types.SimpleNamespace(active=bool)


@pytest.fixture
def events():
    """Return what has happened, in order."""
    return []


def _host(events, *, seed=1, status=200):
    records = soak_records.Records()
    shared = soak_host.Shared(
        _Reactor(), pathlib.Path(), 1, {}, records, random.Random(seed), 20, list(range(7))
    )
    host = soak_host.Host(shared, 3, 'drawbook')
    host._backend = _Backend(events, status)
    host._port = types.SimpleNamespace(stopListening=lambda: events.append('closed'))
    return host


class TestRemovedBackend:
    """Guards against a scale-in whose backend server does not leave before it ends."""

    @pytest.mark.parametrize('seed', range(8))
    def test_leave_is_acknowledged_before_the_end(self, events, seed):
        host = _host(events, seed=seed)
        assert _result(host.remove_backend())
        orders = (['draining', 'deregister'], ['deregister'])
        assert events in [[*order, 'closed', 'end'] for order in orders]
        assert host._backend.left_at is not None

    def test_leave_without_an_acknowledgement_is_repeated(self, events):
        host = _host(events, status=503)
        assert _result(host.remove_backend())
        assert events.count('deregister') == 5
        assert host._backend.left_at is None

    def test_backend_server_that_leaves_already_is_not_removed(self, events):
        host = _host(events)
        host._is_leaving = True
        assert not _result(host.remove_backend())
        assert not events

    def test_end_cuts_the_work_of_the_backend_server(self):
        backend, work = _backend_at_work()
        backend.end()
        assert work.run.broke_off


class TestScaleIn:
    """Guards against a node that is stopped before the backend server beside it has ended."""

    def test_order(self, events):
        host = _host(events)
        host.node = types.SimpleNamespace()
        fleet = types.SimpleNamespace(
            rng=random.Random(1), terminate=lambda _: events.append('SIGTERM')
        )
        fleet.hosts = [host]
        soak_signals.Signals(fleet).actions_by_kind[soak_signals.SCALE_IN]()
        assert events[-3:] == ['closed', 'end', 'SIGTERM']
        assert host.at_next_start == [host.start_backend]


class TestCancelledWork:
    """Guards against a backend server that does not note that the node has given up."""

    @pytest.mark.parametrize('ends_early', [True, False])
    def test_cancel(self, monkeypatch, ends_early):
        backend, work = _backend_at_work()
        work.ends_early = ends_early
        work.timer = types.SimpleNamespace(active=lambda: True, cancel=lambda: None)
        monkeypatch.setattr(backend, 'work_ended', lambda each: setattr(each, 'parts', 0))
        work.cancel()
        assert work.run.cancelled_at <= backend.time.now()
        assert work.parts == (0 if ends_early else 1)

    def test_cancel_after_the_end(self):
        _, work = _backend_at_work()
        work.run.finished_at = clock.Milliseconds(1)
        work.cancel()
        assert work.run.cancelled_at == math.inf


def _result(coroutine):
    results = []
    defer.ensureDeferred(coroutine).addCallback(results.append)
    return results[0]


def _backend_at_work():
    backend = _Backend([])
    run = soak_records.Run(3, clock.Milliseconds(0))
    work = soak_backend._Work(backend, None, run, b'', ())
    backend._works.add(work)
    return backend, work
