"""Tests of requests that a client sends before the first one is answered."""

from __future__ import annotations

import re

import pytest
from hypothesis import given, settings, strategies

from anvillug.connection import http_exchange, http_head, http_server
from tests import test_bad_input

_MAX_HEAD_BYTES = 65536


class _Handler:
    """Handler that records what happens to one request."""

    def __init__(self, exchange: http_exchange.ServerExchange) -> None:
        self.exchange = exchange
        self.body = b''
        self.complete = False
        self.aborted = False
        self.writes_paused = False
        exchange.handler = self

    @property
    def target(self) -> bytes:
        return self.exchange.head.target

    def respond(self, extra: bytes = b'') -> None:
        self.exchange.respond(200, b'<%b %b%b>' % (self.target, self.body.hex().encode(), extra))

    def body_received(self, data: bytes) -> None:
        self.body += data

    def request_ended(self) -> None:
        self.complete = True
        if self.target == b'/fail':
            raise ZeroDivisionError

    def request_aborted(self) -> None:
        self.aborted = True

    def response_writes_paused(self, paused: bool) -> None:
        self.writes_paused = paused


class _Client:
    """Client of one connection, whose requests may overlap if their target begins with `/r`."""

    def __init__(self) -> None:
        self.handlers: list[_Handler] = []
        self.connection = http_server.ServerConnection(
            lambda exchange: self.handlers.append(_Handler(exchange)),
            _MAX_HEAD_BYTES,
            set(),
            lambda head: head.path.startswith(b'/r'),
        )
        self.transport = test_bad_input.make_transport()
        self.connection.makeConnection(self.transport)

    def send(self, *targets: str) -> None:
        for target in targets:
            self.connection.dataReceived(_encode(target))

    def respond(self, index: int, extra: bytes = b'') -> None:
        """Respond to one of the requests that have begun."""
        self.handlers[index].respond(extra)

    @property
    def targets(self) -> list[bytes]:
        """Targets of the requests that have begun."""
        return [handler.target for handler in self.handlers]

    @property
    def answered(self) -> list[bytes]:
        """Targets of the requests whose responses have been sent, in the order sent."""
        return re.findall(rb'<(\S+) ', self.transport.value())

    def in_progress(self) -> list[_Handler]:
        return [
            handler
            for handler in self.handlers
            if handler.complete and not handler.exchange.ended and not handler.aborted
        ]


def _encode(target: str, body: bytes = b'', *, close: bool = False) -> bytes:
    lines = [f'POST {target} HTTP/1.1', 'Host: a', f'Content-Length: {len(body)}']
    if close:
        lines.append('Connection: close')
    return '\r\n'.join([*lines, '', '']).encode() + body


@pytest.fixture
def sender():
    """Return a client."""
    return _Client()


class TestOrder:
    """Guards against a caller that gets the response to another of its requests."""

    def test_repeatable_requests_run_at_the_same_time(self, sender):
        sender.send('/r1', '/r2', '/r3')
        assert sender.targets == [b'/r1', b'/r2', b'/r3']
        assert [handler.exchange.place.ahead for handler in sender.handlers] == [0, 1, 2]

    def test_responses_are_sent_in_the_order_of_the_requests(self, sender):
        sender.send('/r1', '/r2', '/r3')
        sender.respond(2)
        sender.respond(1)
        assert not sender.transport.value()
        sender.respond(0)
        assert sender.answered == [b'/r1', b'/r2', b'/r3']

    def test_streamed_responses_do_not_mix(self, sender):
        sender.send('/r1', '/r2')
        for handler in reversed(sender.handlers):
            handler.exchange.send_head(http_head.ResponseHead(200, []))
            handler.exchange.send_body(b'<%b ' % handler.target)
        for handler in reversed(sender.handlers):
            handler.exchange.send_body(b'>')
            handler.exchange.finish()
        assert re.findall(rb'<(\S+) \r\n1\r\n>', sender.transport.value()) == [b'/r1', b'/r2']

    @settings(deadline=None)
    @given(data=strategies.data())
    def test_random_arrival_and_completion(self, data):
        requests = data.draw(
            strategies.lists(
                strategies.tuples(
                    strategies.sampled_from(['r', 'o']),
                    strategies.binary(max_size=20),
                    strategies.integers(0, 19).map(lambda number: not number),
                ),
                min_size=1,
                max_size=12,
            )
        )
        sender = _Client()
        targets = [f'/{kind}{index}'.encode() for index, (kind, _, _) in enumerate(requests)]
        stream = b''.join(
            _encode(target.decode(), body, close=close)
            for target, (_, body, close) in zip(targets, requests, strict=True)
        )
        last = next((index for index, request in enumerate(requests) if request[2]), len(requests))
        expected = targets[: last + 1]
        while stream or sender.in_progress():
            waiting = sender.in_progress()
            if stream and (not waiting or data.draw(strategies.booleans())):
                size = data.draw(strategies.integers(1, len(stream)))
                sender.connection.dataReceived(stream[:size])
                stream = stream[size:]
            elif waiting:
                data.draw(strategies.sampled_from(waiting)).respond()
            _check_overlap(sender)
        assert sender.targets == expected
        assert sender.answered == expected
        assert [handler.body for handler in sender.handlers] == [
            body for _, body, _ in requests[: len(expected)]
        ]
        assert sender.transport.disconnecting is (last < len(requests))


def _check_overlap(sender: _Client) -> None:
    """Check that a request that runs once is never ahead of an unanswered one."""
    unfinished = [handler for handler in sender.handlers if not handler.exchange.ended]
    assert all(handler.target.startswith(b'/r') for handler in unfinished[1:])


class TestRunOnce:
    """Guards against a request that runs although the client will send it again."""

    def test_begins_once_those_before_it_are_answered(self, sender):
        sender.send('/r1', '/r2', '/o3')
        sender.respond(1)
        assert sender.targets == [b'/r1', b'/r2']
        sender.respond(0)
        assert sender.targets == [b'/r1', b'/r2', b'/o3']

    def test_waits_behind_held_responses(self, sender):
        sender.send('/r1', '/r2')
        sender.respond(1)
        sender.send('/o3')
        assert sender.targets == [b'/r1', b'/r2']

    def test_requests_behind_it_keep_their_order(self, sender):
        sender.send('/r1', '/o2', '/r3')
        assert sender.targets == [b'/r1']
        sender.respond(0)
        assert sender.targets == [b'/r1', b'/o2', b'/r3']


class TestClose:
    """Guards against requests that are begun or cut off around the close of their connection."""

    def test_nothing_begins_behind_a_close(self, sender):
        sender.connection.dataReceived(_encode('/r1') + _encode('/r2', close=True) + _encode('/r3'))
        assert sender.targets == [b'/r1', b'/r2']
        for handler in reversed(sender.handlers):
            handler.respond()
        assert sender.answered == [b'/r1', b'/r2']
        assert sender.transport.disconnecting

    # Guards against dropping requests that were read before the close was announced.
    def test_stop_answers_what_is_read_before_the_close_is_announced(self, sender):
        sender.send('/r1', '/r2')
        sender.connection.close_when_idle()
        sender.send('/r3')
        sender.respond(2)
        sender.send('/r4')
        for index in (3, 1, 0):
            sender.connection.close_when_idle()
            assert not sender.transport.disconnecting
            sender.respond(index)
        sender.send('/r5')
        assert sender.answered == [b'/r1', b'/r2', b'/r3', b'/r4']
        assert sender.transport.value().count(b'Connection: close') == 1
        assert sender.transport.disconnecting

    def test_nothing_begins_behind_an_announced_close(self, sender):
        sender.send('/r1')
        sender.connection.close_when_idle()
        sender.handlers[0].exchange.send_head(http_head.ResponseHead(200, []))
        sender.send('/r2')
        sender.handlers[0].exchange.finish()
        assert sender.targets == [b'/r1']
        assert sender.transport.disconnecting

    # Guards against dropping requests that wait for the responses before them.
    def test_stop_answers_requests_that_wait_for_their_turn(self, sender):
        sender.send('/o1', '/o2', '/r3')
        sender.connection.close_when_idle()
        for index in range(3):
            sender.connection.close_when_idle()
            assert not sender.transport.disconnecting
            sender.respond(index)
        assert sender.answered == [b'/o1', b'/o2', b'/r3']
        assert sender.transport.value().count(b'Connection: close') == 1
        assert sender.transport.disconnecting

    def test_caller_that_leaves_cancels_all(self, sender):
        sender.send('/r1', '/r2', '/r3')
        sender.respond(1)
        sender.connection.connectionLost()
        assert [handler.aborted for handler in sender.handlers] == [True, False, True]

    def test_aborted_response_waits_for_those_before_it(self, sender):
        sender.send('/r1', '/r2', '/r3')
        sender.handlers[1].exchange.send_head(http_head.ResponseHead(200, []))
        sender.handlers[1].exchange.abort()
        sender.respond(2)
        assert not sender.transport.aborted
        sender.respond(0)
        assert sender.answered == [b'/r1']
        assert sender.transport.aborted

    def test_close_of_an_earlier_response_cancels_those_behind(self, sender):
        sender.send('/r1', '/r2')
        sender.handlers[0].exchange.head.keep_alive = False
        sender.respond(0)
        assert sender.handlers[1].aborted
        sender.respond(1)
        assert sender.answered == [b'/r1']

    def test_malformed_bytes_are_rejected_after_the_responses(self, sender):
        sender.send('/r1', '/r2')
        sender.connection.dataReceived(b'\x00nonsense\r\n\r\n')
        sender.respond(1)
        assert not sender.transport.value()
        sender.respond(0)
        assert sender.answered == [b'/r1', b'/r2']
        assert sender.transport.value().count(b'HTTP/1.1 400 ') == 1
        assert sender.transport.disconnecting

    def test_failing_handler_does_not_affect_those_before_it(self, sender):
        sender.send('/r1', '/r2')
        sender.handlers[0].request_ended = None
        sender.connection.dataReceived(_encode('/r3', b'ab')[:-2])
        sender.handlers[2].body_received = None
        sender.connection.dataReceived(b'ab')
        for handler in sender.handlers[:2]:
            handler.respond()
        assert sender.answered == [b'/r1', b'/r2']
        assert sender.transport.value().count(b'HTTP/1.1 500 ') == 1
        assert sender.transport.disconnecting

    # Guards against a failure that reaches the code which ends the response before.
    def test_failing_handler_of_a_request_that_waited_is_answered(self, sender):
        sender.send('/o1', '/fail')
        sender.handlers[0].respond()
        assert sender.answered == [b'/o1']
        assert sender.transport.value().count(b'HTTP/1.1 500 ') == 1
        assert sender.transport.disconnecting


class TestBounds:
    """Guards against a client that makes the process hold any number of requests or bytes."""

    def test_number_of_requests_in_progress(self, sender):
        count = http_server.MAX_OVERLAPPING_REQUESTS
        sender.connection.dataReceived(
            b''.join(_encode(f'/r{index}') for index in range(count + 5))
        )
        assert len(sender.handlers) == count
        assert sender.transport.producerState == 'paused'
        sender.respond(0)
        assert len(sender.handlers) == count + 1

    def test_reading_resumes(self, sender):
        sender.send('/r1', '/o2')
        assert sender.transport.producerState == 'paused'
        sender.respond(0)
        assert sender.transport.producerState == 'producing'

    def test_bytes_that_wait_for_their_turn(self, sender):
        sender.send('/r1', '/r2')
        sender.respond(1, bytes(2 * 1024 * 1024))
        sender.send('/r3')
        assert sender.targets == [b'/r1', b'/r2']
        sender.respond(0)
        assert sender.targets == [b'/r1', b'/r2', b'/r3']

    def test_streamed_response_pauses_until_its_turn(self, sender):
        sender.send('/r1', '/r2')
        sender.handlers[1].exchange.send_head(http_head.ResponseHead(200, []))
        sender.handlers[1].exchange.send_body(bytes(300_000))
        assert sender.handlers[1].writes_paused
        sender.respond(0)
        assert not sender.handlers[1].writes_paused

    def test_full_write_buffer_pauses_the_first_response_only(self, sender):
        sender.send('/r1', '/r2')
        sender.connection.pauseProducing()
        assert [handler.writes_paused for handler in sender.handlers] == [True, False]
        sender.respond(0)
        assert sender.handlers[1].writes_paused
        sender.connection.resumeProducing()
        assert not sender.handlers[1].writes_paused
