"""Planned traffic share of a new version or a returning zone.

Both are pure functions of the accepted configuration and the time, so that every node computes the
same share without a leader.
"""

from __future__ import annotations

from anvillug.version import config_state, document

CANARY_PORTION = 0.25
"""Portion of the time up to the full share that is spent at the canary share."""
MARGIN_PORTION = 0.1
"""Portion of the rollout's time between the full share and the deadline."""


def planned_share(move: config_state.MoveStatus, canary_share: float, wall: float) -> float:
    """Return the share of traffic that goes to the new version.

    Args:
        move: Start and deadline of the rollout.
        canary_share: Initial share, from the safety target.
        wall: Milliseconds since the epoch.

    Returns:
        Share from 0.0 to 1.0; it never decreases over time.
    """
    if wall < move.start_ms:
        return 0
    duration = move.deadline_ms - move.start_ms
    full_at = move.start_ms + duration * (1 - MARGIN_PORTION)
    if wall >= full_at:
        return 1.0
    ramp_at = canary_end(move)
    if wall < ramp_at:
        return canary_share
    return canary_share + (1 - canary_share) * (wall - ramp_at) / (full_at - ramp_at)


def canary_end(move: config_state.MoveStatus) -> float:
    """Return when the ramp starts, in milliseconds since the epoch."""
    duration = move.deadline_ms - move.start_ms
    return move.start_ms + duration * (1 - MARGIN_PORTION) * CANARY_PORTION


def zone_share(zone_change: config_state.ZoneChange, ramp_ms: float, wall: float) -> float:
    """Return the share of its normal traffic that a zone gets.

    Args:
        zone_change: Newest accepted change of the zone.
        ramp_ms: Time from the return of the zone to its full share.
        wall: Milliseconds since the epoch.

    Returns:
        0.0 while the zone is out, otherwise a ramp from 0.0 to 1.0.
    """
    if zone_change.state is document.ZoneState.OUT:
        return 0
    if ramp_ms <= 0:
        return 1.0
    return min(1.0, max(0, (wall - zone_change.changed_at) / ramp_ms))
