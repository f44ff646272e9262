"""Publishes a configuration patch and reports its outcome."""

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
    """Configuration number after the patch."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The patch was read back and is not in effect."""

    reason: str
    """Why the fold rejected the patch."""
    number: ids.ConfigNumber
    """Configuration number in effect when the patch was rejected."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Publishing timed out before the patch was read back."""

    reason: str
    """Last error."""
    may_be_appended: bool
    """Whether the patch may be in the log; if False, it is not."""


Publication = Accepted | Refused | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """Configuration patch to publish."""

    base: ids.ConfigNumber
    """Configuration number that the patch was written against."""
    patch: Any
    """JSON merge patch of the document."""
    author: str
    """Author of the patch."""
    patch_id: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)
    """Unique id, by which the result is looked up after a lost response."""


class Publisher:
    """Publishes patches through a log client.

    Args:
        client: Access to the log.
        timer: Reactor that runs the delays between retries.
        timeout_ms: Time in milliseconds after which the result is reported as unknown.
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

        If the response to the append is lost, the patch is looked up by its id and
        appended again if it is not in the log; the fold applies an id once.

        Args:
            patch: The patch.
            state: State to continue reading from; if None, the log is read from the start.

        Returns:
            The outcome.
        """
        progress = _Progress(patch, reader.ConfigReader(self._client, state))
        deadline = self._timer.seconds() + clock.to_seconds(self._timeout_ms)
        while True:
            try:
                result = await self._attempt_once(progress)
            except (log_record.LogError, fold.GapError) as error:
                progress.failure = str(error)
                result = None
            if result is not None:
                return _publication(result)
            if self._timer.seconds() >= deadline:
                return Unknown(progress.failure, progress.may_be_appended)
            await task.deferLater(self._timer, clock.to_seconds(_RETRY_DELAY_MS))

    async def _attempt_once(self, progress: _Progress) -> config_state.PatchResult | None:
        """Read to the end of the log, append the patch if it is not there, and read it back."""
        patch_result = await _read_result(progress)
        if patch_result is not None or progress.appended:
            return patch_result
        try:
            await self._client.append(log_client.CONFIGURATION_STREAM, progress.record())
        except log_record.LogResponseLost:
            progress.may_be_appended = True
            raise
        progress.may_be_appended = True
        progress.appended = True
        return await _read_result(progress)


class _Progress:
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
        """Return the fold's result, None until the reader has read the patch."""
        return self.reader.state.results_by_patch_id.get(self.patch.patch_id)


async def _read_result(progress: _Progress) -> config_state.PatchResult | None:
    while progress.result() is None:
        await progress.reader.poll(0)
        if progress.reader.state.next_offset >= progress.reader.log_next:
            break
    return progress.result()


def _publication(result: config_state.PatchResult) -> Publication:
    if result.accepted:
        return Accepted(result.number)
    return Refused(result.reason, result.number)
