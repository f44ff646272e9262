"""Fetches newer directives from another node."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import interfaces

from anvillug import event_log
from anvillug.connection import http_head, http_pool
from anvillug.request import job_wire, remote_run
from anvillug.version import directives

# After this time the fetch is cancelled; the next beacon with newer directives starts another one.
_TIMEOUT_S = 0.6


class DirectiveFetch:
    """Fetches directives from one node at a time.

    Args:
        reactor: Timers.
        active_directives: Applies the directives.
        on_too_large: Called if the directives are too large for a response, with the position up
            to which this node has to read the log.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        active_directives: directives.ActiveDirectives,
        on_too_large: Callable[[directives.Position], None],
    ) -> None:
        self._reactor = reactor
        self._active_directives = active_directives
        self._on_too_large = on_too_large
        self._request: remote_run.PeerRequest | None = None

    def start(self, pool: http_pool.Pool) -> None:
        """Start a fetch, unless one is in progress.

        Args:
            pool: Connections to the node.
        """
        if self._request is not None:
            return
        head = http_head.RequestHead(b'GET', job_wire.DIRECTIVES_PATH, [(b'Host', b'node')])
        self._request = remote_run.PeerRequest(head, b'', self._response_received, self._failed)
        self._request.limit_time(self._reactor, _TIMEOUT_S)
        self._request.begin(pool)

    def _response_received(self, body: bytes) -> None:
        self._request = None
        try:
            records, position = job_wire.unpack_directives(body)
        except job_wire.MalformedError as error:
            event_log.warn('directives_malformed', reason=error)
            return
        if records is None:
            event_log.emit('directives_too_large', position=position)
            self._on_too_large(position)
        elif self._active_directives.advance(records, position):
            event_log.emit('directives_from_peer', position=position)

    def _failed(self, reason: str, sent: bool) -> None:
        self._request = None
        event_log.warn('directives_not_fetched', reason=reason, sent=sent)
