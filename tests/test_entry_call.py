"""Tests of a call on the entry side, with fake hosts and connections."""

from __future__ import annotations

import pytest
from twisted.internet import task

from anvillug import clock, ids
from anvillug.connection import http_head, memory_account
from anvillug.request import attempt as attempts
from anvillug.request import call, entry_call, entry_request

NO_DEADLINE = float('inf')
HEAD = http_head.RequestHead(b'GET', b'/sheets/1', [(b'Host', b'drawbook')])

BODY_HEAD = http_head.RequestHead(b'PUT', b'/sheets/1', [(b'Content-Length', b'2')])


class FakeExchange:
    """Exchange with a caller that records the response."""

    def __init__(self, head):
        self.head = head
        self.handler = None
        self.response = None
        self.aborted = False

    def accept_body(self):
        """Do nothing."""

    def pause_request(self, paused):
        """Do nothing."""

    def respond(self, status, body=b'', headers=()):
        """Record the response."""
        self.response = (status, dict(headers)[b'Anvillug-Outcome'])

    def send_head(self, head):
        """Do nothing."""

    def finish(self):
        """Do nothing."""

    def abort(self):
        """Record the abort."""
        self.aborted = True


class FakeConnection:
    """Connection to a host that never responds."""

    def request(self, head, handler):
        """Do nothing."""

    def send_body(self, data):
        """Do nothing."""

    def end_request(self):
        """Do nothing."""

    def cancel(self):
        """Do nothing."""


class FakeContext:
    """Entry side with a list of hosts."""

    def __init__(self, hosts):
        self.reactor = task.Clock()
        self.clock = clock.ManualClock()
        self.account = memory_account.create(self.clock)
        self.hosts = list(hosts)
        self.started = []
        self.ended = []
        self.claims = []

    def start_attempt(self, active_call, kind, host):
        """Begin an attempt without a connection."""
        if host is None:
            if not self.hosts:
                return None
            host = (ids.HostId(self.hosts.pop(0)), ids.Incarnation(1))
        attempt = attempts.Attempt(
            active_call, self, *host, active_call.call_id, kind, self.clock.now()
        )
        active_call.attempt_started(attempt)
        self.started.append(attempt)
        return attempt

    def may_retry(self, active_call, outcome):
        """Allow each retry that can't run a non-idempotent call twice."""
        return outcome is call.Outcome.NOT_RUN or active_call.properties.repeatable

    def claim(self, active_call):
        """Record the claim."""
        self.claims.append(active_call)

    def attempt_finished(self, active_call, attempt):
        """Do nothing."""

    def connection_unresponsive(self, host_id):
        """Do nothing."""

    def silence_ms(self, active_call):
        """Return one second."""
        return 1000

    def hedge_delay_ms(self, active_call):
        """Return None, so that no call is hedged."""

    def config_number(self):
        """Return a fixed number."""
        return ids.ConfigNumber(1)

    def call_ended(self, active_call, status, outcome):
        """Record the result."""
        self.ended.append((status, outcome))


def start(context, repeatable=True, deadline=NO_DEADLINE, key=None):
    """Return a call whose request is complete, and its exchange."""
    received = receive(context, repeatable, deadline, key)
    received[0].request_ended()
    return received


def receive(context, repeatable=True, deadline=NO_DEADLINE, key=None, head=HEAD):
    """Return a call whose request body is still to be received, and its exchange."""
    request = entry_request.EntryRequest(head, ids.ServiceName('drawbook'), deadline, 0, key)
    call_id = ids.CallId(ids.HostId('e'), ids.Incarnation(1), 1)
    properties = call.CallProperties(
        call_id, request.service, call.Criticality.NORMAL, repeatable, deadline
    )
    exchange = FakeExchange(head)
    active_call = entry_call.EntryCall(context, exchange, request, properties)
    active_call.receive()
    return active_call, exchange


class TestNotRun:
    """Guards against reporting "not run" for a call that may have run."""

    def test_rejections_alone_are_not_run(self):
        context = FakeContext(['a'])
        active_call, exchange = start(context)
        active_call.attempt_not_run(context.started[0], 'full')
        assert exchange.response == (503, b'not-run')

    @pytest.mark.parametrize('hosts', [['a'], ['a', 'b']])
    def test_rejection_after_an_unknown_attempt_is_unknown(self, hosts):
        # The rejection by the second host must not be reported as "not run", since the first
        # host may have run the call.
        context = FakeContext(hosts)
        active_call, exchange = start(context)
        active_call.attempt_unknown(context.started[0], 'cancelled')
        for attempt in context.started[1:]:
            active_call.attempt_not_run(attempt, 'full')
        assert exchange.response == (502, b'unknown')

    def test_deadline_after_an_unknown_attempt_is_unknown(self):
        context = FakeContext(['a', 'b'])
        active_call, exchange = start(context, deadline=5_000)
        active_call.attempt_unknown(context.started[0], 'cancelled')
        context.reactor.advance(6)
        assert exchange.response == (504, b'unknown')

    def test_rejected_hedge_of_a_broken_attempt_is_unknown(self):
        # The broken attempt may have run; it is not resolved while the hedge is active.
        context = FakeContext(['a', 'b'])
        active_call, exchange = start(context)
        context.start_attempt(active_call, attempts.AttemptKind.SEND, None)
        active_call.attempt_broken(context.started[0])
        active_call.attempt_not_run(context.started[1], 'full')
        assert exchange.response == (502, b'unknown')

    def test_rejected_hedge_before_the_resolution_is_unknown(self):
        context = FakeContext(['a', 'b'])
        active_call, exchange = start(context)
        active_call.attempt_broken(context.started[0])
        hedge = context.start_attempt(active_call, attempts.AttemptKind.SEND, None)
        active_call.attempt_not_run(hedge, 'full')
        assert exchange.response == (502, b'unknown')

    def test_broken_attempt_resolved_as_not_run_is_not_unknown(self):
        context = FakeContext(['a', 'b'])
        active_call, exchange = start(context)
        active_call.attempt_broken(context.started[0])
        context.reactor.advance(1)
        active_call.attempt_not_run(context.started[1], 'fenced')
        active_call.attempt_not_run(context.started[2], 'full')
        assert exchange.response == (503, b'not-run')

    def test_deadline_before_a_send_is_not_run(self):
        context = FakeContext(['a'])
        _, exchange = start(context, deadline=5_000)
        context.reactor.advance(6)
        assert exchange.response == (504, b'not-run')


class TestOnceOnly:
    """Guards against a second run of a call that is not idempotent."""

    def test_unknown_is_never_sent_again(self):
        context = FakeContext(['a', 'b'])
        active_call, exchange = start(context, repeatable=False)
        active_call.attempt_unknown(context.started[0], 'connection lost')
        assert len(context.started) == 1
        assert exchange.response == (502, b'unknown')

    def test_broken_attempt_is_resolved_at_the_same_host(self):
        context = FakeContext(['a', 'b'])
        active_call, exchange = start(context, repeatable=False)
        active_call.attempt_broken(context.started[0])
        context.reactor.advance(1)
        resolve = context.started[1]
        assert (resolve.kind, resolve.host_id) == (attempts.AttemptKind.RESOLVE, 'a')
        active_call.attempt_not_run(resolve, 'fenced')
        assert context.started[2].host_id == 'b'
        assert exchange.response is None

    def test_call_at_a_host_that_never_responds_is_unknown(self):
        context = FakeContext(['a', 'b'])
        active_call, exchange = start(context, repeatable=False)
        active_call.attempt_broken(context.started[0])
        for _ in range(4):
            context.reactor.advance(2)
            active_call.attempt_broken(context.started[-1])
        assert exchange.response == (502, b'unknown')
        assert {attempt.host_id for attempt in context.started} == {'a'}

    def test_key_is_claimed_before_anything_is_sent(self):
        context = FakeContext(['a'])
        active_call, _ = start(context, repeatable=False, key=ids.IdempotencyKey('k'))
        assert (context.claims, context.started) == ([active_call], [])
        active_call.claim_won()
        assert len(context.started) == 1


def connect(active_call, attempt):
    """Connect an attempt, so that the call is sent."""
    attempt.connection = FakeConnection()
    active_call.attempt_connected(attempt)


def start_sent(context, repeatable=True):
    """Return a call that has been sent, its exchange and its attempt."""
    active_call, exchange = start(context, repeatable=repeatable)
    first = context.started[0]
    connect(active_call, first)
    return active_call, exchange, first


class TestUnresponsiveHost:
    """Guards against a call that waits forever for an unresponsive host."""

    @pytest.mark.parametrize('repeatable', [True, False])
    def test_call_at_the_unresponsive_host_of_a_retry_is_resolved(self, repeatable):
        # After the first host has rejected the call, the second host must be resolved.
        context = FakeContext(['a', 'b'])
        active_call, _, first = start_sent(context, repeatable)
        active_call.attempt_not_run(first, 'full')
        connect(active_call, context.started[1])
        context.reactor.advance(1.1)
        resolve = context.started[2]
        assert (resolve.kind, resolve.host_id) == (attempts.AttemptKind.RESOLVE, 'b')

    def test_unresponsive_hedge_is_resolved_after_a_rejection(self):
        context = FakeContext(['a', 'b'])
        active_call, _, first = start_sent(context)
        hedge = context.start_attempt(active_call, attempts.AttemptKind.SEND, None)
        connect(active_call, hedge)
        active_call.attempt_not_run(first, 'full')
        context.reactor.advance(1.1)
        resolve = context.started[-1]
        assert (resolve.kind, resolve.host_id) == (attempts.AttemptKind.RESOLVE, 'b')

    def test_unanswered_resolutions_are_counted_per_host(self):
        context = FakeContext(['a', 'b'])
        active_call, exchange, _ = start_sent(context, repeatable=False)
        context.reactor.advance(1.1)
        context.reactor.advance(2.1)
        active_call.attempt_not_run(context.started[-1], 'fenced')
        assert context.started[-1].host_id == 'b'
        connect(active_call, context.started[-1])
        context.reactor.advance(1.1)
        context.reactor.advance(2.1)
        assert exchange.response is None
        context.reactor.advance(4.1)
        context.reactor.advance(8.1)
        assert exchange.response == (502, b'unknown')


class TestReceiving:
    """Guards against a call that waits forever for the body of an unresponsive caller."""

    def test_request_body_without_progress_times_out(self):
        # Without this timeout the call stays in progress, so that the node can't stop.
        context = FakeContext(['a'])
        active_call, caller = receive(context, head=BODY_HEAD)
        context.reactor.advance(29)
        active_call.body_received(b'x')
        context.reactor.advance(29)
        assert caller.response is None
        context.reactor.advance(32)
        assert caller.response == (408, b'not-run')
        assert context.ended == [(408, call.Outcome.NOT_RUN)]

    def test_complete_body_stops_the_timeout(self):
        context = FakeContext(['a'])
        active_call, caller = receive(context, head=BODY_HEAD)
        active_call.request_ended()
        context.reactor.advance(100)
        assert caller.response is None

    def test_disconnect_before_the_send_releases_the_key(self):
        # Otherwise the key stays held for its lifetime by a call that no host has received.
        context = FakeContext(['a'])
        active_call, _ = receive(context, repeatable=False, key=ids.IdempotencyKey('k'))
        active_call.request_aborted()
        assert context.ended == [(0, call.Outcome.NOT_RUN)]
