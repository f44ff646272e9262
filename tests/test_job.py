"""Tests of jobs and their results."""

from __future__ import annotations

import dataclasses
import math

import msgpack
import pytest

from anvillug import clock
from anvillug.connection import http_head
from anvillug.request import job, job_wire
from anvillug.version import directives

JOB = job.Job(
    attempt_id='a',
    service='s',
    route='r',
    head=http_head.RequestHead(b'GET', b'/', []),
    body=b'body',
    deadline=clock.Milliseconds(1000),
    repeatable=True,
    priority=1,
    position=directives.ORIGIN,
    instance='i',
)


def _make_answered(status: int) -> job.Result:
    return job.Result(job.ResultKind.ANSWERED, head=http_head.ResponseHead(status, []))


class TestEvidence:
    """Guards against versions that are rolled back for overload or for failures of nodes."""

    @pytest.mark.parametrize(
        ('result', 'is_evidence'),
        [
            (_make_answered(200), True),
            (_make_answered(500), True),
            (job.Result(job.ResultKind.UNKNOWN, 'lost'), True),
            (job.Result(job.ResultKind.UNKNOWN, 'lost', node_failed=True), False),
            (job.Result(job.ResultKind.SHED), False),
            (job.Result(job.ResultKind.REFUSED), False),
        ],
    )
    def test_results_that_are_evidence_on_the_version(self, result, is_evidence):
        assert result.is_version_evidence is is_evidence

    def test_failed_requires_an_error_response_of_the_backend_server(self):
        assert _make_answered(500).failed
        assert not _make_answered(404).failed
        assert not job.Result(job.ResultKind.UNKNOWN).failed


class TestWireForm:
    """Guards against hosts that know less of a waiting job than its sender, or the wrong time."""

    def test_host_knows_tenant_zone_and_time_left_to_the_objective(self):
        work = dataclasses.replace(
            JOB, tenant='t', origin_zone='z', objective=clock.Milliseconds(600)
        )
        received = job_wire.unpack_job(
            job_wire.pack_job(work, clock.Milliseconds(500)), clock.Milliseconds(9000)
        )
        assert (received.tenant, received.origin_zone, received.objective) == ('t', 'z', 9100)
        assert received.size == 4

    def test_job_of_an_older_release_has_no_objective(self):
        fields = msgpack.unpackb(job_wire.pack_job(JOB, clock.Milliseconds(500)))[:-3]
        received = job_wire.unpack_job(msgpack.packb(fields), clock.Milliseconds(9000))
        assert (received.tenant, received.origin_zone, received.objective) == ('', '', math.inf)
