"""What clients that do not behave send, and the process that runs them."""

from __future__ import annotations

import contextlib
import itertools
import socket
import subprocess
import sys
import threading

import pytest

from anvillug.bench import unruly_callers, unruly_clients

Habit = unruly_clients.Habit
_BENCH = (sys.executable, '-m', 'anvillug', 'bench', 'crowd')
_MAX_HEADER_BYTES = 16384


def _sent(habit, count=None):
    return b''.join(itertools.islice(unruly_clients.behavior(habit).pieces(), count))


class _Server:
    """Listener that counts connections, and reads until the end of each."""

    def __init__(self) -> None:
        self.accepted = 0
        self.received = 0
        self.resets = 0
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while self._listener.fileno() >= 0:
                connection, _ = self._listener.accept()
                self.accepted += 1
                threading.Thread(target=self._read, args=(connection,), daemon=True).start()

    def _read(self, connection) -> None:
        with connection:
            try:
                while data := connection.recv(1 << 16):
                    self.received += len(data)
            except ConnectionResetError:
                self.resets += 1

    def close(self) -> None:
        """Stop to listen."""
        self._listener.close()


@pytest.fixture
def server():
    """Yield a listener."""
    server = _Server()
    yield server
    server.close()


class TestHabits:
    """Guards against crowds that send something other than their habit says."""

    @pytest.mark.parametrize('habit', [Habit.RESETS_LENGTH, Habit.RESETS_CHUNKS])
    def test_upload_ends_midway(self, habit):
        head, _, body = _sent(habit).partition(b'\r\n\r\n')
        assert head.startswith(b'POST /scan/ ')
        assert 400_000 <= len(body) < 500_000
        assert unruly_clients.behavior(habit).ending is unruly_clients.Ending.RESETS

    @pytest.mark.parametrize(
        ('habit', 'chunk'),
        [(Habit.CHUNKS_OF_ONE, b'1\r\na\r\n'), (Habit.CHUNKS_OF_TWO, b'2\r\nab')],
    )
    def test_number_of_chunks(self, habit, chunk):
        assert _sent(habit).count(chunk) == 900_000

    @pytest.mark.parametrize(
        ('habit', 'requests'), [(Habit.UNREAD_AHEAD, 3000), (Habit.SLOW_AHEAD, 30)]
    )
    def test_requests_sent_ahead(self, habit, requests):
        assert _sent(habit).count(b'GET /sheet/ HTTP/1.1\r\n') == requests

    def test_heads_that_switch_the_protocol_are_within_the_limit(self):
        heads = _sent(Habit.SWITCHES_AHEAD).split(b'\r\n\r\n')[:-1]
        assert len(heads) == 200
        assert all(len(head) < _MAX_HEADER_BYTES for head in heads)
        assert all(head.count(b':\r\n') > 1900 for head in heads)

    @pytest.mark.parametrize(
        ('habit', 'repeated'),
        [
            (Habit.ENDLESS_HEAD, b'a:\r\n'),
            (Habit.ENDLESS_TRAILER, b'a'),
            (Habit.EMPTY_LINES, b'\r\n'),
        ],
    )
    def test_endless(self, habit, repeated):
        sent = _sent(habit, 20)
        assert len(sent) > 1 << 20
        assert sent.endswith(repeated * 1000)

    def test_head_without_end_has_many_lines(self):
        assert b'\r\n\r\n' not in _sent(Habit.ENDLESS_HEAD, 3)
        assert _sent(Habit.ENDLESS_HEAD, 1).count(b'\r\n') > 2000


class TestCallers:
    """Guards against crowds that do nothing, or that outlive their time."""

    @pytest.mark.parametrize('habit', list(Habit))
    def test_clients_connect_and_end_in_time(self, server, habit):
        plan = unruly_callers.Plan([server.address], [habit.value], 2, 0.5)
        callers = unruly_callers.start(plan)
        try:
            assert callers.wait(20_000) == 0, callers.output()
        finally:
            callers.kill()
        assert min(int(callers.output()), server.accepted) >= 2
        assert bool(server.received) is (habit is not Habit.IDLE)

    def test_uploads_are_reset_again_and_again(self, server):
        plan = unruly_callers.Plan([server.address], [Habit.RESETS_LENGTH.value], 2, 0.5)
        callers = unruly_callers.start(plan)
        try:
            callers.wait(20_000)
        finally:
            callers.kill()
        assert server.resets > 2

    def test_refused_connections_are_tried_again(self):
        client = unruly_callers.Client('127.0.0.1:9', Habit.IDLE, 0)
        client.run()
        assert client.opened == 0


class TestBench:
    """Guards against unbounded crowds."""

    @pytest.mark.parametrize(
        'arguments',
        ['--habit polite', '--clients 201', '--seconds 121', '--nodes 1', '--memory-mb 0'],
    )
    def test_invalid_argument_is_an_error(self, arguments):
        finished = subprocess.run(
            (*_BENCH, *arguments.split()), capture_output=True, text=True, timeout=30
        )
        assert finished.returncode == 2
        assert 'habits are resets-length, ' in finished.stderr

    def test_crowd_at_a_real_node(self):
        finished = subprocess.run(
            (*_BENCH, '--seconds', '5'), capture_output=True, text=True, timeout=60
        )
        assert finished.returncode == 0, finished.stdout
        assert finished.stdout.startswith('resets-length, 10 clients, 5 s: 0 own ends, ')
        assert 'after: 5 of 5 answered' in finished.stdout
