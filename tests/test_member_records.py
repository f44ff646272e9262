"""Records of a node in the log, with an in-memory log."""

from __future__ import annotations

import pytest
from twisted.internet import task

from anvillug import clock, ids
from anvillug.connection import keyed_log
from anvillug.process import member_records, peer_table, upstream

_HOST = ids.HostId('h')
_ADDRESS = '10.0.0.1:80'
_LOG_RESPONSE_MS = 50


class _SlowLog:
    """Keyed log that responds after a delay, or is unavailable."""

    def __init__(self, reactor: task.Clock) -> None:
        self.stored_keys: list[str] = []
        self.is_up = True
        self._reactor = reactor

    async def append(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> int:
        await task.deferLater(self._reactor, _LOG_RESPONSE_MS / 1000)
        if not self.is_up:
            raise keyed_log.LogUnavailableError('down')
        self.stored_keys.append(key)
        return 0


class _RecordsSetup:
    """A node whose backend server can leave."""

    def __init__(self) -> None:
        self.reactor = task.Clock()
        self.log = _SlowLog(self.reactor)
        time = clock.ManualClock(10_000)
        self.backend = upstream.Upstream(_ADDRESS, time)
        self.records = member_records.MemberRecords(
            self.reactor,
            self.log,
            'members',
            _HOST,
            '10.0.0.1:70',
            peer_table.PeerTable(_HOST, time),
            self.backend,
            lambda: None,
        )
        self.acknowledged: list[list[str]] = []

    def leave(self) -> None:
        self.backend.last_left_started_at = ids.Incarnation(5)
        acknowledgement = self.records.store_leave(self.backend.last_left_started_at)
        acknowledgement.addCallback(lambda _: self.acknowledged.append(list(self.log.stored_keys)))

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 10):
            self.reactor.advance(0.01)


@pytest.fixture
def records_setup():
    """Return a node whose backend server has just announced that it leaves."""
    setup = _RecordsSetup()
    setup.leave()
    return setup


class TestLeave:
    """Guards against an acknowledged leave that is lost when the process is killed."""

    def test_is_acknowledged_once_it_is_stored(self, records_setup):
        assert not records_setup.acknowledged
        records_setup.run(100)
        assert records_setup.acknowledged == [['left/h']]

    def test_acknowledgement_does_not_wait_for_an_unavailable_log(self, records_setup):
        records_setup.log.is_up = False
        records_setup.run(900)
        assert records_setup.acknowledged == [[]]
        records_setup.log.is_up = True
        records_setup.run(900)
        assert records_setup.log.stored_keys == ['left/h']
        assert len(records_setup.acknowledged) == 1
