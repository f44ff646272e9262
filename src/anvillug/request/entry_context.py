"""Interface of the entry side towards its calls."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol as Interface

from twisted.internet import interfaces

from anvillug import clock, ids
from anvillug.connection import memory_account
from anvillug.request import attempt as attempts
from anvillug.request import call

if TYPE_CHECKING:
    from anvillug.request import entry_call


class EntryContext(Interface):
    """Operations of the entry side that a call uses."""

    reactor: interfaces.IReactorTime
    """Source of timers."""
    clock: clock.Clock
    """Source of monotonic time."""
    account: memory_account.MemoryAccount
    """Account of the memory that the process holds for clients."""

    def start_attempt(
        self,
        entry_call: entry_call.EntryCall,
        kind: attempts.AttemptKind,
        host: tuple[ids.HostId, ids.Incarnation] | None,
    ) -> attempts.Attempt | None:
        """Start an attempt at the given host or a selected one; None if no host is available."""

    def attempt_finished(self, entry_call: entry_call.EntryCall, attempt: attempts.Attempt) -> None:
        """Record the end of an attempt."""

    def connection_unresponsive(self, host_id: ids.HostId) -> None:
        """Close the idle connections to a host after one of its connections became unresponsive."""

    def claim(self, entry_call: entry_call.EntryCall) -> None:
        """Claim the key of a call; the result is `claim_won`, `reject` or `transfer_exchange`."""

    def config_number(self) -> ids.ConfigNumber:
        """Return the configuration number in effect."""

    def may_retry(self, entry_call: entry_call.EntryCall, outcome: call.Outcome) -> bool:
        """Return whether the retry budget allows another attempt; if so, take its token."""

    def hedge_delay_ms(self, entry_call: entry_call.EntryCall) -> float | None:
        """Return the delay before a hedge, or None to send none."""

    def may_hedge(self, entry_call: entry_call.EntryCall) -> bool:
        """Return whether the hedge budget allows a second attempt; if so, take its token."""

    def silence_ms(self, entry_call: entry_call.EntryCall) -> float:
        """Return the time without a response after which the outcome is resolved."""

    def call_ended(
        self, entry_call: entry_call.EntryCall, status: int, outcome: call.Outcome
    ) -> None:
        """Record the result of a call."""
