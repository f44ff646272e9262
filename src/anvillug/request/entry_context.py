"""What a call on the entry side needs from the entry side that carries it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol as Interface

from twisted.internet import interfaces

from anvillug import clock, ids
from anvillug.request import attempt as attempts
from anvillug.request import call

if TYPE_CHECKING:
    from anvillug.request import entry_call


class EntryContext(Interface):
    """What a call needs from the entry side that carries it."""

    reactor: interfaces.IReactorTime
    """Timers."""
    clock: clock.Clock
    """Time."""

    def start_attempt(
        self,
        entry_call: entry_call.EntryCall,
        kind: attempts.AttemptKind,
        host: tuple[ids.HostId, ids.Incarnation] | None,
    ) -> attempts.Attempt | None:
        """Choose a host where none is given and begin an attempt; None without a host."""

    def attempt_over(self, entry_call: entry_call.EntryCall, attempt: attempts.Attempt) -> None:
        """Count an attempt as no longer outstanding."""

    def connection_silent(self, host_id: ids.HostId) -> None:
        """Drop idle connections to a host, one of which has gone silent."""

    def claim(self, entry_call: entry_call.EntryCall) -> None:
        """Claim the key of a call; answers by `claim_won`, `refuse` or `hand_over`."""

    def config_number(self) -> ids.ConfigNumber:
        """Return the configuration number in effect."""

    def may_retry(self, entry_call: entry_call.EntryCall, outcome: call.Outcome) -> bool:
        """Tell whether the retry budget allows another attempt, and spend it."""

    def hedge_delay_ms(self, entry_call: entry_call.EntryCall) -> float | None:
        """Return when to send a hedge, or None for never."""

    def may_hedge(self, entry_call: entry_call.EntryCall) -> bool:
        """Tell whether the hedge budget allows a second attempt, and spend it."""

    def silence_ms(self, entry_call: entry_call.EntryCall) -> float:
        """Return after how long without an answer the outcome is asked for."""

    def call_over(
        self, entry_call: entry_call.EntryCall, status: int, outcome: call.Outcome
    ) -> None:
        """Record the result of a call."""
