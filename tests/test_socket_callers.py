"""Callers of the soak in a process of their own, at a listener that plays a node."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import threading
import time

import pytest

from anvillug.bench import processes, soak_classes, soak_traffic, socket_callers, socket_exchange

_GET = socket_exchange.Message('GET', '/sheet/', 'a.example')
_POST = socket_exchange.Message('POST', '/rev/', 'a.example')
_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na0'
_CLOSING = b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\na0'
Ending = socket_exchange.Ending
Habit = socket_exchange.Habit


@pytest.fixture
def node():
    """Yield a listener."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.settimeout(10)
        yield listener


def _address(node):
    host, port = node.getsockname()
    return f'{host}:{port}'


class _Peer(threading.Thread):
    """Accepts a connection, reads up to an end, answers in steps and closes."""

    def __init__(self, node, *steps):
        super().__init__()
        self._node = node
        self._steps = steps
        self.received = b''
        self.start()

    def run(self):
        accepted, _ = self._node.accept()
        with accepted:
            accepted.settimeout(10)
            for end, answer in self._steps:
                self.received += _receive_until(accepted, end)
                accepted.sendall(answer)


def _receive_until(accepted, end):
    """Return what was received, up to these last bytes or the end of the stream."""
    seen = b''
    while not seen.endswith(end) or not seen:
        data = accepted.recv(65536)
        if not data:
            break
        seen += data
    return seen


def _exchange(node, habit, message, body, peer, count=1, patience=0):
    requests = [
        socket_exchange.Sent(f'a{number}', 0, 'c', False, '', 0, habit=habit.value)
        for number in range(count)
    ]
    connection = socket_exchange.Connection(_address(node), habit)
    connection.exchange(message, body, requests, patience)
    connection.close()
    peer.join()
    return requests


class TestExchange:
    """Guards against callers that misjudge how their request ended."""

    @pytest.mark.parametrize(
        ('answer', 'ending', 'status'),
        [
            (_OK, Ending.ANSWERED, 200),
            (b'HTTP/1.1 200 OK\r\n\r\na0', Ending.ANSWERED, 200),
            (b''.join((b'HTTP/1.1 100 Continue\r\n\r\n', _OK)), Ending.ANSWERED, 200),
            (_OK[:-1], Ending.CLOSED, 0),
            (b'', Ending.CLOSED, 0),
            (b'HTTP/1.1 2', Ending.CLOSED, 0),
            (b'<html>\r\n', Ending.GARBLED, 0),
            (b'HTTP/1.1 fine\r\n\r\n', Ending.GARBLED, 0),
        ],
    )
    def test_ending(self, node, answer, ending, status):
        peer = _Peer(node, (b'\r\n\r\n', answer))
        sent = _exchange(node, Habit.GOES_ON, _GET, b'', peer)[0]
        assert (sent.ending, sent.status) == (ending.value, status)
        assert sent.sent_at <= sent.written_at <= sent.ended_at

    def test_timeout(self, node):
        message = socket_exchange.Message('GET', '/', 'a.example', deadline_ms=10)
        connection = socket_exchange.Connection(_address(node), Habit.GOES_ON)
        sent = socket_exchange.Sent('a0', 0, 'c', False, '', 0)
        connection.exchange(message, b'', [sent])
        connection.close()
        assert sent.ending == Ending.TIMEOUT.value
        # Twice the deadline, but no sooner than an answer may be in time.
        assert sent.ended_at - sent.written_at >= 600


class TestHabits:
    """Guards against habits that only have a name."""

    def test_sends_ahead(self, node):
        peer = _Peer(node, (b'Id: a2\r\nAnvillug-Deadline-Ms: 1500\r\n\r\n', _OK * 2))
        requests = _exchange(node, Habit.SENDS_AHEAD, _GET, b'', peer, count=3)
        assert peer.received.count(b'GET ') == 3
        assert [each.ending for each in requests] == ['answered', 'answered', 'closed']

    @pytest.mark.parametrize(
        ('answer', 'is_sent'),
        [(b'HTTP/1.1 100 Continue\r\n\r\n', True), (_CLOSING, False)],
    )
    def test_expects(self, node, answer, is_sent):
        steps = [(b'\r\n\r\n', answer), (b'xyz', _OK)]
        peer = _Peer(node, *steps[: 1 + is_sent])
        sent = _exchange(node, Habit.EXPECTS, _POST, b'xyz', peer)[0]
        assert peer.received.endswith(b'xyz') is is_sent
        assert sent.status == 200
        assert bool(sent.written_at) is is_sent

    def test_chunked(self, node):
        peer = _Peer(node, (b'0\r\n\r\n', _OK))
        _exchange(node, Habit.CHUNKED, _POST, b'abcdefgh', peer)
        assert peer.received.endswith(b'2\r\nab\r\n2\r\ncd\r\n2\r\nef\r\n2\r\ngh\r\n0\r\n\r\n')
        assert b'Content-Length' not in peer.received

    def test_slow_body(self, node):
        peer = _Peer(node, (b'abcdefgh', _OK))
        sent = _exchange(node, Habit.SLOW_BODY, _POST, b'abcdefgh', peer)[0]
        assert sent.written_at - sent.sent_at >= 120

    def test_slow_reader_counts_its_own_wait(self, node):
        peer = _Peer(node, (b'\r\n\r\n', _OK))
        sent = _exchange(node, Habit.SLOW_READER, _GET, b'', peer)[0]
        assert sent.ended_at - sent.written_at >= 100
        assert sent.stalled_ms == 100

    def test_half_closes(self, node):
        peer = _Peer(node, (b'never', _OK))
        sent = _exchange(node, Habit.HALF_CLOSES, _GET, b'', peer)[0]
        assert sent.ending == Ending.ANSWERED.value

    def test_leaves(self, node):
        peer = _Peer(node, (b'\r\n\r\n', b''), (b'never', b''))
        sent = _exchange(node, Habit.LEAVES, _GET, b'', peer, patience=0.2)[0]
        assert sent.ending == Ending.LEFT.value
        # A fifth of half of its deadline; the peer has seen the end of the stream by then.
        assert 150 <= sent.ended_at - sent.written_at < 600
        assert b'Soak-Work-Ms: 1600\r\n' in peer.received

    def test_answer_before_the_caller_leaves(self, node):
        peer = _Peer(node, (b'\r\n\r\n', _OK))
        sent = _exchange(node, Habit.LEAVES, _GET, b'', peer, patience=1)[0]
        assert sent.ending == Ending.ANSWERED.value

    def test_close_before_the_caller_leaves(self, node):
        peer = _Peer(node, (b'\r\n\r\n', b''))
        sent = _exchange(node, Habit.LEAVES, _GET, b'', peer, patience=1)[0]
        assert sent.ending == Ending.CLOSED.value

    @pytest.mark.parametrize('seed', range(3))
    def test_callers_that_stay_are_the_same_beside_some_who_leave(self, seed):
        habits = [each.value for each in Habit if each is not Habit.LEAVES]
        pairs = []
        for number in range(100):
            plan = socket_callers.Plan('c', [], 1, habits, 1, [_GET], seed)
            callers = [
                socket_callers.Caller(each, 0, f'c-0-{number}', _NoStalls())
                for each in (plan, dataclasses.replace(plan, some_leave=True))
            ]
            pairs.append([each._habit for each in callers])
        left = [pair for pair in pairs if pair[1] is Habit.LEAVES]
        assert 0 < len(left) < 30
        assert all(pair[0] is pair[1] for pair in pairs if pair not in left)

    def test_refused_connections_are_counted(self, node):
        plan = socket_callers.Plan('c', ['127.0.0.1:1'], 1, [Habit.GOES_ON.value], 1, [_GET], 1)
        caller = socket_callers.Caller(plan, 0, 'c-0-0', _NoStalls())
        caller.send()
        assert caller._refused == 1

    def test_old_version(self, node):
        peer = _Peer(node, (b'\r\n\r\n', _OK))
        _exchange(node, Habit.OLD_VERSION, _GET, b'', peer)
        assert peer.received.startswith(b'GET /sheet/ HTTP/1.0\r\n')

    @pytest.mark.parametrize(
        ('habit', 'connections'),
        [(Habit.GOES_ON, 1), (Habit.HONOURS_CLOSE, 2), (Habit.NEW_CONNECTION, 2)],
    )
    def test_connections_of_two_requests(self, node, habit, connections):
        accepted = []

        def serve():
            while len(accepted) < connections:
                accepted.append(node.accept()[0])
                threading.Thread(target=answer, args=(accepted[-1],)).start()

        def answer(connection):
            with connection, contextlib.suppress(OSError):
                while connection.recv(65536):
                    connection.sendall(_CLOSING)

        thread = threading.Thread(target=serve)
        thread.start()
        plan = socket_callers.Plan('c', [_address(node)], 1, [habit.value], 1, [_GET], 1)
        caller = socket_callers.Caller(plan, 0, 'c-0-0', _NoStalls())
        caller.send()
        caller.send()
        caller.close()
        thread.join(10)
        assert len(accepted) == connections


class _NoStalls:
    def longest_ms(self, _begin, _end):
        return 0.0


class TestProcess:
    """Guards against callers that miss their rate, and bursts that no process sends."""

    def test_rate_and_burst(self, node):
        def answer(connection):
            with connection, contextlib.suppress(OSError):
                while connection.recv(65536):
                    connection.sendall(_OK)

        def serve():
            while True:
                try:
                    connection, _ = node.accept()
                except OSError:
                    return
                threading.Thread(target=answer, args=(connection,), daemon=True).start()

        threading.Thread(target=serve, daemon=True).start()
        callers = soak_traffic.CallerProcesses([_address(node)], [soak_classes.REVISION], 1, 4)
        callers.start()
        time.sleep(1)
        callers.burst(50)
        for _ in range(100):
            time.sleep(0.1)
            if not callers.running:
                break
        assert not callers.running
        text = ''.join(each.output() for each in callers._processes)
        requests = socket_callers.read_lines(text)
        bursts = sum('burst' in each.attempt_id for each in requests)
        assert bursts == 50
        # 76 a second for 4 s.
        assert 200 < len(requests) - bursts < 400
        assert len({each.attempt_id for each in requests}) == len(requests)
        assert len({each.habit for each in requests}) == len(Habit)


class TestInput:
    """Guards against a write that fails once the process has ended."""

    def test_write_to_a_process_that_has_ended(self):
        process = processes.ChildProcess((), ('true',), has_input=True)
        while process.running:
            time.sleep(0.01)
        process.write('1\n')
        assert process.status == 0
