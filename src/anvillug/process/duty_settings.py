"""Settings of a duty that one node of the deployment performs on behalf of all."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettings:
    """Settings of the usage reports."""

    address: str
    """IP:port that receives the reports."""
    lease_ms: float
    """Time in milliseconds within which the duty must not return to a former holder."""
    window_ms: float
    """Length of a window in milliseconds; window k begins k lengths after the Unix epoch."""
    late_ms: float
    """Time in milliseconds after the end of a window until which its report is of use."""
