"""What became of a job."""

from __future__ import annotations

import pytest

from anvillug.connection import http_head
from anvillug.request import job


def _answer(status: int) -> job.Result:
    return job.Result(job.ResultKind.ANSWERED, head=http_head.ResponseHead(status, []))


class TestEvidence:
    """Guards against versions that are condemned for overload, or for faults of nodes."""

    @pytest.mark.parametrize(
        ('result', 'tells'),
        [
            (_answer(200), True),
            (_answer(500), True),
            (job.Result(job.ResultKind.UNKNOWN, 'lost'), True),
            (job.Result(job.ResultKind.UNKNOWN, 'lost', node_failed=True), False),
            (job.Result(job.ResultKind.SHED), False),
            (job.Result(job.ResultKind.REFUSED), False),
        ],
    )
    def test_results_that_tell_of_the_version(self, result, tells):
        assert result.tells_of_version is tells

    def test_failure_is_an_answer_of_the_backend_server(self):
        assert _answer(500).failed
        assert not _answer(404).failed
        assert not job.Result(job.ResultKind.UNKNOWN).failed
