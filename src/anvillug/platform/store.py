"""HTTP client of the platform's store, for keyed topics with one partition."""

from __future__ import annotations

import base64
import io
import json
import struct
from typing import Any
from urllib import parse as url_parse

from twisted.internet import defer, interfaces, protocol
from twisted.python import failure
from twisted.web import client as web_client
from twisted.web import http

from anvillug import clock
from anvillug.connection import keyed_log, tcp_liveness
from anvillug.version import directives

# Keyed topics: the newest record of each key is never deleted.
OPERATOR_TOPIC = 'keyed.op'
STATUS_TOPIC = 'keyed.status'
MEMBER_TOPIC = 'keyed.members'
DUTY_TOPIC = 'keyed.duties'

# Rises by one each time the store is restored from an older copy; older stores do not send it.
_ERA_HEADER = 'Store-Era'
# The only partition of these topics.
_PARTITION = '0'

# A response typically takes 4 ms, and up to 80 times that when the platform is slow.
_RESPONSE_TIMEOUT_MS = 900
# The same for reads, which can be repeated without harm.
_READ_TIMEOUT_MS = 500
_CONNECT_TIMEOUT_MS = 500
# A configuration with some thousand routes takes one second over a link of 5 Mbit/s.
_BODY_TIMEOUT_MS = 4000
_MAX_CONNECTIONS = 2
_LENGTH = struct.Struct('>I')
_BOUNDS = struct.Struct('>QQ')
_STATUS_OK = 200
_ERRORS_BY_STATUS = {
    410: keyed_log.RecordsDeletedError,
    412: keyed_log.ConditionFailedError,
}


class _BodyReader(protocol.Protocol):
    """Collects the body of a response; see Twisted."""

    def __init__(self) -> None:
        self.body: defer.Deferred[bytes] = defer.Deferred()
        self._parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body; see Twisted."""
        self._parts.append(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Complete the body, unless its end is missing; see Twisted."""
        if self.body.called:
            return
        if reason.check(web_client.ResponseDone, http.PotentialDataLoss):
            self.body.callback(b''.join(self._parts))
        else:
            self.body.errback(reason)


class Store:
    """Client with persistent connections; see `keyed_log.KeyedLog`.

    Args:
        reactor: Reactor that owns the sockets and timers.
        address: IP:port of the store.
    """

    def __init__(self, reactor: interfaces.IReactorTCP, address: str) -> None:
        self._reactor = reactor
        self._pool = web_client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = _MAX_CONNECTIONS
        endpoint_factory = tcp_liveness.EndpointFactory(
            reactor, clock.to_seconds(_CONNECT_TIMEOUT_MS)
        )
        # Without treq, whose import takes 15 ms of processor time at each start of a node.
        self._agent = web_client.Agent.usingEndpointFactory(
            reactor, endpoint_factory, pool=self._pool
        )
        self._address = address

    async def newest(self, topic: str) -> keyed_log.Batch:
        """Return the newest record of each key; see `keyed_log.KeyedLog`."""
        changes: list[tuple[str, directives.Record]] = []
        end: directives.Position | None = None
        page: dict[str, Any] = {'HasMore': True}
        arguments = {'Topic': topic, 'part': _PARTITION}
        while page['HasMore']:
            content, era = await self._call('GET', 'log-newest', arguments)
            page = json.loads(content)
            end = end or directives.Position(era, page['End'])
            if era != end.era:
                raise keyed_log.LogUnavailableError('log-newest: restored between two pages')
            for entry in page['items']:
                position = directives.Position(era, entry['Offset'])
                record = directives.Record(position, base64.b64decode(entry['Value']))
                changes.append((entry['Key'], record))
                arguments['after'] = entry['Key']
        return keyed_log.Batch(tuple(changes), end)

    async def read(self, topic: str, start: int, wait_ms: int) -> keyed_log.Batch:
        """Return records from an offset on; see `keyed_log.KeyedLog`."""
        arguments = {'Topic': topic, 'part': _PARTITION, 'From': str(start), 'WaitMs': str(wait_ms)}
        content, era = await self._call(
            'GET', 'log-read', arguments, timeout_ms=wait_ms + _READ_TIMEOUT_MS
        )
        return _parse_batch(content, directives.Position(era, start))

    async def append(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> directives.Position:
        """Append one record; see `keyed_log.KeyedLog`."""
        arguments = {'Topic': topic, 'part': _PARTITION}
        if expected_end is not None:
            arguments['At'] = str(expected_end)
        name = key.encode()
        record = bytes((len(name),)) + name + value
        body = _LENGTH.pack(len(record)) + record
        content, era = await self._call('POST', 'log-append', arguments, body=body)
        return directives.Position(era, json.loads(content)['Offset'])

    async def _call(
        self,
        method: str,
        name: str,
        arguments: dict[str, str],
        body: bytes | None = None,
        timeout_ms: float = _RESPONSE_TIMEOUT_MS,
    ) -> tuple[bytes, int]:
        """Return the body of the response and the era of the store."""
        url = f'http://{self._address}/-/{name}?{url_parse.urlencode(arguments)}'
        producer = None if body is None else web_client.FileBodyProducer(io.BytesIO(body))
        try:
            request = self._agent.request(method.encode(), url.encode(), bodyProducer=producer)
            response = await self._within(request, timeout_ms)
            reader = _BodyReader()
            response.deliverBody(reader)
            content = await self._within(reader.body, _BODY_TIMEOUT_MS)
            era = int(response.headers.getRawHeaders(_ERA_HEADER, ['0'])[0])
        except Exception as error:
            # Twisted has no common base class of request failures.
            # Whatever silenced this connection may have silenced the idle ones.
            self._pool.closeCachedConnections()
            raise keyed_log.LogUnavailableError(f'{name}: {error!r}') from error
        if response.code != _STATUS_OK:
            raise _ERRORS_BY_STATUS.get(response.code, keyed_log.LogUnavailableError)(
                f'{name}: status {response.code}'
            )
        return content, era

    def _within(self, result: defer.Deferred[Any], timeout_ms: float) -> defer.Deferred[Any]:
        return result.addTimeout(clock.to_seconds(timeout_ms), self._reactor)


def _parse_batch(content: bytes, start: directives.Position) -> keyed_log.Batch:
    end, _first = _BOUNDS.unpack_from(content)
    index = _BOUNDS.size
    position = start
    changes = []
    while index < len(content):
        length = _LENGTH.unpack_from(content, index)[0]
        index += _LENGTH.size
        record = content[index : index + length]
        index += length
        key_end = 1 + record[0]
        value = record[key_end:]
        changes.append((record[1:key_end].decode(), directives.Record(position, value)))
        position = directives.Position(position.era, position.offset + 1)
    if not changes:
        position = directives.Position(start.era, min(end, start.offset))
    return keyed_log.Batch(tuple(changes), position, is_complete=position.offset >= end)
