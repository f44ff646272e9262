"""Platform store stand-in: serves keyed topics over HTTP from memory, with injectable faults."""

from __future__ import annotations

import base64
import collections
import dataclasses
import struct

import klein
from twisted.internet import defer, interfaces
from twisted.web import http, iweb, server

from anvillug import clock
from anvillug.standin import http_api

_RECORD_LENGTH = struct.Struct('>I')
_READ_PREFIX = struct.Struct('>QQ')  # end and lowest offset of the topic
_MAX_WAIT_MS = 30_000
_MAX_PAGE_RECORDS = 500
_STATUS_GONE = 410
_ERA_HEADER = b'Store-Era'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFaults:
    """Active faults."""

    outage: bool = False
    """Respond with 503 to every call; a waiting read responds when its wait ends."""
    silent: bool = False
    """Respond to no call."""
    lose_answers: int = 0
    """Number of upcoming appends that are stored but get no response."""


class Topic:
    """Records of one keyed topic."""

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []
        """Key and value of each record since the topic was created; the index is the offset."""
        self.first_offset = 0
        """Lowest offset that can still be read."""
        self.waiters: set[defer.Deferred] = set()
        """Deferreds of reads that wait for a record."""

    def newest(self) -> list[tuple[bytes, bytes, int]]:
        """Return key, value and offset of the newest record of each key, sorted by key."""
        by_key = {}
        for offset, (key, value) in enumerate(self.records):
            by_key.pop(key, None)
            if value:  # an empty value deletes the key
                by_key[key] = (key, value, offset)
        return sorted(by_key.values())

    def append(self, key: bytes, value: bytes) -> int:
        """Append a record and return its offset."""
        self.records.append((key, value))
        self.wake_waiters()
        return len(self.records) - 1

    def wake_waiters(self) -> None:
        """End the waits of all reads."""
        for waiter in tuple(self.waiters):
            waiter.callback(None)


@dataclasses.dataclass(frozen=True, slots=True)
class _TopicCopy:
    """Copy of a topic's records; see `Topic`."""

    records: tuple[tuple[bytes, bytes], ...] = ()
    first_offset: int = 0


class PlatformStore:
    """HTTP interface of the store.

    Args:
        reactor: Source of timers.
    """

    app = klein.Klein()

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self.faults = StoreFaults()
        """Active faults."""
        self.era = 1
        """Number of the current era; each restore begins a new one."""
        self.call_counts: collections.Counter[str] = collections.Counter()
        """Number of calls received, including rejected ones, by the name of the call."""
        self._reactor = reactor
        self._topics_by_name: dict[str, Topic] = {}
        self._snapshot: dict[str, _TopicCopy] = {}

    def site(self) -> server.Site:
        """Return the factory of the HTTP connections."""
        return server.Site(self.app.resource())

    def topic(self, name: str) -> Topic:
        """Return a topic; it is created on first use."""
        return self._topics_by_name.setdefault(name, Topic())

    def snapshot(self) -> None:
        """Keep a copy of all topics; it replaces the previous copy."""
        self._snapshot = {
            name: _TopicCopy(tuple(topic.records), topic.first_offset)
            for name, topic in self._topics_by_name.items()
        }

    def restore(self) -> None:
        """Return all topics to the copy, and begin a new era.

        Topics that are not in the copy become empty. Waiting reads respond from the new state.
        """
        self.era += 1
        for name, topic in self._topics_by_name.items():
            copy = self._snapshot.get(name, _TopicCopy())
            topic.records = list(copy.records)
            topic.first_offset = copy.first_offset
        for restored_topic in self._topics_by_name.values():
            restored_topic.wake_waiters()

    @app.route('/-/log-append', methods=['POST'])
    async def append(self, request: iweb.IRequest) -> object:
        """Append the records of the body; the topic must end at offset `At` if that is given."""
        await self._receive(request)
        if self.faults.outage:
            return http_api.error_response(request, http.SERVICE_UNAVAILABLE, 'outage')
        topic = self.topic(_query_value(request, 'Topic'))
        end = len(topic.records)
        at = _query_value(request, 'At')
        if at and int(at) != end:
            return http_api.json_response(request, {'End': end}, http.PRECONDITION_FAILED)
        for record in _split_records(request.content.read()):
            key_end = 1 + record[0]
            topic.append(record[1:key_end], record[key_end:])
        if self.faults.lose_answers > 0:
            remaining_count = self.faults.lose_answers - 1
            self.faults = dataclasses.replace(self.faults, lose_answers=remaining_count)
            request.transport.loseConnection()
            await defer.Deferred()  # klein cancels it when the connection is closed
        return http_api.json_response(request, {'Offset': end, 'End': len(topic.records)})

    @app.route('/-/log-read', methods=['GET'])
    async def read(self, request: iweb.IRequest) -> object:
        """Read records from an offset; if it is the end, wait up to `WaitMs` for a record."""
        await self._receive(request)
        topic = self.topic(_query_value(request, 'Topic'))
        start = int(_query_value(request, 'From'))
        wait_ms = min(int(_query_value(request, 'WaitMs') or 0), _MAX_WAIT_MS)
        if start == len(topic.records) and not self.faults.outage:
            await self._wait_for_record(topic, wait_ms)
            await self._block_if_silent()
            self._set_era_header(request)  # the store may have been restored during the wait
        if self.faults.outage:
            return http_api.error_response(request, http.SERVICE_UNAVAILABLE, 'outage')
        if not topic.first_offset <= start <= len(topic.records):
            return http_api.json_response(request, {'First': topic.first_offset}, _STATUS_GONE)
        encoded = [_encode_record(*record) for record in topic.records[start:]]
        return _READ_PREFIX.pack(len(topic.records), topic.first_offset) + b''.join(encoded)

    @app.route('/-/log-newest', methods=['GET'])
    async def newest(self, request: iweb.IRequest) -> object:
        """Return the newest record of each key, in pages."""
        await self._receive(request)
        if self.faults.outage:
            return http_api.error_response(request, http.SERVICE_UNAVAILABLE, 'outage')
        topic = self.topic(_query_value(request, 'Topic'))
        after = _query_value(request, 'after').encode()
        remaining = [entry for entry in topic.newest() if entry[0] > after]
        items = [
            {'Key': key.decode(), 'Value': base64.b64encode(value).decode(), 'Offset': offset}
            for key, value, offset in remaining[:_MAX_PAGE_RECORDS]
        ]
        page = {
            'items': items,
            'HasMore': len(remaining) > _MAX_PAGE_RECORDS,
            'End': len(topic.records),
        }
        return http_api.json_response(request, page)

    async def _receive(self, request: iweb.IRequest) -> None:
        """Count a call and set the header of its response; never return if the store is silent."""
        self.call_counts[request.path.decode().rpartition('/')[2]] += 1
        self._set_era_header(request)
        await self._block_if_silent()

    async def _block_if_silent(self) -> None:
        if self.faults.silent:
            await defer.Deferred()  # klein cancels it when the connection is closed

    def _set_era_header(self, request: iweb.IRequest) -> None:
        request.setHeader(_ERA_HEADER, str(self.era).encode())

    async def _wait_for_record(self, topic: Topic, wait_ms: int) -> None:
        waiter: defer.Deferred[None] = defer.Deferred()
        topic.waiters.add(waiter)
        waiter.addTimeout(clock.to_seconds(wait_ms), self._reactor)
        try:
            await waiter
        except defer.TimeoutError:
            return
        finally:
            topic.waiters.discard(waiter)


def _query_value(request: iweb.IRequest, name: str) -> str:
    return request.args.get(name.encode(), [b''])[0].decode()


def _encode_record(key: bytes, value: bytes) -> bytes:
    record = bytes((len(key),)) + key + value
    return _RECORD_LENGTH.pack(len(record)) + record


def _split_records(body: bytes) -> list[bytes]:
    records = []
    record_end = 0
    while record_end < len(body):
        start = record_end + _RECORD_LENGTH.size
        record_end = start + _RECORD_LENGTH.unpack_from(body, record_end)[0]
        records.append(body[start:record_end])
    return records
