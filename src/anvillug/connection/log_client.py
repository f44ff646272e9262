"""Client of the platform log over HTTP (treq)."""

from __future__ import annotations

import io
import json
from typing import Any
from urllib import parse as url_parse

import treq
from treq import client as treq_client
from twisted.internet import defer, error, interfaces, task
from twisted.web import client as web_client

from anvillug import clock, ids
from anvillug.connection import live_endpoints, log_record

CONFIGURATION_STREAM = 'configuration'

_CONNECT_TIMEOUT_MS = 1000
_RESPONSE_TIMEOUT_MS = 5000
_MAX_CONNECTIONS = 4
_OK_STATUSES = frozenset((200, 201))
_STATUS_TOO_MANY_REQUESTS = 429
_MIN_SERVER_ERROR_STATUS = 500
_NOT_SENT_ERRORS = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.DNSLookupError,
    web_client.RequestNotSent,
)


class HttpLogClient:
    """Log client that reuses its connections.

    Args:
        reactor: Reactor that owns the sockets and timers.
        address: IP:port of the log.
        response_timeout_ms: Time limit of a response, in addition to the wait of a long poll.
        agent: Replaces the agent that sends the requests, for tests.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        address: str,
        response_timeout_ms: int = _RESPONSE_TIMEOUT_MS,
        agent: Any = None,
    ) -> None:
        self._pool = web_client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = _MAX_CONNECTIONS
        endpoint_factory = live_endpoints.EndpointFactory(
            reactor, clock.to_seconds(_CONNECT_TIMEOUT_MS)
        )
        pooled_agent = web_client.Agent.usingEndpointFactory(
            reactor, endpoint_factory, pool=self._pool
        )
        self._reactor: Any = reactor
        self._http = treq_client.HTTPClient(pooled_agent if agent is None else agent)
        self._cooperator = task.Cooperator(
            scheduler=lambda step: self._reactor.callLater(0, step),
        )
        self._base_url = f'http://{address}/streams'
        self._response_timeout_ms = response_timeout_ms
        self._counts = {'appends': 0, 'reads': 0, 'bytes_sent': 0, 'bytes_received': 0}

    def append(self, stream: str, data: object) -> defer.Deferred[ids.LogOffset]:
        """Append a record; see `log_record.LogClient`."""
        return defer.Deferred.fromCoroutine(self._append(stream, data))

    def read(
        self,
        stream: str,
        offset: ids.LogOffset,
        limit: int,
        wait_ms: int,
    ) -> defer.Deferred[log_record.ReadResult]:
        """Read records by long poll; see `log_record.LogClient`."""
        query = url_parse.urlencode({'from': offset, 'limit': limit, 'wait_ms': wait_ms})
        return defer.Deferred.fromCoroutine(
            self._read(f'{self._stream_url(stream)}?{query}', wait_ms)
        )

    def dump(self) -> dict[str, int]:
        """Return counts for the state dump; bytes are those of bodies, without headers."""
        return dict(self._counts)

    def close(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return self._pool.closeCachedConnections()

    def _stream_url(self, stream: str) -> str:
        return f'{self._base_url}/{url_parse.quote(stream, safe="")}/records'

    async def _append(self, stream: str, data: object) -> ids.LogOffset:
        encoded = json.dumps({'data': data}).encode()
        self._counts['appends'] += 1
        self._counts['bytes_sent'] += len(encoded)
        body = web_client.FileBodyProducer(
            io.BytesIO(encoded),
            cooperator=self._cooperator,
        )
        try:
            status, content = await self._with_timeout(
                self._http.post(
                    self._stream_url(stream),
                    data=body,
                    headers={'Content-Type': 'application/json'},
                ),
                0,
            )
        except _NOT_SENT_ERRORS as failure:
            raise log_record.LogUnavailable(f'cannot reach the log: {failure}') from failure
        except Exception as failure:
            self._close_suspect_connections()
            _raise_if_cancelled(failure)
            raise log_record.LogResponseLost(f'no response to append: {failure!r}') from failure
        return _parse_append(status, content)

    async def _read(self, url: str, wait_ms: int) -> log_record.ReadResult:
        self._counts['reads'] += 1
        try:
            status, content = await self._with_timeout(self._http.get(url), wait_ms)
        except Exception as failure:
            self._close_suspect_connections()
            _raise_if_cancelled(failure)
            raise log_record.LogUnavailable(f'no response to read: {failure!r}') from failure
        self._counts['bytes_received'] += len(content)
        _check_status(status)
        try:
            return _parse_read(json.loads(content))
        except (ValueError, KeyError, TypeError) as failure:
            raise log_record.LogUnavailable('response to read is malformed') from failure

    def _close_suspect_connections(self) -> None:
        # Whatever silenced a connection may have silenced the idle ones.
        self._pool.closeCachedConnections()

    def _with_timeout(self, request: defer.Deferred[Any], wait_ms: int) -> defer.Deferred[Any]:
        request.addCallback(_read_body)
        return request.addTimeout(
            clock.to_seconds(self._response_timeout_ms + wait_ms),
            self._reactor,
        )


def _read_body(response: Any) -> defer.Deferred[tuple[int, bytes]]:
    return treq.content(response).addCallback(lambda body: (response.code, body))


def _raise_if_cancelled(failure: Exception) -> None:
    if isinstance(failure, defer.CancelledError):
        raise failure


def _parse_append(status: int, content: bytes) -> ids.LogOffset:
    if status >= _MIN_SERVER_ERROR_STATUS:
        # The status may come from a proxy, and the append may have taken effect.
        raise log_record.LogResponseLost(f'append failed with status {status}')
    _check_status(status)
    try:
        return ids.LogOffset(int(json.loads(content)['offset']))
    except (ValueError, KeyError, TypeError) as failure:
        raise log_record.LogResponseLost('response to append is malformed') from failure


def _check_status(status: int) -> None:
    if status == _STATUS_TOO_MANY_REQUESTS:
        raise log_record.RateLimited('rate limit of the log exceeded')
    if status not in _OK_STATUSES:
        raise log_record.LogUnavailable(f'log responded with status {status}')


def _parse_read(content: Any) -> log_record.ReadResult:
    return log_record.ReadResult(
        first=ids.LogOffset(int(content['first'])),
        next=ids.LogOffset(int(content['next'])),
        records=tuple(
            log_record.LogRecord(
                ids.LogOffset(int(record['offset'])),
                clock.Milliseconds(record['time_ms']),
                record['data'],
            )
            for record in content['records']
        ),
    )
