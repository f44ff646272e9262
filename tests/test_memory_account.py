"""Account of the memory held for clients, and the limits of their connections."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from anvillug import clock
from anvillug.connection import (
    client_guard,
    client_limits,
    header_lines,
    http_server,
    memory_account,
)
from anvillug.request import buffered_body, response_copy
from tests import test_bad_input

_LIMIT_BYTES = 1000
_LARGE_BYTES = 10_000


class _Client:
    """Connection that records whether it was given up."""

    def __init__(self, waiting: client_limits.Waiting = client_limits.Waiting.REQUEST) -> None:
        self.listener = 'callers'
        self.wait = client_limits.Wait()
        self.waiting = waiting
        self.progress = 0
        self.is_given_up = False
        self.exceeded: client_limits.Waiting | None = None

    def give_up(self) -> None:
        self.is_given_up = True

    def waits_for(self) -> tuple[client_limits.Waiting, int]:
        return self.waiting, self.progress

    def limit_exceeded(self, waiting: client_limits.Waiting) -> None:
        self.exceeded = waiting


class TestMemoryAccount:
    """Guards against memory that grows with the clients, and against giving up the wrong ones."""

    def test_gives_up_who_holds_most_for_longest(self):
        time = clock.ManualClock()
        account = memory_account.MemoryAccount(_LIMIT_BYTES, time)
        old, large, small = _Client(), _Client(), _Client()
        account.update(old, 300)
        time.advance(1000)
        account.update(large, 500)
        account.update(small, 250)
        assert [client.is_given_up for client in (old, large, small)] == [True, False, False]
        assert account.used_bytes == 750

    def test_counts_who_is_given_up_by_listener(self):
        limits = []
        account = memory_account.MemoryAccount(_LIMIT_BYTES, clock.ManualClock(), limits.append)
        account.update(_Client(), _LIMIT_BYTES + 1)
        assert limits == ['callers memory']

    def test_reservation_is_refused_if_nobody_can_be_given_up(self):
        account = memory_account.MemoryAccount(_LIMIT_BYTES, clock.ManualClock())
        assert account.reserve(900)
        assert not account.reserve(200)
        account.reserve(-900)
        assert account.reserve(200)

    def test_one_large_message_is_accepted_in_calm(self):
        account = memory_account.MemoryAccount(_LIMIT_BYTES, clock.ManualClock())
        assert account.reserve_more(_LARGE_BYTES, 0)
        assert account.reserve_more(_LARGE_BYTES, _LARGE_BYTES)
        assert not account.reserve_more(_LARGE_BYTES, 0)

    def test_bodies_cost_no_connection_that_holds_little(self):
        # While bodies held all of the memory, each part of a head gave up its connection.
        account = memory_account.MemoryAccount(_LIMIT_BYTES, clock.ManualClock())
        clients = [_Client() for _ in range(3)]
        for client in clients[:2]:
            account.update(client, 20)
        assert account.reserve(_LIMIT_BYTES - 120)
        assert not account.reserve(100)
        account.update(clients[2], 20)
        assert not any(client.is_given_up for client in clients)

    def test_a_large_message_costs_no_connection_that_holds_little(self):
        account = memory_account.MemoryAccount(_LIMIT_BYTES, clock.ManualClock())
        assert account.reserve_more(_LARGE_BYTES, 0)
        client = _Client()
        account.update(client, 20)
        assert not client.is_given_up

    def test_connections_have_a_bound_beside_bodies(self):
        account = memory_account.MemoryAccount(_LIMIT_BYTES, clock.ManualClock())
        assert account.reserve(_LIMIT_BYTES)
        clients = [_Client() for _ in range(30)]
        for client in clients:
            account.update(client, 20)
            assert account.used_bytes <= _LIMIT_BYTES * 1.125
        assert any(client.is_given_up for client in clients)

    @given(
        strategies.lists(strategies.tuples(strategies.integers(0, 3), strategies.integers(0, 900)))
    )
    def test_never_exceeds_the_limit(self, updates):
        account = memory_account.MemoryAccount(_LIMIT_BYTES, clock.ManualClock())
        clients = [_Client() for _ in range(4)]
        for number, size in updates:
            account.update(clients[number], size)
            assert 0 <= account.used_bytes <= _LIMIT_BYTES


class TestKinds:
    """Guards against an operator who can't tell what the memory of a process is held for."""

    @pytest.mark.parametrize(
        ('sent', 'kind'),
        [
            (b'GET /a HTTP/1.1\r\nHost: a', memory_account.HEADS),
            (b'GET /a HTTP/1.1\r\nHost: a\r\n\r\n' * 9, memory_account.AHEAD),
        ],
        ids=['head', 'ahead'],
    )
    def test_kinds_of_a_connection_add_up_to_its_charge(self, sent, kind):
        account = memory_account.MemoryAccount(1 << 20, clock.ManualClock())
        # No request is answered.
        connection = http_server.ServerConnection(_ignore, 1 << 16, set(), account=account)
        transport = test_bad_input.make_connection()[1]
        transport.unregisterProducer()
        connection.makeConnection(transport)
        account.reserve(100)
        connection.dataReceived(sent)
        charged = account.used_bytes - 100
        others = dict.fromkeys(memory_account.KINDS, 0)
        expected = others | {kind: charged, memory_account.RESERVED: 100}
        assert charged > 0
        assert account.held_by_kind() == expected
        connection.connectionLost()
        assert account.used_bytes == 100
        assert sum(account.held_by_kind().values()) == 100


class TestClientGuard:
    """Guards against clients that keep connections without end, and against closing busy ones."""

    def test_time_without_progress_is_limited(self):
        time = clock.ManualClock(10_000)
        guard = _guard(time, client_limits.ClientLimits(head_ms=3000))
        slow = _Client(client_limits.Waiting.HEAD)
        idle = _Client()
        guard.check({slow, idle})
        time.advance(3500)
        guard.check({slow, idle})
        assert (slow.exceeded, idle.exceeded) == (client_limits.Waiting.HEAD, None)

    def test_longest_waiting_connection_makes_room(self):
        time = clock.ManualClock(10_000)
        guard = _guard(time, client_limits.ClientLimits(connections=2))
        busy = _Client(client_limits.Waiting.RESPONSE)
        idle = _Client()
        assert guard.has_room({busy, idle})
        assert (busy.is_given_up, idle.is_given_up) == (False, True)
        assert not guard.has_room({busy, _Client(client_limits.Waiting.RESPONSE)})

    def test_descriptors_stay_bounded_while_connections_close(self):
        guard = _guard(clock.ManualClock(10_000), client_limits.ClientLimits(connections=8))
        clients = {_Client() for _ in range(8)}
        # All of them arrive in one turn of the reactor, before a given-up connection is closed.
        for _ in range(100):
            if guard.has_room(clients):
                clients.add(_Client())
        assert len(clients) == 10
        assert sum(client.is_given_up for client in clients) == 2
        clients = {client for client in clients if not client.is_given_up}
        assert guard.has_room(clients)

    def test_slow_head_is_told_that_it_has_not_run(self):
        connection, transport, _ = test_bad_input.make_connection()
        connection.dataReceived(b'GET /a HTTP/1.1\r\nHost')
        assert connection.waits_for()[0] is client_limits.Waiting.HEAD
        connection.limit_exceeded(client_limits.Waiting.HEAD)
        assert transport.value().startswith(b'HTTP/1.1 408 ')

    def test_only_a_client_that_owes_a_body_waits_for_it(self):
        connection, _, _ = test_bad_input.make_connection()
        connection.dataReceived(b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na')
        waiting, progress = connection.waits_for()
        assert waiting is client_limits.Waiting.BODY
        slot = connection._receiving  # noqa: SLF001
        connection.pause_reading(slot, paused=True)
        assert connection.waits_for()[0] is client_limits.Waiting.RESPONSE
        connection.pause_reading(slot, paused=False)
        connection.dataReceived(b'b')
        assert connection.waits_for() == (client_limits.Waiting.REQUEST, 1)
        assert progress == 1


class TestBodies:
    """Guards against bodies and copies of responses that no account counts."""

    def test_parts_are_counted_until_they_are_taken(self):
        account = memory_account.MemoryAccount(_LIMIT_BYTES, clock.ManualClock())
        account.reserve(_LIMIT_BYTES // 2)
        body = buffered_body.BufferedBody(account)
        # Small parts take far more than their bytes.
        added = [body.add(b'a') for _ in range(_LIMIT_BYTES // 4)]
        assert added.count(True) == len(body.parts)
        assert 0 < len(body.parts) < len(added) // 10
        assert account.used_bytes <= _LIMIT_BYTES
        assert body.take(1) == [b'a']
        body.clear()
        assert (account.used_bytes, body.parts) == (_LIMIT_BYTES // 2, [])

    def test_copies_are_kept_while_memory_is_ample(self):
        account = memory_account.MemoryAccount(_LIMIT_BYTES, clock.ManualClock())
        copy = response_copy.ResponseCopy(_LIMIT_BYTES, account)
        copy.start(200, ())
        copy.add(bytes(400))
        assert copy.response().body == bytes(400)
        account.reserve(400)
        copy.add(b'a')
        assert (copy.response(), account.used_bytes) == (None, 400)


class TestHeaderLines:
    """Guards against heads that change when they are stored as bytes."""

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.from_regex(rb'[a-zA-Z-]{1,5}', fullmatch=True),
                strategies.from_regex(rb'[a-z: ]{0,9}', fullmatch=True),
            )
        )
    )
    def test_keeps_headers_and_finds_the_first(self, headers):
        lines = header_lines.HeaderLines(headers)
        assert (list(lines), len(lines)) == (headers, len(headers))
        first_by_name = {name.lower(): value for name, value in reversed(headers)}
        assert all(lines.first(name) == value for name, value in first_by_name.items())
        assert lines.first(b'none-such') is None

    def test_requests_with_many_lines_are_complete(self):
        connection, transport, received = test_bad_input.make_connection()
        lines = b''.join(b'x%d:\r\n' % number for number in range(2000))
        connection.dataReceived(b'GET /a HTTP/1.1\r\n%bHost: a\r\n\r\n' % lines)
        assert received == [(b'/a', b'')]
        assert transport.value().startswith(b'HTTP/1.1 200 ')


def _ignore(exchange: object) -> None:
    """Leave a request without an answer."""


def _guard(time: clock.ManualClock, limits: client_limits.ClientLimits) -> client_guard.ClientGuard:
    account = memory_account.MemoryAccount(_LIMIT_BYTES, time)
    guard = client_guard.ClientGuard('callers', account, time)
    guard.limits = limits
    return guard
