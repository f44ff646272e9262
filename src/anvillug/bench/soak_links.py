"""Faults of a soak on links: of nodes to the store, to backend servers, other nodes and callers."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from anvillug.bench import soak_fleet, soak_host, soak_records, soak_signals
from anvillug.standin import link as standin_link

STORE_LINK = 'store-link'
"""Kind of the faults on links to the store."""
BACKEND_LINK = 'backend-link'
"""Kind of the faults on links to backend servers."""
KINDS = frozenset((STORE_LINK, BACKEND_LINK))
"""Kinds on links that a node opens."""
NODE_LINK = 'node-link'
"""Kind of the faults on links from other nodes."""
CALLER_LINK = 'caller-link'
"""Kind of the faults on links from callers."""
_INDEXES_BY_KIND = {NODE_LINK: 1, CALLER_LINK: soak_host.CALLER_PORT_INDEX}
LISTENER_KINDS = frozenset(_INDEXES_BY_KIND)
"""Kinds on links that a node accepts."""

# Shortest and longest time.
_CUT_S = (0.2, 3.0)
_DELAYED_S = (0.5, 3.0)
_DELAY_MS = (20, 300)


@dataclasses.dataclass(frozen=True, slots=True)
class _HostLink:
    """Link of one host."""

    host: soak_host.Host
    link: standin_link.Link
    address: str
    disturbance: soak_records.Disturbance


class Links:
    """Links of the nodes, and faults on them.

    Args:
        fleet: The processes and stand-ins, not started yet.
        signals: Chooses nodes.
        kinds: Kinds of faults; links that have none are not set up.
    """

    def __init__(
        self, fleet: soak_fleet.Fleet, signals: soak_signals.Signals, kinds: frozenset[str]
    ) -> None:
        self.actions_by_kind: dict[str, Callable[[], Any]] = {
            STORE_LINK: lambda: self._disturb_link(self._store_links),
            BACKEND_LINK: lambda: self._disturb_link(self._backend_links),
            NODE_LINK: lambda: self._disturb_link(self._listener_links[NODE_LINK]),
            CALLER_LINK: lambda: self._disturb_link(self._listener_links[CALLER_LINK]),
        }
        """Begins a fault of each kind."""
        self._fleet = fleet
        self._rng = fleet.rng
        self._signals = signals
        self._store_links: dict[int, _HostLink] = {}
        self._backend_links: dict[int, _HostLink] = {}
        if STORE_LINK in kinds:
            fleet.before_start.append(self._link_store)
        if BACKEND_LINK in kinds:
            fleet.before_start.append(self._link_backends)
        self._listener_links: dict[str, dict[int, _HostLink]] = {}
        for kind in sorted(kinds & LISTENER_KINDS):
            fleet.before_start.append(functools.partial(self._link_listeners, kind))

    def _link_store(self) -> None:
        for host in self._fleet.hosts:
            target = self._fleet.shared.store_address
            disturbance = soak_records.Disturbance.STORE
            host_link = self._link(host, target, '127.0.0.1:0', disturbance)
            host.store_address = host_link.address
            self._store_links[host.number] = host_link

    def _link_backends(self) -> None:
        for host in self._fleet.hosts:
            host.backend_address = host.second_address(0)
            disturbance = soak_records.Disturbance.LINK
            host_link = self._link(host, host.backend_address, host.address(0), disturbance)
            self._backend_links[host.number] = host_link

    def _link_listeners(self, kind: str) -> None:
        """Let nodes listen behind links, which take the addresses that the nodes name."""
        links: dict[int, _HostLink] = {}
        self._listener_links[kind] = links
        index = _INDEXES_BY_KIND[kind]
        for host in self._fleet.hosts:
            named = host.address(index)
            host.bound_addresses[named] = host.second_address(index)
            disturbance = soak_records.Disturbance.NETWORK
            links[host.number] = self._link(host, host.second_address(index), named, disturbance)

    def _link(
        self,
        host: soak_host.Host,
        target: str,
        address: str,
        disturbance: soak_records.Disturbance,
    ) -> _HostLink:
        link = standin_link.Link(self._fleet.reactor, target)
        if disturbance is soak_records.Disturbance.NETWORK:
            # The link has accepted what the node would have refused.
            link.on_refused = functools.partial(self._fleet.disturb, host, disturbance)
        self._fleet.after_stop.append(link.stop)
        return _HostLink(host, link, link.listen(address), disturbance)

    def _disturb_link(self, links: dict[int, _HostLink]) -> None:
        """Cut, delay, reset or silence the link of one node."""
        host_link = links[self._signals.running_host().number]
        silence = self._silence
        if host_link.disturbance is soak_records.Disturbance.NETWORK:
            silence = self._silence_one_way
        action = self._rng.choice((self._cut, self._delay, self._reset, silence))
        self._mark(host_link)
        action(host_link)

    def _cut(self, host_link: _HostLink) -> None:
        host_link.link.stop()
        self._fleet.later(self._rng.uniform(*_CUT_S), self._restore, host_link)

    def _delay(self, host_link: _HostLink) -> None:
        delay_ms = self._rng.uniform(*_DELAY_MS)
        host_link.link.faults = standin_link.LinkFaults(delay_ms=delay_ms)
        self._fleet.later(self._rng.uniform(*_DELAYED_S), self._speed_up, host_link)

    def _reset(self, host_link: _HostLink) -> None:
        stopped = defer.maybeDeferred(host_link.link.stop)
        stopped.addCallback(lambda _: self._restore(host_link))

    def _silence(self, host_link: _HostLink) -> None:
        host_link.link.silence_open_connections()

    def _silence_one_way(self, host_link: _HostLink) -> None:
        """Discard what goes to the node, or comes from it, and reset the connections later."""
        to_node = self._rng.choice((True, False))
        silenced = [
            connection
            for connection in host_link.link.open_connections
            if isinstance(connection, standin_link.AcceptedConnection) is to_node
            and connection.forwarder is not None
        ]
        for connection in silenced:
            connection.forwarder.stop_forwarding()
        self._fleet.later(self._rng.uniform(*_CUT_S), self._end_silence, host_link, silenced)

    def _end_silence(
        self, host_link: _HostLink, silenced: list[standin_link.RelayConnection]
    ) -> None:
        for connection in silenced:
            connection.transport.abortConnection()
        self._mark(host_link)

    def _restore(self, host_link: _HostLink) -> None:
        if not self._fleet.stopped and not host_link.link.is_listening:
            host_link.link.listen(host_link.address)
        self._mark(host_link)

    def _speed_up(self, host_link: _HostLink) -> None:
        host_link.link.faults = standin_link.LinkFaults()
        self._mark(host_link)

    def _mark(self, host_link: _HostLink) -> None:
        self._fleet.disturb(host_link.host, host_link.disturbance)
