"""Tests of the announcements of the backend server stand-in."""

from __future__ import annotations

import json

from twisted.internet import defer, reactor, task
from twisted.trial import unittest
from twisted.web import resource, server

from anvillug import clock
from anvillug.standin import backend_model, backend_server, http_api


class OperatorEndpoint(resource.Resource):
    """Operator endpoint of a node; records the announcements."""

    isLeaf = True  # noqa: N815 Twisted's name

    def __init__(self):
        super().__init__()
        self.announcements = []

    def render_POST(self, request):  # noqa: N802 Twisted's name
        assert request.path == b'/announce'
        self.announcements.append(json.loads(request.content.read()))
        request.setHeader(b'Connection', b'close')
        return b'{}'


class TestAnnouncer(unittest.TestCase):
    """Guards against missing announcements; one that fails must not prevent further ones."""

    def setUp(self):
        model = backend_model.BackendModel(backend_model.BackendSettings(version='v2'))
        self.factory = backend_server.BackendFactory(model, reactor, clock.SystemClock())

    def create_announcer(self, operator_address: str) -> backend_server.Announcer:
        return backend_server.Announcer(self.factory, '127.0.0.1:7', operator_address, 99)

    @defer.inlineCallbacks
    def test_announces_state_and_tolerates_unreachable_node(self):
        endpoint = OperatorEndpoint()
        port = reactor.listenTCP(0, server.Site(endpoint), interface='127.0.0.1')
        address = http_api.bound_address(port)
        announcer = self.create_announcer(address)
        yield announcer.announce()
        self.factory.model.apply_faults(backend_model.BackendFaults(leave=True))
        yield announcer.announce()
        yield port.stopListening()
        yield task.deferLater(reactor, 0.05)
        yield announcer.announce()  # must not raise
        states = [announcement.pop('state') for announcement in endpoint.announcements]
        assert states == ['serving', 'leaving']
        assert endpoint.announcements[0] == {
            'service': 'service',
            'version': 'v2',
            'address': '127.0.0.1:7',
            'slots': 10,
            'connections': 250,
            'incarnation': 99,
        }
