"""Attempts of the entry side of a mesh node at nodes that time out or restart."""

from __future__ import annotations

import re
import types
import weakref
from unittest import mock

import pytest
from twisted.internet import testing

from anvillug import clock, ids
from anvillug.connection import http_head, http_server, memory_account
from anvillug.platform import headers
from anvillug.process import mesh_entry, metrics, peer_table
from anvillug.request import access, dialect, job, job_wire
from anvillug.version import directives, rollout, rollout_call, rollout_counts, rollouts
from tests import test_bad_input, test_beacon, test_mesh_host

_SERVICE = ids.ServiceName('one')
_ZONE = ids.ZoneName('z')
_TIMEOUT_MS = 600
_OBJECTIVE_MS = 200.0
_ROUTE = ids.RouteName('r')
_HOST = ids.HostId('b')
_OLD = ids.VersionName('v1')
_NEW = ids.VersionName('v2')
_FORMER_PROCESS = ids.Incarnation(100)
_NEW_PROCESS = ids.Incarnation(200)
_MEMORY_BYTES = 1 << 20
_ANSWERED = job.Result(job.ResultKind.ANSWERED, head=http_head.ResponseHead(200, []))
_WILLING = job.Result(job.ResultKind.WILLING)


class _EntrySide:
    """Entry side of a node without a backend server, and one call."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(10_000)
        self.peers = peer_table.PeerTable(ids.HostId('h'), self.time)
        self.rollouts = rollouts.Rollouts(self.time, rollout.Exposure(0.1, 50), lambda: None)
        self.results: list[job.Result] = []
        self.reactor = testing.MemoryReactorClock()
        self.entry = mesh_entry.MeshEntry(
            self.reactor,
            self.time,
            test_mesh_host.settings(),
            directives.ActiveDirectives(lambda records, position, previous: previous),
            self.peers,
            types.SimpleNamespace(running=0),
            headers.PlatformDialect(),
            self.rollouts,
            metrics.Metrics(dict),
            lambda: test_beacon.announcement(host_id='h', service='none'),
            memory_account.MemoryAccount(_MEMORY_BYTES, self.time),
            lambda position: None,
        )
        self.call = types.SimpleNamespace(
            tries=1,
            service=_SERVICE,
            route=types.SimpleNamespace(target_latency_ms=_OBJECTIVE_MS),
            attempted_hosts=set(),
            version_draw=0.5,
            attributes=types.SimpleNamespace(attempt_id='a1'),
        )

    def receive_beacon(self, name: str, **changes: object) -> None:
        self.peers.receive_announcement(
            test_beacon.announcement(
                host_id=name, zone=_ZONE, sequence=int(self.time.now()), **changes
            )
        )

    def send_job(self, *, repeatable: bool = True) -> None:
        work = test_mesh_host.job_at(self.time, repeatable=repeatable)
        self.cancel = self.entry.start(self.call, work, self.results.append)

    def respond(self, result: job.Result, incarnation: ids.Incarnation) -> bytes:
        """Respond to the newest request as a process of the peer; return what is sent after it."""
        connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
        transport = test_bad_input.make_transport()
        connection.makeConnection(transport)
        transport.clear()
        head = b'HTTP/1.1 200 OK\r\nAnvillug-Incarnation: %d\r\nContent-Length: %d\r\n\r\n'
        body = job_wire.pack_result(result)
        connection.dataReceived(head % (incarnation, len(body)) + body)
        return transport.value()

    @property
    def new_counts(self) -> rollout_counts.Counts:
        evidence = self.rollouts.by_service[_SERVICE].evidence
        return evidence.total.new

    @property
    def outcomes(self) -> list[tuple[job.ResultKind, str]]:
        return [(result.kind, result.reason) for result in self.results]


@pytest.fixture
def entry_side():
    """Return an entry side that has sent a job to its only peer."""
    entry_side = _EntrySide()
    entry_side.receive_beacon('a')
    entry_side.send_job()
    return entry_side


class TestTimedOutNode:
    """Guards against error responses to requests that a backend server is still executing."""

    def test_attempt_stays_pending(self, entry_side):
        entry_side.time.advance(_TIMEOUT_MS)
        entry_side.entry.abort_lost_attempts()
        assert not entry_side.results

    def test_available_host_is_faster(self, entry_side):
        entry_side.time.advance(_TIMEOUT_MS)
        entry_side.receive_beacon('b')
        assert entry_side.entry.has_faster_host(entry_side.call)

    def test_other_timed_out_host_is_not_faster(self, entry_side):
        entry_side.receive_beacon('b')
        entry_side.time.advance(_TIMEOUT_MS)
        assert not entry_side.entry.has_faster_host(entry_side.call)

    def test_no_faster_host_while_beacons_arrive(self, entry_side):
        entry_side.time.advance(_TIMEOUT_MS)
        for name in 'ab':
            entry_side.receive_beacon(name)
        assert not entry_side.entry.has_faster_host(entry_side.call)


class TestFailedRecord:
    """Guards against a failure to count an attempt that costs its caller the answer."""

    def test_result_is_reported(self, entry_side, monkeypatch):
        monkeypatch.setattr(entry_side.entry._metrics, 'count', _fail)  # noqa: SLF001
        attempt = next(iter(entry_side.entry._pending_attempts))  # noqa: SLF001
        failed = job.Result(job.ResultKind.UNKNOWN, 'lost', node_failed=True)
        with pytest.raises(ZeroDivisionError):
            attempt.result(failed)
        assert entry_side.outcomes == [(job.ResultKind.UNKNOWN, 'lost')]
        assert attempt.peer.avoid_until > entry_side.time.now()


class TestEndedAttempt:
    """Guards against attempts that hold their requests after they have ended."""

    @pytest.fixture
    def attempt(self, entry_side, collector_disabled):
        """Return a reference to the attempt that the entry side has begun."""
        return weakref.ref(next(iter(entry_side.entry._pending_attempts)))  # noqa: SLF001

    def test_answered_attempt_is_freed(self, entry_side, attempt):
        entry_side.respond(_ANSWERED, _NEW_PROCESS)
        entry_side.cancel = None
        assert attempt() is None
        assert entry_side.outcomes == [(job.ResultKind.ANSWERED, '')]

    def test_cancelled_attempt_is_freed(self, entry_side, attempt):
        entry_side.cancel()
        entry_side.cancel = None
        entry_side.reactor.tcpClients.clear()
        assert attempt() is None

    @pytest.mark.parametrize('is_answered', [False, True])
    def test_attempt_with_an_inquiry_is_freed(self, entry_side, collector_disabled, is_answered):
        entry_side.cancel()
        entry_side.receive_beacon('b')
        entry_side.send_job(repeatable=False)
        attempt = weakref.ref(next(iter(entry_side.entry._pending_attempts)))  # noqa: SLF001
        if is_answered:
            entry_side.respond(job.Result(job.ResultKind.REFUSED, 'full'), _NEW_PROCESS)
        else:
            entry_side.reactor.advance(1)
        entry_side.cancel = None
        entry_side.reactor.tcpClients.clear()
        assert attempt() is None
        assert len(entry_side.results) == 1


class TestRejections:
    """Guards against rejections that no tenant's count shows, and against other calls in it."""

    @pytest.mark.parametrize(
        ('status', 'refusal', 'kinds'),
        [
            (401, access.Refusal.UNKNOWN_KEY, ['unknown key']),
            (503, None, ['503']),
            (503, access.Refusal.NO_RECENT_WORD, ['no recent word of the log']),
            (200, None, []),
        ],
    )
    def test_counted_by_tenant(self, entry_side, monkeypatch, status, refusal, kinds):
        counted = mock.Mock()
        monkeypatch.setattr(entry_side.entry._metrics, 'count_of_tenant', counted)  # noqa: SLF001
        call = mock.MagicMock(started_at=0, tenant='t', refusal=refusal, is_rejected=bool(kinds))
        entry_side.entry.call_ended(call, status, '')
        assert counted.mock_calls == [mock.call('tenant_rejections', 't', kind) for kind in kinds]


def _fail(*arguments: object) -> None:
    raise ZeroDivisionError


class TestRestartedNode:
    """Guards against waiting for the response of a process that has ended."""

    @pytest.mark.parametrize('repeatable', [False, True])
    def test_outcome_is_unknown(self, repeatable):
        entry_side = _EntrySide()
        entry_side.receive_beacon('a', incarnation=_FORMER_PROCESS)
        entry_side.send_job(repeatable=repeatable)
        if not repeatable:
            # Such a job is sent once an inquiry was accepted.
            entry_side.respond(_WILLING, _FORMER_PROCESS)
        entry_side.time.advance(_TIMEOUT_MS)
        entry_side.receive_beacon('a', incarnation=_NEW_PROCESS)
        entry_side.entry.abort_lost_attempts()
        assert entry_side.outcomes == [(job.ResultKind.UNKNOWN, 'node: restarted')]
        assert not entry_side.peers.by_host_id['a'].outstanding

    def test_job_sent_to_the_new_process_stays_pending(self, entry_side):
        entry_side.time.advance(_TIMEOUT_MS)
        entry_side.receive_beacon('a', incarnation=_NEW_PROCESS)
        entry_side.entry.abort_lost_attempts()
        entry_side.send_job()
        entry_side.entry.abort_lost_attempts()
        assert len(entry_side.results) == 1


class TestInquiryBesideARestart:
    """Guards against giving up a job that the new process of a node is running."""

    @pytest.fixture
    def entry_side(self):
        """Return an entry side that sent an inquiry while no beacon came from its only peer."""
        entry_side = _EntrySide()
        entry_side.receive_beacon('a', incarnation=_FORMER_PROCESS)
        entry_side.time.advance(_TIMEOUT_MS)
        entry_side.send_job(repeatable=False)
        return entry_side

    # Guards against "node: restarted" as the first beacon of the new process is read after the
    # response to the inquiry (soak seed 9411).
    def test_job_that_the_new_process_accepted_stays_pending(self, entry_side):
        assert job_wire.RUN_PATH in entry_side.respond(_WILLING, _NEW_PROCESS)
        entry_side.entry.abort_lost_attempts()
        entry_side.receive_beacon('a', incarnation=_NEW_PROCESS)
        entry_side.entry.abort_lost_attempts()
        assert not entry_side.results

    def test_job_that_the_former_process_accepted_is_lost(self, entry_side):
        entry_side.receive_beacon('a', incarnation=_NEW_PROCESS)
        entry_side.respond(_WILLING, _FORMER_PROCESS)
        entry_side.entry.abort_lost_attempts()
        assert entry_side.outcomes == [(job.ResultKind.UNKNOWN, 'node: restarted')]

    def test_job_that_waits_for_the_inquiry_has_not_run(self, entry_side):
        entry_side.receive_beacon('a', incarnation=_NEW_PROCESS)
        entry_side.entry.abort_lost_attempts()
        assert not entry_side.results
        entry_side.reactor.advance(0.1)
        assert entry_side.outcomes == [(job.ResultKind.REFUSED, 'node: silent')]


class TestPools:
    """Guards against connections that are kept for each address that a node has ever had."""

    def test_pool_of_a_forgotten_address_is_closed(self):
        entry_side = _EntrySide()
        entry_side.receive_beacon('a', peer_address='10.0.0.1:80')
        former = entry_side.entry.pool('10.0.0.1:80')
        used = entry_side.entry.pool('10.0.0.2:80')
        entry_side.time.advance(1)
        entry_side.receive_beacon('a', peer_address='10.0.0.2:80')
        entry_side.entry.pool('10.0.0.3:80')
        assert entry_side.entry.pool('10.0.0.2:80') is used
        assert entry_side.entry.pool('10.0.0.1:80') is not former
        failures = []
        former.acquire(lambda _: None, lambda: failures.append('closed'))
        assert failures == ['closed']


class TestVersionOfCall:
    """Guards against sending calls that the old version rejects to an untrusted version."""

    @pytest.mark.parametrize(('draw', 'attempted_hosts'), [(0.9, {'old'}), (0.0, {'new', 'old'})])
    def test_only_calls_to_the_new_version_fall_back_to_the_old_one(self, draw, attempted_hosts):
        entry_side = _EntrySide()
        order = directives.RolloutOrder(_SERVICE, _NEW, 10_000, 7)
        entry_side.rollouts.apply_orders(
            directives.Directives(rollouts_by_service={_SERVICE: order})
        )
        entry_side.call.version_draw = draw
        entry_side.receive_beacon('old', version=_OLD)
        entry_side.receive_beacon('new', version=_NEW)
        for _ in range(200):
            entry_side.send_job()
        assert entry_side.call.attempted_hosts == attempted_hosts


class TestRolloutEvidence:
    """Guards against slow calls not being counted since they are cancelled before they end."""

    @pytest.fixture
    def entry_side(self):
        """Return an entry side that has sent a job to a host with the new version."""
        entry_side = _EntrySide()
        order = directives.RolloutOrder(_SERVICE, _NEW, 10_000, 7)
        entry_side.rollouts.apply_orders(
            directives.Directives(rollouts_by_service={_SERVICE: order})
        )
        for _ in range(10):
            entry_side.rollouts.record(
                rollout_call.Call(_SERVICE, _ROUTE, _HOST, _OLD, 60, 100, _OBJECTIVE_MS)
            )
        entry_side.rollouts.shift(entry_side.rollouts.by_service[_SERVICE])
        entry_side.receive_beacon('a', version=_NEW)
        entry_side.send_job()
        return entry_side

    def test_typical_latency_is_not_counted(self, entry_side):
        entry_side.time.advance(110)
        entry_side.entry.count_overdue()
        assert not entry_side.new_counts.calls

    def test_cancelled_call_is_counted_once(self, entry_side):
        for _ in range(5):
            entry_side.time.advance(100)
            entry_side.entry.count_overdue()
        entry_side.cancel()
        assert (entry_side.new_counts.calls, entry_side.new_counts.slow) == (1, 1)

    def test_result_of_a_counted_call_is_not_counted_again(self, entry_side):
        entry_side.time.advance(500)
        entry_side.entry.count_overdue()
        entry_side.receive_beacon('a', version=_NEW, incarnation=_NEW_PROCESS)
        entry_side.entry.abort_lost_attempts()
        assert (entry_side.new_counts.calls, entry_side.new_counts.slow) == (1, 1)

    def test_call_on_a_slow_host_is_not_counted(self, entry_side):
        entry_side.time.advance(50)
        entry_side.receive_beacon('a', version=_NEW, load=dialect.ReportedLoad(1, 0, 9, 700.0))
        entry_side.time.advance(250)
        entry_side.entry.count_overdue()
        assert not entry_side.new_counts.calls


class TestRejectedBody:
    """Guards against requests that are lost behind one that a node rejects before its body came."""

    # Guards against a close after each rejection whose body comes in a later segment.
    @pytest.mark.parametrize('stops', [False, True])
    def test_rejection_keeps_the_connection(self, stops):
        entry = _EntrySide().entry
        entry.closed = stops
        transport = _receive(entry.request_received, *_split(b'/1'), *_split(b'/2'))
        assert transport.value().count(b'HTTP/1.1 503') == 2
        assert b'Connection: close' not in transport.value()

    # Guards against requests that wait behind it until those ahead are answered, and are dropped.
    def test_requests_sent_behind_it_are_answered(self):
        entry = _EntrySide().entry
        entry.closed = True
        first = []
        transport = _receive(
            lambda exchange: (entry.request_received if first else first.append)(exchange),
            *_split(b'/1'),
            *_split(b'/2'),
            *_split(b'/3'),
        )
        first[0].respond(200)
        assert re.findall(rb'HTTP/1.1 (\d+)', transport.value()) == [b'200', b'503', b'503']


def _split(target: bytes) -> tuple[bytes, bytes]:
    """Return a request whose body comes in a segment of its own."""
    head = b'POST %b HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n' % target
    return head, b'ab'


def _receive(on_request, *segments: bytes) -> testing.StringTransport:
    """Receive the segments on a connection whose requests may overlap."""
    connection = http_server.ServerConnection(on_request, 65536, set(), lambda head: True)
    transport = test_bad_input.make_transport()
    connection.makeConnection(transport)
    for segment in segments:
        connection.dataReceived(segment)
    return transport
