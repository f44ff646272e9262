"""Request whose body is sent slowly, as over a slow connection."""

from __future__ import annotations

import hashlib
import json
from typing import Any

import treq
from twisted.internet import defer, interfaces, task
from twisted.web import iweb
from zope.interface import implementer

from anvillug import clock
from anvillug.standin import backend_exchange

_PIECE_COUNT = 40
_STATUS_OK = 200
_RESPONSE_TIMEOUT_S = 15


@implementer(iweb.IBodyProducer)
class SlowBody:
    """Writes a body in pieces of equal size, spread over a duration.

    Args:
        reactor: Reactor that provides the timers.
        body: Body to write.
        duration_ms: Time from the first piece to the last.
    """

    def __init__(self, reactor: interfaces.IReactorTime, body: bytes, duration_ms: float) -> None:
        self.length = len(body)
        self.written = 0
        self._reactor = reactor
        self._body = body
        self._piece_bytes = max(len(body) // _PIECE_COUNT, 1)
        self._pause_s = clock.to_seconds(duration_ms) * self._piece_bytes / max(len(body), 1)
        self._stopped = False

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:  # noqa: N802 Twisted's name
        """Write the pieces; the returned deferred fires after the last one."""
        return defer.ensureDeferred(self._write(consumer))

    def stopProducing(self) -> None:  # noqa: N802 Twisted's name
        """Stop writing."""
        self._stopped = True

    def pauseProducing(self) -> None:  # noqa: N802 Twisted's name
        """Ignore backpressure: the pieces are small and slow."""

    def resumeProducing(self) -> None:  # noqa: N802 Twisted's name
        """Ignore backpressure; see `pauseProducing`."""

    async def _write(self, consumer: Any) -> None:
        while self.written < self.length and not self._stopped:
            piece = self._body[self.written : self.written + self._piece_bytes]
            consumer.write(piece)
            self.written += len(piece)
            await task.deferLater(self._reactor, self._pause_s)


async def send(
    reactor: Any,
    url: str,
    service: str,
    tag: str,
    body_bytes: int,
    duration_ms: float,
) -> str:
    """Upload a body slowly and check the response.

    Args:
        reactor: Twisted reactor.
        url: Entry address with path.
        service: First label of the `Host` header.
        tag: Text that the backend server echoes in its response.
        body_bytes: Length of the body in bytes.
        duration_ms: Time over which the body is sent.

    Returns:
        `whole` if the response is complete and belongs to the upload; otherwise a description
        of the failure.
    """
    pattern = f'{tag};'.encode()
    body = (pattern * (body_bytes // len(pattern) + 1))[:body_bytes]
    producer = SlowBody(reactor, body, duration_ms)
    try:
        response = await treq.post(
            url,
            data=producer,
            headers={'Host': f'{service}.local', backend_exchange.TAG_HEADER: tag},
            reactor=reactor,
            persistent=False,
            timeout=clock.to_seconds(duration_ms) + _RESPONSE_TIMEOUT_S,
        )
        text = await treq.text_content(response)
    except Exception as failure:  # noqa: BLE001 treq raises many types
        return f'{failure!r} after {producer.written} of {body_bytes} bytes were sent'
    if response.code != _STATUS_OK:
        return f'status {response.code}: {text.strip()}'
    echoed = json.loads(text)
    digest = hashlib.sha256(body).hexdigest()
    if (echoed['tag'], echoed['body_bytes'], echoed['body_sha256']) != (tag, body_bytes, digest):
        return f'response to another request: {text}'
    return 'whole'
