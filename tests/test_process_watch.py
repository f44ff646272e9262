"""Log lines and gauges of the state of a process."""

from __future__ import annotations

import time

import pytest
from twisted.internet import task

from anvillug import clock, event_log
from anvillug.connection import client_limits, connection_states, memory_account
from anvillug.process import event_loop, process_health, process_watch
from tests import test_bad_input

_LIMIT_BYTES = 1 << 40
_LONG_S = process_health.LONG_TURN_MS / 1000


class _Pool:
    """Connections to others."""

    open_count = 3

    def states(self) -> dict[str, int]:
        return {'busy': 2, 'idle': 1, 'connecting': 0}


def _watch(reactor, account=None, connections=(), descriptors=0) -> process_watch.ProcessWatch:
    sources = process_watch.Sources(
        account or memory_account.create(clock.ManualClock()),
        lambda: {'callers': connections},
        lambda: {'backend': (_Pool(), _Pool())},
        lambda: 1,
        lambda: 30,
    )
    return process_watch.ProcessWatch(
        reactor, clock.SystemClock(), sources, _LIMIT_BYTES, descriptors
    )


@pytest.fixture
def lines(monkeypatch):
    """Return the lines that are logged."""
    logged = []
    monkeypatch.setattr(event_log, 'warn', lambda event, **fields: logged.append((event, fields)))
    return logged


class TestProcessWatch:
    """Guards against processes that end or stand still, and no line tells why."""

    def test_long_turn_is_logged_with_its_step(self, lines):
        reactor = event_loop.NodeReactor()
        watch = _watch(reactor)
        watch.start()
        reactor.iterate(0)
        reactor.callLater(0, time.sleep, _LONG_S)
        for _ in range(2):
            reactor.iterate(0)
        watch.look()
        watch.stop()
        reactor.removeAll()
        reactor._poller.close()  # noqa: SLF001
        assert len(lines) == 1
        event, fields = lines[0]
        assert (event, fields['reason'], fields['step']) == ('process_state', 'long turn', 'timers')
        assert _LONG_S * 1000 <= fields['step_ms'] <= fields['turn_ms']

    def test_looks_again_and_again_also_after_a_failure(self, lines, monkeypatch):
        reactor = task.Clock()
        watch = _watch(reactor, descriptors=1)
        watch.start()
        monkeypatch.setattr(watch, 'gauges', {}.popitem)
        with pytest.raises(KeyError):
            reactor.advance(1)
        monkeypatch.undo()
        assert len(reactor.getDelayedCalls()) == 1
        watch.stop()
        assert not reactor.getDelayedCalls()

    def test_gauges_cover_what_the_account_knows(self):
        account = memory_account.create(clock.ManualClock())
        account.reserve(100)
        watch = _watch(task.Clock(), account)
        watch.start()
        gauges = watch.gauges()
        watch.stop()
        assert (gauges['client_memory_bodies_bytes'], gauges['client_memory_jobs_bytes']) == (
            30,
            70,
        )
        assert (gauges['connections_to_backend'], gauges['listeners']) == (6, 1)
        counted = gauges['process_descriptors'] - gauges['process_descriptors_other']
        assert counted == 7
        others = gauges['process_memory_other_bytes'] + gauges['process_memory_start_bytes']
        assert gauges['process_memory_bytes'] == others + 100

    def test_connections_are_counted_by_state(self):
        connection, _, _ = test_bad_input.make_connection()
        connection.dataReceived(b'GET /a HTTP/1.1\r\nHost')
        watch = _watch(task.Clock(), connections=(connection,))
        states = watch.states()
        assert states == {'callers': 'head:1', 'to_backend': 'busy:4,idle:2'}


class _Connection:
    """Connection of a client; see `connection_states.Observed`."""

    transport = None

    def __init__(self, waiting: client_limits.Waiting, *marks: str) -> None:
        self._waiting = waiting
        self._marks = marks

    def waits_for(self) -> tuple[client_limits.Waiting, int]:
        return self._waiting, 0

    def marks(self) -> tuple[str, ...]:
        return self._marks


class TestConnectionStates:
    """Guards against connections that are counted twice, or not at all."""

    def test_closing_is_counted_instead_of_a_wait(self):
        connections = [
            _Connection(client_limits.Waiting.RESPONSE, 'closing'),
            _Connection(client_limits.Waiting.RESPONSE, 'paused', 'half_closed'),
            _Connection(client_limits.Waiting.HEAD),
        ]
        assert connection_states.count(connections) == {
            'closing': 1,
            'response': 1,
            'paused': 1,
            'half_closed': 1,
            'head': 1,
        }
