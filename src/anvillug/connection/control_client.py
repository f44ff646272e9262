"""gRPC client of the control protocol; results arrive in the reactor thread."""

from __future__ import annotations

import collections
import dataclasses
import importlib
from typing import Any

from twisted.internet import defer

from anvillug.connection import control_messages, control_server

DEADLINE_MS = 1_000.0
MAX_CHANNELS = 16  # exchanges go to random peers, so more channels would mostly be idle
_MS_PER_SECOND = 1000.0


class ExchangeError(Exception):
    """An exchange failed: no reply was received, or it was malformed.

    Args:
        address: Control address of the peer.
        reason: gRPC status in lower case, or the fault of the reply.
    """

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f'exchange with {address} failed: {reason}')
        self.address = address
        """Control address of the peer."""
        self.reason = reason
        """gRPC status in lower case, or the fault of the reply."""


@dataclasses.dataclass(slots=True, eq=False)
class _Channel:
    """An open channel to a peer.

    A retired channel is closed once no exchange is in progress on it.
    """

    grpc_channel: Any
    exchange: Any
    """Sends a request over the channel."""
    in_progress: int = 0
    """Number of exchanges in progress."""
    retired: bool = False
    """Whether the channel has been removed from use."""


class ControlClient:
    """Sends requests to peers over a bounded number of channels.

    Args:
        reactor: Runs the callbacks of the results.
        deadline_ms: Time limit of an exchange.
        max_channels: Max open channels; beyond it, the least recently used one is closed.
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
        """Bytes of encoded requests, without framing."""
        self.bytes_received = 0
        """Bytes of encoded replies, without framing."""

    def exchange(
        self, address: str, request: control_messages.Request
    ) -> defer.Deferred[control_messages.Reply]:
        """Send a request to a peer.

        Args:
            address: Control address of the peer, `ip:port`.
            request: Request to send.

        Returns:
            Deferred of the reply; fails with `ExchangeError`, at the latest at the deadline.
        """
        message = control_messages.request_to_wire(request)
        self.bytes_sent += message.ByteSize()
        channel = self._channel_to(address)
        channel.in_progress += 1
        result: defer.Deferred[control_messages.Reply] = defer.Deferred()
        call = channel.exchange.future(message, timeout=self._deadline_seconds)
        call.add_done_callback(
            lambda done: self._reactor.callFromThread(
                self._exchange_done, address, channel, done, result
            )
        )
        return result

    def close(self) -> None:
        """Close all channels; exchanges in progress fail."""
        for channel in self._channels.values():
            channel.grpc_channel.close()
        self._channels.clear()

    def open_channel_count(self) -> int:
        """Return the number of cached channels."""
        return len(self._channels)

    def dump(self) -> dict[str, int]:
        """Return counts for the state dump."""
        return {
            'bytes_sent': self.bytes_sent,
            'bytes_received': self.bytes_received,
            'channels': len(self._channels),
        }

    def _channel_to(self, address: str) -> _Channel:
        cached = self._channels.get(address)
        if cached is None:
            cached = _open_channel(address)
            self._channels[address] = cached
            while len(self._channels) > self._max_channels:
                _, oldest = self._channels.popitem(last=False)
                _retire_channel(oldest)
        self._channels.move_to_end(address)
        return cached

    def _exchange_done(
        self, address: str, channel: _Channel, call: Any, result: defer.Deferred
    ) -> None:
        channel.in_progress -= 1
        error = None if call.cancelled() else call.exception()
        if call.cancelled() or error is not None:
            # An unresponsive connection does not recover; the next exchange opens a new channel.
            if self._channels.get(address) is channel:
                self._channels.pop(address)
                channel.retired = True
            reason = 'cancelled' if error is None else error.code().name.lower()
            result.errback(ExchangeError(address, reason))
        else:
            self._deliver_reply(address, call.result(), result)
        if channel.retired:
            _retire_channel(channel)

    def _deliver_reply(self, address: str, message: Any, result: defer.Deferred) -> None:
        self.bytes_received += message.ByteSize()
        try:
            reply = control_messages.reply_from_wire(message)
        except control_messages.MalformedError as error:
            result.errback(ExchangeError(address, str(error)))
            return
        result.callback(reply)


def _open_channel(address: str) -> _Channel:
    # Imported here, so that programs that use only the logic do not load gRPC (9 MB).
    grpc = importlib.import_module('grpc')
    stubs = importlib.import_module('anvillug.connection._control_pb2_grpc')
    options = (
        ('grpc.max_receive_message_length', control_messages.MAX_MESSAGE_BYTES),
        ('grpc.enable_http_proxy', 0),
        # Without it, channels with equal options share connections, even unresponsive ones.
        ('grpc.use_local_subchannel_pool', 1),
        ('grpc.enable_retries', 0),
    )
    grpc_channel = grpc.insecure_channel(address, options=options)
    return _Channel(grpc_channel, stubs.ControlStub(grpc_channel).Exchange)


def _retire_channel(channel: _Channel) -> None:
    channel.retired = True
    if not channel.in_progress:
        channel.grpc_channel.close()
