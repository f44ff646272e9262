"""Newest evidence summary of each node, added up for the judgement."""

from __future__ import annotations

import collections
import contextlib
import itertools
import json
from collections.abc import Iterable

from anvillug import ids
from anvillug.version import evidence

MAX_SUMMARIES = 256
SEND_BYTES = 4_096  # per exchange; leaves most of the control budget of 14 KB/s

_Key = tuple[ids.HostId, ids.ServiceName]


class EvidencePool:
    """Summaries by node and service.

    A node's summary replaces its earlier one, so that evidence that arrives on
    several ways is counted once.

    Args:
        own_host_id: This host.
    """

    def __init__(self, own_host_id: ids.HostId) -> None:
        self._own = own_host_id
        self._own_packed: dict[ids.ServiceName, bytes] = {}
        # Node and service: time of the summary and its packed form, oldest arrival first.
        self._others: collections.OrderedDict[_Key, tuple[float, bytes]] = collections.OrderedDict()
        self._next = 0

    def put_own(self, summary: evidence.Summary, wall: float) -> None:
        """Replace this host's summary of a service."""
        service = summary.comparison.service
        self._own_packed[service] = _pack(self._own, wall, evidence.serialize(summary))

    def drop(self, service: ids.ServiceName) -> None:
        """Drop all summaries of a service whose move has ended."""
        self._own_packed.pop(service, None)
        ended = [key for key in self._others if key[1] == service]
        for key in ended:
            self._others.pop(key)

    def summaries(self, limit: int) -> list[bytes]:
        """Return summaries to pass on, this host's own first.

        Args:
            limit: Largest number of summaries; their bytes are bounded too.

        Returns:
            Packed summaries; those of others take turns.
        """
        picked = _fitting(self._own_packed.values(), limit, SEND_BYTES)
        others = [packed for _, packed in self._others.values()]
        start = self._next % max(1, len(others))
        left = SEND_BYTES - sum(map(len, picked))
        turned = _fitting(others[start:] + others[:start], limit - len(picked), left)
        # Steps over one that is too large, so that it does not hold up the others.
        self._next = start + max(1, len(turned))
        return picked + turned

    def merge(self, summaries: Iterable[bytes]) -> None:
        """Keep the summaries of a peer that are newer; malformed ones are dropped."""
        for packed in summaries:
            with contextlib.suppress(ValueError, TypeError):
                self._merge_one(packed)

    def combined(self, comparison: evidence.Comparison) -> evidence.Summary:
        """Return the evidence of all known nodes on a move."""
        total = evidence.Summary(comparison)
        own = self._own_packed.get(comparison.service)
        known = [found for key, (_, found) in self._others.items() if key[1] == comparison.service]
        known.extend([own] if own else [])
        for each in known:
            summary = evidence.parse(_unpack(each)[2])
            if summary.comparison == comparison:
                total.add(summary)
        return total

    def _merge_one(self, packed: bytes) -> None:
        host_id, wall, data = _unpack(packed)
        summary = evidence.parse(data)
        key = (ids.HostId(host_id), summary.comparison.service)
        known = self._others.get(key)
        if host_id == self._own or (known is not None and known[0] >= wall):
            return
        self._others[key] = (wall, packed)
        self._others.move_to_end(key)
        while len(self._others) > MAX_SUMMARIES:
            self._others.popitem(last=False)


def _fitting(summaries: Iterable[bytes], limit: int, size: int) -> list[bytes]:
    """Return the first summaries, up to a number and a total size."""
    picked: list[bytes] = []
    for packed in itertools.islice(summaries, max(0, limit)):
        size -= len(packed)
        if size < 0:
            break
        picked.append(packed)
    return picked


def _pack(host_id: ids.HostId, wall: float, data: bytes) -> bytes:
    head = json.dumps([host_id, round(wall)], separators=(',', ':'))
    return b'\n'.join((head.encode(), data))


def _unpack(packed: bytes) -> tuple[str, float, bytes]:
    head, separator, data = packed.partition(b'\n')
    if not separator:
        raise ValueError('evidence summary has no head')
    host_id, wall = json.loads(head)
    return str(host_id), float(wall), data
