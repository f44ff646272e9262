"""HTTP client of the platform's store, for keyed topics with one partition."""

from __future__ import annotations

import base64
import json
import struct
from typing import Any
from urllib import parse as url_parse

from twisted.internet import defer, interfaces

from anvillug import clock
from anvillug.connection import http_call, http_head, http_pool, keyed_log
from anvillug.version import directives

# Keyed topics: the newest record of each key is never deleted.
OPERATOR_TOPIC = 'keyed.op'
STATUS_TOPIC = 'keyed.status'
MEMBER_TOPIC = 'keyed.members'
DUTY_TOPIC = 'keyed.duties'

# Rises by one each time the store is restored from an older copy; older stores do not send it.
_ERA_HEADER = b'store-era'
# The only partition of these topics.
_PARTITION = '0'

# A response typically takes 4 ms, and up to 80 times that when the platform is slow.
_RESPONSE_TIMEOUT_MS = 900
# The same for reads, which can be repeated without harm.
_READ_TIMEOUT_MS = 500
_CONNECT_TIMEOUT_MS = 500
# A configuration with some thousand routes takes one second over a link of 5 Mbit/s.
_BODY_TIMEOUT_MS = 4000
# Far above any configuration, and what a faulty store can make a node hold.
_MAX_BODY_BYTES = 64 * 1024 * 1024
# Each of the node's tasks may wait for the store at the same time, on a connection of its own.
_MAX_IDLE_CONNECTIONS = 2
_MAX_IDLE_S = 240
_LENGTH = struct.Struct('>I')
_BOUNDS = struct.Struct('>QQ')
_STATUS_OK = 200
# The last one is that of a header which is no number.
_CALL_ERRORS = (http_call.FailedError, defer.CancelledError, defer.TimeoutError, ValueError)
_ERRORS_BY_STATUS = {
    410: keyed_log.RecordsDeletedError,
    412: keyed_log.ConditionFailedError,
}


class Store:
    """Client with persistent connections; see `keyed_log.KeyedLog`.

    Args:
        reactor: Reactor that owns the sockets and timers.
        address: IP:port of the store.
    """

    def __init__(self, reactor: interfaces.IReactorTCP, address: str) -> None:
        self._reactor = reactor
        host, _, port = address.rpartition(':')
        self._pool = http_pool.Pool(
            reactor,
            host.strip('[]'),
            int(port),
            connect_timeout_s=clock.to_seconds(_CONNECT_TIMEOUT_MS),
            max_idle=_MAX_IDLE_CONNECTIONS,
        )
        self._address = address

    @property
    def pools(self) -> tuple[http_pool.Pool, ...]:
        """Connections to the store; see `keyed_log.KeyedLog`."""
        return (self._pool,)

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
        body: bytes = b'',
        timeout_ms: float = _RESPONSE_TIMEOUT_MS,
    ) -> tuple[bytes, int]:
        """Return the body of the response and the era of the store."""
        target = f'/-/{name}?{url_parse.urlencode(arguments)}'
        headers = [(b'Host', self._address.encode())]
        if body:
            headers.append((b'Content-Length', b'%d' % len(body)))
        request = http_head.RequestHead(method.encode(), target.encode(), headers)
        self._pool.close_idle_longer_than(_MAX_IDLE_S)
        call = http_call.Call(self._reactor, self._pool, request, body, _MAX_BODY_BYTES)
        call.begin()
        try:
            head = await self._within(call.head, timeout_ms)
            content = await self._within(call.body, _BODY_TIMEOUT_MS)
            era_header = head.get(_ERA_HEADER)
            era = 0 if era_header is None else int(era_header)
        except _CALL_ERRORS as error:
            # Whatever silenced this connection may have silenced the idle ones.
            self._pool.close_idle()
            raise keyed_log.LogUnavailableError(f'{name}: {error!r}') from error
        if head.status != _STATUS_OK:
            raise _ERRORS_BY_STATUS.get(head.status, keyed_log.LogUnavailableError)(
                f'{name}: status {head.status}'
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
