"""Links of the fault soak to nodes, and the size of its fleet."""

from __future__ import annotations

import functools
import os
import pathlib
import random
import subprocess
import sys
import types

import pytest
from twisted.internet import defer, endpoints, error, task
from twisted.internet.testing import StringTransport

from anvillug import clock
from anvillug.bench import processes, soak_fleet, soak_launch, soak_links, soak_records
from anvillug.standin import link as standin_link
from tests import soak_examples

_BINDS = 'import socket; s = socket.socket(); s.bind({0}); print(s.getsockname()[0])'


class _Transport(StringTransport):
    """Transport of an accepted connection."""

    def setTcpNoDelay(self, enabled):  # noqa: N802 the name is Twisted's
        """Ignore the option."""


class TestBoundAddresses:
    """Guards against a node that takes the address of the link in front of it."""

    def test_node_listens_behind_its_link(self, tmp_path):
        address = processes.free_addresses(1)[0]
        port = int(address.rpartition(':')[2])
        (tmp_path / 'binds.py').write_text(_BINDS.format(('127.9.0.11', port)))
        bound = {f'127.9.0.11:{port}': f'127.9.1.11:{port}'}
        launch = soak_launch.behind_links(
            soak_launch.Launch((sys.executable, '-m', 'binds'), None), bound
        )
        command = subprocess.run(
            launch.command,
            capture_output=True,
            text=True,
            env={'PYTHONPATH': os.pathsep.join((str(tmp_path), *map(os.path.abspath, sys.path)))},
            check=True,
            timeout=30,
        )
        assert command.stdout == '127.9.1.11\n'

    def test_launch_without_links_is_the_usual_one(self):
        launch = soak_launch.as_subcommand(pathlib.Path('settings.json'))
        assert soak_launch.behind_links(launch, {}) is launch

    def test_program_file_is_an_error(self):
        launch = soak_launch.Launch(('python3', 'node.py'), None)
        with pytest.raises(ValueError, match='cannot listen behind links: python3 node.py'):
            soak_launch.behind_links(launch, {'127.0.0.1:1': '127.0.0.2:1'})


class TestListenerLinks:
    """Guards against links that are never disturbed, or that are not recorded."""

    @pytest.fixture
    def fleet(self):
        """Return a fleet of one host that records disturbances."""
        host = types.SimpleNamespace(
            number=0,
            bound_addresses={},
            address=lambda index: f'127.0.0.1:{index}',
            second_address=lambda index: f'127.0.0.2:{index}',
        )
        disturbances = []
        return types.SimpleNamespace(
            hosts=[host],
            rng=random.Random(1),
            reactor=None,
            before_start=[],
            after_stop=[],
            stopped=False,
            later=lambda _, action, *arguments: action(*arguments),
            disturbances=disturbances,
            disturb=lambda _, kind: disturbances.append(kind),
        )

    @pytest.mark.parametrize(
        ('kind', 'index'), [(soak_links.NODE_LINK, 1), (soak_links.CALLER_LINK, 2)]
    )
    def test_link_takes_the_named_address(self, fleet, kind, index, monkeypatch):
        listened = _listened(monkeypatch)
        _links(fleet, kind)
        assert listened == [f'127.0.0.1:{index}']
        assert fleet.hosts[0].bound_addresses == {f'127.0.0.1:{index}': f'127.0.0.2:{index}'}

    def test_connection_that_the_node_would_have_refused(self, fleet, monkeypatch):
        # LOST unread: the link takes connections, and their requests, while the node is down.
        _listened(monkeypatch)
        links = _links(fleet, soak_links.CALLER_LINK)
        monkeypatch.setattr(
            endpoints.TCP4ClientEndpoint, 'connect', lambda *_: defer.fail(error.ConnectError())
        )
        link = links._listener_links[soak_links.CALLER_LINK][0].link
        link.reactor = task.Clock()
        connection = link.buildProtocol(None)
        connection.makeConnection(_Transport())
        link.reactor.advance(0)
        assert fleet.disturbances == [soak_records.Disturbance.NETWORK]

    @pytest.mark.parametrize('to_node', [True, False])
    def test_silence_one_way(self, fleet, monkeypatch, to_node):
        _listened(monkeypatch)
        links = _links(fleet, soak_links.NODE_LINK)
        host_link = links._listener_links[soak_links.NODE_LINK][0]
        events = []
        relay_classes = (standin_link.AcceptedConnection, standin_link.RelayConnection)
        for relay_class in relay_classes:
            connection = relay_class(host_link.link)
            name = relay_class.__name__
            connection.forwarder = types.SimpleNamespace(
                stop_forwarding=functools.partial(events.append, f'silent {name}')
            )
            connection.transport = types.SimpleNamespace(
                abortConnection=functools.partial(events.append, f'reset {name}')
            )
            host_link.link.open_connections.add(connection)
        links._rng = types.SimpleNamespace(choice=lambda _: to_node, uniform=lambda *_: 0)
        links._silence_one_way(host_link)
        name = relay_classes[0 if to_node else 1].__name__
        assert events == [f'silent {name}', f'reset {name}']
        assert fleet.disturbances == [soak_records.Disturbance.NETWORK]


class TestNetworkExcuse:
    """Guards against trouble on a link that excuses more or less than a kill."""

    @pytest.mark.parametrize('node', [0, 1])
    def test_cut_request(self, node):
        records = soak_records.Records()
        soak_examples.answered(records, 0)
        soak_examples.run(records)
        assert soak_examples.broken(records) == ['LOST a1']
        records.disturb(node, soak_examples.STOP_AT, soak_records.Disturbance.NETWORK)
        soak_examples.assert_held(records)

    def test_request_after_a_leave(self):
        records = soak_records.Records()
        records.disturb(1, clock.Milliseconds(11_000), soak_records.Disturbance.NETWORK)
        run = soak_records.Run(1, clock.Milliseconds(12_400))
        records.arrived('a1', run, clock.Milliseconds(10_000))
        assert soak_examples.broken(records) == ['DRAIN a1']


class TestStandstill:
    """Guards against orders that count though the store, a part of the soak, stood still."""

    # EVAC: with 100 nodes at load 100 the process of the soak stood still for up to 11 s.
    @pytest.mark.parametrize(('standstill_ms', 'is_recorded'), [(500, False), (501, True)])
    def test_store_is_disturbed(self, standstill_ms, is_recorded):
        disturbances = []
        fleet = types.SimpleNamespace(
            records=soak_records.Records(),
            _time=types.SimpleNamespace(now=lambda: 1000 + standstill_ms),
            _watched_at=1000,
            _disturb_all=disturbances.append,
        )
        soak_fleet.Fleet._note_standstill(fleet)
        assert disturbances == ([soak_records.Disturbance.STORE] if is_recorded else [])
        assert fleet.records.longest_standstill_ms == standstill_ms


class TestSize:
    """Guards against a fleet that takes the memory of other processes."""

    @pytest.fixture(autouse=True)
    def _memory(self, monkeypatch):
        sizes = {'SC_PHYS_PAGES': 16_000, 'SC_PAGE_SIZE': 1 << 20}
        monkeypatch.setattr(soak_fleet.os, 'sysconf', sizes.__getitem__)

    def test_half_of_the_memory(self):
        assert not soak_fleet.size_problem(160)

    def test_more_than_half_of_the_memory(self):
        problem = '161 nodes of 50 MB exceed half of the memory of this machine, 8000 MB'
        assert soak_fleet.size_problem(161) == problem

    def test_more_nodes_than_addresses(self):
        assert soak_fleet.size_problem(241) == '241 nodes exceed the 240 addresses'


class TestStart:
    """Guards against traffic that begins before the nodes have started."""

    @pytest.mark.parametrize('own_ends', [[], ['host-1 ended by itself']])
    def test_wait_for_all_nodes(self, own_ends):
        reactor = task.Clock()
        hosts = [types.SimpleNamespace(is_starting=True) for _ in range(2)]
        records = soak_records.Records()
        fleet = types.SimpleNamespace(hosts=hosts, records=records, reactor=reactor)
        started = []
        waiting = defer.ensureDeferred(soak_fleet.Fleet.wait_for_start(fleet))
        waiting.addCallback(started.append)
        hosts[0].is_starting = False
        reactor.advance(0.1)
        assert not started
        # A node that ends at its start must not keep the soak from its report.
        records.own_ends += own_ends
        hosts[1].is_starting = bool(own_ends)
        reactor.advance(0.1)
        assert started


def _listened(monkeypatch):
    listened = []

    def listen(link, address):
        listened.append(address)
        return address

    monkeypatch.setattr(standin_link.Link, 'listen', listen)
    return listened


def _links(fleet, kind):
    links = soak_links.Links(fleet, None, frozenset((kind,)))
    for prepare in fleet.before_start:
        prepare()
    return links
