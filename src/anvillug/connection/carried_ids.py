"""Ids of the requests that a connection has carried.

A peer may send a second copy of a response. The id in the response tells which request it belongs
to, so a connection must not carry two requests with the same id.
"""

from __future__ import annotations

import collections

_MIN_IDS = 64


class CarriedIds:
    """Ids of the requests that one connection has carried.

    The newest `_MIN_IDS` are kept, and older ones until they expire: an expired id is not sent
    again. The size is bounded by the requests that a connection carries within their time limit.
    """

    def __init__(self) -> None:
        self._expiry_by_id: collections.OrderedDict[str, float] = collections.OrderedDict()

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._expiry_by_id

    def __len__(self) -> int:
        return len(self._expiry_by_id)

    def add(self, request_id: str, expires_at: float, now: float) -> None:
        """Add the id of a request that is being sent.

        Args:
            request_id: Id of the request; an empty one is not stored.
            expires_at: Time after which no request with this id is sent.
            now: Current time, by the same clock.
        """
        if not request_id:
            return
        self._expiry_by_id[request_id] = expires_at
        while len(self._expiry_by_id) > _MIN_IDS and self._oldest_expiry() <= now:
            self._expiry_by_id.popitem(last=False)

    def _oldest_expiry(self) -> float:
        return next(iter(self._expiry_by_id.values()))
