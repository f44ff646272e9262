"""Calls of the product's own node that have ended."""

from __future__ import annotations

import weakref

import pytest

from anvillug import clock
from anvillug.connection import http_head
from tests import test_entry_call


def _is_freed(reference, context, exchange):
    """Return whether a call is freed once the test and its exchange let go of it."""
    exchange.handler = None
    context.started.clear()
    return reference() is None


class TestEndedCall:
    """Guards against calls that are held after their response."""

    @pytest.fixture
    def context(self, collector_disabled):
        """Return an entry side with one host, without a collector."""
        return test_entry_call.FakeContext(['a'])

    def test_answered_call_is_freed(self, context):
        active_call, exchange = test_entry_call.start(context)
        attempt = context.started.pop()
        active_call.attempt_responded(attempt, http_head.ResponseHead(200, []))
        active_call.attempt_ended(attempt)
        reference = weakref.ref(active_call)
        del active_call, attempt
        assert _is_freed(reference, context, exchange)

    def test_streamed_call_is_freed(self, context):
        head = http_head.RequestHead(b'PUT', b'/', [(b'Transfer-Encoding', b'chunked')])
        active_call, exchange = test_entry_call.receive(context, head=head)
        attempt = context.started.pop()
        attempt.connection = test_entry_call.FakeConnection()
        active_call.attempt_continue(attempt)
        active_call.request_aborted()
        reference = weakref.ref(active_call)
        del active_call, attempt
        assert _is_freed(reference, context, exchange)

    def test_call_that_timed_out_is_freed(self, context):
        active_call, exchange = test_entry_call.start(context, deadline=clock.Milliseconds(1000))
        reference = weakref.ref(active_call)
        del active_call
        context.reactor.advance(1)
        assert exchange.response[0] == 504
        assert _is_freed(reference, context, exchange)
