"""Stand-in of the users' platform store: keyed topics over HTTP, memory only, with faults."""

from __future__ import annotations

import base64
import dataclasses
import struct

import klein
from twisted.internet import defer, interfaces
from twisted.web import http, iweb, server

from anvillug import clock
from anvillug.standin import http_api

_LENGTH = struct.Struct('>I')
_BOUNDS = struct.Struct('>QQ')
_MAX_WAIT_MS = 30_000
_PAGE_SIZE = 500
_GONE = 410


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFaults:
    """Faults in effect."""

    outage: bool = False
    """Answer 503 to every call, also to those that wait."""
    silent: bool = False
    """Answer no call."""
    lose_answers: int = 0
    """Number of coming appends that take effect without an answer."""


class Topic:
    """Records of one keyed topic."""

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []
        """Key and value of each record since the topic was made."""
        self.first = 0
        """Lowest offset that can still be read."""
        self.waiters: set[defer.Deferred] = set()
        """Reads that wait for a record."""

    def newest(self) -> list[tuple[bytes, bytes, int]]:
        """Return key, value and offset of the newest record of each key, in order of keys."""
        by_key = {}
        for offset, (key, value) in enumerate(self.records):
            by_key.pop(key, None)
            if value:
                by_key[key] = (key, value, offset)
        return sorted(by_key.values())

    def append(self, key: bytes, value: bytes) -> int:
        """Append a record and return its offset."""
        self.records.append((key, value))
        for waiter in tuple(self.waiters):
            waiter.callback(None)
        return len(self.records) - 1


class PlatformStore:
    """HTTP interface of the store.

    Args:
        reactor: Source of timers.
    """

    app = klein.Klein()

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self.faults = StoreFaults()
        """Faults in effect."""
        self._reactor = reactor
        self._topics_by_name: dict[str, Topic] = {}

    def site(self) -> server.Site:
        """Return the factory to listen with."""
        return server.Site(self.app.resource())

    def topic(self, name: str) -> Topic:
        """Return a topic, which is made on first use."""
        return self._topics_by_name.setdefault(name, Topic())

    @app.route('/-/log-append', methods=['POST'])
    async def append(self, request: iweb.IRequest) -> object:
        """Append the records of the body, under the condition of `At`."""
        await self._fail(request)
        if self.faults.outage:
            return http_api.error_response(request, http.SERVICE_UNAVAILABLE, 'outage')
        topic = self.topic(_text(request, 'Topic'))
        end = len(topic.records)
        at = _text(request, 'At')
        if at and int(at) != end:
            return http_api.json_response(request, {'End': end}, http.PRECONDITION_FAILED)
        for record in _split(request.content.read()):
            key_end = 1 + record[0]
            topic.append(record[1:key_end], record[key_end:])
        if self.faults.lose_answers > 0:
            lost = self.faults.lose_answers - 1
            self.faults = dataclasses.replace(self.faults, lose_answers=lost)
            request.transport.loseConnection()
            await defer.Deferred()  # klein cancels it when the connection has closed
        return http_api.json_response(request, {'Offset': end, 'End': len(topic.records)})

    @app.route('/-/log-read', methods=['GET'])
    async def read(self, request: iweb.IRequest) -> object:
        """Read records from an offset on, waiting for one up to `WaitMs`."""
        await self._fail(request)
        topic = self.topic(_text(request, 'Topic'))
        start = int(_text(request, 'From'))
        wait_ms = min(int(_text(request, 'WaitMs') or 0), _MAX_WAIT_MS)
        if start < topic.first:
            return http_api.json_response(request, {'First': topic.first}, _GONE)
        if start >= len(topic.records) and not self.faults.outage:
            await self._wait(topic, wait_ms)
        if self.faults.outage:
            return http_api.error_response(request, http.SERVICE_UNAVAILABLE, 'outage')
        packed = [_pack(*record) for record in topic.records[start:]]
        return _BOUNDS.pack(len(topic.records), topic.first) + b''.join(packed)

    @app.route('/-/log-newest', methods=['GET'])
    async def newest(self, request: iweb.IRequest) -> object:
        """Return the newest record of each key, in pages."""
        await self._fail(request)
        if self.faults.outage:
            return http_api.error_response(request, http.SERVICE_UNAVAILABLE, 'outage')
        topic = self.topic(_text(request, 'Topic'))
        after = _text(request, 'after').encode()
        left = [entry for entry in topic.newest() if entry[0] > after]
        items = [
            {'Key': key.decode(), 'Value': base64.b64encode(value).decode(), 'Offset': offset}
            for key, value, offset in left[:_PAGE_SIZE]
        ]
        page = {'items': items, 'HasMore': len(left) > _PAGE_SIZE, 'End': len(topic.records)}
        return http_api.json_response(request, page)

    async def _fail(self, request: iweb.IRequest) -> None:
        if self.faults.silent:
            await defer.Deferred()  # klein cancels it when the connection has closed

    async def _wait(self, topic: Topic, wait_ms: int) -> None:
        waiter: defer.Deferred[None] = defer.Deferred()
        topic.waiters.add(waiter)
        waiter.addTimeout(clock.to_seconds(wait_ms), self._reactor)
        try:
            await waiter
        except defer.TimeoutError:
            return
        finally:
            topic.waiters.discard(waiter)


def _text(request: iweb.IRequest, name: str) -> str:
    return request.args.get(name.encode(), [b''])[0].decode()


def _pack(key: bytes, value: bytes) -> bytes:
    record = bytes((len(key),)) + key + value
    return _LENGTH.pack(len(record)) + record


def _split(body: bytes) -> list[bytes]:
    records = []
    place = 0
    while place < len(body):
        start = place + _LENGTH.size
        place = start + _LENGTH.unpack_from(body, place)[0]
        records.append(body[start:place])
    return records
