"""Reads the configuration stream and holds the folded state."""

from __future__ import annotations

from anvillug import clock, ids
from anvillug.connection import log_client, log_record
from anvillug.version import fold

# Below `fold.MAX_PATCH_RESULTS`, so that a publisher that checks after each page finds
# the result of its patch before the fold discards it.
PAGE_RECORDS = 256


class ConfigReader:
    """Reads and folds the configuration stream page by page.

    A fresh reader starts from the best snapshot in the log. A reader whose next
    record is no longer retained restarts from a snapshot too, and raises
    `fold.GapError` if there is no usable one.

    Args:
        client: Access to the log.
        state: State to continue from, such as the state of a peer.
    """

    def __init__(
        self,
        client: log_record.LogClient,
        state: fold.ConfigState | None = None,
    ) -> None:
        self.state = fold.empty() if state is None else state
        """State after the records read so far."""
        self.last_snapshot_at: clock.Milliseconds | None = None
        """Wall-clock time of the last snapshot record read, if any."""
        self.log_next = ids.LogOffset(0)
        """End offset of the log, as of the last read."""
        self._client = client

    def offer(self, state: fold.ConfigState) -> bool:
        """Replace the state by one that covers more of the stream.

        Args:
            state: State folded by another reader.

        Returns:
            Whether the state was replaced.
        """
        if state.next_offset <= self.state.next_offset:
            return False
        self.state = state
        return True

    async def catch_up(self) -> fold.ConfigState:
        """Read until the end of the stream as of the last page.

        Returns:
            The state at the end.
        """
        await self.poll(0)
        while self.state.next_offset < self.log_next:
            await self.poll(0)
        return self.state

    async def poll(self, wait_ms: int) -> None:
        """Read one page and fold it.

        Args:
            wait_ms: Maximum time in milliseconds to wait for a record.

        Raises:
            GapError: If records are missing and no usable snapshot covers them.
        """
        if self.state.next_offset == 0:
            await self._start_from_snapshot()
        page = await self._read_page(self.state.next_offset, wait_ms)
        if page.first > self.state.next_offset:
            await self._start_from_snapshot()
            page = await self._read_page(self.state.next_offset, 0)
        # `offer` may have replaced the state during the read, so `self.state` is used
        # again here; records that it covers already change nothing.
        advanced = fold.advance(self.state, page.first, page.records)
        if advanced.is_error():
            raise fold.GapError(str(advanced.error))
        self.state = advanced.ok
        self._record_snapshot_time(page)

    async def _start_from_snapshot(self) -> None:
        """Scan all retained records for the best snapshot and start from its state."""
        page = await self._read_page(ids.LogOffset(0), 0)
        start = page.first
        while page.records:
            best = fold.best_snapshot(start, page.records)
            if best is not None and best.number >= self.state.number:
                self.offer(best)
            page = await self._read_page(ids.LogOffset(page.records[-1].offset + 1), 0)

    async def _read_page(self, offset: ids.LogOffset, wait_ms: int) -> log_record.ReadResult:
        page = await self._client.read(
            log_client.CONFIGURATION_STREAM,
            offset,
            PAGE_RECORDS,
            wait_ms,
        )
        self.log_next = page.next
        return page

    def _record_snapshot_time(self, page: log_record.ReadResult) -> None:
        for record in page.records:
            if isinstance(record.data, dict) and record.data.get('kind') == 'snapshot':
                self.last_snapshot_at = record.time_ms
