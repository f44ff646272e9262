"""Explains where a request would go now, and why, without sending it."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Sequence
from typing import Any
from typing import Protocol as Interface

from anvillug import clock, event_log, findings, ids
from anvillug.connection import http_head
from anvillug.process import host_choice, mesh_settings, peer_table, upstream
from anvillug.request import access, job, retry_advice
from anvillug.version import directives, rollouts, route_table

# What is told of a service, with the draw that decides during a rollout which version gets a
# request: the new version gets those with the lowest draws.
_USUAL = 'would_go_to'
_DRAWS_BY_NAME = {_USUAL: 0.999999, 'in_a_canary_to': 0.0}
# Seed of the draws: the same question has the same answer while nothing changes.
_SEED = 1
_NOT_FOUND = 404
_TOO_LARGE = 413
_UNAVAILABLE = 503
_PERCENT = 100
_UNAUTHORIZED = 401


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A request that is not sent."""

    host: bytes
    """Value of the `Host` header."""
    path: bytes
    """Path; begins with a slash."""
    method: bytes = b'GET'
    """Method."""
    size: int = 0
    """Size of the body in bytes."""
    credentials: bytes = dataclasses.field(default=b'', repr=False)
    """Value of the `Authorization` header, in no answer and no log line; empty if there is none."""

    def check(self) -> findings.Findings:
        """Return what is wrong with the question."""
        problems = []
        if not self.host:
            problems.append(findings.Finding('host', 'must not be empty'))
        if not self.path.startswith(b'/'):
            problems.append(findings.Finding('path', 'must begin with a slash'))
        if self.size < 0:
            problems.append(findings.Finding('size', f'must not be negative, got {self.size}'))
        return tuple(problems)


class EntrySide(Interface):
    """What an explanation needs of the entry side."""

    def hosts(self, service: ids.ServiceName, now: clock.Milliseconds) -> list[peer_table.Peer]:
        """Return all hosts of a service, this node's among them, also those that don't serve."""

    def eligible(
        self, service: ids.ServiceName, now: clock.Milliseconds
    ) -> Sequence[peer_table.Peer]:
        """Return the hosts of a service that may get requests, before a rollout decides."""

    def preview(
        self, work: job.Job, hosts: Sequence[peer_table.Peer], rng: random.Random
    ) -> peer_table.Peer | None:
        """Return the host that a job would be sent to, without a trace."""

    def zone_share(self, service: ids.ServiceName) -> tuple[float, str]:
        """Return the share of a service's work that leaves the zone, and why."""

    def has_recent_word(self) -> bool:
        """Return whether keys can be relied on."""

    def own_rejection(self, work: job.Job) -> tuple[str, float]:
        """Return why the host of this node would reject a job, without a trace.

        Returns:
            The reason, empty if the job would be accepted, and the milliseconds until there is
            room for it, 0 if that isn't known.
        """


class Explanation:
    """Answers questions about requests of this node's callers.

    Args:
        settings: Settings of the node.
        time: Clock.
        active_directives: Directives in effect.
        all_rollouts: Rollouts in progress.
        entry: Entry side of the node.
    """

    def __init__(
        self,
        settings: mesh_settings.MeshSettings,
        time: clock.Clock,
        active_directives: directives.ActiveDirectives,
        all_rollouts: rollouts.Rollouts,
        entry: EntrySide,
    ) -> None:
        self._settings = settings
        self._clock = time
        self._active_directives = active_directives
        self._rollouts = all_rollouts
        self._entry = entry

    def explain(self, question: Question) -> dict[str, Any]:
        """Return where a request would go now, and why.

        Args:
            question: The request; `check` finds nothing in it.

        Returns:
            JSON object: `node`, `route`, `services` (one entry for each service of the route, with
            its `hosts` in the order of preference, and a `status` if none would get the request);
            `tenant` if the question has credentials that the route asks for; `status` and `reason`
            if the request would be rejected before a host is selected.
        """
        current = self._active_directives.current
        node = {
            'host': self._settings.host_id,
            'zone': self._settings.zone,
            'position': str(current.position),
            'revision': current.revision,
        }
        if current.routes is None:
            return {'node': node, 'status': _UNAVAILABLE, 'reason': 'no configuration'}
        route = current.routes.match(question.host, question.path.partition(b'?')[0])
        if route is None:
            return {'node': node, 'status': _NOT_FOUND, 'reason': 'no route matches'}
        if question.size > current.routes.limits.max_body_bytes:
            return {'node': node, 'status': _TOO_LARGE, 'reason': 'body is too large'}
        answer = {'node': node, 'route': _describe_route(route)}
        decision = access.Access()
        if question.credentials:
            decision = self._decide_access(question, route)
        if decision.refusal is not None:
            is_behind = decision.refusal is access.Refusal.NO_RECENT_WORD
            status = _UNAVAILABLE if is_behind else _UNAUTHORIZED
            return {**answer, 'status': status, 'reason': decision.refusal.value, 'services': []}
        if decision.tenant:
            answer['tenant'] = {'name': decision.tenant, 'priority': decision.priority}
        answer['services'] = [
            {
                'weight': part.weight,
                **self._explain_service(question, route, part.service, decision),
            }
            for part in route.parts
        ]
        return answer

    # Private

    def _decide_access(self, question: Question, route: route_table.Route) -> access.Access:
        head = http_head.RequestHead(
            question.method, question.path, [(access.CREDENTIALS_HEADER, question.credentials)]
        )
        table = self._active_directives.current.routes.tenants
        return access.decide(table, route, head, self._entry.has_recent_word)

    def _explain_service(
        self,
        question: Question,
        route: route_table.Route,
        service: ids.ServiceName,
        decision: access.Access,
    ) -> dict[str, Any]:
        now = self._clock.now()
        work = self._job(question, route, service, now)
        work.tenant = decision.tenant or ids.TenantName('')
        if decision.priority is not None:
            work.priority = decision.priority
        hosts = self._entry.hosts(service, now)
        allowed_by_draw = {
            name: self._rollouts.allowed(service, self._entry.eligible(service, now), draw)
            for name, draw in _DRAWS_BY_NAME.items()
        }
        allowed_ids = {host.host_id for some in allowed_by_draw.values() for host in some}
        reasons_by_id = {host.host_id: self._exclusion(host, allowed_ids, now) for host in hosts}
        destinations = {
            name: self._entry.preview(work, allowed, random.Random(_SEED))
            for name, allowed in allowed_by_draw.items()
        }
        chosen = destinations[_USUAL]
        share, share_reason = self._entry.zone_share(service)
        origin = host_choice.Origin(self._settings.zone, 0)
        ranked = sorted(
            hosts,
            key=lambda host: (
                bool(reasons_by_id[host.host_id]),
                host_choice.expected_slowness(host, origin, now),
            ),
        )
        answer = {
            'service': service,
            **{name: None if host is None else host.host_id for name, host in destinations.items()},
            'share_to_other_zones': round(share, 2),
            'share_reason': share_reason,
            'hosts': [
                {
                    **_describe_host(host, now),
                    'expected_slowness': round(host_choice.expected_slowness(host, origin, now)),
                    'excluded': reasons_by_id[host.host_id],
                    **self._own_rejection(host, work, now),
                }
                for host in ranked
            ],
        }
        if chosen is None:
            answer.update(status=_UNAVAILABLE, reason='no host can take the call')
        return answer

    def _own_rejection(
        self, host: peer_table.Peer, work: job.Job, now: clock.Milliseconds
    ) -> dict[str, Any]:
        """Return why the host of this node would reject a job; empty for other hosts."""
        is_own = host.announcement.host_id == self._settings.host_id
        if not is_own or host.announcement.state is not upstream.UpstreamState.SERVING:
            return {}
        reason, wait_ms = self._entry.own_rejection(work)
        if not reason:
            return {}
        advice = retry_advice.RetryAdvice()
        advice.add(wait_ms)
        # Callers are told various times; this is one of them.
        told_ms = advice.wait_ms(work.deadline - now, random.Random(_SEED))
        return {'rejects': reason, 'retry_after_ms': round(told_ms)}

    def _job(
        self,
        question: Question,
        route: route_table.Route,
        service: ids.ServiceName,
        now: clock.Milliseconds,
    ) -> job.Job:
        return job.Job(
            attempt_id='',
            service=service,
            route=route.name,
            head=http_head.RequestHead(question.method, question.path, []),
            body=bytes(question.size),
            deadline=clock.Milliseconds(now + route.timeout_ms),
            repeatable=route.is_repeatable,
            priority=route.priority,
            position=self._active_directives.current.position,
            instance=ids.InstanceId(''),
            origin_zone=self._settings.zone,
            objective=clock.Milliseconds(now + (route.target_latency_ms or route.timeout_ms)),
        )

    def _exclusion(
        self,
        host: peer_table.Peer,
        allowed_ids: Collection[ids.HostId],
        now: clock.Milliseconds,
    ) -> str:
        """Return why a host gets no request, empty if it may get one."""
        if host.announcement.state is not upstream.UpstreamState.SERVING:
            return f'backend server is {host.announcement.state.value}'
        if host.announcement.zone in self._active_directives.current.zones_out:
            return 'zone is out'
        if host.host_id not in allowed_ids:
            return 'version gets no such request in the rollout'
        if host.avoid_until > now:
            return 'avoided after a failure'
        return 'timed out' if host.is_unresponsive(now) else ''


def _describe_route(route: route_table.Route) -> dict[str, Any]:
    return {
        'name': route.name,
        'kind': route.kind.value,
        'priority': route.priority,
        'timeout_ms': route.timeout_ms,
        'objective_ms': route.target_latency_ms,
        'max_attempts': route.max_attempts,
    }


def _describe_host(host: peer_table.Peer, now: clock.Milliseconds) -> dict[str, Any]:
    announcement = host.announcement
    described = {
        'host': announcement.host_id,
        'zone': announcement.zone,
        'state': announcement.state.value,
        'version': announcement.version,
        'cold': announcement.cold,
        'sent_from_here': host.outstanding,
        'heard_ms_ago': round(now - host.last_received_at),
    }
    load = host.load
    if load is None:
        return described
    return {
        **described,
        'running': load.running,
        'waiting': load.waiting,
        'slots': load.slots,
        'slowness': round(load.slowness),
        'faulty_percent': round(load.fault_share * _PERCENT),
        'load_age_ms': round(now - host.load_reported_at),
    }


def log_question(question: Question) -> None:
    """Log that an operator has asked; keys are no part of a question."""
    path = question.path.partition(b'?')[0]
    event_log.emit('explained', host=question.host.decode('latin-1'), path=path.decode('latin-1'))
