"""When a rejected caller is told to retry, from what the hosts that rejected its call said."""

from __future__ import annotations

import random

# Without a host that tells when it has room: by then a backend server may have a free slot.
_DEFAULT_MS = 60.0
# Callers heed a wait up to a third of the time that they have left.
_MAX_SHARE_OF_TIME_LEFT = 1 / 3
# Callers are spread over the expected wait and this multiple of it.
_SPREAD = 2.0


class RetryAdvice:
    """Collects the waits that hosts expect."""

    def __init__(self) -> None:
        self._least_ms = 0.0

    def add(self, wait_ms: float) -> None:
        """Add the expected wait of a host in milliseconds; 0 if it has told none."""
        if wait_ms > 0:
            self._least_ms = min(self._least_ms or wait_ms, wait_ms)

    def wait_ms(self, left_ms: float, rng: random.Random) -> float:
        """Return the milliseconds after which the caller is told to retry.

        The waits of many callers are spread, so that their retries do not arrive together.

        Args:
            left_ms: Time that the caller has left.
            rng: Random number generator.
        """
        if not self._least_ms:
            return _DEFAULT_MS
        latest_ms = min(self._least_ms * _SPREAD, left_ms * _MAX_SHARE_OF_TIME_LEFT)
        earliest_ms = min(self._least_ms, latest_ms / _SPREAD)
        return max(_DEFAULT_MS, rng.uniform(earliest_ms, latest_ms))
