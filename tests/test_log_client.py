"""Connections of the log client that carry nothing any more, on a real link."""

from __future__ import annotations

import pytest
from twisted.internet import defer, reactor

from anvillug import clock, ids
from anvillug.connection import log_client, log_record
from anvillug.standin import link, log, log_model
from tests import reactor_thread

_STREAM = 'configuration'
_RESPONSE_TIMEOUT_MS = 500


class _LogSetup:
    """A log behind a link, with a client."""

    def __init__(self) -> None:
        model = log_model.LogModel(log_model.LogSettings(), clock.SystemClock())
        site = log.LogServer(model, reactor).site()
        self.port = reactor.listenTCP(0, site, interface='127.0.0.1')
        self.link = link.Link(reactor, f'127.0.0.1:{self.port.getHost().port}')
        address = self.link.listen('127.0.0.1:0')
        self.client = log_client.HttpLogClient(reactor, address, _RESPONSE_TIMEOUT_MS)

    def read(self, wait_ms: int = 0) -> defer.Deferred[log_record.ReadResult]:
        return self.client.read(_STREAM, ids.LogOffset(0), 1, wait_ms)

    def open_connections(self) -> defer.Deferred[object]:
        """Leave several idle connections in the client's pool."""
        return defer.gatherResults([self.read(100) for _ in range(4)])


@pytest.fixture
def log_setup(running_reactor):
    """Start a log with a client that has several idle connections."""
    setup = reactor_thread.call(_LogSetup)
    reactor_thread.call(setup.open_connections)
    yield setup
    reactor_thread.call(setup.client.close)
    reactor_thread.call(setup.link.stop)
    reactor_thread.call(setup.port.stopListening)


class TestSilentConnections:
    """Guards against calls that fail one after the other on connections of the same age."""

    def test_call_after_a_silent_connection_uses_a_new_one(self, log_setup):
        reactor_thread.call(log_setup.link.silence_open_connections)
        with pytest.raises(log_record.LogUnavailable):
            reactor_thread.call(log_setup.read)
        assert not reactor_thread.call(log_setup.read).records
