"""Rate limit of a cold backend server."""

from __future__ import annotations

from anvillug import clock

_MS_PER_SECOND = 1000.0


class RateGate:
    """Token bucket for requests per second.

    Args:
        burst_share: Tokens that may be saved up, as a share of a second's tokens.
    """

    def __init__(self, burst_share: float) -> None:
        self._burst_share = burst_share
        self._tokens = 0.0
        self._refilled_at = clock.Milliseconds(0)

    def take(self, per_second: float, now: clock.Milliseconds) -> bool:
        """Take a token.

        Args:
            per_second: Rate of new tokens.
            now: Monotonic time.

        Returns:
            Whether there was one.
        """
        if not self.has_token(per_second, now):
            return False
        self._tokens -= 1
        return True

    def has_token(self, per_second: float, now: clock.Milliseconds) -> bool:
        """Tell whether there is a token; see `take`."""
        earned = (now - self._refilled_at) * per_second / _MS_PER_SECOND
        self._tokens = min(max(1.0, per_second * self._burst_share), self._tokens + earned)
        self._refilled_at = now
        return self._tokens >= 1
