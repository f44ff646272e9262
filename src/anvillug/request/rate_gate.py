"""Rate limit of a cold backend server."""

from __future__ import annotations

from anvillug import clock

_MS_PER_SECOND = 1000.0
_MIN_SHARE = 0.5


class RateGate:
    """Token bucket for requests per second.

    Args:
        burst_share: Maximum number of saved tokens, as a share of the tokens of one second.
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
            Whether a token was available.
        """
        if not self.has_token(per_second, now):
            return False
        self._tokens -= 1
        return True

    def has_token(self, per_second: float, now: clock.Milliseconds) -> bool:
        """Return whether a token is available; see `take`."""
        earned = (now - self._refilled_at) * per_second / _MS_PER_SECOND
        self._tokens = min(max(1.0, per_second * self._burst_share), self._tokens + earned)
        self._refilled_at = now
        return self._tokens >= 1


def rate_within(count: float, burst_share: float) -> float:
    """Return the rate per second at which no second has more requests than a count.

    Args:
        count: Maximum number of requests in any second; for less than two, the rate is half of it.
        burst_share: Share of the gate's saved tokens.
    """
    # A gate that has saved its tokens lets them pass besides those of the second.
    return max(count * _MIN_SHARE, min(count / (1 + burst_share), count - 1))
