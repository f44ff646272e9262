"""Crowds of clients that do not behave in the fault soak, and the checks beside them."""

from __future__ import annotations

import itertools
import types

import pytest

from anvillug import clock
from anvillug.bench import soak_output, soak_records, soak_unruly, unruly_callers
from tests import soak_examples
from tests.test_soak_orders import FleetDouble

_CROWD = soak_records.Disturbance.CROWD
_DURATION_S = 60


class _Fleet(FleetDouble):
    """Fleet without processes, which keeps the disturbances of its hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.after_stop = []
        self.disturbed = []
        self.hosts = [
            types.SimpleNamespace(
                number=number, address=f'127.0.0.{number}:{{}}'.format, bound_addresses={}
            )
            for number in range(4)
        ]

    def disturb(self, host, kind):
        """Record what is done to a host."""
        self.disturbed.append((self.clock.seconds(), host.number, kind))


class _Process:
    """Process that does nothing."""

    def __init__(self) -> None:
        self.killed = False

    def kill(self):
        """Record the end."""
        self.killed = True


class TestCrowds:
    """Guards against crowds that never come, come all at once, or outlive the soak."""

    @pytest.fixture
    def fleet(self):
        """Return a fleet."""
        return _Fleet()

    @pytest.fixture
    def started(self, fleet, monkeypatch):
        """Return the crowds that have started, each with its time and its process."""
        started = []

        def start(plan):
            started.append((fleet.clock.seconds(), plan, _Process()))
            return started[-1][-1]

        monkeypatch.setattr(unruly_callers, 'start', start)
        return started

    def _play(self, fleet, seed=1):
        crowds = soak_unruly.Crowds(fleet, seed, _DURATION_S)
        crowds.begin()
        fleet.clock.pump(itertools.repeat(0.1, 10 * (_DURATION_S + 20)))
        return crowds

    @pytest.mark.parametrize('seed', range(5))
    def test_one_after_the_other_in_the_time_of_the_soak(self, fleet, started, seed):
        crowds = self._play(fleet, seed)
        assert len(started) > 2
        assert crowds.counts.total() == len(started)
        assert started[-1][0] < _DURATION_S
        for (begin_s, plan, _), (next_s, _, _) in itertools.pairwise(started):
            assert begin_s + plan.duration_s < next_s

    @pytest.mark.parametrize('seed', range(5))
    def test_nodes_habits_and_clients(self, fleet, started, seed):
        self._play(fleet, seed)
        for _, plan, _ in started:
            assert 1 <= len(plan.addresses) <= 2
            assert 1 <= len(set(plan.habits)) <= 2
            assert 10 <= plan.clients <= unruly_callers.MAX_CLIENTS

    def test_seed(self, fleet, started):
        self._play(fleet, 7)
        first = [plan for _, plan, _ in started]
        started.clear()
        self._play(_Fleet(), 7)
        assert [plan for _, plan, _ in started] == first

    def test_other_faults_keep_their_source_of_choices(self, fleet, started):
        before = fleet.rng.getstate()
        self._play(fleet)
        assert fleet.rng.getstate() == before

    def test_processes_end_with_the_soak(self, fleet, started):
        self._play(fleet)
        for action in fleet.after_stop:
            action()
        assert all(process.killed for _, _, process in started)

    def test_node_behind_a_link(self, fleet, started):
        for host in fleet.hosts:
            host.bound_addresses = {host.address(2): 'bound'}
        self._play(fleet)
        assert {address for _, plan, _ in started for address in plan.addresses} == {'bound'}

    def test_marks_of_the_nodes(self, fleet, started):
        self._play(fleet)
        begin_s, plan, _ = started[0]
        numbers = {int(address[8:].partition(':')[0]) for address in plan.addresses}
        end_s = begin_s + plan.duration_s
        marks = [each for each in fleet.disturbed if each[0] < started[1][0]]
        assert {(number, kind) for _, number, kind in marks} == {(n, _CROWD) for n in numbers}
        assert end_s + 2 <= max(at for at, _, _ in marks) <= end_s + 4


class TestExcuses:
    """Guards against a crowd that excuses more than what is demanded in time."""

    @pytest.fixture
    def records(self):
        """Return records of a crowd at node 0."""
        records = soak_records.Records()
        records.disturb(0, soak_examples.STOP_AT, _CROWD)
        return records

    def test_late_answer(self, records):
        attempt = soak_examples.cut(records, ended_at=12_000, timeout_ms=1000)
        attempt.status = 504
        soak_examples.assert_held(records)

    def test_late_answer_of_another_node(self, records):
        attempt = soak_examples.cut(records, ended_at=12_000, timeout_ms=1000)
        attempt.status = 504
        attempt.node = 1
        assert soak_examples.broken(records) == ['CONFIG unanswered a0']

    def test_cuts_on_kept_connections(self, records):
        for number in range(4):
            soak_examples.cut(records, number, kept=True)
            run = soak_records.Run(1, clock.Milliseconds(10_050))
            records.arrived(f'a{number}', run, None)
            run.broke_off = False
        records.disturb(1, soak_examples.STOP_AT, soak_examples.UNPLANNED)
        assert soak_examples.broken(records) == [
            f'LOST kept connection a{number}' for number in range(4)
        ]

    def test_cut_around_a_stop(self, records):
        records.disturb(0, soak_examples.STOP_AT, soak_examples.PLANNED)
        soak_examples.cut(records)
        soak_examples.run(records)
        records.runs_by_attempt_id['a0'] = records.runs_by_attempt_id.pop('a1')
        assert soak_examples.broken(records) == ['LOST a0']


class TestLastWarnings:
    """Guards against an end by memory whose log is lost in that of the others."""

    def test_last_warnings_and_states(self):
        lines = [
            'time_ms=1 level=warn event=a',
            'time_ms=2 level=info event=process_state memory_mb=1',
            'time_ms=3 level=info event=b',
            'time_ms=4 level=error event=c',
            'time_ms=5 level=warning event=d',
        ]
        output = types.SimpleNamespace(text=lambda: '\n'.join(lines))
        assert soak_output.last_warnings(output) == [lines[1], lines[3], lines[4]]
