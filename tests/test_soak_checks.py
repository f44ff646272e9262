"""Checks of the fault soak for answers, kept connections and requests without an answer."""

from __future__ import annotations

import pytest

from anvillug import clock
from anvillug.bench import soak_records
from tests import soak_examples


class TestReplacedAnswer:
    """Guards against a stopping node that answers while the backend server works."""

    @pytest.fixture
    def records(self):
        """Return records of a request that has run and was answered after SIGTERM."""
        records = soak_records.Records()
        attempt = soak_examples.answered(records, 502)
        attempt.timeout_ms = 1000
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        return records

    def test_backend_server_at_work(self, records):
        soak_examples.run(records)
        assert soak_examples.broken(records) == ['LOST replaced a1']

    @pytest.mark.parametrize(('finished_at', 'is_lost'), [(10_100, False), (10_101, True)])
    def test_end_of_the_work(self, records, finished_at, is_lost):
        soak_examples.run(records)
        records.runs_by_attempt_id['a1'][0].finished_at = clock.Milliseconds(finished_at)
        assert bool(soak_examples.broken(records)) is is_lost

    def test_answer_of_the_backend_server(self, records):
        soak_examples.run(records)
        records.attempts[0].sealed = True
        soak_examples.assert_held(records)

    def test_request_that_did_not_run(self, records):
        soak_examples.assert_held(records)

    def test_without_stop(self, records):
        soak_examples.run(records)
        records.disturbed_by_node.clear()
        soak_examples.assert_held(records)

    def test_stop_of_the_node_beside_the_backend_server(self, records):
        soak_examples.run(records)
        records.disturbed_by_node.clear()
        records.disturb(1, soak_examples.STOP_AT, soak_examples.PLANNED)
        assert soak_examples.broken(records) == ['LOST replaced a1']

    def test_backend_server_that_broke_off(self, records):
        soak_examples.run(records)
        records.runs_by_attempt_id['a1'][0].broke_off = True
        soak_examples.assert_held(records)

    def test_timeout(self, records):
        soak_examples.run(records)
        records.attempts[0].timeout_ms = 100
        soak_examples.assert_held(records)

    @pytest.mark.parametrize('node', [0, 1])
    def test_kill(self, records, node):
        soak_examples.run(records)
        records.disturb(node, soak_examples.STOP_AT, soak_examples.UNPLANNED)
        soak_examples.assert_held(records)


class TestKeptConnections:
    """Guards against kept connections that a node closes under requests it has passed on."""

    @pytest.fixture
    def records(self):
        """Return records of four such requests, whose other node was killed."""
        records = soak_records.Records()
        for number in range(4):
            soak_examples.cut(records, number, kept=True)
            run = soak_records.Run(1, clock.Milliseconds(10_050))
            records.arrived(f'a{number}', run, None)
        records.disturb(1, soak_examples.STOP_AT, soak_examples.UNPLANNED)
        return records

    def test_more_than_three(self, records):
        assert soak_examples.broken(records) == [
            f'LOST kept connection a{number}' for number in range(4)
        ]

    def test_three(self, records):
        records.attempts.pop()
        soak_examples.assert_held(records)

    def test_new_connection(self, records):
        records.attempts[0].kept = False
        soak_examples.assert_held(records)

    def test_request_that_was_not_passed_on(self, records):
        records.passed_on.remove('a0')
        soak_examples.assert_held(records)

    def test_backend_server_that_broke_off(self, records):
        records.runs_by_attempt_id['a0'][0].broke_off = True
        soak_examples.assert_held(records)

    @pytest.mark.parametrize(
        'kind', [soak_examples.UNPLANNED, soak_examples.PLANNED, soak_records.Disturbance.START]
    )
    def test_node_out_of_touch(self, records, kind):
        records.disturb(0, soak_examples.STOP_AT, kind)
        soak_examples.assert_held(records)


class TestUnanswered:
    """Guards against requests that a node holds past their timeout."""

    @pytest.fixture
    def records(self):
        """Return records of two requests that exceeded their timeout, one of them for long."""
        records = soak_records.Records()
        for number, ended_at in enumerate((11_400, 12_000)):
            attempt = soak_examples.cut(records, number, ended_at=ended_at, timeout_ms=1000)
            attempt.status = 504
        return records

    def test_half(self, records):
        soak_examples.assert_held(records)

    @pytest.mark.parametrize(('ended_at', 'is_late'), [(11_500, False), (11_501, True)])
    def test_more_than_half(self, records, ended_at, is_late):
        records.attempts[0].ended_at = clock.Milliseconds(ended_at)
        late = [f'CONFIG unanswered a{number}' for number in range(2)]
        assert soak_examples.broken(records) == (late if is_late else [])

    @pytest.mark.parametrize('ended_at', [None, 12_000])
    def test_caller_that_gave_up(self, records, ended_at):
        records.attempts = records.attempts[1:]
        records.attempts[0].status = 0
        records.attempts[0].gave_up = True
        records.attempts[0].ended_at = ended_at
        assert soak_examples.broken(records) == ['CONFIG unanswered a1']

    @pytest.mark.parametrize(
        'kind', [soak_examples.UNPLANNED, soak_examples.PLANNED, soak_records.Disturbance.START]
    )
    @pytest.mark.parametrize(
        ('disturbed_at', 'is_late'), [(7000, True), (7001, False), (11_500, False), (11_501, True)]
    )
    def test_node_out_of_touch(self, records, kind, disturbed_at, is_late):
        records.attempts = records.attempts[1:]
        records.disturb(0, clock.Milliseconds(disturbed_at), kind)
        assert bool(soak_examples.broken(records)) is is_late

    def test_hangup_and_other_nodes_excuse_nothing(self, records):
        records.attempts = records.attempts[1:]
        records.disturb(0, clock.Milliseconds(10_100), soak_examples.HANGUP)
        records.disturb(1, clock.Milliseconds(10_100), soak_examples.UNPLANNED)
        assert soak_examples.broken(records) == ['CONFIG unanswered a1']
