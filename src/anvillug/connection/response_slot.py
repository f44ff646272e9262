"""Place of one response in the order of a connection's responses.

Pipelined requests may be processed at the same time, but their responses are sent in the order of
the requests. A response is held until those before it are complete.
"""

from __future__ import annotations

from typing import Protocol as Interface

from anvillug.connection import http_exchange, http_head

# A response that has more bytes than this waiting for its turn is paused.
_MAX_HELD_BYTES = 256 * 1024


class SlotConnection(Interface):
    """Connection with several responses in progress."""

    def send(self, data: bytes) -> None:
        """Write bytes of the first response."""

    def abort(self) -> None:
        """Close the connection with a reset."""

    def pause_reading(self, slot: ResponseSlot, paused: bool) -> None:
        """Pause or resume reading on behalf of one exchange."""

    def response_ended(self, slot: ResponseSlot) -> None:
        """Send the responses whose turn it is."""

    def held_changed(self) -> None:
        """Note that more is held for a response, or nothing any more."""

    def closes_after(self, slot: ResponseSlot) -> bool:
        """Return whether the connection closes after a response."""


class ResponseSlot:
    """Connection of one exchange; see `http_exchange.ExchangeConnection`.

    Args:
        connection: Connection that the request was received on.
        head: Head of the request.
        place: Place of the request among those of the connection.
    """

    def __init__(
        self,
        connection: SlotConnection,
        head: http_head.RequestHead,
        place: http_exchange.Place,
    ) -> None:
        self.exchange = http_exchange.ServerExchange(self, head, place)
        """The exchange."""
        self.is_first = False
        """Whether all responses before this one are complete."""
        self.held_bytes = 0
        """Bytes of the response that wait for their turn."""
        self._connection = connection
        self._held: list[bytes] = []
        # Index of the head among the held bytes.
        self._head_index = 0
        self._is_aborted = False
        self._is_paused = False

    def become_first(self, *, writes_paused: bool) -> None:
        """Send what has been held, and send directly from now on.

        Args:
            writes_paused: Whether the write buffer of the connection is full.
        """
        self.is_first = True
        if self._is_aborted:
            self._connection.abort()
            return
        if self._held:
            self._announce_close()
            self._connection.send(b''.join(self._held))
            self._held.clear()
            self.held_bytes = 0
            self._connection.held_changed()
        self.pause_writes(paused=writes_paused)

    def pause_writes(self, *, paused: bool) -> None:
        """Pause or resume the sender of the response."""
        if paused is self._is_paused:
            return
        self._is_paused = paused
        if self.exchange.handler is not None and not self.exchange.ended:
            self.exchange.handler.response_writes_paused(paused)

    def caller_disconnected(self) -> None:
        """Notify the handler, unless the response is complete."""
        exchange = self.exchange
        if not exchange.ended:
            exchange.ended = True
            if exchange.handler is not None:
                exchange.handler.request_aborted()
        exchange.detach()

    # For the exchange

    def send(self, data: bytes) -> None:
        """Write bytes, or hold them until the responses before this one are complete."""
        if self.is_first:
            self._connection.send(data)
            return
        self._held.append(data)
        self.held_bytes += len(data)
        self._connection.held_changed()
        if self.held_bytes > _MAX_HELD_BYTES:
            self.pause_writes(paused=True)

    def abort(self) -> None:
        """Close the connection with a reset, after the responses before this one."""
        self._held.clear()
        self.held_bytes = 0
        self._is_aborted = True
        if self.is_first:
            self._connection.abort()

    def pause_reading(self, paused: bool) -> None:
        """Pause or resume reading the request body."""
        self._connection.pause_reading(self, paused)

    def exchange_ended(self, exchange: http_exchange.ServerExchange) -> None:
        """Notify the connection that the response is complete."""
        self._connection.response_ended(self)

    def closes_after(self, exchange: http_exchange.ServerExchange) -> bool:
        """Return whether the connection closes after the response."""
        self._head_index = len(self._held)
        return self._connection.closes_after(self)

    # Private

    def _announce_close(self) -> None:
        """Add to the held head that the connection closes, which was not known before."""
        exchange = self.exchange
        has_head = exchange.head_sent and exchange.head.keep_alive
        if has_head and self._connection.closes_after(self):
            exchange.head.keep_alive = False
            self._held[self._head_index] = http_head.announce_close(self._held[self._head_index])
