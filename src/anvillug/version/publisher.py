"""Publishes a patch and tells what became of it."""

from __future__ import annotations

import dataclasses
import uuid
from typing import Any

from twisted.internet import interfaces, task

from anvillug import clock, ids
from anvillug.connection import log_client, log_record
from anvillug.version import config_state, fold, reader

_RETRY_DELAY_MS = 250
DEFAULT_TIMEOUT_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The patch was read back and is in effect."""

    number: ids.ConfigNumber
    """Configuration number that the patch made."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The patch was read back and is not in effect."""

    reason: str
    """Why the fold refused it."""
    number: ids.ConfigNumber
    """Configuration number current at the patch."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The time ran out before the patch was read back."""

    reason: str
    """Last failure."""
    may_be_appended: bool
    """Whether the patch may be in the log; otherwise it is not."""


Publication = Accepted | Refused | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """Patch to publish."""

    base: ids.ConfigNumber
    """Configuration number that the patch was written against."""
    patch: Any
    """JSON merge patch of the document."""
    author: str
    """Who submits it."""
    patch_id: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)
    """Unique id, by which a lost answer is settled."""


class Publisher:
    """Publishes patches by one client.

    Args:
        client: Access to the log.
        timer: Reactor that runs the delays between attempts.
        timeout_ms: Time after which the result is given as unknown.
    """

    def __init__(
        self,
        client: log_record.LogClient,
        timer: interfaces.IReactorTime,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> None:
        self._client = client
        self._timer: Any = timer
        self._timeout_ms = timeout_ms

    async def publish(
        self,
        patch: Patch,
        state: fold.ConfigState | None = None,
    ) -> Publication:
        """Append a patch, read it back and return the fold's decision.

        A patch whose answer was lost is sought by its id and appended again
        when it is not in the log; the fold counts an id once.

        Args:
            patch: The patch.
            state: Known state to read on from; without it, the log is read from the start.

        Returns:
            What became of the patch.
        """
        attempt = _Attempt(patch, reader.ConfigReader(self._client, state))
        end = self._timer.seconds() + clock.to_seconds(self._timeout_ms)
        while True:
            try:
                result = await self._try_once(attempt)
            except (log_record.LogError, fold.GapError) as error:
                attempt.failure = str(error)
                result = None
            if result is not None:
                return _publication(result)
            if self._timer.seconds() >= end:
                return Unknown(attempt.failure, attempt.may_be_appended)
            await task.deferLater(self._timer, clock.to_seconds(_RETRY_DELAY_MS))

    async def _try_once(self, attempt: _Attempt) -> config_state.PatchResult | None:
        """Read to the end, append when the patch is not there, and read it back."""
        found = await _find(attempt)
        if found is not None or attempt.appended:
            return found
        try:
            await self._client.append(log_client.CONFIGURATION_STREAM, attempt.record())
        except log_record.LogAnswerLost:
            attempt.may_be_appended = True
            raise
        attempt.may_be_appended = True
        attempt.appended = True
        return await _find(attempt)


class _Attempt:
    """Progress of one publication."""

    def __init__(self, patch: Patch, config_reader: reader.ConfigReader) -> None:
        self.patch = patch
        self.reader = config_reader
        self.failure = 'timed out'
        self.may_be_appended = False
        self.appended = False

    def record(self) -> dict[str, Any]:
        """Return the data of the patch's record."""
        patch = self.patch
        return fold.patch_record(patch.patch_id, patch.base, patch.patch, patch.author)

    def result(self) -> config_state.PatchResult | None:
        """Return the fold's decision once the reader has met the patch."""
        return self.reader.state.results_by_patch_id.get(self.patch.patch_id)


async def _find(attempt: _Attempt) -> config_state.PatchResult | None:
    while attempt.result() is None:
        await attempt.reader.poll(0)
        if attempt.reader.state.next_offset >= attempt.reader.log_next:
            break
    return attempt.result()


def _publication(result: config_state.PatchResult) -> Publication:
    if result.accepted:
        return Accepted(result.number)
    return Refused(result.reason, result.number)
