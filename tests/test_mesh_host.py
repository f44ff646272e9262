"""Admission of jobs to the backend server by the host side."""

from __future__ import annotations

from unittest import mock

import pytest
from twisted.internet import testing

from anvillug import clock, ids
from anvillug.connection import http_client, http_head
from anvillug.platform import headers
from anvillug.process import crash_watch, mesh_host, mesh_settings, metrics, upstream
from anvillug.request import dialect, job
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
    probes_per_second=60,
)
_STEP_MS = 5


def settings() -> mesh_settings.MeshSettings:
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


class _HostSide:
    """Host side whose backend server never responds."""

    def __init__(self, cold_ms: float, slots: int = 1000) -> None:
        self.time = clock.ManualClock(10_000)
        self.active_directives = directives.ActiveDirectives(
            lambda records, position, previous: previous
        )
        policy = route_table.ServicePolicy(_SERVICE, b'/health', 100, 3000, _COLD_PER_SECOND)
        limits = route_table.CallerLimits(16384, 1000, 3000, 15000)
        self.active_directives.current = directives.Directives(
            routes=route_table.RouteTable((), (policy,), limits)
        )
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
        self.host = mesh_host.MeshHost(
            testing.MemoryReactorClock(),
            self.time,
            backend,
            self.active_directives,
            headers.PlatformDialect(),
            settings(),
            metrics.Metrics(dict),
            crash_watch.CrashWatch(ids.HostId('h'), ids.Incarnation(1), self.time),
        )

    def report_slowness(self, slowness: float) -> None:
        self.host.upstream.record_load(dialect.ReportedLoad(0, 0, 9, slowness))

    def job(self, *, must_accept: bool = False) -> job.Job:
        return job_at(self.time, must_accept=must_accept)

    def rejection_reason(self, *, must_accept: bool = False) -> str:
        """Submit a job and return why it was rejected, empty if it was accepted."""
        results: list[job.Result] = []
        self.host.submit(self.job(must_accept=must_accept), results.append)
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
        return _HostSide(cold_ms=60_000)

    def test_rate_stays_within_the_bound_in_every_second(self, host_side):
        bound = _COLD_PER_SECOND * _BOUNDS.cold_factor + _COLD_SLACK
        assert host_side.accepted_in(1000) <= bound
        host_side.time.advance(5000)
        assert host_side.accepted_in(1000) <= bound

    def test_rate_reaches_the_rate_of_the_policy(self, host_side):
        assert host_side.accepted_in(5000) >= 5 * _COLD_PER_SECOND

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
        host_side = _HostSide(cold_ms=0)
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
        host_side = _HostSide(cold_ms=0)
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
        host_side = _HostSide(cold_ms=0, slots=2)
        while not host_side.rejection_reason():
            host_side.time.advance(1)
        assert host_side.host.handle_inquiry(host_side.job()).reason == 'full'

    def test_cold_host_without_tokens_rejects(self):
        host_side = _HostSide(cold_ms=60_000)
        while host_side.rejection_reason() != 'cold':
            host_side.time.advance(1)
        assert host_side.host.handle_inquiry(host_side.job()).reason == 'cold'


class TestSlow:
    """Guards against a slow host starting jobs that it can't complete in time."""

    @pytest.fixture
    def host_side(self):
        host_side = _HostSide(cold_ms=0)
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
