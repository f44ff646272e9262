"""Subcommands that run the stand-in processes until SIGTERM."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

from absl import logging
from twisted.internet import reactor

from anvillug import clock, event_log
from anvillug.process import lifetime, listeners
from anvillug.process.commands import arguments
from anvillug.standin import backend_model, http_api, log_model
from anvillug.standin import backend_server as standin_backend_server
from anvillug.standin import link as standin_link
from anvillug.standin import log as standin_log

_EXIT_BAD_INPUT = 2
# A former process that is still stopping closes its listener after its drain notice.
_ADDRESS_TIMEOUT_MS = 10_000.0
_ANY_PORT = arguments.ListenAddress('127.0.0.1:0')


def backend_server(  # noqa: WPS211 each setting is an option of the command line
    *,
    address: arguments.ListenAddress = _ANY_PORT,
    announce_address: arguments.Address | None = None,
    service: str = 'service',
    version: str = 'v1',
    backend_id: str = '',
    slots: int = 10,
    connections: int = 250,
    queue_limit: int = 50,
    connect_cost_ms: float = 1.0,
    probe_cost_ms: float = 6.0,
    service_ms: float = 5.0,
    service_sigma: float = 0.3,
    route_ms: Sequence[arguments.RouteTime] = (),
    start_cold: bool = False,
    cold_calls: int = 50,
    cold_factor: float = 8.0,
    cold_max_in_flight: int = 2,
    report_lag_ms: float = 1000.0,
    drain_notice_ms: float = 3000.0,
    drain_bound_ms: float = 60_000.0,
    seed: int = 1,
) -> None:
    """Run a stand-in backend server.

    Args:
        address: Address to listen on; port 0 selects a free one.
        announce_address: Operator address of the node to announce the server to; by default none.
        service: Service that it provides.
        version: Version that it runs.
        backend_id: Id in its responses; by default derived from the process id.
        slots: Max calls that run at once.
        connections: Max connections open at once.
        queue_limit: Length of the queue at which calls and probes are shed; connection set-ups
            never are.
        connect_cost_ms: Time that a new connection occupies a slot.
        probe_cost_ms: Time that a request to /health or /load occupies a slot.
        service_ms: Median service time.
        service_sigma: Sigma of the log-normal service time.
        route_ms: Median service times by path prefix, each <path prefix>=<ms>.
        start_cold: Start as a cold server.
        cold_calls: Successful calls until a cold server is warm.
        cold_factor: Factor of the service time while cold.
        cold_max_in_flight: Occupied slots above which calls fail on a cold server.
        report_lag_ms: Max age of the values of /load and /health.
        drain_notice_ms: On SIGTERM, time from the leave announcement until calls are rejected.
        drain_bound_ms: On SIGTERM, max time to wait for running calls.
        seed: Seed of service times and random failures.
    """
    settings = backend_model.BackendSettings(
        service=service,
        version=version,
        backend_id=backend_id or f'backend-{os.getpid()}',
        slots=slots,
        connections=connections,
        queue_limit=queue_limit,
        connect_cost_ms=connect_cost_ms,
        probe_cost_ms=probe_cost_ms,
        service_ms=service_ms,
        service_sigma=service_sigma,
        service_ms_by_prefix=tuple((route.prefix, route.milliseconds) for route in route_ms),
        start_cold=start_cold,
        cold_calls=cold_calls,
        cold_factor=cold_factor,
        cold_max_in_flight=cold_max_in_flight,
        report_lag_ms=report_lag_ms,
        seed=seed,
    )
    system_clock = clock.SystemClock()
    model = backend_model.BackendModel(settings)
    factory = standin_backend_server.BackendFactory(model, reactor, system_clock)
    opened = _listeners()
    listener = opened.add(address, factory)
    _open(opened)
    port = listener.port
    if announce_address:
        incarnation = int(system_clock.wall())
        announcer = standin_backend_server.Announcer(
            factory, http_api.bound_address(port), announce_address, incarnation
        )
        reactor.callWhenRunning(announcer.start)
    reactor.addSystemEventTrigger(
        'before',
        'shutdown',
        standin_backend_server.drain,
        factory,
        port,
        drain_notice_ms,
        drain_bound_ms,
    )
    _run('backend_server', http_api.bound_address(port))


def log(
    *,
    address: arguments.ListenAddress = _ANY_PORT,
    retention_ms: float = 600_000.0,
    append_limit_per_second: int = 400,
) -> None:
    """Run a stand-in for the platform log.

    Args:
        address: Address to listen on; port 0 selects a free one.
        retention_ms: Time that a record is retained.
        append_limit_per_second: Max appends in any second; further ones are rejected with 429.
    """
    settings = log_model.LogSettings(retention_ms, append_limit_per_second)
    model = log_model.LogModel(settings, clock.SystemClock())
    opened = _listeners()
    listener = opened.add(address, standin_log.LogServer(model, reactor).site())
    _open(opened)
    _run('log', http_api.bound_address(listener.port))


def link(
    *,
    target: arguments.Address,
    address: arguments.ListenAddress = _ANY_PORT,
    control_address: arguments.ListenAddress = _ANY_PORT,
    delay_ms: float = 0,
) -> None:
    """Run a stand-in for a network link: a TCP relay that injects delay and faults.

    Args:
        target: Address that connections are relayed to.
        address: Address to listen on; port 0 selects a free one.
        control_address: Address of the control endpoint; port 0 selects a free one.
        delay_ms: One-way delay.
    """
    relay = standin_link.Link(reactor, target, delay_ms)
    opened = _listeners()
    listener = opened.add(address, relay)
    control = opened.add(control_address, relay.site())
    _open(opened)
    bound = relay.use_port(listener.port)
    _run('link', bound, control_address=http_api.bound_address(control.port))


def _listeners() -> listeners.Listeners:
    return listeners.Listeners(reactor, clock.SystemClock(), _ADDRESS_TIMEOUT_MS)


def _open(opened: listeners.Listeners) -> None:
    try:
        opened.open(_take_over)
    except listeners.ListenError as problem:
        lifetime.print_error(str(problem))
        sys.exit(_EXIT_BAD_INPUT)


def _take_over() -> None:
    lifetime.PROCESS.take_over(reactor.callFromThread, event_log.emit, reactor.stop)
    reactor.addSystemEventTrigger('after', 'shutdown', lifetime.PROCESS.ignore_signals)


def _run(kind: str, address: str, **fields: object) -> None:
    logging.set_verbosity(logging.INFO)
    reactor.callWhenRunning(_report_listening, kind=kind, address=address, **fields)
    reactor.run(installSignalHandlers=False)


def _report_listening(**fields: object) -> None:
    event_log.emit('listening', **fields, start_ms=int(lifetime.PROCESS.age_ms))
