"""HTTP interface for operators and for the local backend server."""

from __future__ import annotations

import json
from typing import Annotated, Any
from typing import Protocol as Interface

import klein
import pydantic

from anvillug import event_log, findings, ids, validation
from anvillug.connection import client_guard, web_site
from anvillug.process import backend_watch

_STATUS_ACCEPTED = 202
_STATUS_BAD_REQUEST = 400
_STATUS_TOO_LARGE = 413
_STATUS_UNAVAILABLE = 503
_MAX_ANNOUNCEMENT_BYTES = 16 * 1024


class Announcement(validation.Model):
    """Announcement that a backend server sends to its node."""

    service: str = pydantic.Field(min_length=1, max_length=64)
    """Service that it serves."""
    version: str = pydantic.Field(min_length=1, max_length=64)
    """Version that it runs."""
    address: validation.Address
    """Address that accepts calls, as IP:port."""
    slots: int = pydantic.Field(ge=1, le=100_000)
    """Maximum number of concurrent calls."""
    connections: int = pydantic.Field(ge=1, le=1_000_000)
    """Maximum number of connections."""
    incarnation: Annotated[str, pydantic.Field(min_length=1, max_length=128)] | int
    """Identifies one start of the backend server."""
    state: str = pydantic.Field(default='serving', pattern='^(serving|leaving)$')
    """`serving` or `leaving`."""


class NodeView(Interface):
    """Operations of the node that the interface uses."""

    def dump(self) -> dict[str, Any]:
        """Return the state of the process."""

    def config_number(self) -> ids.ConfigNumber:
        """Return the configuration number in effect."""

    def is_serving(self) -> bool:
        """Return whether the node accepts new calls."""

    def drain(self) -> None:
        """Start a graceful stop."""

    def announced(self, backend: backend_watch.Backend) -> None:
        """Record an announcement of the backend server."""


class OperatorApi:
    """Routes of the operator address.

    Args:
        node: Node that the interface shows and controls.
    """

    app = klein.Klein()

    def __init__(self, node: NodeView) -> None:
        self._node = node

    def site(self, guard: client_guard.ClientGuard) -> web_site.Site:
        """Return the protocol factory for the listener.

        Args:
            guard: Limits of its clients.
        """
        return web_site.Site(self.app.resource(), guard)

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
        """Return whether the node accepts new calls, with status 200 if so and 503 otherwise."""
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
        """Record an announcement, or respond with all findings if it is invalid or too large."""
        body = request.content.read(_MAX_ANNOUNCEMENT_BYTES + 1)
        if len(body) > _MAX_ANNOUNCEMENT_BYTES:
            message = f'exceeds {_MAX_ANNOUNCEMENT_BYTES} bytes'
            problems = findings.single('announcement', message)
            return _reject_announcement(request, _STATUS_TOO_LARGE, problems)
        try:
            announcement = Announcement.model_validate_json(body)
        except pydantic.ValidationError as error:
            problems = validation.findings_of(error, 'announcement')
            return _reject_announcement(request, _STATUS_BAD_REQUEST, problems)
        self._node.announced(
            backend_watch.Backend(
                service=ids.ServiceName(announcement.service),
                version=ids.VersionName(announcement.version),
                address=announcement.address,
                slots=announcement.slots,
                connections=announcement.connections,
                incarnation=str(announcement.incarnation),
                leaving=announcement.state == 'leaving',
            ),
        )
        return _json(request, {})


def _reject_announcement(request: Any, status: int, problems: findings.Findings) -> bytes:
    request.setResponseCode(status)
    event_log.warn('announcement_rejected', faults=len(problems))
    return _json(request, {'findings': [str(problem) for problem in problems]})


def _json(request: Any, data: object) -> bytes:
    request.setHeader('Content-Type', 'application/json')
    text = json.dumps(data, indent=1, default=str)
    return f'{text}\n'.encode()
