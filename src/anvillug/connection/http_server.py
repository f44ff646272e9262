"""HTTP/1.1 server connection with streaming bodies and backpressure.

A client may send further requests before the first one is answered. Those that may be repeated are
processed at the same time; their responses are sent in the order of the requests
(`response_slot.py`). All others begin once every request before them is answered.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Callable

from twisted.internet import error, interfaces, protocol, tcp
from twisted.python import failure
from zope.interface import implementer

from anvillug import event_log
from anvillug.connection import (
    client_limits,
    half_close,
    http_exchange,
    http_head,
    late_close,
    memory_account,
    request_parser,
    response_slot,
    step_queue,
    write_batch,
)

MAX_HEAD_BYTES = 64 * 1024

# When the response ends before the request, the rest of the request body is read and
# discarded up to this size; then the connection is closed.
MAX_DISCARDED_BODY_BYTES = 16 * 1024 * 1024
MAX_OVERLAPPING_REQUESTS = 32
"""Maximum number of requests of one connection that are in progress."""
# No further request begins while responses of this size wait for their turn.
_MAX_HELD_BYTES = 1024 * 1024
_STATUS_BAD_REQUEST = 400
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_SERVER_ERROR = 500
_STATUS_GATEWAY_TIMEOUT = 504
# Nodes check their connections every 50 or 100 ms while they stop, so that the rest of a request is
# awaited for one or two seconds.
_MAX_CHECKS_WITHOUT_BYTES = 20
# Before the last response, a connection reads what has arrived this many times in a turn of the
# reactor, so that a client that never pauses does not hold up the others.
_MAX_READS_IN_TURN = 4
# After this many such turns, it drops requests behind an unanswered one, whose response announces
# the close.
_MAX_FULL_TURNS = 20
# Size of one read. What has been read is parsed at once, and requests that are sent ahead take some
# twenty times their size until they begin; bodies are read in larger parts.
_READ_BYTES = 8 * 1024
_BODY_READ_BYTES = 64 * 1024
# A body of which one read holds more parts than this is read like requests, since parts take time.
_MAX_PARTS_IN_READ = 256
# Estimated memory of one step that waits.
_STEP_BYTES = 1024
_numbers = itertools.count(1)

MayOverlap = Callable[[http_head.RequestHead], bool]
"""Returns whether a request may be processed while requests before it are unanswered."""


@implementer(interfaces.IPushProducer, interfaces.IHalfCloseableProtocol)
class ServerConnection(protocol.Protocol):
    """Server side of one HTTP/1.1 connection; see `request_parser.RequestReceiver`.

    Args:
        on_request: Called with the exchange of each request; sets its handler.
        max_head_bytes: Maximum size of a request head in bytes.
        open_connections: Set of open connections; this one adds and removes itself.
        may_overlap: Tells which requests begin before those ahead of them are answered. Only
            requests that may be repeated should: if the connection is lost, the client sends all
            that are unanswered again.
        answers_half_closed: Whether a client that closes its end may still await responses; see
            `half_close`. Otherwise it has left.
        account: Account of the memory that is held for the connection.
        listener: Name of the listener, for the log and the metrics.
    """

    def __init__(
        self,
        on_request: http_exchange.RequestStarted,
        max_head_bytes: int,
        open_connections: set[ServerConnection],
        may_overlap: MayOverlap | None = None,
        *,
        answers_half_closed: bool = True,
        account: memory_account.MemoryAccount | None = None,
        listener: str = '',
    ) -> None:
        self.listener = listener
        """Name of the listener."""
        self.wait = client_limits.Wait()
        """What the connection was seen to wait for; see `client_limits`."""
        self._account = account
        self._is_charged = False
        self._number = next(_numbers)
        self._on_request = on_request
        self._open_connections = open_connections
        self._may_overlap = may_overlap
        self._parser = request_parser.RequestParser(self, max_head_bytes)
        # Requests in progress, and responses that wait for their turn.
        self._slots: collections.deque[response_slot.ResponseSlot] = collections.deque()
        # Slot of the request whose end has not been received; its response may be complete.
        self._receiving: response_slot.ResponseSlot | None = None
        self._pending = step_queue.StepQueue()
        self._discards_body = False
        self._discarded_bytes = 0
        self._disconnected = False
        self._closing = False
        self._malformed = False
        self._sending_responses = False
        self._reading_paused_by: response_slot.ResponseSlot | None = None
        self._writes_paused = False
        self._reads_paused = False
        self._is_new = True
        self._begun_count = 0
        self._reads = 0
        self._reads_body = False
        self._asked_to_close = False
        # Whether the connection closes once all requests that have arrived are answered.
        self._closes_after_responses = False
        # Turns in which the client was still sending, and whether further requests are dropped.
        self._full_turns = 0
        self._behind_last = False
        # Calls of `close_when_idle` since bytes were received.
        self._checks_without_bytes = 0
        self._late_close: late_close.LateClose | None = None
        self._answers_half_closed = answers_half_closed
        # Whether the client has closed its end and everything before it is read.
        self._input_ended = False
        # Set once the client has closed its end.
        self._half_close: half_close.HalfClose | None = None
        self._paused_watch = half_close.PausedWatch()
        # Reads for responses in this turn of the reactor.
        self._reads_in_turn = 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or on its way, or response bytes are still unsent."""
        if self._closing:
            return not self.is_over
        awaits_first = self._asked_to_close and self._is_new
        is_in_use = awaits_first or self._parser.is_receiving
        return bool(self._slots) or is_in_use or write_batch.has_unsent_bytes(self.transport)

    @property
    def is_over(self) -> bool:
        """Whether the client has received all responses and the end of the connection."""
        return self._late_close is not None and self._late_close.is_received

    def connectionMade(self) -> None:  # noqa: N802
        """Register for write backpressure; see Twisted."""
        self._open_connections.add(self)
        self.transport.bufferSize = _READ_BYTES
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, True)  # noqa: FBT003

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes; see Twisted."""
        if self._closing:
            return
        if len(data) >= self.transport.bufferSize and half_close.is_reset(self.transport):
            # What else has arrived is not worth a read, since nobody awaits an answer.
            self.abort()
            return
        self._checks_without_bytes = 0
        self._reads += 1
        write_batch.BATCH.begin()
        # Whether a body is complete, and which request is the last one, decides on the response.
        self._pending.holds_all = True
        try:
            self._parser.feed(data)
            self._pending.holds_all = False
            self._run_pending()
        finally:
            write_batch.BATCH.end()
        if self._parser.part_count > _MAX_PARTS_IN_READ:
            self._set_read_size(reads_body=False)
        if self._is_charged or self._parser.is_receiving or self._pending.count:
            self.held_changed()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Answer the requests that have arrived, since the client has closed its end; see Twisted.

        A request that has not arrived completely is rejected.
        """
        is_in_use = bool(self._slots) or self._closing or self._parser.is_receiving
        if not self._answers_half_closed or not (
            is_in_use or write_batch.has_unsent_bytes(self.transport)
        ):
            self.transport.connectionLost(failure.Failure(error.ConnectionDone()))
            return
        self._paused_watch.end()
        self._input_ended = True
        self._closes_after_responses = True
        if self._closing:
            self._lose_connection()
            return
        if self._parser.is_receiving and not self._discards_body:
            self.request_malformed(_STATUS_BAD_REQUEST, 'the request ends early')
        if self._slots and not self._discards_body:
            self.end_unread()
        else:
            self._close()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this end has closed the connection; see Twisted."""

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Notify the handlers of unfinished requests; see Twisted."""
        self._disconnected = True
        write_batch.drop_unsent_bytes(self.transport)
        self.held_changed()
        self._paused_watch.end()
        if self._half_close is not None:
            self._half_close.end()
        self._open_connections.discard(self)
        self._pending.clear()
        slots = tuple(self._slots)
        self._slots.clear()
        for slot in slots:
            slot.caller_disconnected()
        self._release()

    # Parts of requests

    def head_received(self, head: http_head.RequestHead) -> None:
        """Begin a request; see `request_parser.RequestReceiver`."""
        if self._full_turns >= _MAX_FULL_TURNS and self._awaits_announcement():
            self._behind_last = True
        self._run_or_queue(
            step_queue.Step(
                lambda: self._may_begin(head), lambda: self._begin(head), is_answered=True
            )
        )

    def body_received(self, data: bytes) -> None:
        """Forward a part of the body to the handler; see `request_parser.RequestReceiver`."""
        self._run_or_queue(step_queue.Step(_always, lambda: self._forward_body(data)))

    def request_received(self) -> None:
        """End a request; see `request_parser.RequestReceiver`."""
        self._run_or_queue(step_queue.Step(_always, self._end_request, ends_request=True))

    def request_malformed(self, status: int, message: str) -> None:
        """Reject malformed input after the responses to the complete requests before it."""
        self._run_or_queue(
            step_queue.Step(
                lambda: self._receiving is not None or not self._slots,
                lambda: self._reject(status, message),
                is_answered=True,
            )
        )
        self._malformed = True

    def receiver_failed(self) -> None:
        """Respond with an error to the request whose handler has failed."""
        if self._slots:
            self._reject(_STATUS_SERVER_ERROR, 'internal error')
        else:
            self._close()

    # Write backpressure

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the sender of the first response: the write buffer is full; see Twisted."""
        self._pause_writes(paused=True)
        self.held_changed()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the sender of the first response: the write buffer has drained; see Twisted."""
        self._pause_writes(paused=False)
        self.held_changed()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: `connectionLost` follows; see Twisted."""

    # Calls from response slots

    def send(self, data: bytes) -> None:
        """Write bytes to the connection."""
        if not self._disconnected:
            write_batch.BATCH.write(self.transport, data)
            if self._half_close is not None:
                self._half_close.bytes_sent()
            if self._writes_paused:
                self.held_changed()

    def abort(self) -> None:
        """Close the connection with a reset."""
        # No other response may take the place of the one that is aborted.
        self._closing = True
        self._pending.clear()
        if not self._disconnected:
            write_batch.BATCH.discard(self.transport)
            self.transport.abortConnection()

    def pause_reading(self, slot: response_slot.ResponseSlot, paused: bool) -> None:
        """Pause or resume reading on behalf of one exchange."""
        if paused:
            self._reading_paused_by = slot
        elif self._reading_paused_by is slot:
            self._reading_paused_by = None
        self._update_reading()

    def response_ended(self, slot: response_slot.ResponseSlot) -> None:
        """Send the responses whose turn it is, and begin the requests that waited for them."""
        if self._reading_paused_by is slot:
            self._reading_paused_by = None
        self._send_responses()
        self._run_pending()
        if self._input_ended and not self._slots:
            self._close()

    def closes_after(self, slot: response_slot.ResponseSlot) -> bool:
        """Return whether the connection closes after a response.

        It does, among others, when the request body was not received completely.
        """
        return self._must_close_after(slot) or self._is_final(slot)

    def held_changed(self) -> None:
        """Report the memory that is held for this connection."""
        if self._account is None:
            return
        held_bytes = 0
        if not self._disconnected:
            held_bytes = self._parser.part_bytes + write_batch.unsent_bytes(self.transport)
            held_bytes += self._pending.count * _STEP_BYTES
            held_bytes += sum(slot.held_bytes for slot in self._slots)
        self._is_charged = held_bytes > 0
        self._account.update(self, held_bytes)

    def held_by_kind(self) -> dict[str, int]:
        """Return what `held_changed` reports, by kind; see `memory_account.Holder`."""
        if self._disconnected:
            return {}
        return {
            memory_account.HEADS: self._parser.part_bytes,
            memory_account.AHEAD: self._pending.count * _STEP_BYTES,
            memory_account.RESPONSES: sum(slot.held_bytes for slot in self._slots),
            memory_account.UNREAD: write_batch.unsent_bytes(self.transport),
        }

    def marks(self) -> tuple[str, ...]:
        """Return what else is known of the connection; see `connection_states.Observed`."""
        states = (
            ('closing', self._closing),
            ('paused', self._reads_paused),
            ('half_closed', self._input_ended),
        )
        return tuple(name for name, applies in states if applies)

    # Calls from the account and the limits

    def give_up(self) -> None:
        """Close the connection with a reset, since its client holds too much."""
        self.abort()
        # Nothing more is written, and nothing is held.
        self._disconnected = True
        write_batch.drop_unsent_bytes(self.transport)

    def waits_for(self) -> tuple[client_limits.Waiting, int]:
        """Return what the connection waits for, and its progress; see `client_limits.Client`."""
        unsent_bytes = write_batch.unsent_bytes(self.transport)
        if unsent_bytes:
            return client_limits.Waiting.READER, unsent_bytes
        if self._awaits_body():
            if self._parser.awaits_trailer_end:
                return client_limits.Waiting.HEAD, self._begun_count
            return client_limits.Waiting.BODY, self._reads
        if self._slots or self._closing:
            return client_limits.Waiting.RESPONSE, 0
        if self._parser.awaits_head_end:
            return client_limits.Waiting.HEAD, self._begun_count
        return client_limits.Waiting.REQUEST, self._begun_count

    def limit_exceeded(self, waiting: client_limits.Waiting) -> None:
        """Reject an incomplete head or trailer, or close the connection."""
        if waiting is client_limits.Waiting.HEAD:
            part = 'trailer' if self._parser.awaits_trailer_end else 'head'
            self.request_malformed(_STATUS_REQUEST_TIMEOUT, f'the {part} is not complete in time')
        elif waiting is client_limits.Waiting.READER:
            self.give_up()
        else:
            self._close()

    # Calls from the watch of a connection that is not read

    def end_unread(self) -> None:
        """Begin to find out whether a client that has closed its end has left."""
        if not self._answers_half_closed:
            self.abort()
        elif self._half_close is None:
            self._half_close = half_close.HalfClose(
                self.transport, self._number, self._probe, self.abort, self._end_unanswered
            )
            self._half_close.begin()

    # Calls from the factory

    def close_after_responses(self) -> None:
        """Close the connection after the response to the last request that has arrived by then.

        That response announces the close. Until then, further requests begin, except those of a
        caller that pipelines without a pause.
        """
        self._closes_after_responses = True

    def close_when_idle(self) -> None:
        """Close the connection now, or after the requests that have arrived are answered.

        A connection that has carried no request is closed by the next call, since its first one
        may be on its way. One on which a part of a request has arrived awaits the rest.
        """
        if self._closing or self._disconnected:
            return
        self.close_after_responses()
        if not self._slots:
            self._read_available()
        if self._slots or self._may_receive_rest():
            return
        if self._is_new and not self._asked_to_close:
            self._asked_to_close = True
        else:
            self._close()

    # Private

    def _awaits_body(self) -> bool:
        """Return whether only the client can make progress: it owes the rest of a body."""
        slot = self._receiving
        if slot is None or len(self._slots) != 1 or self._reading_paused_by is not None:
            return False
        exchange = slot.exchange
        return self._pending.is_empty and exchange.expects_body and not exchange.head_sent

    def _release(self) -> None:
        """Let go of what refers to the lost connection; the collector may free it much later."""
        self._parser.close()
        self._half_close = None
        self._receiving = None
        self._reading_paused_by = None

    def _probe(self) -> bool:
        """Send an interim response; see `half_close.HalfClose`."""
        if not self._slots or write_batch.has_unsent_bytes(self.transport):
            return True
        exchange = self._slots[0].exchange
        if not (exchange.head_sent or exchange.head.supports_chunked):
            return False
        # Within a response, the next part of its body tells.
        exchange.send_continue()
        return True

    def _end_unanswered(self) -> None:
        """Answer the first request, since its client may have left and can't be probed."""
        exchange = self._slots[0].exchange
        if exchange.goes_on:
            return
        if exchange.handler is not None:
            exchange.handler.request_aborted()
            exchange.handler = None
        exchange.respond(_STATUS_GATEWAY_TIMEOUT, b'timeout\n')

    def _may_receive_rest(self) -> bool:
        """Return whether a part of a request has arrived and the rest may follow."""
        self._checks_without_bytes += 1
        is_stalled = self._checks_without_bytes > _MAX_CHECKS_WITHOUT_BYTES
        return self._parser.is_receiving and not is_stalled

    def _read_available(self) -> None:
        """Read what has arrived; closing a connection with unread bytes would reset it."""
        if isinstance(self.transport, tcp.Connection):
            self.transport.doRead()

    def _read_ahead(self) -> None:
        """Read what has arrived, and count the reads of this turn of the reactor."""
        if isinstance(self.transport, tcp.Connection):
            if not self._reads_in_turn:
                self.transport.reactor.callLater(0, self._end_turn)
            self._reads_in_turn += 1
            self._read_available()

    def _end_turn(self) -> None:
        self._full_turns += self._reads_in_turn >= _MAX_READS_IN_TURN
        self._reads_in_turn = 0

    def _is_final(self, slot: response_slot.ResponseSlot) -> bool:
        """Return whether a stopping connection closes after a response.

        A response before which others are unanswered is not final yet: requests may follow.
        """
        if not (self._closes_after_responses and slot.is_first):
            return False
        if self._is_newest(slot) and not (self._disconnected or self._input_ended):
            if self._reads_in_turn >= _MAX_READS_IN_TURN:
                return False
            self._read_ahead()
        return self._is_newest(slot)

    def _is_newest(self, slot: response_slot.ResponseSlot) -> bool:
        is_last = bool(self._slots) and slot is self._slots[-1]
        return is_last and not self._pending.has_request

    def _awaits_announcement(self) -> bool:
        """Return whether the response to the newest request can announce the close."""
        if self._pending.has_request:
            return True
        return bool(self._slots) and not self._slots[-1].exchange.head_sent

    def _must_close_after(self, slot: response_slot.ResponseSlot) -> bool:
        is_receiving = self._receiving is slot and not self._pending.has_request_end
        body_incomplete = is_receiving and slot.exchange.head.has_body
        return self._closing or body_incomplete or not slot.exchange.head.keep_alive

    def _run_or_queue(self, step: step_queue.Step) -> None:
        if self._closing or self._malformed or self._behind_last:
            return
        self._pending.add(step)
        if not (self._pending.is_empty or self._pending.holds_all):
            self._pause_reads()

    def _run_pending(self) -> None:
        self._pending.run(self.receiver_failed)
        self._update_reading()

    def _update_reading(self) -> None:
        if self._disconnected or self._closing or self._input_ended:
            return
        if not self._pending.is_empty or self._reading_paused_by is not None:
            self._pause_reads()
            if isinstance(self.transport, tcp.Connection):
                self._paused_watch.begin(self.transport, self)
        elif self._reads_paused:
            self._reads_paused = False
            self._paused_watch.end()
            self.transport.resumeProducing()

    def _pause_reads(self) -> None:
        self._reads_paused = True
        self.transport.pauseProducing()

    def _may_begin(self, head: http_head.RequestHead) -> bool:
        if not self._slots:
            return True
        if self._may_overlap is None or len(self._slots) >= MAX_OVERLAPPING_REQUESTS:
            return False
        if self._account is not None and not self._account.is_ample:
            return False
        if sum(slot.held_bytes for slot in self._slots) > _MAX_HELD_BYTES:
            return False
        return self._slots[-1].exchange.head.keep_alive and self._may_overlap(head)

    def _begin(self, head: http_head.RequestHead) -> None:
        self._is_new = False
        self._begun_count += 1
        has_framing = head.framing is not http_head.Framing.NONE
        if has_framing is not self._reads_body:
            self._set_read_size(reads_body=has_framing)
        place = http_exchange.Place(self._number, len(self._slots))
        slot = response_slot.ResponseSlot(self, head, place)
        self._slots.append(slot)
        self._receiving = slot
        if slot is self._slots[0]:
            slot.become_first(writes_paused=False)
        self._on_request(slot.exchange)

    def _set_read_size(self, *, reads_body: bool) -> None:
        self._reads_body = reads_body
        self.transport.bufferSize = _BODY_READ_BYTES if reads_body else _READ_BYTES

    def _forward_body(self, data: bytes) -> None:
        exchange = self._receiving.exchange
        if exchange.ended:
            self._discarded_bytes += len(data)
            if self._discards_body and self._discarded_bytes > MAX_DISCARDED_BODY_BYTES:
                self._close()
        elif exchange.handler is not None:
            exchange.handler.body_received(data)

    def _end_request(self) -> None:
        exchange = self._receiving.exchange
        self._receiving = None
        if self._discards_body:
            self._close()
        elif exchange.handler is not None and not exchange.ended:
            exchange.handler.request_ended()

    def _send_responses(self) -> None:
        """Send held responses up to the first one that is incomplete."""
        # Sending may resume a sender that completes its response, which calls this again.
        if self._sending_responses:
            return
        self._sending_responses = True
        try:
            while self._slots and not (self._closing or self._discards_body):
                slot = self._slots[0]
                if not slot.is_first:
                    slot.become_first(writes_paused=self._writes_paused)
                if self._closing or not slot.exchange.ended:
                    return
                self._complete(slot)
        finally:
            self._sending_responses = False

    def _complete(self, slot: response_slot.ResponseSlot) -> None:
        """Remove the first slot, whose response has been sent, and close if nothing may follow."""
        must_close = self._must_close_after(slot)
        must_discard_body = (
            self._receiving is slot and slot.exchange.expects_body and not self._malformed
        )
        self._slots.popleft()
        slot.exchange.detach()
        if must_close and must_discard_body:
            # Closing now would reset the connection, and the client could lose the response.
            self._discards_body = True
            self._reading_paused_by = None
            self._update_reading()
        elif must_close:
            self._close()

    def _pause_writes(self, *, paused: bool) -> None:
        self._writes_paused = paused
        if self._slots and self._slots[0].is_first:
            self._slots[0].pause_writes(paused=paused)

    def _reject(self, status: int, message: str) -> None:
        """Respond with an error in place of the newest response, and close the connection."""
        if self._closing:
            return
        self._malformed = True
        if self._discards_body:
            # The request is answered.
            self._close()
            return
        event_log.warn('request_rejected', status=status, reason=message)
        body = f'{message}\n'.encode()
        if not self._slots:
            head = http_head.ResponseHead(
                status,
                [(b'Content-Length', b'%d' % len(body)), (b'Connection', b'close')],
            )
            self.send(http_head.serialize_response(head))
            self.send(body)
            self._close()
            return
        exchange = self._slots[-1].exchange
        if exchange.handler is not None and not exchange.ended:
            exchange.handler.request_aborted()
            exchange.handler = None
        exchange.head.keep_alive = False
        if exchange.head_sent:
            # A clean close could look like the end of the response.
            exchange.abort()
        else:
            exchange.respond(status, body)

    def _close(self) -> None:
        if self._closing:
            return
        self._closing = True
        self._pending.clear()
        self._paused_watch.end()
        if self._half_close is not None:
            self._half_close.end()
        unanswered = tuple(self._slots)
        self._slots.clear()
        for slot in unanswered:
            slot.caller_disconnected()
        if not self._disconnected:
            write_batch.BATCH.flush(self.transport)
            self.transport.unregisterProducer()
            self._lose_connection()

    def _lose_connection(self) -> None:
        if isinstance(self.transport, tcp.Connection) and not self._input_ended:
            # Further requests may be on their way.
            self._late_close = late_close.LateClose(self.transport)
            self._late_close.begin()
        else:
            self.transport.loseConnection()


def _always() -> bool:
    return True
