"""Tests of rollout orders of which the operator's log holds several records."""

from __future__ import annotations

import dataclasses
import logging

import pytest

from anvillug import clock, ids
from anvillug.version import directives, rollout, rollout_call, rollouts

_SERVICE = ids.ServiceName('one')
_DURATION_MS = 12_000.0
# The operator has written the lost records again by then.
_LATER_MS = 60_000.0


def _order(version: str, era: int, offset: int) -> directives.RolloutOrder:
    position = directives.Position(era, offset)
    return directives.RolloutOrder(_SERVICE, ids.VersionName(version), _DURATION_MS, position)


@dataclasses.dataclass(frozen=True)
class _Host:
    host_id: ids.HostId
    version: ids.VersionName


class _OrderSetup:
    """One node that reads the operator's log."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(1000)
        self.rollouts = rollouts.Rollouts(self.time, rollout.Exposure(0.1, 50), lambda: None)

    @property
    def current(self) -> rollout.Rollout:
        return self.rollouts.by_service[_SERVICE]

    @property
    def order(self) -> directives.RolloutOrder:
        return self.current.order

    def read(self, version: str, era: int, offset: int) -> None:
        """Read the newest record of the service's order."""
        order = _order(version, era, offset)
        self.rollouts.apply_orders(
            directives.Directives(order.position, rollouts_by_service={_SERVICE: order})
        )

    def read_without_order(self, era: int, offset: int) -> None:
        self.rollouts.apply_orders(directives.Directives(directives.Position(era, offset)))

    def record_call(self) -> None:
        call = rollout_call.Call(
            _SERVICE, ids.RouteName('r'), ids.HostId('h'), self.order.target_version, 60, 100, 200
        )
        self.rollouts.record(call)


@pytest.fixture
def order_setup():
    """Return a node on which a rollout is in progress; its order is at offset 7."""
    setup = _OrderSetup()
    setup.read('v2', 1, 7)
    setup.record_call()
    return setup


class TestRepeatedOrder:
    """Guards against a rollout that starts again because its order was written again."""

    @pytest.mark.parametrize(
        'phase', [rollout.Phase.CANARY, rollout.Phase.COMPLETED, rollout.Phase.REVERTED]
    )
    @pytest.mark.parametrize('copy_has_order', [True, False])
    def test_order_is_written_again_after_a_restore(self, order_setup, phase, copy_has_order):
        order_setup.current.adopt(phase, 'test')
        if copy_has_order:
            order_setup.read('v2', 2, 7)
        else:
            order_setup.read_without_order(2, 5)
        order_setup.read('v2', 2, 8)
        assert order_setup.current.phase is phase
        assert order_setup.current.evidence.total.new.calls == 1
        assert order_setup.order == _order('v2', 2, 8)

    @pytest.mark.parametrize('phase', [rollout.Phase.CANARY, rollout.Phase.COMPLETED])
    def test_order_is_written_again_long_after_the_restore(self, order_setup, phase):
        order_setup.current.adopt(phase, 'test')
        order_setup.read('v2', 2, 7)
        order_setup.time.advance(_LATER_MS)
        order_setup.read('v2', 2, 8)
        assert order_setup.current.phase is phase
        assert order_setup.current.evidence.total.new.calls == 1

    @pytest.mark.parametrize('phase', [rollout.Phase.CANARY, rollout.Phase.COMPLETED])
    def test_order_is_repeated_without_a_restore(self, order_setup, phase):
        order_setup.current.adopt(phase, 'test')
        order_setup.read('v2', 1, 20)
        assert order_setup.current.phase is phase
        assert order_setup.current.evidence.total.new.calls == 1

    def test_reports_of_nodes_that_read_the_order_again_match(self, order_setup):
        other = _OrderSetup()
        other.read('v2', 2, 8)
        order_setup.read('v2', 2, 7)
        order_setup.read('v2', 2, 8)
        reporter = (ids.HostId('other'), ids.Incarnation(1))
        other.rollouts.receive_report(reporter, order_setup.rollouts.encode_report())
        assert other.current.evidence.total.new.calls == 1


class TestSupersededOrder:
    """Guards against an older order of the copy that replaces a newer one, which was lost."""

    @pytest.fixture
    def succeeded_setup(self, order_setup):
        """Return a node on which a second rollout is in progress; its order is at offset 20."""
        order_setup.current.adopt(rollout.Phase.COMPLETED, 'test')
        order_setup.read('v3', 1, 20)
        order_setup.record_call()
        return order_setup

    def test_order_of_the_copy_does_not_supersede(self, succeeded_setup):
        succeeded_setup.read('v2', 2, 7)
        assert succeeded_setup.order.target_version == 'v3'

    def test_lost_order_that_is_written_again_does_not_start_again(self, succeeded_setup):
        succeeded_setup.read('v2', 2, 7)
        succeeded_setup.read('v3', 2, 8)
        assert succeeded_setup.current.evidence.total.new.calls == 1
        assert succeeded_setup.order == _order('v3', 2, 8)

    def test_order_of_the_copy_does_not_supersede_later(self, succeeded_setup):
        for _ in range(2):
            succeeded_setup.read('v2', 2, 7)
            succeeded_setup.time.advance(_LATER_MS)
        assert succeeded_setup.order.target_version == 'v3'

    def test_node_that_reads_the_copy_late_keeps_its_order(self, succeeded_setup):
        succeeded_setup.read_without_order(2, 5)
        succeeded_setup.time.advance(_LATER_MS)
        succeeded_setup.read('v2', 2, 7)
        assert succeeded_setup.order.target_version == 'v3'

    def test_decision_is_logged_once(self, succeeded_setup, caplog):
        caplog.set_level(logging.INFO)
        for _ in range(2):
            succeeded_setup.read('v2', 2, 7)
        succeeded_setup.read('v3', 2, 8)
        lines = [line for line in caplog.messages if 'rollout_order' in line]
        assert [line.partition(' phase=')[0] for line in lines] == [
            'event=rollout_order_repeated service=one target_version=v2 position=2:7'
            ' reason="superseded order"',
            'event=rollout_order_repeated service=one target_version=v3 position=2:8'
            ' reason="current order"',
        ]

    def test_superseded_order_that_is_written_again_is_ignored(self, succeeded_setup):
        succeeded_setup.read_without_order(2, 5)
        for offset in (5, 6):
            succeeded_setup.read('v2', 2, offset)
        assert succeeded_setup.order.target_version == 'v3'

    def test_superseded_order_is_ignored_after_each_of_two_restores(self, succeeded_setup):
        for era in (2, 3):
            succeeded_setup.read('v2', era, 7)
            succeeded_setup.read('v3', era, 8)
        assert succeeded_setup.order == _order('v3', 3, 8)
        assert succeeded_setup.current.evidence.total.new.calls == 1


class TestInterruptedOrder:
    """Guards against a lost order that is ignored when it is written again.

    A node that started after the order does not know that the order of the copy is an older one.
    """

    @pytest.fixture
    def interrupted_setup(self):
        """Return a node that knows only the second order, and then reads the first in the copy."""
        setup = _OrderSetup()
        setup.read('v3', 1, 20)
        setup.record_call()
        setup.read('v2', 2, 7)
        return setup

    def test_rollout_continues(self, interrupted_setup):
        interrupted_setup.read('v3', 2, 8)
        assert interrupted_setup.order == _order('v3', 2, 8)
        assert interrupted_setup.current.evidence.total.new.calls == 1

    def test_version_of_the_older_order_receives_calls_again(self, interrupted_setup):
        interrupted_setup.read('v3', 2, 8)
        hosts = [_Host(ids.HostId('a'), ids.VersionName('v2'))]
        assert interrupted_setup.rollouts.allowed(_SERVICE, hosts, 0.9) == hosts

    def test_older_order_that_is_written_again_is_ignored(self, interrupted_setup):
        interrupted_setup.read('v3', 2, 8)
        interrupted_setup.read('v2', 2, 9)
        interrupted_setup.read('v3', 2, 10)
        assert interrupted_setup.order == _order('v3', 2, 10)
        assert interrupted_setup.current.evidence.total.new.calls == 1

    def test_newer_order_continues_after_the_copy_lost_both_eras(self, order_setup):
        order_setup.read('v3', 2, 8)
        order_setup.record_call()
        order_setup.read('v2', 3, 7)
        order_setup.read('v3', 3, 8)
        assert order_setup.order == _order('v3', 3, 8)
        assert order_setup.current.evidence.total.new.calls == 1

    def test_status_of_an_earlier_era_is_forgotten(self, order_setup):
        order_setup.read('v3', 1, 20)
        status = rollout.Status(_SERVICE, ids.VersionName('v3'), rollout.Phase.COMPLETED)
        order_setup.rollouts.apply_status(status, directives.Position(1, 3))
        order_setup.read('v4', 2, 7)
        order_setup.read('v3', 2, 8)
        assert order_setup.current.phase is rollout.Phase.COMPLETED
        next_step = order_setup.current.next_step(order_setup.time.now())
        assert next_step is rollout.Step.COMPLETE

    def test_order_is_new_if_it_follows_much_later(self, interrupted_setup):
        interrupted_setup.time.advance(_LATER_MS)
        interrupted_setup.read('v3', 2, 8)
        assert interrupted_setup.order == _order('v3', 2, 8)
        assert not interrupted_setup.current.evidence.total.new.calls


class TestNewOrder:
    """Guards against a new order that is ignored because the log was restored."""

    def test_order_at_a_lower_offset_starts_its_rollout(self, order_setup):
        order_setup.read_without_order(2, 3)
        order_setup.read('v3', 2, 4)
        assert order_setup.order == _order('v3', 2, 4)

    def test_order_with_another_duration_starts_its_rollout(self, order_setup):
        order_setup.current.adopt(rollout.Phase.REVERTED, 'test')
        order_setup.read_without_order(2, 3)
        order = dataclasses.replace(_order('v2', 2, 4), duration_ms=2 * _DURATION_MS)
        order_setup.rollouts.apply_orders(
            directives.Directives(order.position, rollouts_by_service={_SERVICE: order})
        )
        assert order_setup.current.phase is rollout.Phase.CANARY

    def test_reverted_version_may_be_ordered_again_after_a_restore(self, order_setup):
        order_setup.current.adopt(rollout.Phase.REVERTED, 'test')
        order_setup.read('v2', 2, 7)
        order_setup.time.advance(_LATER_MS)
        order_setup.read('v2', 2, 20)
        assert order_setup.current.phase is rollout.Phase.CANARY

    @pytest.mark.parametrize('era', [1, 2])
    def test_earlier_version_may_be_ordered_again(self, order_setup, era):
        order_setup.read('v3', 1, 20)
        order_setup.read_without_order(era, 21)
        order_setup.time.advance(_LATER_MS)
        order_setup.read('v2', era, 30)
        assert order_setup.order == _order('v2', era, 30)

    # A good version that is ordered again would never be completed.
    def test_status_of_an_earlier_order_does_not_settle_it(self, order_setup):
        status = rollout.Status(_SERVICE, ids.VersionName('v2'), rollout.Phase.REVERTED)
        order_setup.rollouts.apply_status(status, directives.Position(1, 1))
        assert order_setup.current.phase is rollout.Phase.REVERTED
        order_setup.time.advance(_LATER_MS)
        order_setup.read('v2', 1, 9)
        assert order_setup.current.phase is rollout.Phase.CANARY

    def test_status_of_the_repeated_order_settles_it(self, order_setup):
        status = rollout.Status(_SERVICE, ids.VersionName('v2'), rollout.Phase.REVERTED)
        order_setup.rollouts.apply_status(status, directives.Position(1, 1))
        order_setup.read('v2', 1, 9)
        order_setup.rollouts.apply_status(status, directives.Position(1, 2))
        assert order_setup.current.phase is rollout.Phase.REVERTED


class TestOrderOfTheCopy:
    """Guards against a service without hosts, because the copy holds an order not read before."""

    def test_hosts_of_the_version_in_service_stay_available(self):
        # The node has started after v2 was completed, and knows only the order for v3.
        setup = _OrderSetup()
        setup.read('v3', 1, 20)
        hosts = [
            _Host(ids.HostId(f'h{version}'), ids.VersionName(version)) for version in ('v2', 'v3')
        ]
        setup.read('v2', 2, 8)
        allowed = setup.rollouts.allowed(_SERVICE, hosts, 0.99)
        assert {host.version for host in allowed} == {'v2'}

    # A bad version would get all calls while the hosts of the old one are restarted.
    def test_new_version_is_no_fallback_without_a_restore(self, order_setup):
        hosts = [_Host(ids.HostId('a'), ids.VersionName('v2'))]
        assert not order_setup.rollouts.allowed(_SERVICE, hosts, 0.99)
