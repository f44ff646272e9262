"""Tests of directives that are fetched from another node."""

from __future__ import annotations

import pytest
from twisted.internet import reactor

from anvillug.connection import http_listener, http_pool
from anvillug.process import directive_fetch
from anvillug.request import job_wire
from anvillug.standin import http_api, link
from anvillug.version import directives
from tests import reactor_thread

_DIRECTIVES = directives.Directives(position=directives.Position(1, 3))
_IDLE_CONNECTIONS = 3


class _Node:
    """A node with directives behind a link, and another one that fetches them."""

    def __init__(self) -> None:
        self.active = directives.ActiveDirectives(_directives_at)
        self.fetch = directive_fetch.DirectiveFetch(reactor, self.active, lambda position: None)
        factory = http_listener.ServerFactory(_respond)
        self.port = reactor.listenTCP(0, factory, interface='127.0.0.1')
        self.link = link.Link(reactor, http_api.bound_address(self.port))
        host, port = http_api.split_address(self.link.listen('127.0.0.1:0'))
        self.pool = http_pool.Pool(reactor, host, port)

    def stop(self) -> object:
        self.pool.close()
        self.link.stop()
        return self.port.stopListening()


def _directives_at(records, position, previous) -> directives.Directives:
    return directives.Directives(position=position)


def _respond(exchange) -> None:
    exchange.respond(200, job_wire.pack_directives(_DIRECTIVES))


def _fetches_again(node: _Node) -> bool:
    """Start a fetch unless one is in progress, as beacons do; return whether one has succeeded.

    A reactor that stands still for the time limit of a fetch cancels also one on a new connection.
    """
    reactor_thread.call(node.fetch.start, node.pool)
    return node.active.current.position == _DIRECTIVES.position


@pytest.fixture
def node(running_reactor):
    """Return a node that can be reached through a link."""
    running = reactor_thread.call(_Node)
    yield running
    reactor_thread.call(running.stop)


class TestSilentConnections:
    """Guards against directives missed on one silent connection of a node after the other."""

    def test_fetch_after_a_silent_one_uses_a_new_connection(self, node):
        for _ in range(_IDLE_CONNECTIONS):
            reactor_thread.call(node.pool.preconnect)
        reactor_thread.eventually(lambda: node.pool.idle_count == _IDLE_CONNECTIONS)
        reactor_thread.call(node.link.silence_open_connections)
        reactor_thread.call(node.fetch.start, node.pool)
        reactor_thread.eventually(lambda: node.pool.open_count < _IDLE_CONNECTIONS)
        assert not reactor_thread.call(lambda: node.pool.idle_count)
        reactor_thread.eventually(lambda: _fetches_again(node))
