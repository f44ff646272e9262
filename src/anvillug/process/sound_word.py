"""Age of a node's newest sound word of the log: the moment up to which it knows all directives.

A node that has had no word for too long can't tell whether a key has been withdrawn since. The
moment is never estimated from a clock of another host, or from how long a message was in transit:
an answer to a request is a word as of the moment at which the request was sent, at the latest.
"""

from __future__ import annotations

import math

import msgpack

from anvillug import clock, wire_message, wire_value
from anvillug.version import directives

PATH = b'/-/word'
"""Path of the request for the word of another node."""

MALFORMED_ERRORS = (ValueError, TypeError, LookupError, msgpack.UnpackException)
"""Errors of decoding a word."""

# Share of the time after which a withdrawn key must not run that is left for the way from the last
# check to the backend server.
_MARGIN_SHARE = 0.05
# After the log was restored from an older copy, the operator writes again what it has lost within
# two seconds. Until then the log does not have all that was acknowledged.
_REWRITE_MS = 2000.0
# Shown in place of a longer age, also if there has been no word.
_MAX_SHOWN_AGE_MS = 1e9
# Ages are sent as whole milliseconds, rounded up.
_ROUNDING_MS = 1


class SoundWord:
    """Newest sound word that this node has had of the log, its own or another node's.

    Args:
        time: Clock, which counts the time in which the host was suspended.
        active_directives: Directives in effect.
        withdrawal_ms: Time in milliseconds after which a withdrawn key must not run.
    """

    def __init__(
        self,
        time: clock.Clock,
        active_directives: directives.ActiveDirectives,
        withdrawal_ms: float,
    ) -> None:
        self.limit_ms = withdrawal_ms * (1 - _MARGIN_SHARE)
        """Age in milliseconds from which keys can't be relied on."""
        self._clock = time
        self._active_directives = active_directives
        self._as_of = -math.inf
        self._era = active_directives.current.position.era
        self._era_since = -math.inf
        active_directives.add_listener(self._directives_changed)

    @property
    def age_ms(self) -> float:
        """Time in milliseconds since the moment of the word; infinite if there is none."""
        return self._clock.now() - self._as_of

    @property
    def shown_age_ms(self) -> float:
        """Finite age for logs and metrics."""
        return min(self.age_ms, _MAX_SHOWN_AGE_MS)

    @property
    def is_recent(self) -> bool:
        """Whether the keys in effect can be relied on."""
        return self.age_ms < self.limit_ms

    def now(self) -> clock.Milliseconds:
        """Return the time at which a request is sent, for `read_succeeded` and `receive`."""
        return self._clock.now()

    def read_succeeded(self, sent_at: clock.Milliseconds, end: directives.Position) -> None:
        """Record a read of the log whose records are in effect.

        Args:
            sent_at: When the read was sent.
            end: Position at which the log ended.
        """
        if sent_at >= self._era_since + _REWRITE_MS:
            self._take_over(sent_at, end)

    def encode(self) -> bytes:
        """Return the wire form of the word: position in effect, and the age."""
        age_ms = self.age_ms
        packed_age = math.ceil(age_ms) + _ROUNDING_MS if math.isfinite(age_ms) else None
        return msgpack.packb([self._active_directives.current.position, packed_age])

    def receive(self, sent_at: clock.Milliseconds, data: bytes) -> bool:
        """Take over the word of another node if it is newer.

        Args:
            sent_at: When the request for it was sent. The other node stated the age later than
                that, so that an answer which was late makes the word older, not fresher.
            data: Wire form of the word.

        Returns:
            Whether it was newer, and known to hold for the directives in effect.

        Raises:
            ValueError, TypeError, LookupError, msgpack.UnpackException: If it is malformed.
        """
        packed_position, packed_age = wire_message.unpack(data)
        position = directives.unpack_position(packed_position)
        if packed_age is None:
            return False
        age_ms = wire_value.number(packed_age, 'age')
        return self._take_over(clock.Milliseconds(sent_at - age_ms), position)

    def _take_over(self, as_of: clock.Milliseconds, position: directives.Position) -> bool:
        """Take a word over, unless this node lacks directives for which it holds."""
        current = self._active_directives.current.position
        # A position of a newer era may lack a configuration that the restored log has lost.
        lacks_some = current < position or current.revision < position.revision
        if lacks_some or as_of <= self._as_of:
            return False
        self._as_of = as_of
        return True

    def _directives_changed(self, current: directives.Directives) -> None:
        if current.position.era != self._era:
            self._era = current.position.era
            self._era_since = self._clock.now()
