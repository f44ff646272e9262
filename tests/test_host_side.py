"""Tests of the host side with calls in memory and no backend server."""

from __future__ import annotations

import pytest
from twisted.internet import testing as twisted_testing

from anvillug import clock, ids
from anvillug.connection import http_head
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
