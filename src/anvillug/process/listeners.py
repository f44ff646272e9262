"""Opens all listeners of a process together, and waits for addresses that are in use.

No address accepts connections until all are bound: a process that can't serve yet would accept
callers, or leave them in a listen queue. Only the address of a readiness check may be opened early.
A platform may start a process before the former one has released its addresses, so an address in
use is tried again.
"""

from __future__ import annotations

import dataclasses
import enum
import errno
import functools
import math
import os
import socket
import time as system_time
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, interfaces, task

from anvillug import clock, event_log
from anvillug.connection import http_listener
from anvillug.process import lifetime

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted, for each address."""

_RETRY_INTERVAL_S = 0.2
# An address may stay in use for as long as another process runs.
_LOG_INTERVAL_MS = 10_000.0
# The address may be configured on the host, or released by another process, later; the host or the
# process may be short of memory or descriptors for a time.
_TEMPORARY_ERRORS = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)

Opener = Callable[[str], object]
"""Listens on an address by other means than the reactor; raises OSError if it can't."""


class ListenError(Exception):
    """An address can't be listened on; the message names it and the reason."""


class _Step(enum.Enum):
    """Step until an address is open."""

    BIND = 'bind'
    LISTEN = 'listen'
    OPEN = 'open'
    """A library listens on the address by itself."""
    PASS_ON = 'pass_on'


@dataclasses.dataclass(slots=True)
class _Failure:
    """Temporary failure of an address."""

    step: _Step
    reason: str
    since: float
    """Time of the first failure."""
    logged_at: float


@dataclasses.dataclass(slots=True)
class Listener:
    """An address, the socket that is bound to it, and the port once it is open."""

    address: str
    """IP:port."""
    kind: socket.SocketKind
    """TCP or UDP."""
    adopt: Callable[[int], interfaces.IListeningPort | None]
    """Passes the descriptor of the socket on to the reactor."""
    listens: bool = True
    """Whether the socket accepts connections; otherwise it only reserves the address."""
    is_early: bool = False
    """Whether it accepts connections while other addresses are in use."""
    bound: socket.socket | None = None
    port: interfaces.IListeningPort | None = None
    """Port of the reactor, once the address is open."""
    failure: _Failure | None = None
    """Failure of the last step, until the same step succeeds."""

    def bind(self) -> None:
        """Bind a socket, unless this is done."""
        if self.bound is not None or self.port is not None:
            return
        host, _, port = self.address.rpartition(':')
        new_socket = socket.socket(socket.AF_INET, self.kind)
        try:
            new_socket.setblocking(False)  # noqa: FBT003 - the argument has no name
            if self.kind is socket.SOCK_STREAM:
                new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            new_socket.bind((host, int(port)))
        except (OSError, OverflowError):
            new_socket.close()
            raise
        self.bound = new_socket

    def listen(self) -> None:
        """Listen for connections; fails if another socket that was bound before listens by now."""
        if self.port is None and self.kind is socket.SOCK_STREAM and self.listens:
            self.bound.listen(BACKLOG)

    def check_descriptors(self) -> None:
        """Fail unless a descriptor is free, which `pass_on` needs for a moment."""
        if self.bound is not None:
            os.close(os.dup(self.bound.fileno()))

    def pass_on(self) -> None:
        """Pass the socket on to the reactor, which uses a descriptor of its own, unless done."""
        if self.port is None:
            self.port = self.adopt(self.bound.fileno())
            self.release()

    def release(self) -> None:
        """Close the socket, unless the reactor has it."""
        if self.bound is not None:
            self.bound.close()
            self.bound = None

    def close(self) -> None:
        """Close the socket and the port."""
        self.release()
        if self.port is not None:
            http_listener.stop_listening(self.port)
            self.port = None


class Listeners:
    """The listeners of a process.

    Args:
        reactor: Twisted reactor.
        time: Clock.
        timeout_ms: Time in milliseconds for which addresses in use are tried again.
    """

    def __init__(self, reactor: Any, time: clock.Clock, timeout_ms: float = math.inf) -> None:
        self._reactor = reactor
        self._clock = time
        self._timeout_ms = timeout_ms
        self._listeners: list[Listener] = []
        self._openers: list[tuple[Listener, Opener]] = []

    def add(
        self, address: str, factory: interfaces.IProtocolFactory, *, is_early: bool = False
    ) -> Listener:
        """Add a TCP address, as IP:port; port 0 selects a free one.

        Args:
            address: The address.
            factory: Builds the protocols of connections.
            is_early: Whether the address accepts connections while others are in use; see
                `open_when_free`.

        Returns:
            The listener.
        """

        def adopt(descriptor: int) -> interfaces.IListeningPort:
            return self._reactor.adoptStreamPort(descriptor, socket.AF_INET, factory)

        return self._add(Listener(address, socket.SOCK_STREAM, adopt, is_early=is_early))

    def add_datagrams(self, address: str, protocol: Any, max_bytes: int) -> Listener:
        """Add a UDP address, as IP:port, and the maximum size of a datagram."""

        def adopt(descriptor: int) -> interfaces.IListeningPort:
            return self._reactor.adoptDatagramPort(descriptor, socket.AF_INET, protocol, max_bytes)

        return self._add(Listener(address, socket.SOCK_DGRAM, adopt))

    def add_opener(self, address: str, opener: Opener) -> None:
        """Add a TCP address that a library listens on by itself."""
        reserved = Listener(address, socket.SOCK_STREAM, lambda _: None, listens=False)
        self._openers.append((self._add(reserved), opener))

    @property
    def open_count(self) -> int:
        """Number of addresses that are open."""
        return sum(listener.port is not None for listener in self._listeners)

    def open(self, take_over: Callable[[], None]) -> None:
        """Listen on all addresses before the reactor runs.

        Args:
            take_over: Called once nothing can fail any more, before signals that come meanwhile
                are handled.

        Raises:
            ListenError: If an address is still in use after the time limit, or can't be used.
        """
        deadline = self._clock.now() + self._timeout_ms
        while not self._try_to_open(take_over, deadline):
            system_time.sleep(_RETRY_INTERVAL_S)
        self._pass_on()

    async def open_when_free(self, take_over: Callable[[], None]) -> None:
        """Listen on all addresses once they are free, while the reactor runs.

        Without a time limit this ends only with all addresses open. If it fails or is cancelled,
        all are closed.

        Args:
            take_over: See `open`.

        Raises:
            ListenError: See `open`.
        """
        deadline = self._clock.now() + self._timeout_ms
        try:
            while not self._try_to_open(take_over, deadline):
                self._open_early(deadline)
                await task.deferLater(self._reactor, _RETRY_INTERVAL_S)
        except (ListenError, defer.CancelledError):
            for listener in self._listeners:
                listener.close()
            raise
        self._pass_on()

    def _add(self, listener: Listener) -> Listener:
        self._listeners.append(listener)
        return listener

    def _try_to_open(self, take_over: Callable[[], None], deadline: float) -> bool:
        with lifetime.PROCESS.signals_held():
            # All are tried, so that the log shows each address that is in use.
            bound = [self._try(each, _Step.BIND, each.bind, deadline) for each in self._listeners]
            if not all(bound):
                self._release(bound.index(False))  # noqa: FBT003 - a value that is looked up
                return False
            if not self._listen(deadline):
                # Connections in the listen queues would wait for the next try.
                self._release(0)
                return False
            take_over()
        return True

    def _pass_on(self) -> None:
        for listener in self._listeners:
            listener.pass_on()

    def _release(self, first: int) -> None:
        """Release the addresses from one on, and all for datagrams.

        Two processes that each hold what the other one waits for would wait for ever. Datagrams
        that are queued would be taken for new ones after a long time.
        """
        for index, listener in enumerate(self._listeners):
            if index >= first or listener.kind is socket.SOCK_DGRAM:
                listener.release()

    def _open_early(self, deadline: float) -> None:
        early = [each for each in self._listeners if each.is_early and each.bound is not None]
        for listener in early:
            is_open = self._try(listener, _Step.LISTEN, listener.listen, deadline) and self._try(
                listener, _Step.PASS_ON, listener.pass_on, deadline
            )
            if not is_open:
                listener.release()

    def _listen(self, deadline: float) -> bool:
        steps = [
            *[(each, _Step.LISTEN, each.listen) for each in self._listeners],
            # The process can't go back to waiting once it has taken over.
            *[(each, _Step.PASS_ON, each.check_descriptors) for each in self._listeners],
            *[
                (each, _Step.OPEN, functools.partial(opener, each.address))
                for each, opener in self._openers
            ],
        ]
        return all(self._try(each, step, action, deadline) for each, step, action in steps)

    def _try(
        self, listener: Listener, step: _Step, action: Callable[[], object], deadline: float
    ) -> bool:
        """Take a step of a listener.

        Returns:
            Whether it succeeded; a temporary failure is logged.

        Raises:
            ListenError: If the failure is not temporary or no time is left.
        """
        try:
            action()
        except (OSError, OverflowError) as error:
            number = getattr(error, 'errno', None) or 0
            # Errors of the resolver have negative numbers.
            reason = os.strerror(number) if number > 0 else getattr(error, 'strerror', str(error))
            remaining_ms = deadline - self._clock.now()
            if remaining_ms <= 0 or number not in _TEMPORARY_ERRORS:
                raise ListenError(f'{listener.address}: cannot listen: {reason}') from error
            self._log_failure(listener, step, reason, remaining_ms)
            return False
        if listener.failure is not None and listener.failure.step is step:
            in_use_ms = int(self._clock.now() - listener.failure.since)
            event_log.emit('address_free', address=listener.address, in_use_ms=in_use_ms)
            listener.failure = None
        return True

    def _log_failure(
        self, listener: Listener, step: _Step, reason: str, remaining_ms: float
    ) -> None:
        """Log a failure at once, and again now and then while it lasts."""
        now = self._clock.now()
        former = listener.failure
        is_due = (
            former is None or former.reason != reason or now - former.logged_at >= _LOG_INTERVAL_MS
        )
        since = now if former is None else former.since
        logged_at = now if is_due else former.logged_at
        listener.failure = _Failure(step, reason, since, logged_at)
        if is_due:
            limit = {} if math.isinf(remaining_ms) else {'remaining_ms': int(remaining_ms)}
            event_log.warn(
                'listen_failed',
                address=listener.address,
                reason=reason,
                in_use_ms=int(now - since),
                **limit,
            )
