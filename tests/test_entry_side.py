"""Entry side of the product's own node."""

from __future__ import annotations

import random
import types

import pytest
from twisted.internet import task

from anvillug import clock
from anvillug.process import entry_side, settings


class _EntrySide(entry_side.EntrySide):
    """Entry side that has seen no call, so that no hedge delay is known."""

    def _router(self, name, now):
        """Return no router."""


_CALL = types.SimpleNamespace(request=types.SimpleNamespace(service='one'))


class TestSilence:
    """Guards against a setting that is documented and has no effect."""

    @pytest.mark.parametrize(('silence_ms', 'expected_ms'), [(200, 200), (30_000, 500)])
    def test_setting_bounds_the_time(self, silence_ms, expected_ms):
        side = _EntrySide(
            task.Clock(),
            clock.ManualClock(),
            members=None,
            pools=None,
            config=lambda: None,
            is_bad=lambda *_: False,
            observer=None,
            keyed=None,
            rng=random.Random(1),
            timeouts=settings.Timeouts(silence_ms=silence_ms),
        )
        assert side.silence_ms(_CALL) == expected_ms
