"""HTTP interface for operators and for the backend server beside the node."""

from __future__ import annotations

import json
from typing import Annotated, Any
from typing import Protocol as Interface

import klein
import pydantic
from twisted.web import server

from anvillug import event_log, ids, validation
from anvillug.process import backend_watch

_STATUS_ACCEPTED = 202
_STATUS_BAD_REQUEST = 400
_STATUS_UNAVAILABLE = 503
_MAX_ANNOUNCEMENT_BYTES = 16 * 1024


class Announcement(validation.Model):
    """What a backend server tells of itself."""

    service: str = pydantic.Field(min_length=1, max_length=64)
    """Service that it serves."""
    version: str = pydantic.Field(min_length=1, max_length=64)
    """Version that it runs."""
    address: validation.Address
    """IP:port that takes calls."""
    slots: int = pydantic.Field(ge=1, le=100_000)
    """Calls that it runs at once."""
    connections: int = pydantic.Field(ge=1, le=1_000_000)
    """Connections that it accepts."""
    incarnation: Annotated[str, pydantic.Field(min_length=1, max_length=128)] | int
    """Changes with each start."""
    state: str = pydantic.Field(default='serving', pattern='^(serving|leaving)$')
    """`serving` or `leaving`."""


class NodeView(Interface):
    """What the interface needs from the node."""

    def dump(self) -> dict[str, Any]:
        """Return the state of the process."""

    def config_number(self) -> ids.ConfigNumber:
        """Return the configuration number in effect."""

    def is_serving(self) -> bool:
        """Tell whether the node takes new work."""

    def drain(self) -> None:
        """Start a graceful stop."""

    def announced(self, backend: backend_watch.Backend) -> None:
        """Take an announcement of the backend server."""


class OperatorApi:
    """Routes of the operator address.

    Args:
        node: Node that is looked at and told what to do.
    """

    app = klein.Klein()

    def __init__(self, node: NodeView) -> None:
        self._node = node

    def site(self) -> server.Site:
        """Return the factory to listen with."""
        return server.Site(self.app.resource())

    @app.route('/state', methods=['GET'])
    def state(self, request: Any) -> bytes:
        """Return the state dump as JSON."""
        return _json(request, self._node.dump())

    @app.route('/config', methods=['GET'])
    def config(self, request: Any) -> bytes:
        """Return the configuration number in effect."""
        return _json(request, {'number': self._node.config_number()})

    @app.route('/health', methods=['GET'])
    def health(self, request: Any) -> bytes:
        """Tell whether the node takes new work: 200, else 503."""
        serving = self._node.is_serving()
        if not serving:
            request.setResponseCode(_STATUS_UNAVAILABLE)
        return _json(request, {'serving': serving})

    @app.route('/drain', methods=['POST'])
    def drain(self, request: Any) -> bytes:
        """Start a graceful stop."""
        self._node.drain()
        request.setResponseCode(_STATUS_ACCEPTED)
        return _json(request, {'state': 'leaving'})

    @app.route('/announce', methods=['POST'])
    def announce(self, request: Any) -> bytes:
        """Take an announcement; 400 with all findings where it is invalid."""
        body = request.content.read(_MAX_ANNOUNCEMENT_BYTES)
        try:
            told = Announcement.model_validate_json(body)
        except pydantic.ValidationError as error:
            request.setResponseCode(_STATUS_BAD_REQUEST)
            event_log.warn('announcement_rejected', faults=error.error_count())
            found = [str(each) for each in validation.findings_of(error, 'announcement')]
            return _json(request, {'findings': found})
        self._node.announced(
            backend_watch.Backend(
                service=ids.ServiceName(told.service),
                version=ids.VersionName(told.version),
                address=told.address,
                slots=told.slots,
                connections=told.connections,
                incarnation=str(told.incarnation),
                leaving=told.state == 'leaving',
            ),
        )
        return _json(request, {})


def _json(request: Any, data: object) -> bytes:
    request.setHeader('Content-Type', 'application/json')
    text = json.dumps(data, indent=1, default=str)
    return f'{text}\n'.encode()
