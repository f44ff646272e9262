"""Messages of other nodes with values of a wrong type, as a damaged or foreign process sends."""

from __future__ import annotations

import dataclasses
import math
import random
import socket
import types
from typing import Any

import msgpack
import pytest
from hypothesis import given, strategies
from twisted.internet import task

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.process import beacon, crash_watch, host_choice, peer_table
from anvillug.request import dialect, job, job_wire
from anvillug.version import directives, rollout, rollout_call, rollouts
from tests import damaged, reactor_thread, test_beacon, test_mesh_host, test_mesh_path

mesh = test_mesh_path.mesh

_SERVICE = ids.ServiceName('one')
_ROUTE = ids.RouteName('r')
_SENDER = ids.HostId('peer')
_BYSTANDER = ids.HostId('bystander')
_REPORTER = (_SENDER, ids.Incarnation(100))
_OLD = ids.VersionName('v1')
_NEW = ids.VersionName('v2')
_ORDER = directives.RolloutOrder(_SERVICE, _NEW, 10_000, directives.Position(1, 7))
_BEACON_PORT = 5
_START_MS = 100_000
_REPORT_AGE_MS = 500
# Times at which the state is used after a message, in milliseconds.

_STEPS_MS = (0, 300, 700, 20_000)
_MALFORMED = (ValueError, TypeError, LookupError)

_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(1 << 63), (1 << 64) - 1),
    strategies.floats(),
    strategies.text(max_size=8),
    strategies.binary(max_size=8),
    strategies.lists(strategies.integers(0, 5), max_size=3),
    strategies.dictionaries(strategies.text(max_size=2), strategies.integers(0, 3), max_size=2),
)


def _damaged(message: object) -> strategies.SearchStrategy[Any]:
    """Return messages in which a value at any depth is replaced or removed."""
    return damaged.content(msgpack.unpackb(msgpack.packb(message)), _VALUES)


class _Receiver:
    """Beacons of a node that knows two others."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(_START_MS)
        self.table = peer_table.PeerTable(ids.HostId('own'), self.time)
        self.reactor = task.Clock()
        self.extra_states: list[object] = []
        self.beacons = beacon.BeaconTask(
            self.reactor,
            self.time,
            lambda: test_beacon.announcement(host_id='own'),
            self.table,
            dict,
            dict,
            lambda _, extra_state: self.extra_states.append(extra_state),
            lambda: beacon.Need.NONE,
            lambda *_: {},
        )
        self.beacons.transport = types.SimpleNamespace(write=lambda *_: None)
        for name in (_SENDER, _BYSTANDER):
            self.receive(_encoded(name))
        self.beacons.start()

    def receive(self, datagram: bytes) -> None:
        self.beacons.datagramReceived(datagram, ('10.0.0.2', 70))

    def use(self) -> None:
        """Use what is known as a node does."""
        for step_ms in _STEPS_MS:
            self.time.advance(step_ms)
            self.reactor.advance(clock.to_seconds(step_ms))
            now = self.time.now()
            self.table.live_by_zone()
            origin = host_choice.Origin(ids.ZoneName('z'), 1)
            host_choice.choose(self.table.of_service(_SERVICE), origin, now, random.Random(1))
            for peer in self.table.by_host_id.values():
                host, _, port = peer.announcement.peer_address.rpartition(':')
                assert (type(host), int(port) > 0) == (str, True)


def _encoded(name: str) -> bytes:
    return beacon.encode(test_beacon.announcement(host_id=ids.HostId(name)), {'s': [1]})


class TestBeacons:
    """Guards against tasks that end, and nodes that are forgotten, after a damaged beacon."""

    @given(
        content=strategies.one_of(
            _damaged(msgpack.unpackb(_encoded(_SENDER))),
            _damaged(msgpack.unpackb(_encoded('new'))),
            _damaged(msgpack.unpackb(beacon.encode_load(test_beacon.announcement(sequence=2)))),
        )
    )
    def test_node_goes_on(self, content):
        receiver = _Receiver()
        receiver.receive(msgpack.packb(content))
        assert all(isinstance(extra_state, dict) for extra_state in receiver.extra_states)
        receiver.use()
        assert _BYSTANDER in receiver.table.by_host_id

    @given(datagram=strategies.binary(max_size=60))
    def test_arbitrary_bytes_change_nothing(self, datagram):
        receiver = _Receiver()
        known = dict(receiver.table.by_host_id)
        receiver.receive(datagram)
        receiver.use()
        assert receiver.table.by_host_id == known


class _Rollout:
    """A node with a rollout in progress that other nodes report on."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(_START_MS)
        self.rollouts = rollouts.Rollouts(self.time, rollout.Exposure(0.1, 50), lambda: None)
        self.rollouts.apply_orders(
            directives.Directives(rollouts_by_service={_SERVICE: _ORDER}),
        )
        for version in (_OLD, _NEW):
            self.rollouts.record(
                rollout_call.Call(_SERVICE, _ROUTE, _SENDER, version, 60, 100, 200)
            )

    @property
    def current(self) -> rollout.Rollout:
        return self.rollouts.by_service[_SERVICE]


def _report() -> dict[str, Any]:
    """Return the report of a node whose rollout began before that of the receiver."""
    setup = _Rollout()
    setup.time.advance(_REPORT_AGE_MS)
    return setup.rollouts.encode_report()


class TestRolloutReports:
    """Guards against rollouts that can't go on after a damaged report."""

    @given(content=_damaged(_report()))
    def test_rollout_goes_on(self, content):
        setup = _Rollout()
        before = (setup.current.started_at, setup.current.phase)
        try:
            setup.rollouts.receive_report(_REPORTER, content)
        except _MALFORMED:
            assert (setup.current.started_at, setup.current.phase) == before
        for step_ms in _STEPS_MS:
            setup.time.advance(step_ms)
            setup.rollouts.step()
            setup.rollouts.encode_report()
        total = setup.current.evidence.total.new
        assert {type(count) for count in (total.calls, total.failed, total.slow)} == {int}


class TestCrashEntries:
    """Guards against requests that can't be checked for suspicion after a damaged entry."""

    @given(content=_damaged([['f1', ['a.1.1', 'b.1.1'], 0, 60_000], ['f2', [], 1, 1]]))
    def test_check_goes_on(self, content):
        time = clock.ManualClock(_START_MS)
        watch = crash_watch.CrashWatch(ids.HostId('own'), ids.Incarnation(1), time)
        try:
            watch.merge_entries(content)
        except _MALFORMED:
            assert not watch.encode_entries()
        for step_ms in _STEPS_MS:
            time.advance(step_ms)
            msgpack.packb(watch.encode_entries())
            watch.rejection_reason(
                watch.identify(test_mesh_host.job_at(time), ids.ServiceName('two'))
            )


def _job() -> job.Job:
    work = test_mesh_host.job_at(clock.ManualClock(_START_MS))
    work.head = http_head.RequestHead(b'GET', b'/', [(b'Host', b'a')])
    return work


_RESULT = job.Result(
    job.ResultKind.ANSWERED,
    head=http_head.ResponseHead(200, [(b'Content-Length', b'2')]),
    body=b'ok',
    load=dialect.ReportedLoad(1, 2, 3, 100.0),
    retry_after_ms=120.0,
)
_RECORDS = {'config': directives.Record(directives.Position(1, 1), b'{}')}


class TestJobs:
    """Guards against jobs and results that fail after they were accepted."""

    @given(content=_damaged(msgpack.unpackb(job_wire.pack_job(_job(), _START_MS))))
    def test_job_has_usable_values(self, content):
        try:
            work = job_wire.unpack_job(msgpack.packb(content), clock.Milliseconds(_START_MS))
        except job_wire.MalformedError:
            return
        http_head.serialize_request(work.head)
        hash(''.join((work.attempt_id, work.service, work.route, work.instance)))
        assert (type(work.body), type(work.repeatable), type(work.must_accept)) == (
            bytes,
            bool,
            bool,
        )
        assert (math.isfinite(work.deadline), type(work.priority)) == (True, int)
        assert work.position >= directives.ORIGIN or work.position < directives.ORIGIN

    # Guards against an answer that is lost since its status is unusual.
    @pytest.mark.parametrize('status', [200, 299, 599])
    def test_each_status_of_a_backend_server_is_passed_on(self, status):
        sent = dataclasses.replace(_RESULT, head=http_head.ResponseHead(status, [], b'x'))
        assert job_wire.unpack_result(job_wire.pack_result(sent)) == sent

    # Nodes of earlier releases reject a further field.
    def test_result_without_a_wait_has_the_earlier_fields(self):
        sent = dataclasses.replace(_RESULT, retry_after_ms=0)
        assert len(msgpack.unpackb(job_wire.pack_result(sent))) == 6
        assert job_wire.unpack_result(job_wire.pack_result(sent)) == sent

    # Guards against an answer that is none (MIXED).
    @pytest.mark.parametrize('status', [0, 99, 600, 999])
    def test_status_outside_http_is_malformed(self, status):
        sent = dataclasses.replace(_RESULT, head=http_head.ResponseHead(status, [], b'x'))
        with pytest.raises(job_wire.MalformedError):
            job_wire.unpack_result(job_wire.pack_result(sent))

    @given(content=_damaged(msgpack.unpackb(job_wire.pack_result(_RESULT))))
    def test_result_has_usable_values(self, content):
        try:
            result = job_wire.unpack_result(msgpack.packb(content))
        except job_wire.MalformedError:
            return
        values = (type(result.reason), type(result.body), 0 <= result.retry_after_ms < math.inf)
        assert values == (str, bytes, True)
        assert result.position >= directives.ORIGIN or result.position < directives.ORIGIN
        if result.head is not None:
            assert 100 <= result.head.status < 600
            http_head.serialize_response(result.head)
        if result.load is not None:
            assert result.load.running + result.load.waiting >= 0
            assert result.load.slowness + result.load.fault_share >= 0

    @given(
        content=_damaged(
            msgpack.unpackb(
                job_wire.pack_directives(
                    directives.Directives(position=directives.Position(1, 1), records=_RECORDS)
                )
            )
        )
    )
    def test_directives_have_usable_values(self, content):
        try:
            records, position = job_wire.unpack_directives(msgpack.packb(content))
        except job_wire.MalformedError:
            return
        assert position >= directives.ORIGIN or position < directives.ORIGIN
        for key, record in (records or {}).items():
            assert (type(key), type(record.value)) == (str, bytes)


class TestNode:
    """Guards against a node that stops at the first damaged part of a beacon."""

    def test_each_part_is_rejected_by_itself(self, mesh):
        ip = test_mesh_path._IPS[0]  # noqa: SLF001
        sender = test_beacon.announcement(host_id=ids.HostId('other'), service='other')
        datagram = beacon.encode(sender, {'r': {'one': 5}, 'c': [['f1', 1, 2, 3]], 'l': 'x'})
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sending:
            for damaged in (datagram, datagram[:-1]):
                sending.sendto(damaged, (ip, mesh.ports[_BEACON_PORT]))
        reactor_thread.eventually(lambda: mesh.log_count(0, 'event=beacon_malformed') == 1)
        for event in (
            'event=beacon_state_malformed peer=other topic=r',
            'event=beacon_state_malformed peer=other topic=c',
            'event=peer_leaves_malformed peer=other',
        ):
            assert mesh.log_count(0, event) == 1
        assert not mesh.log_count(0, 'level=error')
        assert mesh.status('/get/x') == 200
