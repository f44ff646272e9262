"""Admission of jobs to the backend server by the host side."""

from __future__ import annotations

from unittest import mock

import pytest
from hypothesis import given, strategies
from twisted.internet import error, testing
from twisted.python import failure

from anvillug import clock, ids
from anvillug.connection import http_client, http_head
from anvillug.platform import headers
from anvillug.process import (
    crash_watch,
    mesh_host,
    mesh_settings,
    metrics,
    sound_word,
    upstream,
)
from anvillug.request import dialect, job, rate_gate, room
from anvillug.version import directives, rollout, route_table

_SERVICE = ids.ServiceName('one')
_INSTANCE = ids.InstanceId('i-1')
_ADDRESS = '127.0.0.1:80'
_COLD_PER_SECOND = 12.0
_COLD_SLACK = 5
_BOUNDS = mesh_settings.Bounds(
    grace_ms=6000,
    retry_ratio=0.2,
    retry_window_ms=10_000,
    retry_slack=60,
    exposure=rollout.Exposure(0.1, 50),
    cold_factor=1.5,
    cold_slack=_COLD_SLACK,
    probes_per_second=60,
)
_STEP_MS = 5


def settings(policy: room.Policy | None = None) -> mesh_settings.MeshSettings:
    """Return the settings of a node."""
    return mesh_settings.MeshSettings(
        host_id=ids.HostId('h'),
        zone=ids.ZoneName('z'),
        ip='127.0.0.1',
        service=_SERVICE,
        backend_address=_ADDRESS,
        caller_address='',
        peer_address='',
        ready_address='',
        control_address='',
        beacon_port=0,
        metrics_port=0,
        store_address='',
        bounds=_BOUNDS,
        room=policy,
    )


def job_at(time: clock.Clock, *, repeatable: bool = True, must_accept: bool = False) -> job.Job:
    """Return a job that has two seconds left."""
    return job.Job(
        attempt_id='a1',
        service=_SERVICE,
        route=ids.RouteName('r'),
        head=http_head.RequestHead(b'GET', b'/', []),
        body=b'',
        deadline=clock.Milliseconds(time.now() + 2000),
        repeatable=repeatable,
        priority=0,
        position=directives.Position(1, 0),
        instance=_INSTANCE,
        must_accept=must_accept,
    )


class _Transport(testing.StringTransportWithDisconnection):
    """Connection to a backend server."""

    protocol = testing.AccumulatingProtocol()

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Ignore the option of a socket."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Ignore the option of a socket."""


class HostSide:
    """Host side whose backend server never responds."""

    def __init__(
        self, cold_ms: float, slots: int = 1000, policy: room.Policy | None = None
    ) -> None:
        self.time = clock.ManualClock(10_000)
        self.reactor = testing.MemoryReactorClock()
        self.last_results: list[job.Result] = []
        self.connections: list[http_client.ClientConnection] = []
        self.active_directives = directives.ActiveDirectives(
            lambda records, position, previous: previous
        )
        service_policy = route_table.ServicePolicy(
            _SERVICE, b'/health', 100, 3000, _COLD_PER_SECOND
        )
        limits = route_table.CallerLimits(16384, 1000, 3000, 15000)
        self.active_directives.current = directives.Directives(
            routes=route_table.RouteTable((), (service_policy,), limits)
        )
        self.word = sound_word.SoundWord(self.time, self.active_directives, 5000)
        backend = upstream.Upstream(_ADDRESS, self.time)
        backend.receive_heartbeat(
            upstream.Heartbeat(
                _INSTANCE,
                _SERVICE,
                _ADDRESS,
                ids.VersionName('v1'),
                slots,
                upstream.UpstreamState.SERVING,
                cold_ms,
                ids.Incarnation(1),
                1,
            )
        )
        self.metrics = metrics.Metrics(dict)
        self.host = mesh_host.MeshHost(
            self.reactor,
            self.time,
            backend,
            self.active_directives,
            headers.PlatformDialect(),
            settings(policy),
            self.metrics,
            crash_watch.CrashWatch(ids.HostId('h'), ids.Incarnation(1), self.time),
            self.word,
        )

    def report_slowness(self, slowness: float) -> None:
        self.host.upstream.record_load(dialect.ReportedLoad(0, 0, 9, slowness))

    def job(self, *, must_accept: bool = False) -> job.Job:
        return job_at(self.time, must_accept=must_accept)

    def submit_all(self, count: int) -> list[job.Result]:
        """Submit jobs and return the list to which their results are added."""
        for _ in range(count):
            self.host.submit(self.job(), self.last_results.append)
        return self.last_results

    def connect(self) -> None:
        """Open the connections to the backend server."""
        for *_, factory, _, _ in self.reactor.tcpClients:
            connection = factory.buildProtocol(None)
            connection.makeConnection(_Transport())
            self.connections.append(connection)

    def reset(self, index: int) -> None:
        """Reset a connection."""
        self.connections[index].connectionLost(failure.Failure(error.ConnectionLost()))

    def respond(self, index: int) -> None:
        """Send the response of the backend server on a connection."""
        self.connections[index].dataReceived(
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nAnvillug-Attempt-Id: a1\r\n'
            b'Anvillug-Server-Seal: s\r\n\r\n'
        )

    def rejection_reason(self, *, must_accept: bool = False, tenant: str = '') -> str:
        """Submit a job and return why it was rejected, empty if it was accepted."""
        results: list[job.Result] = []
        work = self.job(must_accept=must_accept)
        work.tenant = ids.TenantName(tenant)
        self.host.submit(work, results.append)
        return results[0].reason if results else ''

    def accepted_in(self, duration_ms: int) -> int:
        """Submit jobs at short intervals and return how many were accepted."""
        accepted_count = 0
        for _ in range(0, duration_ms, _STEP_MS):
            self.time.advance(_STEP_MS)
            accepted_count += not self.rejection_reason()
        return accepted_count


class TestCold:
    """Guards against overloading cold backend servers and against leaving them idle."""

    @pytest.fixture
    def host_side(self):
        return HostSide(cold_ms=60_000)

    def test_rate_stays_within_the_bound_in_every_second(self, host_side):
        bound = _COLD_PER_SECOND * _BOUNDS.cold_factor + _COLD_SLACK
        assert host_side.accepted_in(1000) <= bound
        host_side.time.advance(5000)
        assert host_side.accepted_in(1000) <= bound

    def test_rate_reaches_the_rate_of_the_policy(self, host_side):
        assert host_side.accepted_in(5000) >= 5 * _COLD_PER_SECOND

    def test_most_of_the_bound_is_used_when_all_hosts_are_cold(self, host_side):
        bound = _COLD_PER_SECOND * _BOUNDS.cold_factor + _COLD_SLACK
        assert host_side.accepted_in(5000) >= 0.75 * 5 * bound

    @given(
        strategies.floats(2, 500),
        strategies.lists(strategies.floats(0, 400), min_size=1, max_size=200),
    )
    def test_no_second_has_more_than_the_count(self, count, pauses):
        gate = rate_gate.RateGate(0.1)
        rate = rate_gate.rate_within(count, 0.1)
        now = clock.Milliseconds(10_000)
        taken = []
        for pause in pauses:
            now = clock.Milliseconds(now + pause)
            while gate.take(rate, now):
                taken.append(now)
        for start in taken:
            assert sum(start <= moment < start + 1000 for moment in taken) <= count

    def test_slowness_of_a_cold_start_is_no_reason_to_reject(self, host_side):
        host_side.report_slowness(200)
        assert host_side.rejection_reason() != 'slow'
        host_side.report_slowness(500)
        assert host_side.rejection_reason() == 'slow'

    def test_inquiry_spends_no_token(self, host_side):
        host_side.time.advance(1000)
        for _ in range(100):
            assert host_side.host.handle_inquiry(host_side.job()).kind is job.ResultKind.WILLING
        assert not host_side.rejection_reason()


class TestRunListeners:
    """Guards against usage that counts requests which the backend server has not run."""

    @pytest.mark.parametrize('kind', [job.ResultKind.SHED, job.ResultKind.UNKNOWN])
    def test_sent_request_is_counted_unless_it_has_not_run(self, kind):
        host_side = HostSide(cold_ms=0)
        sent: list[tuple[job.Job, float]] = []
        not_begun: list[tuple[job.Job, float]] = []
        host_side.host.on_run_sent = lambda *run: sent.append(run)
        host_side.host.on_run_not_begun = lambda *run: not_begun.append(run)
        work = host_side.job()
        host_side.host.submit(work, lambda _: None)
        assert not sent
        run = next(iter(host_side.host._runs))  # noqa: SLF001
        run._connected(mock.MagicMock(requests_sent=0))  # noqa: SLF001
        run._finish(job.Result(kind))  # noqa: SLF001
        assert sent == [(work, host_side.time.now())]
        assert not_begun == (sent if kind is job.ResultKind.SHED else [])


class TestFailedRecord:
    """Guards against a failure to count a run that costs its caller the answer."""

    def test_result_is_reported(self, monkeypatch):
        host_side = HostSide(cold_ms=0)
        results: list[job.Result] = []
        host_side.host.submit(host_side.job(), results.append)
        monkeypatch.setattr(host_side.host._metrics, 'count', _fail)  # noqa: SLF001
        run = next(iter(host_side.host._runs))  # noqa: SLF001
        with pytest.raises(ZeroDivisionError):
            run.response_failed(http_client.ClientFailure.LOST)
        assert [result.kind for result in results] == [job.ResultKind.UNKNOWN]
        assert host_side.host.running == 0


def _fail(*arguments: object) -> None:
    raise ZeroDivisionError


class TestInquiry:
    """Guards against sending bodies to a host that rejects them."""

    def test_full_host_rejects(self):
        host_side = HostSide(cold_ms=0, slots=2)
        while not host_side.rejection_reason():
            host_side.time.advance(1)
        assert host_side.host.handle_inquiry(host_side.job()).reason == 'full'

    def test_cold_host_without_tokens_rejects(self):
        host_side = HostSide(cold_ms=60_000)
        while host_side.rejection_reason() != 'cold':
            host_side.time.advance(1)
        rejected = host_side.host.handle_inquiry(host_side.job())
        assert rejected.reason == 'cold'
        # After a restart of all, callers that come back while the hosts are cold would crowd out
        # the new ones.
        assert rejected.retry_after_ms > 50_000


class TestSlow:
    """Guards against a slow host starting jobs that it can't complete in time."""

    @pytest.fixture
    def host_side(self):
        host_side = HostSide(cold_ms=0)
        for _ in range(30):
            host_side.host._faults.record_response(  # noqa: SLF001 - record past runs
                ids.RouteName('r'), 400, 100, host_side.time.now()
            )
        return host_side

    def test_slow_host_rejects(self, host_side):
        host_side.report_slowness(400)
        assert host_side.rejection_reason() == 'slow'

    def test_job_rejected_by_other_hosts_runs_if_it_can_complete(self, host_side):
        host_side.report_slowness(400)
        assert not host_side.rejection_reason(must_accept=True)

    def test_job_that_would_miss_its_deadline_is_rejected(self, host_side):
        host_side.report_slowness(700)
        assert host_side.rejection_reason(must_accept=True) == 'too slow'


class TestRoom:
    """Guards against jobs that wait at the node without an outcome, or that run after all."""

    @pytest.fixture
    def host_side(self):
        side = HostSide(cold_ms=0, slots=_ROOM_SLOTS, policy=room.Policy())
        side.host.pool()
        # Runs of a previous process are assumed no longer.
        side.time.advance(1001)
        return side

    def test_jobs_beyond_the_slots_wait_and_are_reported(self, host_side):
        results = host_side.submit_all(_ROOM_SLOTS + 1)
        assert not results
        assert host_side.host.room_gauges()['jobs_waiting'] == 1
        assert host_side.host.running == _ROOM_SLOTS + 1
        host_side.report_slowness(100)
        assert host_side.host.load.waiting == 1

    def test_rejections_count_by_tenant(self, host_side, monkeypatch):
        counted = mock.Mock()
        monkeypatch.setattr(host_side.metrics, 'count_of_tenant', counted)
        position = host_side.active_directives.current.position
        host_side.word.read_succeeded(host_side.time.now(), position)
        reasons = [host_side.rejection_reason(tenant='t') for _ in range(100)]
        rejected = [reason for reason in reasons if reason]
        assert rejected
        name = 'tenant_room_rejections'
        assert counted.mock_calls == [mock.call(name, 't', reason) for reason in rejected]

    def test_cancelled_run_makes_room_and_cancelled_wait_no_trace(self, host_side):
        results: list[job.Result] = []
        cancels = [
            host_side.host.submit(host_side.job(), results.append) for _ in range(_ROOM_SLOTS + 2)
        ]
        cancels[-1]()
        assert host_side.host.room_gauges()['jobs_waiting'] == 1
        cancels[0]()
        assert host_side.host.room_gauges()['jobs_waiting'] == 0
        cancels[1]()
        assert host_side.host.running == _ROOM_SLOTS - 1
        assert not results

    def test_waiting_jobs_are_not_run_once_the_server_is_lost(self, host_side):
        results = host_side.submit_all(_ROOM_SLOTS + 2)
        host_side.host.backend_lost('test')
        assert [result.kind for result in results] == [
            job.ResultKind.REFUSED,
            job.ResultKind.REFUSED,
        ]
        assert host_side.host.running == _ROOM_SLOTS

    def test_wait_ends_by_time_and_tells_the_expected_wait(self, host_side):
        results = host_side.submit_all(_ROOM_SLOTS + 1)
        host_side.time.advance(1500)
        host_side.reactor.advance(1.5)
        assert [result.reason for result in results] == ['waited too long']
        assert results[0].retry_after_ms > 0

    def test_waiting_job_is_checked_again_before_it_runs(self, host_side):
        results: list[job.Result] = []
        cancel = host_side.host.submit(host_side.job(), results.append)
        host_side.submit_all(_ROOM_SLOTS)
        waiting = host_side.host.running - _ROOM_SLOTS
        assert waiting == 1
        host_side.host.closed = True
        cancel()
        assert host_side.host.running == _ROOM_SLOTS - 1
        assert host_side.last_results[0].reason == 'node is stopping'

    def test_without_a_policy_jobs_wait_in_the_backend_server(self):
        host_side = HostSide(cold_ms=0, slots=10)
        reasons = {result.reason for result in host_side.submit_all(20)}
        assert reasons == {'full'}
        assert host_side.host.running == 14
        assert not host_side.host.room_gauges()


class TestLearnedRoom:
    """Guards against a backend server that goes on being overfilled, and crashes taken for that."""

    @pytest.fixture
    def host_side(self):
        side = HostSide(cold_ms=0, slots=_ROOM_SLOTS)
        side.submit_all(_ROOM_SLOTS + 2)
        side.connect()
        side.time.advance(1)
        return side

    def test_jobs_wait_at_the_node_once_resets_are_shown(self, host_side):
        host_side.reset(-1)
        host_side.reset(-2)
        host_side.time.advance(10)
        host_side.respond(0)
        assert not host_side.host.room_gauges()['jobs_waiting']
        assert host_side.host.room_gauges()['room_taken'] == _ROOM_SLOTS - 1
        assert [result.kind for result in host_side.last_results] == [
            job.ResultKind.UNKNOWN,
            job.ResultKind.UNKNOWN,
            job.ResultKind.ANSWERED,
        ]

    def test_loss_of_all_connections_shows_nothing(self, host_side):
        for index in range(_ROOM_SLOTS + 2):
            host_side.reset(index)
        assert not host_side.host.room_gauges()


_ROOM_SLOTS = 8
