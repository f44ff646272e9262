"""Crowds of clients that send more than the limits of a node, or read less than they ask for."""

from __future__ import annotations

import collections
import contextlib
import os
import pathlib
import re
import signal
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from http import client as http_client
from typing import Any

from anvillug.bench import processes
from tests import reactor_thread

SIZE = 128
"""Number of clients."""
MEMORY_MB = 96
"""Memory of the machine of the node. What the whole crowd can send within the limits of a request
is more."""
MAX_FDS = 192
"""Descriptors that the node may open."""
MAX_HEADER_BYTES = 16384
"""Limit of a head in the settings of the tests."""
_ENDLESS_BYTES = 1 << 18
STREAMS = 4
"""Number of clients that send without end; a single one has ended nodes."""
STREAM_PIECES = 1024
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_BODY = b'%b1\r\na\r\n0\r\n' % _CHUNKED
_PIECE = b'a' * (1 << 16)
BEHIND_CHUNKS = {
    'trailer-value': (b'%bX: ' % _BODY, _PIECE),
    'trailer-name': (_BODY, _PIECE),
    'trailers': (_BODY, b'a:\r\n' * (1 << 14)),
    'chunk-extension': (b'%b1;a=' % _CHUNKED, _PIECE),
    'chunk-zeros': (_CHUNKED, b'0' * len(_PIECE)),
    'empty-lines-behind-a-body': (b'%b\r\n' % _BODY, b'\r\n' * (1 << 15)),
    'target-behind-a-body': (b'%b\r\nGET /' % _BODY, _PIECE),
    'header-behind-a-body': (b'%b\r\nGET / HTTP/1.1\r\nX: ' % _BODY, _PIECE),
}
"""What clients send as the framing of a body and after it: headers and start, and what follows."""
_ANONYMOUS_MEMORY = re.compile(r'RssAnon:\s+(\d+) kB')
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
_RECEIVE_BUFFER_BYTES = 4096
_RECEIVE_BYTES = 1 << 16
_SEND_TIMEOUT_S = 0.5
_CHECKS = 20
_CHECK_S = 0.1
_RESETTING_CLIENTS = 10
_RESETS = 2000
_RESET = struct.pack('ii', 1, 0)
_STREAM_CHECKS = 100
_STREAM_TIMEOUT_S = reactor_thread.TIMEOUT_S
_BURSTS = 8
_BURST_CHECKS = 5000


class Target:
    """A node that a crowd connects to.

    Args:
        address: IP and port of the listener.
        ordinary: Target and headers of an ordinary request.
        is_whole: Returns whether the body of the response to it is complete.
    """

    def __init__(
        self,
        address: tuple[str, int],
        ordinary: tuple[str, dict[str, str]],
        is_whole: Callable[[bytes], bool],
    ) -> None:
        self.address = address
        self.crowd_address = address
        """Address that the crowd connects to; ordinary requests go to the other one."""
        self.process: processes.ChildProcess | None = None
        self.max_fds = MAX_FDS
        """Descriptors that the node may open."""
        self.peak_mb = 0.0
        self.peak_fds = 0
        self._ordinary = ordinary
        self._is_whole = is_whole

    def connect(self) -> socket.socket:
        """Open a connection of a client that hardly reads."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        client.settimeout(_SEND_TIMEOUT_S)
        client.connect(self.crowd_address)
        return client

    def is_answered(self) -> bool:
        """Return whether the ordinary request of another client is answered."""
        connection = http_client.HTTPConnection(*self.address, timeout=5)
        target, headers = self._ordinary
        try:
            connection.request('GET', target, headers=headers)
            response = connection.getresponse()
            return response.status == 200 and self._is_whole(response.read())
        except (OSError, http_client.HTTPException):
            return False
        finally:
            connection.close()

    def measure(self) -> None:
        """Record the private memory and the open descriptors of the node."""
        folder = pathlib.Path(f'/proc/{self.process.pid}')
        memory = _ANONYMOUS_MEMORY.search((folder / 'status').read_text())
        # A process that has ended has no memory.
        memory_kb = 0 if memory is None else int(memory.group(1))
        self.peak_mb = max(self.peak_mb, memory_kb / 1024)
        self.peak_fds = max(self.peak_fds, len(list((folder / 'fd').iterdir())))


def endless(piece: bytes) -> bytes:
    """Return what one client sends that never ends a head, or never pauses between requests."""
    return piece * (_ENDLESS_BYTES // len(piece))


def short_lines(start: bytes, end: bytes) -> bytes:
    """Return a head within the limits with as many odd header lines as it can hold.

    Args:
        start: What precedes them.
        end: What follows them.
    """
    size = MAX_HEADER_BYTES - len(start) - len(end)
    lines = b''.join(b'%x:\r\n' % number for number in range(4096))
    return start + lines[: lines.rindex(b'\n', 0, size) + 1] + end


def offer(start: bytes) -> bytes:
    """Return a request within the limits with many short lines and an offer to switch protocol.

    Args:
        start: Request line and first headers.
    """
    lines = b''.join(b'%x:\r\n' % number for number in range(2000))
    return b'%bConnection: Upgrade\r\nUpgrade: x\r\n%b\r\n' % (start, lines)


def check_survives(
    target: Target, sent: bytes, client_count: int = SIZE, read_bytes: int = 0
) -> None:
    """Let a crowd of clients send, and check the node while they stay connected.

    Args:
        target: The node.
        sent: What each client sends, as far as the node reads it.
        client_count: Number of clients.
        read_bytes: What each client reads before the next one connects.
    """
    with contextlib.ExitStack() as stack:
        for _ in _progress(target, range(client_count)):
            with contextlib.suppress(OSError):
                client = stack.enter_context(target.connect())
                client.sendall(sent)
                client.recv(read_bytes)
        # Responses to what was sent may still be on their way to the node.
        for _ in _progress(target, range(_CHECKS)):
            time.sleep(_CHECK_S)
        reactor_thread.eventually(target.is_answered)
        target.measure()
    _check_bounds(target)


def check_survives_resets(target: Target, sent: bytes) -> None:
    """Let clients send and reset again and again, each on a new connection without a pause.

    Args:
        target: The node.
        sent: What each client sends before it resets its connection.
    """
    clients = [
        threading.Thread(target=_send_and_reset, args=(target, sent))
        for _ in range(_RESETTING_CLIENTS)
    ]
    for client in clients:
        client.start()
    while any(map(threading.Thread.is_alive, clients)):
        target.measure()
        time.sleep(_CHECK_S / 10)
    reactor_thread.eventually(target.is_answered)
    target.measure()
    _check_bounds(target)


def check_survives_streams(
    target: Target,
    start: bytes,
    piece: bytes,
    client_count: int,
    piece_count: int,
    *,
    asks_early: bool = False,
    reads: bool = False,
) -> None:
    """Let clients send at the same time, and check the node while they send or stay connected.

    Args:
        target: The node.
        start: What each client sends first.
        piece: What it sends again and again after that, as fast as the node reads it.
        client_count: Number of clients.
        piece_count: How often a client sends the piece unless its connection ends before.
        asks_early: Whether the ordinary request is sent once all clients have begun, rather than
            once they have ended or some time has passed.
        reads: Whether the clients read what they are sent.
    """
    stream = _Stream(start, piece, piece_count, reads=reads)
    with stream.clients(target, client_count):
        for _ in _progress(target, range(_STREAM_CHECKS)):
            if client_count == (stream.begun_count if asks_early else stream.ended_count):
                break
            time.sleep(_CHECK_S)
        reactor_thread.eventually(target.is_answered)
        target.measure()
    _check_bounds(target)


def check_survives_bursts(target: Target) -> None:
    """Let a crowd connect at once, again and again, and check the descriptors of the node."""
    with contextlib.ExitStack() as stack:
        for _ in range(_BURSTS):
            # A suspended node accepts a whole queue in one turn of its reactor.
            os.kill(target.process.pid, signal.SIGSTOP)
            for _ in range(SIZE):
                client = stack.enter_context(socket.socket())
                client.setblocking(False)
                client.connect_ex(target.address)
            os.kill(target.process.pid, signal.SIGCONT)
            # The peak lasts for less than a turn.
            for _ in range(_BURST_CHECKS):
                target.measure()
        reactor_thread.eventually(target.is_answered)
    assert target.process.running, target.process.status
    assert target.peak_fds < target.max_fds, target.peak_fds


def state_line(target: Target, reason: str) -> dict[str, str]:
    """Return the fields of the last line of its state that the node has logged for a reason."""
    lines = [
        dict(_FIELD.findall(line))
        for line in target.process.output().splitlines()
        if ' event=process_state ' in line
    ]
    return [line for line in lines if reason in line['reason'].split(',')][-1]


def _check_bounds(target: Target) -> None:
    assert target.process.running, target.process.status
    assert target.peak_mb < MEMORY_MB, f'{target.peak_mb} MB'
    assert target.peak_fds < target.max_fds, target.peak_fds


def _progress(target: Target, items: Iterable[Any]) -> Iterator[Any]:
    """Yield items, and measure the node after each."""
    for item in items:
        yield item
        target.measure()


class _Stream:
    """What each of several clients sends, and how many of them have begun and ended."""

    def __init__(self, start: bytes, piece: bytes, piece_count: int, *, reads: bool) -> None:
        self.begun_count = 0
        self.ended_count = 0
        self._start = start
        self._piece = piece
        self._piece_count = piece_count
        self._reads = reads
        self._is_over = threading.Event()

    @contextlib.contextmanager
    def clients(self, target: Target, count: int) -> Iterator[None]:
        """Let clients send, and keep their connections open until the context ends."""
        clients = [threading.Thread(target=self._run, args=(target,)) for _ in range(count)]
        for client in clients:
            client.start()
        try:
            yield
        finally:
            self._is_over.set()
            for client in clients:
                client.join()

    def _run(self, target: Target) -> None:
        with contextlib.suppress(OSError), socket.socket() as client:
            client.settimeout(_STREAM_TIMEOUT_S)
            client.connect(target.crowd_address)
            if self._reads:
                threading.Thread(target=_read, args=(client,)).start()
            try:
                self._send(client)
            finally:
                self.ended_count += 1
            self._is_over.wait()
            client.shutdown(socket.SHUT_RDWR)

    def _send(self, client: socket.socket) -> None:
        client.sendall(self._start)
        self.begun_count += 1
        for _ in range(self._piece_count):
            if self._is_over.is_set():
                return
            client.sendall(self._piece)


def _read(client: socket.socket) -> None:
    with contextlib.suppress(OSError):
        collections.deque(iter(lambda: client.recv(_RECEIVE_BYTES), b''), maxlen=0)


def _send_and_reset(target: Target, sent: bytes) -> None:
    for _ in range(_RESETS):
        with contextlib.suppress(OSError), socket.socket() as client:
            client.settimeout(_SEND_TIMEOUT_S)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            client.connect(target.crowd_address)
            client.sendall(sent)
