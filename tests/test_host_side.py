"""Tests of the host side: calls in memory, without a backend server."""

from __future__ import annotations

import pytest
from twisted.internet import testing as twisted_testing

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.process import host_side
from anvillug.request import call_table, host_call, host_request, quarantine

INCARNATION = ids.Incarnation(7)


class FakeExchange:
    """Exchange with an entry side that notes the answer."""

    def __init__(self, head):
        self.head = head
        self.handler = None
        self.head_sent = False
        self.reason = None
        self.outcome = None
        self.passed_on = []

    def accept_body(self):
        """Do nothing."""

    def send_head(self, head):
        """Note the status."""
        self.passed_on.append(head.status)

    def respond(self, status, body=b'', headers=()):
        """Note outcome and reason."""
        found = dict(headers)
        self.outcome = found[b'Anvillug-Outcome']
        self.reason = found[b'Anvillug-Reason']


def call_headers(sequence, number):
    """Return the headers of a call whose sender has a configuration number."""
    return [
        (b'Anvillug-Call', b'e.1.%d' % sequence),
        (b'Anvillug-Service', b'drawbook'),
        (b'Anvillug-Incarnation', b'%d' % INCARNATION),
        (b'Anvillug-Config', b'%d' % number),
        (b'Anvillug-Criticality', b'normal'),
        (b'Anvillug-Repeatable', b'0'),
    ]


class Bench:
    """A host side with a configuration number that the tests set."""

    def __init__(self):
        self.number = ids.ConfigNumber(5)
        self.reactor = twisted_testing.MemoryReactorClock()
        self.side = host_side.HostSide(
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
        """Send a call of a sender that has a configuration number."""
        exchange = FakeExchange(
            http_head.RequestHead(b'POST', b'/revisions', call_headers(sequence, number))
        )
        self.side.request_received(exchange)
        exchange.handler.request_ended()
        return exchange


class TestBehind:
    """Guards against work that is admitted with an older configuration than its sender has.

    Without a backend server, a call that gets as far as admission is refused as such.
    """

    def test_waits_until_its_own_number_is_in_effect(self):
        bench = Bench()
        waiting = bench.send(1, 7)
        bench.number = ids.ConfigNumber(6)
        bench.side.config_changed()
        assert waiting.reason is None
        bench.number = ids.ConfigNumber(7)
        bench.side.config_changed()
        assert waiting.reason == b'no-backend'

    def test_is_refused_when_too_many_wait(self, monkeypatch):
        monkeypatch.setattr(host_side, '_MAX_BEHIND', 1)
        bench = Bench()
        bench.send(1, 7)
        refused = bench.send(2, 7)
        assert refused.outcome == b'not-run'
        assert refused.reason.startswith(b'this host does not have the configuration')


class TestDuplicate:
    """Guards against "not run" for the second arrival of a call that may run."""

    def test_outcome_of_a_duplicate_is_unknown(self):
        bench = Bench()
        table = bench.side._table  # noqa: SLF001 - the first arrival needs a backend server
        first = ids.CallId(ids.HostId('e'), ids.Incarnation(1), 1)
        table.admit(first, INCARNATION, 0)
        table.dispatch(first)
        assert bench.send(1, 5).outcome == b'unknown'


class FakeContext:
    """Host side that notes how a call ends."""

    kept_answer_bytes = 1000

    def __init__(self):
        self.clock = clock.ManualClock()
        self.ends = []

    def failed(self, host_call, *, crashed):
        """Note that the outcome is unknown."""
        self.ends.append(('failed', crashed))

    def answer_headers(self, call_id, outcome):
        """Return the outcome alone."""
        return [(b'Anvillug-Outcome', outcome.value.encode())]


class TestCrossedAnswer:
    """Guards against the answer to another call that is passed on."""

    @pytest.mark.parametrize(
        ('echoed', 'passed_on', 'ends'),
        [(b'e.1.1', [200], []), (b'e.1.2', [], [('failed', False)])],
    )
    def test_answer_is_matched_by_call_id(self, echoed, passed_on, ends):
        context = FakeContext()
        exchange = FakeExchange(http_head.RequestHead(b'GET', b'/x', call_headers(1, 5)))
        request = host_request.parse(exchange.head, 0)
        running = host_call.HostCall(context, exchange, request)
        running.response_head(http_head.ResponseHead(200, [(b'Anvillug-Call', echoed)]))
        assert (exchange.passed_on, context.ends) == (passed_on, ends)
