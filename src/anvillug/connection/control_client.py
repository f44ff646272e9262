"""gRPC client of the control protocol; results arrive in the reactor thread."""

from __future__ import annotations

import collections
import dataclasses
import importlib
from typing import Any

from twisted.internet import defer

from anvillug.connection import control_messages, control_server

DEADLINE_MS = 1_000.0
MAX_CHANNELS = 16  # exchanges go to random peers; more would mostly stay idle
_MS_PER_SECOND = 1000.0


class ExchangeError(Exception):
    """An exchange that got no usable reply.

    Args:
        address: Control address of the peer.
        reason: gRPC status or what was wrong with the reply.
    """

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f'exchange with {address} failed: {reason}')
        self.address = address
        """Control address of the peer."""
        self.reason = reason
        """gRPC status in lower case, or what was wrong with the reply."""


@dataclasses.dataclass(slots=True, eq=False)
class _Channel:
    """An open channel; closed only when nothing waits on it."""

    channel: Any
    exchange: Any
    waiting: int = 0
    retired: bool = False


class ControlClient:
    """Sends exchanges to peers over a bounded set of channels.

    Args:
        reactor: Receives the results.
        deadline_ms: Time after which a peer counts as not answering.
        max_channels: Channels kept open; the least recently used is closed.
    """

    def __init__(
        self,
        reactor: control_server.ReactorFromThreads,
        deadline_ms: float = DEADLINE_MS,
        max_channels: int = MAX_CHANNELS,
    ) -> None:
        self._reactor = reactor
        self._deadline_seconds = deadline_ms / _MS_PER_SECOND
        self._max_channels = max_channels
        self._channels: collections.OrderedDict[str, _Channel] = collections.OrderedDict()
        self.bytes_sent = 0
        """Bytes of the requests, without framing."""
        self.bytes_received = 0
        """Bytes of the replies, without framing."""

    def exchange(
        self, address: str, request: control_messages.Request
    ) -> defer.Deferred[control_messages.Reply]:
        """Send a request to a peer.

        Args:
            address: Control address of the peer, `ip:port`.
            request: What to send.

        Returns:
            Fires with the reply, or fails with `ExchangeError` by the deadline.
        """
        message = control_messages.request_to_wire(request)
        self.bytes_sent += message.ByteSize()
        channel = self._channel_to(address)
        channel.waiting += 1
        result: defer.Deferred[control_messages.Reply] = defer.Deferred()
        call = channel.exchange.future(message, timeout=self._deadline_seconds)
        call.add_done_callback(
            lambda done: self._reactor.callFromThread(self._done, address, channel, done, result)
        )
        return result

    def close(self) -> None:
        """Close all channels; exchanges still waiting fail."""
        for channel in self._channels.values():
            channel.channel.close()
        self._channels.clear()

    def open_channels(self) -> int:
        """Return the number of cached channels, for the state dump."""
        return len(self._channels)

    def dump(self) -> dict[str, int]:
        """Return counts for the state dump."""
        return {
            'bytes_sent': self.bytes_sent,
            'bytes_received': self.bytes_received,
            'channels': len(self._channels),
        }

    def _channel_to(self, address: str) -> _Channel:
        found = self._channels.get(address)
        if found is None:
            found = _open(address)
            self._channels[address] = found
            while len(self._channels) > self._max_channels:
                _, oldest = self._channels.popitem(last=False)
                _retire(oldest)
        self._channels.move_to_end(address)
        return found

    def _done(self, address: str, channel: _Channel, call: Any, result: defer.Deferred) -> None:
        channel.waiting -= 1
        error = None if call.cancelled() else call.exception()
        if call.cancelled() or error is not None:
            # A silent connection stays silent; the next exchange opens a new one.
            if self._channels.get(address) is channel:
                self._channels.pop(address)
                channel.retired = True
            reason = 'cancelled' if error is None else error.code().name.lower()
            result.errback(ExchangeError(address, reason))
        else:
            self._deliver(address, call.result(), result)
        if channel.retired:
            _retire(channel)

    def _deliver(self, address: str, message: Any, result: defer.Deferred) -> None:
        self.bytes_received += message.ByteSize()
        try:
            reply = control_messages.reply_from_wire(message)
        except control_messages.MalformedError as error:
            result.errback(ExchangeError(address, str(error)))
            return
        result.callback(reply)


def _open(address: str) -> _Channel:
    # Imported here so that programs that embed only the logic do not load gRPC (9 MB).
    grpc = importlib.import_module('grpc')
    stubs = importlib.import_module('anvillug.connection._control_pb2_grpc')
    options = (
        ('grpc.max_receive_message_length', control_messages.MAX_MESSAGE_BYTES),
        ('grpc.enable_http_proxy', 0),
        # Channels with equal options share connections otherwise, silent ones included.
        ('grpc.use_local_subchannel_pool', 1),
        ('grpc.enable_retries', 0),
    )
    channel = grpc.insecure_channel(address, options=options)
    return _Channel(channel, stubs.ControlStub(channel).Exchange)


def _retire(channel: _Channel) -> None:
    channel.retired = True
    if not channel.waiting:
        channel.channel.close()
