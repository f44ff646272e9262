"""Newest evidence summary of each node, forwarded to peers and added up for the judgement."""

from __future__ import annotations

import collections
import contextlib
import itertools
import json
from collections.abc import Iterable

from anvillug import ids
from anvillug.version import evidence

MAX_SUMMARIES = 256  # of other hosts; beyond it, the oldest arrival is evicted
SEND_BYTES = 4_096  # per exchange; leaves most of the control traffic budget of 14 KB/s

_Key = tuple[ids.HostId, ids.ServiceName]


class EvidencePool:
    """Summaries by node and service.

    A node's summary replaces its previous one, so that evidence that arrives by several paths is
    counted once.

    Args:
        local_host_id: Id of this host.
    """

    def __init__(self, local_host_id: ids.HostId) -> None:
        self._local_host_id = local_host_id
        self._local_by_service: dict[ids.ServiceName, bytes] = {}
        # Time and packed form of the summaries of other hosts, oldest arrival first.
        self._received_by_key: collections.OrderedDict[_Key, tuple[float, bytes]] = (
            collections.OrderedDict()
        )
        self._next_start = 0

    def put_local(self, summary: evidence.Summary, wall: float) -> None:
        """Replace this host's summary of a service."""
        service = summary.comparison.service
        self._local_by_service[service] = _pack(
            self._local_host_id, wall, evidence.serialize(summary)
        )

    def drop(self, service: ids.ServiceName) -> None:
        """Discard all summaries of a service whose rollout has ended."""
        self._local_by_service.pop(service, None)
        ended_keys = [key for key in self._received_by_key if key[1] == service]
        for key in ended_keys:
            self._received_by_key.pop(key)

    def summaries(self, limit: int) -> list[bytes]:
        """Return summaries to send to a peer, those of this host first.

        Args:
            limit: Maximum number of summaries; their total size is limited too.

        Returns:
            Packed summaries; those of other hosts are rotated between calls.
        """
        selected = _take_fitting(self._local_by_service.values(), limit, SEND_BYTES)
        others = [packed for _, packed in self._received_by_key.values()]
        start = self._next_start % max(1, len(others))
        remaining_bytes = SEND_BYTES - sum(map(len, selected))
        rotated = _take_fitting(
            others[start:] + others[:start], limit - len(selected), remaining_bytes
        )
        # Advances by at least one, so that a summary that is too large does not block the others.
        self._next_start = start + max(1, len(rotated))
        return selected + rotated

    def merge(self, summaries: Iterable[bytes]) -> None:
        """Store those summaries of a peer that are newer; malformed ones are ignored."""
        for packed in summaries:
            with contextlib.suppress(ValueError, TypeError):
                self._merge_one(packed)

    def combined(self, comparison: evidence.Comparison) -> evidence.Summary:
        """Return the sum of the evidence of all nodes on a rollout."""
        total = evidence.Summary(comparison)
        local = self._local_by_service.get(comparison.service)
        all_packed = [
            received
            for key, (_, received) in self._received_by_key.items()
            if key[1] == comparison.service
        ]
        all_packed.extend([local] if local else [])
        for packed in all_packed:
            summary = evidence.parse(_unpack(packed)[2])
            if summary.comparison == comparison:
                total.add(summary)
        return total

    def _merge_one(self, packed: bytes) -> None:
        host_id, wall, data = _unpack(packed)
        summary = evidence.parse(data)
        key = (ids.HostId(host_id), summary.comparison.service)
        previous = self._received_by_key.get(key)
        if host_id == self._local_host_id or (previous is not None and previous[0] >= wall):
            return
        self._received_by_key[key] = (wall, packed)
        self._received_by_key.move_to_end(key)
        while len(self._received_by_key) > MAX_SUMMARIES:
            self._received_by_key.popitem(last=False)


def _take_fitting(summaries: Iterable[bytes], limit: int, remaining_bytes: int) -> list[bytes]:
    """Return the first summaries, up to a maximum number and total size."""
    selected: list[bytes] = []
    for packed in itertools.islice(summaries, max(0, limit)):
        remaining_bytes -= len(packed)
        if remaining_bytes < 0:
            break
        selected.append(packed)
    return selected


def _pack(host_id: ids.HostId, wall: float, data: bytes) -> bytes:
    head = json.dumps([host_id, round(wall)], separators=(',', ':'))
    return b'\n'.join((head.encode(), data))


def _unpack(packed: bytes) -> tuple[str, float, bytes]:
    head, separator, data = packed.partition(b'\n')
    if not separator:
        raise ValueError('evidence summary has no head')
    host_id, wall = json.loads(head)
    return str(host_id), float(wall), data
