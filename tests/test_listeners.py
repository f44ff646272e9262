"""Tests of listeners that are opened together."""

from __future__ import annotations

import contextlib
import errno
import gc
import os
import pathlib
import resource
import socket
from collections.abc import Callable
from typing import NamedTuple

import pytest
from twisted.internet import defer, protocol, task
from twisted.web import client as web_client

from anvillug import clock
from anvillug.bench import processes
from anvillug.connection import http_pool, live_endpoints
from anvillug.process import listeners
from tests import reactor_thread

_TIMEOUT_MS = 300
_MAX_CONNECTIONS = 20


class _Reactor(task.Clock):
    """Records the addresses of the sockets that are passed on."""

    def __init__(self) -> None:
        super().__init__()
        self.addresses: list[str] = []

    def adoptStreamPort(self, descriptor, family, factory):  # noqa: N802
        with socket.socket(fileno=socket.dup(descriptor)) as passed_on:
            host, port = passed_on.getsockname()
        self.addresses.append(f'{host}:{port}')
        return factory


class _Opened:
    """Listeners whose take-over is recorded."""

    def __init__(self) -> None:
        self.reactor = _Reactor()
        self.listeners = listeners.Listeners(self.reactor, clock.SystemClock(), _TIMEOUT_MS)
        self.taken_over = 0

    def open(self) -> None:
        self.listeners.open(self._take_over)

    def open_when_free(self) -> defer.Deferred[None]:
        return defer.ensureDeferred(self.listeners.open_when_free(self._take_over))

    def _take_over(self) -> None:
        assert not self.reactor.addresses
        self.taken_over += 1


@pytest.fixture
def opened():
    """Return listeners without an address."""
    return _Opened()


def _accepts(address: str) -> bool:
    host, _, port = address.rpartition(':')
    with contextlib.suppress(ConnectionRefusedError):
        socket.create_connection((host, int(port)), timeout=1).close()
        return True
    return False


class TestOpen:
    """Guards against listeners that accept connections although the process can't serve."""

    def test_take_over_comes_before_the_first_connection(self, opened):
        addresses = processes.free_addresses(2)
        for address in addresses:
            opened.listeners.add(address, address)
        opened.open()
        assert opened.taken_over == 1
        assert opened.reactor.addresses == addresses

    def test_failure_to_listen_closes_all(self, opened):
        # Sockets that are bound to the same address fail only when the second one listens.
        addresses = processes.free_addresses(2)
        for address in (addresses[0], addresses[1], addresses[1]):
            opened.listeners.add(address, address)
        with pytest.raises(listeners.ListenError, match=f'^{addresses[1]}: cannot listen: Address'):
            opened.open()
        assert not opened.taken_over

    def test_failure_of_a_library_closes_all(self, opened):
        # gRPC listened on its address although another one of the node was in use.
        addresses = processes.free_addresses(2)
        tries: list[bool] = []

        def fail_once(address: str) -> None:
            tries.append(_accepts(addresses[0]))
            if len(tries) == 1:
                raise OSError(errno.EADDRINUSE, 'in use')

        opened.listeners.add(addresses[0], addresses[0])
        opened.listeners.add_opener(addresses[1], fail_once)
        opened.open()
        assert len(tries) == 2
        assert opened.taken_over == 1

    def test_address_that_is_never_available_is_an_error(self, opened):
        opened.listeners.add('192.0.2.1:4000', '')
        with pytest.raises(listeners.ListenError, match='Cannot assign requested address'):
            opened.open()

    def test_permanent_failure_is_an_error_at_once(self, opened):
        tries: list[str] = []

        def refuse(address: str) -> None:
            tries.append(address)
            raise PermissionError(errno.EACCES, 'denied')

        opened.listeners.add_opener(processes.free_addresses(1)[0], refuse)
        with pytest.raises(listeners.ListenError, match='Permission denied'):
            opened.open()
        assert len(tries) == 1


def _is_free(address: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> bool:
    host, _, port = address.rpartition(':')
    with socket.socket(socket.AF_INET, kind) as other, contextlib.suppress(OSError):
        other.bind((host, int(port)))
        return True
    return False


class TestWait:
    """Guards against processes that wait for addresses for ever, or act on what came meanwhile."""

    def test_addresses_behind_one_in_use_are_free(self, opened):
        # Two processes that start would each hold what the other one waits for.
        addresses = processes.free_addresses(3)
        for address in addresses:
            opened.listeners.add(address, address)
        host, _, port = addresses[1].rpartition(':')
        with socket.create_server((host, int(port))):
            waiting = opened.open_when_free()
            assert not _is_free(addresses[0])
            assert _is_free(addresses[2])
            assert not opened.taken_over
        opened.reactor.advance(1)
        assert waiting.called
        assert opened.reactor.addresses == addresses

    def test_datagrams_that_came_during_the_wait_are_gone(self, opened):
        # Old beacons would be taken for those of nodes that run.
        datagrams, address = processes.free_addresses(2)
        opened.listeners.add_datagrams(datagrams, None, 100)
        opened.listeners.add(address, address)
        host, _, port = address.rpartition(':')
        with socket.create_server((host, int(port))):
            waiting = opened.open_when_free()
            assert _is_free(datagrams, socket.SOCK_DGRAM)
            waiting.cancel()
        assert waiting.called
        waiting.addErrback(lambda reason: reason.trap(defer.CancelledError))

    def test_cancelled_wait_releases_all(self, opened):
        addresses = processes.free_addresses(2)
        for address in addresses:
            opened.listeners.add(address, address)
        host, _, port = addresses[1].rpartition(':')
        with socket.create_server((host, int(port))):
            waiting = opened.open_when_free()
            waiting.addErrback(lambda reason: reason.trap(defer.CancelledError))
            waiting.cancel()
        assert all(_is_free(address) for address in addresses)
        assert not opened.taken_over
        assert not opened.reactor.getDelayedCalls()


@contextlib.contextmanager
def _free_descriptors(count: int):
    """Leave only a number of descriptors free, also if other tests have left sockets to collect."""
    gc.collect()
    with contextlib.ExitStack() as stack:
        stack.callback(gc.enable)
        gc.disable()
        null_device = stack.enter_context(pathlib.Path('/dev/null').open('rb'))
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        used = [os.dup(null_device.fileno()) for _ in range(count)]
        stack.callback(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
        highest = max(int(name) for name in os.listdir('/proc/self/fd'))
        resource.setrlimit(resource.RLIMIT_NOFILE, (highest, limits[1]))
        with contextlib.suppress(OSError):
            # Below the limit until `dup` fails.
            for _ in range(highest + 1):
                stack.callback(os.close, os.dup(null_device.fileno()))
        for descriptor in used:
            os.close(descriptor)
        yield


class TestDescriptors:
    """Guards against processes that end because no descriptor is free for a time."""

    # Guards against a failure of the tests below: a collection freed descriptors meanwhile.
    def test_sockets_of_other_tests_free_no_descriptor(self):
        cycle = [socket.socket()]
        cycle.append(cycle)
        # Only a full collection finds it from now on.
        gc.collect()
        del cycle
        with _free_descriptors(0):
            gc.collect()
            with pytest.raises(OSError, match='Too many open files'):
                os.dup(0)
        assert gc.isenabled()

    # With one descriptor for each of the two sockets, none is left to pass them on.
    @pytest.mark.parametrize('count', [0, 1, 2])
    @pytest.mark.parametrize('is_early', [False, True])
    def test_node_waits_until_descriptors_are_free(self, opened, count, is_early):
        # FAULT: the node ended with 2, or with 1 if it had bound all addresses.
        addresses = processes.free_addresses(2)
        opened.listeners.add(addresses[0], addresses[0], is_early=is_early)
        opened.listeners.add(addresses[1], addresses[1])
        with _free_descriptors(count):
            waiting = opened.open_when_free()
            opened.reactor.advance(1)
        assert not waiting.called
        assert not opened.taken_over
        opened.reactor.advance(1)
        assert waiting.called
        assert opened.taken_over == 1
        assert opened.reactor.addresses == addresses

    def test_node_with_an_early_address_waits(self, opened):
        # FAULT: the node ended with 1, since the last descriptor was taken to bind the address.
        early, in_use = processes.free_addresses(2)
        opened.listeners.add(early, early, is_early=True)
        opened.listeners.add(in_use, in_use)
        # What is open when the node takes over.
        taken_over: list[list[str]] = []
        host, _, port = in_use.rpartition(':')
        with socket.create_server((host, int(port))):
            waiting = defer.ensureDeferred(
                opened.listeners.open_when_free(
                    lambda: taken_over.append(opened.reactor.addresses.copy())
                )
            )
        assert opened.reactor.addresses == [early]
        with _free_descriptors(1):
            opened.reactor.advance(1)
        assert not taken_over
        opened.reactor.advance(1)
        assert waiting.called
        assert taken_over == [[early]]
        assert opened.reactor.addresses == [early, in_use]


class _Event(NamedTuple):
    """A log line."""

    name: str
    fields: dict[str, object]


def _fails_twice() -> listeners.Opener:
    errors = [OSError(errno.EADDRINUSE, 'in use') for _ in range(2)]

    def listen(address: str) -> None:
        if errors:
            raise errors.pop()

    return listen


@pytest.fixture
def events(monkeypatch):
    """Return a list of the events that are logged, with their fields."""
    logged: list[_Event] = []

    def log(event: str, **fields: object) -> None:
        logged.append(_Event(event, fields))

    monkeypatch.setattr(listeners.event_log, 'emit', log)
    monkeypatch.setattr(listeners.event_log, 'warn', log)
    return logged


class TestLog:
    """Guards against lines that hide for how long an address has been in use, or that flood."""

    def test_failure_is_logged_once_and_its_end_with_its_duration(self, opened, events):
        address = processes.free_addresses(1)[0]
        opened.listeners.add_opener(address, _fails_twice())
        opened.open()
        assert [event.name for event in events] == ['listen_failed', 'address_free']
        assert all(event.fields['address'] == address for event in events)
        assert events[0].fields['in_use_ms'] == 0
        assert 150 <= events[1].fields['in_use_ms'] <= 10_000

    def test_failure_is_logged_again_now_and_then(self, opened, events, monkeypatch):
        monkeypatch.setattr(listeners, '_LOG_INTERVAL_MS', 0)
        address = processes.free_addresses(1)[0]
        opened.listeners.add_opener(address, _fails_twice())
        opened.open()
        assert [event.name for event in events] == [
            'listen_failed',
            'listen_failed',
            'address_free',
        ]
        assert events[1].fields['in_use_ms'] >= 150


def _holders(port: int) -> int:
    """Return the number of sockets of this machine with a local port of 127.0.0.1, in any state."""
    lines = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    places = (f'0100007F:{port:04X}', f'00000000:{port:04X}')
    return sum(line.split()[1] in places for line in lines)


def _connect_alone(
    connect: Callable[[tuple[str, int]], object], stack: contextlib.ExitStack
) -> str:
    """Connect until no other socket holds the local port; return the local address.

    The kernel gives out a port again that a connection of another process to another address
    had, and that one, without the option, keeps the port from listeners while in TIME_WAIT. The
    ports that are tried first depend on the address of the server.
    """
    for _ in range(_MAX_CONNECTIONS):
        server = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        connect(server.getsockname())
        accepted, (host, port) = server.accept()
        stack.enter_context(accepted)
        if _holders(port) == 1:
            return f'{host}:{port}'
    raise AssertionError('other sockets hold the port of each connection')


class TestOutgoingConnections:
    """Guards against outgoing connections whose local port a process can no longer listen on."""

    def test_port_of_an_outgoing_connection_can_be_listened_on(self, running_reactor, opened):
        # FAULT: an outgoing connection of another node had taken the port of a node.
        def connect(server: tuple[str, int]) -> None:
            pool = http_pool.Pool(running_reactor, *server)
            stack.callback(reactor_thread.call, pool.close)
            reactor_thread.call(pool.preconnect)
            reactor_thread.eventually(lambda: pool.idle_count)

        with contextlib.ExitStack() as stack:
            opened.listeners.add(_connect_alone(connect, stack), '')
            opened.open()
        assert opened.taken_over == 1

    def test_port_of_a_connection_to_the_store_can_be_listened_on(self, running_reactor, opened):
        # FAULT: as above.
        def connect(server: tuple[str, int]) -> None:
            uri = web_client.URI.fromBytes('http://{}:{}/'.format(*server).encode())
            endpoint = live_endpoints.EndpointFactory(running_reactor, 1).endpointForURI(uri)
            connecting = protocol.Factory.forProtocol(protocol.Protocol)
            connection = reactor_thread.call(endpoint.connect, connecting)
            stack.callback(reactor_thread.call, connection.transport.abortConnection)

        with contextlib.ExitStack() as stack:
            opened.listeners.add(_connect_alone(connect, stack), '')
            opened.open()
        assert opened.taken_over == 1
