"""Tests of the results of jobs."""

from __future__ import annotations

import pytest

from anvillug.connection import http_head
from anvillug.request import job


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
