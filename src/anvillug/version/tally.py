"""Sums that compare a new version with the old one, for one kind of event.

The expected count of the new version is computed from the calls on both versions in the same window
(Mantel-Haenszel), so that load and noise that change over time do not count against the version
whose share grows meanwhile. All fields are sums, so tallies of windows, cells and nodes can be
added.
"""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class Tally:
    """Comparison of one kind of event, such as failures."""

    new_calls: float = 0
    """Calls on the new version."""
    observed: float = 0
    """Events among them."""
    expected: float = 0
    """Events expected among them if both versions were equal."""
    variance: float = 0
    """Variance of `observed` if calls were independent."""
    weight: float = 0
    """Harmonic mean of the calls of both versions; scales the difference per call."""
    dispersion: float = 0
    """Excess spread between hosts of the old version, compared with that of independent calls."""
    dispersion_weight: float = 0
    """Calls on which `dispersion` is based; its ratio to them is the correlation within a host."""

    def add_window(self, new: tuple[int, float], old: tuple[int, float]) -> None:
        """Add one window.

        Args:
            new: Calls and events on the new version.
            old: Calls and events on the old version.
        """
        new_calls, new_events = new
        old_calls, old_events = old
        if not new_calls or not old_calls:
            return
        calls = new_calls + old_calls
        rate = (new_events + old_events) / calls
        weight = new_calls * old_calls / calls
        self.new_calls += new_calls
        self.observed += new_events
        self.expected += new_calls * rate
        self.weight += weight
        self.variance += weight * rate * (1 - rate) * calls / max(1, calls - 1)

    def add(self, other: Tally) -> None:
        """Add another tally."""
        for field in _FIELDS:
            setattr(self, field, getattr(self, field) + getattr(other, field))

    def excess_rate(self) -> float:
        """Return how many more events per call the new version has."""
        return (self.observed - self.expected) / max(1, self.weight)

    def exceeds(self, alpha: float, new_hosts: int) -> bool:
        """Tell whether the new version has significantly more events.

        Uses the normal mixture boundary of Robbins, which is valid for all times together: testing
        after every call does not raise the probability of error above alpha.

        Args:
            alpha: Probability of a false positive over all tests.
            new_hosts: Number of hosts that ran the new version; calls on one host are correlated.

        Returns:
            Whether the excess is beyond the boundary.
        """
        total = self._correlated_variance(new_hosts) + _PRIOR_VARIANCE
        log_term = math.log(total / _PRIOR_VARIANCE) + 2 * math.log(1 / (2 * alpha))
        return self.observed - self.expected > math.sqrt(total * max(0, log_term))

    def deviation(self, new_hosts: int) -> float:
        """Return the excess of events over the expected ones, in standard deviations.

        Args:
            new_hosts: Number of hosts that ran the new version; calls on one host are correlated.
        """
        variance = self._correlated_variance(new_hosts) + _MIN_VARIANCE
        return float((self.observed - self.expected) / math.sqrt(variance))

    def _correlated_variance(self, new_hosts: int) -> float:
        correlation = max(0, self.dispersion) / max(1, self.dispersion_weight)
        return self.variance * (1 + correlation * self.new_calls / max(1, new_hosts))

    def to_list(self) -> list[float]:
        """Return the fields in order, rounded for the wire."""
        return [round(float(getattr(self, field)), 3) for field in _FIELDS]


DOUBTFUL_DEVIATION = 2.0
"""Standard deviations above which a new version is not accepted as equally good."""

_FIELDS = tuple(field.name for field in dataclasses.fields(Tally))

# Sets the boundary to about 6 events if few are expected, where the normal approximation would be
# too lax. Larger values delay the detection of rare failures.
_PRIOR_VARIANCE = 2.0
# Variance assumed for a count that is expected to be zero, so that one event is not significant.
_MIN_VARIANCE = 0.5


def from_list(values: list[float]) -> Tally:
    """Return the tally for a list returned by `to_list`.

    Raises:
        ValueError: If the list has another length or holds values that are not finite.
    """
    numbers = [float(value) for value in values]
    if len(numbers) != len(_FIELDS) or not all(map(math.isfinite, numbers)):
        raise ValueError(f'a tally needs {len(_FIELDS)} finite numbers')
    return Tally(*numbers)
