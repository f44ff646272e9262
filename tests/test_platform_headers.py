"""Tests of reading and writing the platform's headers."""

from __future__ import annotations

import math

import pytest

from anvillug import ids
from anvillug.connection import http_head
from anvillug.platform import headers
from anvillug.request import dialect

_DIALECT = headers.PlatformDialect()
_SEAL = (b'Anvillug-Server-Seal', b'1.2')


def _response(status: int, *pairs: tuple[bytes, bytes]) -> http_head.ResponseHead:
    return http_head.ResponseHead(status, list(pairs))


class TestClassify:
    """Guards against accepting responses to another request or from another sender."""

    @pytest.mark.parametrize(
        ('head', 'kind'),
        [
            (_response(200, (b'Anvillug-Attempt-Id', b'a'), _SEAL), dialect.ReplyKind.RESPONSE),
            (_response(500, (b'Anvillug-Attempt-Id', b'a'), _SEAL), dialect.ReplyKind.RESPONSE),
            (_response(200, (b'Anvillug-Attempt-Id', b'b'), _SEAL), dialect.ReplyKind.FOREIGN),
            (_response(200, (b'Anvillug-Attempt-Id', b'a')), dialect.ReplyKind.FOREIGN),
            (_response(200, _SEAL), dialect.ReplyKind.FOREIGN),
            (_response(503, (b'Anvillug-Not-Executed', b'1')), dialect.ReplyKind.NOT_RUN),
            (_response(421, (b'Anvillug-Instance-Id', b'x')), dialect.ReplyKind.OTHER_INSTANCE),
            (_response(503), dialect.ReplyKind.FOREIGN),
        ],
    )
    def test_kind(self, head: http_head.ResponseHead, kind: dialect.ReplyKind):
        assert _DIALECT.classify(head, 'a') is kind


class TestRequestHeaders:
    """Guards against callers that set headers reserved for the node."""

    def test_forged_headers_are_removed(self):
        sent = [
            (b'Anvillug-Attempt-Id', b'a'),
            (b'anvillug-caller-service', b'forged'),
            (b'Anvillug-Expect-Instance', b'forged'),
            (b'Anvillug-Deadline-Ms', b'5'),
            (b'Connection', b'close, X-Hop'),
            (b'X-Hop', b'1'),
            (b'X-Kept', b'2'),
        ]
        head = http_head.RequestHead(b'GET', b'/', sent)
        assert _DIALECT.forward_headers(head, 'one') == [
            (b'Anvillug-Attempt-Id', b'a'),
            (b'X-Kept', b'2'),
            (b'Anvillug-Caller-Service', b'one'),
        ]

    def test_dispatch_headers_contain_remaining_time_and_instance(self):
        assert _DIALECT.dispatch_headers(12.9, ids.InstanceId('i')) == [
            (b'Anvillug-Deadline-Ms', b'12'),
            (b'Anvillug-Expect-Instance', b'i'),
        ]

    @pytest.mark.parametrize('text', [b'', b'-5', b'1e9', b'x', b'9' * 40])
    def test_malformed_deadline_is_ignored(self, text: bytes):
        head = http_head.RequestHead(b'GET', b'/', [(b'Anvillug-Deadline-Ms', text)])
        assert _DIALECT.read_attributes(head).deadline_ms == math.inf


class TestLoad:
    """Guards against load and health headers that are misread."""

    def test_four_values(self):
        head = _response(200, (b'Anvillug-Server-Load', b'3,1,8,250'))
        assert _DIALECT.read_load(head) == dialect.ReportedLoad(3, 1, 8, 250)

    def test_slowness_defaults_to_the_baseline(self):
        head = _response(200, (b'Anvillug-Server-Load', b'3,0,8'))
        assert _DIALECT.read_load(head).slowness == 100

    @pytest.mark.parametrize('text', [b'', b'1,2', b'a,b,c', b'1,2,-3', b'1,2,3,x'])
    def test_malformed_load_is_none(self, text: bytes):
        assert _DIALECT.read_load(_response(200, (b'Anvillug-Server-Load', text))) is None

    def test_health_report(self):
        head = _response(
            503, (b'Anvillug-Instance-Id', b'i'), (b'Anvillug-Cold-Ms', b'1500'), _SEAL
        )
        report = _DIALECT.read_health(head)
        assert (report.healthy, report.instance, report.cold_ms) == (False, 'i', 1500)
