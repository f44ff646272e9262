"""Roll-outs of the fault soak, and the checks on them."""

from __future__ import annotations

import json
import random

import pytest

from anvillug import clock
from anvillug.bench import soak_backend, soak_records, soak_rollouts
from tests import soak_examples
from tests.test_soak_orders import FleetDouble

_ORDERED_AT = clock.Milliseconds(10_000)
_DUE_AT = 20_000


class _Host:
    """Host that records what is done to its backend server."""

    service = 'drawbook'

    def __init__(self) -> None:
        self.has_backend = True
        self.version = 'v1'
        self.failing_share = 0
        self.events = []

    def start_backend(self):
        """Record the start."""
        self.events.append(f'started {self.version}')

    def stop_backend(self):
        """Record the end."""
        self.events.append('ended')

    async def remove_backend(self):
        """Record the leave."""
        self.events.append('left')


class _Fleet(FleetDouble):
    """Fleet whose status tests set."""

    def __init__(self, seed=1) -> None:
        super().__init__(seed)
        self.hosts = [_Host() for _ in range(4)]
        self.states = {}

    def status(self, name):
        """Return the status."""
        return self.states.get(name, {})


class TestRollout:
    """Guards against roll-outs without backend servers of the new version, or of the old one."""

    @pytest.fixture
    def fleet(self):
        """Return a fleet."""
        return _Fleet()

    @pytest.fixture
    def begin(self, fleet):
        """Return the action."""
        rollouts = soak_rollouts.Rollouts(fleet, frozenset((soak_rollouts.ROLLOUT,)))
        return rollouts.actions_by_kind[soak_rollouts.ROLLOUT]

    def test_order(self, fleet, begin):
        begin()
        order = fleet.orders['rollout/drawbook']
        assert (order['Service'], order['TargetVersion']) == ('drawbook', 'v2')
        assert [host.events for host in fleet.hosts] == [['started v2'], [], ['started v2'], []]

    def test_other_kinds_leave_all_backend_servers(self, fleet):
        soak_rollouts.Rollouts(fleet, frozenset())
        assert all(host.has_backend for host in fleet.hosts)

    def test_bad_versions_fail(self):
        for seed in range(10):
            fleet = _Fleet(seed)
            kinds = frozenset((soak_rollouts.ROLLOUT,))
            soak_rollouts.Rollouts(fleet, kinds).actions_by_kind[soak_rollouts.ROLLOUT]()
            assert (fleet.hosts[0].failing_share == 0) is fleet.records.rollouts[0].is_good

    def test_old_version_ends_at_completion(self, fleet, begin):
        begin()
        _set_state(fleet, 'completed')
        assert [host.events[-1] for host in fleet.hosts] == [
            'started v2',
            'ended',
            'started v2',
            'ended',
        ]
        assert fleet.records.rollouts[0].state == 'completed'

    def test_new_version_leaves_after_a_roll_back(self, fleet, begin):
        begin()
        _set_state(fleet, 'reverted')
        assert not fleet.hosts[1].events
        fleet.clock.advance(3)
        assert [host.events for host in fleet.hosts[:2]] == [['started v2', 'left'], []]

    @pytest.mark.parametrize('state', ['completed', 'reverted'])
    def test_next_one(self, fleet, begin, state):
        begin()
        begin()
        assert len(fleet.records.rollouts) == 1
        _set_state(fleet, state)
        fleet.clock.advance(3)
        begin()
        new = fleet.hosts[1 if state == 'completed' else 0]
        assert new.events[-1] == 'started v3'


class TestFailingVersion:
    """Guards against a bad version that answers as well as a good one."""

    def test_runs_fail(self):
        records = soak_records.Records()
        backend = soak_backend.Backend(
            None, 3, 'drawbook', 'i', 1, 0, records, {}, random.Random(1), soak_backend.Behavior()
        )
        backend.failing_share = 1
        statuses = []
        run = soak_records.Run(3, clock.Milliseconds(0))
        exchange = type('', (), {'respond': lambda _, status, *rest: statuses.append(status)})()
        backend.work_ended(soak_backend._Work(backend, exchange, run, b'', ()))
        assert statuses == [500]
        assert run.failed_at == run.finished_at


class TestChecks:
    """Guards against a soak that does not see the exposure of a bad version."""

    @pytest.fixture
    def records(self):
        """Return records of a roll-out of a bad version that was reverted in time."""
        records = soak_records.Records()
        rollout = soak_records.Rollout('drawbook', 'v2', False, _ORDERED_AT, _DUE_AT)  # noqa: FBT003
        rollout.state = 'reverted'
        rollout.ended_at = 15_000
        records.rollouts.append(rollout)
        records.ended_at = 30_000
        return records

    @pytest.mark.parametrize(('new_count', 'is_exposed'), [(60, False), (61, True)])
    def test_share(self, records, new_count, is_exposed):
        _run(records, 100 - new_count, 'v1')
        _run(records, new_count, 'v2')
        broken = [f'EXPOSURE v2: {new_count} of 100 requests'] if is_exposed else []
        assert soak_examples.broken(records) == broken

    def test_good_version(self, records):
        records.rollouts[0].is_good = True
        _run(records, 100, 'v2')
        soak_examples.assert_held(records)

    @pytest.mark.parametrize(('failures', 'sent_at'), [(49, 20_000), (50, 17_000), (50, 17_001)])
    def test_request_after_the_roll_back(self, records, failures, sent_at):
        _run(records, 100, 'v1')
        _run(records, failures, 'v2', failed_at=12_000)
        _answer(records, sent_at)
        is_late = failures == 50 and sent_at > 17_000
        broken = ['EXPOSURE after the roll-back a1'] if is_late else []
        assert soak_examples.broken(records) == broken

    def test_request_after_the_roll_back_out_of_touch(self, records):
        _run(records, 100, 'v1')
        _run(records, 50, 'v2', failed_at=12_000)
        _answer(records, 17_001)
        records.disturb(1, clock.Milliseconds(11_000), soak_records.Disturbance.STORE)
        soak_examples.assert_held(records)

    @pytest.mark.parametrize(('ended_at', 'is_late'), [(22_000, False), (22_001, True)])
    @pytest.mark.parametrize('in_touch', [True, False])
    def test_end(self, records, ended_at, is_late, in_touch):
        soak_examples.answered(records, 503)
        records.rollouts[0].ended_at = ended_at
        if not in_touch:
            records.disturb(0, clock.Milliseconds(21_000), soak_records.Disturbance.STORE)
        broken = ['ROLLOUT without an end v2'] if is_late and in_touch else []
        assert soak_examples.broken(records) == broken


def _set_state(fleet, state):
    status = json.loads(f'{{"State": "{state}", "TargetVersion": "v2"}}')
    fleet.states['rollout/drawbook'] = status
    fleet.clock.advance(0.1)


def _run(records, count, version, **fields):
    for number in range(count):
        run = soak_records.Run(
            1, clock.Milliseconds(11_000), service='drawbook', version=version, **fields
        )
        records.arrived(f'{version}-{number}', run, None)


def _answer(records, sent_at):
    attempt = soak_examples.answered(records, 200, body=b'a1', sent_at=sent_at)
    attempt.repeatable = True
    run = soak_records.Run(1, clock.Milliseconds(sent_at + 50), service='drawbook', version='v2')
    records.arrived('a1', run, None)
