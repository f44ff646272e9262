"""Routing state of the entry side for one service."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection
from typing import Any
from typing import Protocol as Interface

from anvillug import clock, event_log, ids
from anvillug.connection import http_head
from anvillug.process import service_view
from anvillug.request import attempt as attempts
from anvillug.request import budget, call, choice, entry_call
from anvillug.version import targets

DEFAULT_CHOOSER = 'samples'
"""Selects hosts by load samples; all other choosers are only for comparisons in benchmarks."""

_DEFAULT_ROUTE = ids.RouteName('default')
_MIN_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePolicy:
    """Properties that a route gives to its calls."""

    name: ids.RouteName
    """Name used in evidence."""
    repeatable: bool
    """Whether a call may run more than once."""
    criticality: call.Criticality
    """Order of shedding under overload."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """Measurements of one ended attempt of a call, for the comparison of versions."""

    service: ids.ServiceName
    """Service of the call."""
    version: ids.VersionName
    """Version of the backend server that ran it."""
    host_id: ids.HostId
    """Host that ran it."""
    route: ids.RouteName
    """Route of the call."""
    load_level: float
    """Ratio of in-flight calls to the limit of the host when the call was sent."""
    failed: bool
    """Whether the backend server responded with a server error, or not at all."""
    latency_ms: float
    """Time from the start of the attempt to its end."""


class AttemptObserver(Interface):
    """Receives measurements of ended attempts."""

    def attempt_ended(self, ended: EndedAttempt) -> None:
        """Record an ended attempt."""


class ServiceRouter:
    """Load samples, budgets and view of one service.

    Args:
        name: Name of the service.
        view: Hosts and configuration.
        time: Clock.
        observer: Notified of ended attempts.
        chooser: Name of the algorithm that selects hosts.
    """

    def __init__(
        self,
        name: ids.ServiceName,
        view: service_view.ServiceView,
        time: clock.Clock,
        observer: AttemptObserver,
        chooser: str = DEFAULT_CHOOSER,
    ) -> None:
        self.name = name
        self.view = view
        self.view_built_at = clock.Milliseconds(0)
        self.max_view_age_ms = 0.0
        self.decisions = targets.decide(view.service)
        self.candidates = _make_chooser(chooser, self.decisions.hot_threshold)
        self.retries = budget.retry_budget()
        self.hedges = budget.HedgeRule(
            budget.hedge_budget(self.decisions.hedge_ratio),
            self.decisions.hedge_delay_ms,
        )
        self._clock = time
        self._observer = observer
        self._version_by_host_id: dict[ids.HostId, ids.VersionName] = {}
        self._all_hosts: tuple[ids.HostId, ...] = ()

    def set_view(
        self,
        view: service_view.ServiceView,
        now: clock.Milliseconds,
        max_age_ms: float,
    ) -> None:
        """Replace the view.

        Args:
            view: Hosts and configuration.
            now: Monotonic time in milliseconds.
            max_age_ms: Milliseconds after which the view is rebuilt.
        """
        self.view = view
        self.view_built_at = now
        self.max_view_age_ms = max_age_ms
        self.decisions = targets.decide(view.service)
        self.hedges.target_delay_ms = self.decisions.hedge_delay_ms
        self.hedges.budget.ratio = self.decisions.hedge_ratio
        self._version_by_host_id = {
            host_id: version
            for version, host_ids in view.hosts_by_version.items()
            for host_id in host_ids
        }
        self._all_hosts = tuple(self._version_by_host_id)

    def match_route(self, head: http_head.RequestHead) -> RoutePolicy:
        """Return the policy of the first route that matches a request, or a default policy."""
        method = head.method.decode('latin-1')
        path = head.path.decode('latin-1')
        service = self.view.service
        is_repeatable_method = call.is_repeatable_method(method)
        for route in service.routes:
            if path.startswith(route.prefix) and (not route.methods or method in route.methods):
                return RoutePolicy(
                    route.name,
                    is_repeatable_method if route.repeatable is None else route.repeatable,
                    route.criticality or service.criticality,
                )
        return RoutePolicy(_DEFAULT_ROUTE, is_repeatable_method, service.criticality)

    def choose(
        self,
        attempted_hosts: Collection[ids.HostId],
        now: clock.Milliseconds,
        rng: random.Random,
    ) -> ids.HostId | None:
        """Select a host of a version drawn by the planned share of the rollout.

        Args:
            attempted_hosts: Hosts that the call has already been sent to.
            now: Monotonic time in milliseconds.
            rng: Source of random numbers.

        Returns:
            The host, or None if no host is left.
        """
        view = self.view
        version = view.pick_version(rng, self._clock.wall())
        hosts = view.hosts_by_version.get(version, ())
        return self.candidates.choose(hosts, attempted_hosts, now, rng, view.weights)

    def call_started(self, now: clock.Milliseconds) -> None:
        """Count a call towards the budgets."""
        self.retries.earn(now)
        self.hedges.call_started(now)

    def hedge_delay_ms(self) -> float | None:
        """Return the delay before a hedge; None if no hedge may be sent."""
        if not self.view.service.hedge:
            return None
        return self.hedges.delay_ms()

    def load_received(self, host_id: ids.HostId, text: bytes) -> None:
        """Record the load that a host reported."""
        try:
            sample = call.parse_load(text.decode('latin-1'), self._clock.now())
        except ValueError as error:
            event_log.warn('load_header_rejected', host=host_id, reason=error)
            return
        self.candidates.record_sample(host_id, sample)

    def hosts_to_sample(self, now: clock.Milliseconds) -> list[ids.HostId]:
        """Return the hosts to request a load sample from now."""
        return self.candidates.hosts_to_sample(self._all_hosts, now)

    def attempt_finished(
        self,
        attempt: attempts.Attempt,
        route: ids.RouteName,
        now: clock.Milliseconds,
    ) -> None:
        """Record the end of an attempt and notify the observer if the call may have run."""
        if attempt.kind is not attempts.AttemptKind.SEND:
            return
        if attempt.rejected:
            self.candidates.attempt_rejected(attempt.host_id, now)
        latency_ms = now - attempt.started_at if attempt.responded else None
        self.candidates.attempt_ended(attempt.host_id, latency_ms, now)
        version = self._version_by_host_id.get(attempt.host_id)
        if version is not None and (attempt.responded or attempt.failed):
            server_error = attempt.status >= _MIN_SERVER_ERROR_STATUS
            self._observer.attempt_ended(
                EndedAttempt(
                    service=self.name,
                    version=version,
                    host_id=attempt.host_id,
                    route=route,
                    load_level=attempt.load_level,
                    failed=attempt.failed or server_error,
                    latency_ms=now - attempt.started_at,
                ),
            )

    def call_ended(
        self,
        ended: entry_call.EntryCall,
        status: int,
        outcome: call.Outcome,
        now: clock.Milliseconds,
    ) -> None:
        """Record the latency of a finished call."""
        if outcome is call.Outcome.FINISHED:
            self.hedges.record(now - ended.started_at)

    def dump(self) -> dict[str, object]:
        """Return the state of the service for operators."""
        move = self.view.move
        return {
            'hosts_by_version': {
                version: list(hosts) for version, hosts in self.view.hosts_by_version.items()
            },
            'weights_by_host_id': dict(self.view.weights or {}),
            'decisions': dataclasses.asdict(self.decisions),
            'hedge_delay_ms': self.hedge_delay_ms(),
            'move': None if move is None else move.state.value,
            'sample_error': self.candidates.sample_error,
        }


def _make_chooser(name: str, hot_threshold: float) -> Any:
    if name == DEFAULT_CHOOSER:
        return choice.Candidates(hot_threshold)
    # Baselines are part of the benchmarks and are imported only for comparisons.
    from anvillug.bench import baselines  # noqa: PLC0415

    return baselines.make_chooser(name, hot_threshold)
