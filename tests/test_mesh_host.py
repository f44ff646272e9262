"""Which jobs the host side lets its backend server have."""

from __future__ import annotations

import pytest
from twisted.internet import testing

from anvillug import clock, ids
from anvillug.connection import http_head
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


def job_at(time: clock.Clock, *, repeatable: bool = True, insists: bool = False) -> job.Job:
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
        position=directives.Position(0),
        instance=_INSTANCE,
        insists=insists,
    )


class _Trial:
    """Host side whose backend server never answers."""

    def __init__(self, cold_ms: float, slots: int = 1000) -> None:
        self.time = clock.ManualClock(10_000)
        self.board = directives.DirectiveBoard(lambda records, position, former: former)
        policy = route_table.ServicePolicy(_SERVICE, b'/health', 100, 3000, _COLD_PER_SECOND)
        limits = route_table.CallerLimits(16384, 1000, 3000, 15000)
        self.board.current = directives.Directives(
            routes=route_table.RouteTable((), (policy,), limits)
        )
        own = upstream.Upstream(_ADDRESS, self.time)
        own.heard(
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
            own,
            self.board,
            headers.PlatformDialect(),
            settings(),
            metrics.Metrics(dict),
            crash_watch.CrashWatch(ids.HostId('h'), ids.Incarnation(1), self.time),
        )

    def told(self, slowness: float) -> None:
        self.host.upstream.told_load(dialect.ReportedLoad(0, 0, 9, slowness))

    def job(self, *, insists: bool = False) -> job.Job:
        return job_at(self.time, insists=insists)

    def refusal(self, *, insists: bool = False) -> str:
        """Submit a job and return why it was refused, empty where it was taken."""
        results: list[job.Result] = []
        self.host.submit(self.job(insists=insists), results.append)
        return results[0].reason if results else ''

    def taken_in(self, duration_ms: int) -> int:
        """Submit jobs without pause and return how many were taken."""
        taken = 0
        for _ in range(0, duration_ms, _STEP_MS):
            self.time.advance(_STEP_MS)
            taken += not self.refusal()
        return taken


class TestCold:
    """Guards against cold backend servers that crash, and cold ones that are left idle."""

    @pytest.fixture
    def trial(self):
        return _Trial(cold_ms=60_000)

    def test_rate_stays_within_the_bound_in_every_second(self, trial):
        bound = _COLD_PER_SECOND * _BOUNDS.cold_factor + _COLD_SLACK
        assert trial.taken_in(1000) <= bound
        trial.time.advance(5000)
        assert trial.taken_in(1000) <= bound

    def test_rate_uses_what_the_backend_server_can_take(self, trial):
        assert trial.taken_in(5000) >= 5 * _COLD_PER_SECOND

    def test_slowness_of_a_cold_start_is_no_reason_to_hand_back(self, trial):
        trial.told(200)
        assert trial.refusal() != 'slow'
        trial.told(500)
        assert trial.refusal() == 'slow'

    def test_inquiry_spends_nothing(self, trial):
        trial.time.advance(1000)
        for _ in range(100):
            assert trial.host.consider(trial.job()).kind is job.ResultKind.WILLING
        assert not trial.refusal()


class TestInquiry:
    """Guards against bodies that are sent to a host that refuses them."""

    def test_full_host_says_so(self):
        trial = _Trial(cold_ms=0, slots=2)
        while not trial.refusal():
            trial.time.advance(1)
        assert trial.host.consider(trial.job()).reason == 'full'

    def test_cold_host_without_tokens_says_so(self):
        trial = _Trial(cold_ms=60_000)
        while trial.refusal() != 'cold':
            trial.time.advance(1)
        assert trial.host.consider(trial.job()).reason == 'cold'


class TestSlow:
    """Guards against jobs that a slow host begins and can't end in time."""

    @pytest.fixture
    def trial(self):
        made = _Trial(cold_ms=0)
        for _ in range(30):
            made.host._faults.record_response(  # noqa: SLF001 - runs that are over
                ids.RouteName('r'), 400, 100, made.time.now()
            )
        return made

    def test_slow_host_hands_back(self, trial):
        trial.told(400)
        assert trial.refusal() == 'slow'

    def test_job_that_no_other_host_takes_runs_if_it_can_end(self, trial):
        trial.told(400)
        assert not trial.refusal(insists=True)

    def test_job_that_would_not_end_in_time_is_refused(self, trial):
        trial.told(700)
        assert trial.refusal(insists=True) == 'too slow'
