"""Tests of the host side with calls in memory and no backend server."""

from __future__ import annotations

import pytest
from twisted.internet import testing as twisted_testing

from anvillug import clock, ids
from anvillug.connection import http_head, memory_account
from anvillug.process import host_side
from anvillug.request import call_table, host_call, host_request, quarantine

INCARNATION = ids.Incarnation(7)


class FakeExchange:
    """Exchange with an entry side that records the response."""

    def __init__(self, head):
        self.head = head
        self.handler = None
        self.head_sent = False
        self.reason = None
        self.outcome = None
        self.forwarded_statuses = []

    def accept_body(self):
        """Do nothing."""

    def send_head(self, head):
        """Record the status."""
        self.forwarded_statuses.append(head.status)

    def respond(self, status, body=b'', headers=()):
        """Record outcome and reason."""
        values_by_name = dict(headers)
        self.outcome = values_by_name[b'Anvillug-Outcome']
        self.reason = values_by_name[b'Anvillug-Reason']


def call_headers(sequence, number):
    """Return the headers of a call from an entry side that has configuration `number`."""
    return [
        (b'Anvillug-Call', b'e.1.%d' % sequence),
        (b'Anvillug-Service', b'drawbook'),
        (b'Anvillug-Incarnation', b'%d' % INCARNATION),
        (b'Anvillug-Config', b'%d' % number),
        (b'Anvillug-Criticality', b'normal'),
        (b'Anvillug-Repeatable', b'0'),
    ]


class HostSideBench:
    """Host side whose configuration number the tests set."""

    def __init__(self):
        self.number = ids.ConfigNumber(5)
        self.reactor = twisted_testing.MemoryReactorClock()
        self.host_side = host_side.HostSide(
            self.reactor,
            clock.ManualClock(),
            INCARNATION,
            call_table.CallTable(INCARNATION),
            quarantine.Quarantine('h.7'),
            1000,
            lambda: self.number,
            lambda host_id, number: None,
            lambda entries: None,
            lambda exchange: None,
        )

    def send(self, sequence, number):
        """Send a call from an entry side that has configuration `number`."""
        exchange = FakeExchange(
            http_head.RequestHead(b'POST', b'/revisions', call_headers(sequence, number))
        )
        self.host_side.request_received(exchange)
        exchange.handler.request_ended()
        return exchange


class TestOlderConfiguration:
    """Guards against calls admitted with an older configuration than that of their sender.

    There is no backend server, so a call that reaches admission is rejected with `no-backend`.
    """

    def test_call_waits_until_configuration_of_sender_is_in_effect(self):
        bench = HostSideBench()
        waiting = bench.send(1, 7)
        bench.number = ids.ConfigNumber(6)
        bench.host_side.config_changed()
        assert waiting.reason is None
        bench.number = ids.ConfigNumber(7)
        bench.host_side.config_changed()
        assert waiting.reason == b'no-backend'

    def test_call_is_rejected_when_too_many_wait(self, monkeypatch):
        monkeypatch.setattr(host_side, '_MAX_WAITING_FOR_CONFIG', 1)
        bench = HostSideBench()
        bench.send(1, 7)
        rejected = bench.send(2, 7)
        assert rejected.outcome == b'not-run'
        assert rejected.reason.startswith(b'this host does not have the configuration')


class TestDuplicateCall:
    """Guards against reporting the second arrival of a call as not run while the first may run."""

    def test_outcome_of_a_duplicate_is_unknown(self):
        bench = HostSideBench()
        table = bench.host_side._table  # noqa: SLF001 - the first arrival needs a backend server
        first = ids.CallId(ids.HostId('e'), ids.Incarnation(1), 1)
        table.admit(first, INCARNATION, 0)
        table.dispatch(first)
        assert bench.send(1, 5).outcome == b'unknown'


class FakeContext:
    """Host side that records how a call ends."""

    kept_answer_bytes = 1000

    def __init__(self):
        self.clock = clock.ManualClock()
        self.account = memory_account.create(self.clock)
        self.ends = []

    def failed(self, host_call, *, crashed):
        """Record that the outcome is unknown."""
        self.ends.append(('failed', crashed))

    def response_headers(self, call_id, outcome):
        """Return only the outcome header."""
        return [(b'Anvillug-Outcome', outcome.value.encode())]


class TestMismatchedResponse:
    """Guards against forwarding the response to a different call."""

    @pytest.mark.parametrize(
        ('echoed_id', 'forwarded_statuses', 'ends'),
        [(b'e.1.1', [200], []), (b'e.1.2', [], [('failed', False)])],
    )
    def test_response_is_matched_by_call_id(self, echoed_id, forwarded_statuses, ends):
        context = FakeContext()
        exchange = FakeExchange(http_head.RequestHead(b'GET', b'/x', call_headers(1, 5)))
        request = host_request.parse(exchange.head, 0)
        running = host_call.HostCall(context, exchange, request)
        running.response_head(http_head.ResponseHead(200, [(b'Anvillug-Call', echoed_id)]))
        assert (exchange.forwarded_statuses, context.ends) == (forwarded_statuses, ends)


class _Connection:
    """Connection to a backend server that records what is sent."""

    waited_ms = 0.0

    def __init__(self):
        self.sent = b''
        self.ended = False
        self.cancelled = False

    def request(self, head, handler):
        """Ignore the head."""

    def send_body(self, data):
        """Record a part of the body."""
        self.sent += data

    def end_request(self):
        """Record the end of the request."""
        self.ended = True

    def cancel(self):
        """Record that the connection is closed."""
        self.cancelled = True


class _StreamContext(FakeContext):
    """Host side with a free slot and a quarantine."""

    def __init__(self, quarantined):
        super().__init__()
        self.reactor = twisted_testing.MemoryReactorClock()
        self.has_suspects = bool(quarantined)
        self.connection = _Connection()
        self._quarantined = quarantined

    def quarantine_reason(self, streamed):
        """Return a reason for the quarantined requests."""
        return 'quarantined' if streamed.fingerprint in self._quarantined else None

    def must_wait_for_config(self, streamed):
        """Return that the call need not wait."""
        return False

    def admit(self, streamed):
        """Start the call."""
        streamed.start()

    def pool(self):
        """Return a pool of one connection."""
        return self

    def acquire(self, ready, failed):
        """Hand out the connection."""
        ready(self.connection)

    def dispatched(self, streamed):
        """Do nothing."""


class TestStreamedBody:
    """Guards against a streamed request that crashes backend servers and is never known again."""

    def _stream(self, context, *chunks):
        headers = [*call_headers(1, 5), (b'Content-Length', b'%d' % (1 << 20))]
        exchange = FakeExchange(http_head.RequestHead(b'POST', b'/scan', headers))
        exchange.pause_request = lambda paused: None
        streamed = host_call.HostCall(context, exchange, host_request.parse(exchange.head, 0))
        streamed.receive()
        for chunk in chunks:
            streamed.body_received(chunk)
        streamed.request_ended()
        return streamed

    def test_body_is_forwarded_whole(self):
        for quarantined in ((), ('another',)):
            context = _StreamContext(quarantined)
            self._stream(context, b'1', b'2', b'3')
            assert (context.connection.sent, context.connection.ended) == (b'123', True)

    def test_quarantined_request_does_not_reach_its_end(self):
        known = self._stream(_StreamContext(()), b'1', b'2', b'3').fingerprint
        context = _StreamContext((known,))
        self._stream(context, b'12', b'3')
        assert context.connection.sent == b'12'
        assert not context.connection.ended
        assert context.connection.cancelled

    def test_fingerprints_differ_by_the_end_of_the_body(self):
        streamed = [self._stream(_StreamContext(()), b'header', end) for end in (b'1', b'2')]
        assert streamed[0].fingerprint != streamed[1].fingerprint
