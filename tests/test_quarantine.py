"""Tests of the quarantine of calls that crash backend servers."""

from __future__ import annotations

import itertools

import pytest

from anvillug import ids
from anvillug.request import quarantine

FINGERPRINT = quarantine.fingerprint('drawbook', 'POST', '/sheets/1', body=b'x')
OTHER_FINGERPRINT = quarantine.fingerprint('drawbook', 'POST', '/sheets/2', body=b'x')
PERIODS = quarantine.Periods(suspect_ms=100, quarantine_ms=1000, entries=4)
CLEAR, SUSPECT, QUARANTINED = quarantine.QuarantineState


def _make_quarantine(origin='a.1'):
    return quarantine.Quarantine(origin, PERIODS)


class TestFingerprint:
    """Guards against a quarantine that applies to other calls."""

    def test_parts_are_delimited(self):
        parts = [('ab', 'c', 'd', b''), ('a', 'bc', 'd', b''), ('a', 'b', 'cd', b'')]
        parts += [('a', 'b', 'c', b'd'), ('a', 'b', 'c', b'')]
        fingerprints = {quarantine.fingerprint(*texts, body=body) for *texts, body in parts}
        assert len(fingerprints) == len(parts)

    @pytest.mark.parametrize('size', [1, 4096, 100_000])
    def test_every_byte_of_the_body_is_included(self, size):
        start = b'x' * size
        bodies = (start, b'%s1' % start, b'%s2' % start, b'1%s' % start, b'%s%s1' % (start, start))
        assert len({quarantine.fingerprint('a', body=body) for body in bodies}) == len(bodies)

    def test_body_in_parts_has_the_same_fingerprint(self):
        request_hash = quarantine.RequestHash('a', 'b')
        for part in (b'1', b'23', b''):
            request_hash.update(part)
        assert request_hash.fingerprint == quarantine.fingerprint('a', 'b', body=b'123')


class TestCrashes:
    """Guards against a resent call that crashes one backend server after another."""

    def test_second_crash_quarantines(self):
        table = _make_quarantine()
        table.crashed([FINGERPRINT], 0)
        assert table.check(FINGERPRINT, 99) is SUSPECT
        table.crashed([FINGERPRINT], 99)
        assert table.check(FINGERPRINT, 1098) is QUARANTINED
        assert table.check(FINGERPRINT, 1100) is SUSPECT
        assert table.check(FINGERPRINT, 1200) is CLEAR

    def test_crash_after_the_window_counts_as_the_first(self):
        table = _make_quarantine()
        table.crashed([FINGERPRINT], 0)
        table.crashed([FINGERPRINT], 100)
        assert table.check(FINGERPRINT, 101) is SUSPECT

    def test_crash_is_attributed_only_to_the_suspect(self):
        table = _make_quarantine()
        table.crashed([FINGERPRINT], 0)
        table.crashed([FINGERPRINT, OTHER_FINGERPRINT], 1)
        assert table.check(FINGERPRINT, 2) is QUARANTINED
        assert table.check(OTHER_FINGERPRINT, 2) is CLEAR

    def test_crash_counts_once_for_calls_with_one_fingerprint(self):
        table = _make_quarantine()
        table.crashed([FINGERPRINT, FINGERPRINT], 0)
        assert table.check(FINGERPRINT, 1) is SUSPECT

    @pytest.mark.parametrize(
        'cause', [quarantine.LossCause.LEFT, quarantine.LossCause.CONNECTIONS_LOST]
    )
    def test_other_losses_do_not_make_calls_suspect(self, cause):
        table = _make_quarantine()
        assert not table.crashed([FINGERPRINT], 0, cause)
        assert table.check(FINGERPRINT, 0) is CLEAR

    @pytest.mark.parametrize(
        ('leaving', 'restarted', 'refused', 'cause'),
        [
            (True, True, True, quarantine.LossCause.LEFT),
            (False, True, False, quarantine.LossCause.CRASHED),
            (False, False, True, quarantine.LossCause.CRASHED),
            (False, False, False, quarantine.LossCause.CONNECTIONS_LOST),
        ],
    )
    def test_cause_of_lost_connections(self, leaving, restarted, refused, cause):
        actual_cause = quarantine.loss_cause(
            was_leaving=leaving, new_incarnation=restarted, connect_refused=refused
        )
        assert actual_cause is cause

    def test_suspects_run_one_at_a_time(self):
        table = _make_quarantine()
        first, second = (ids.CallId(ids.HostId('e'), ids.Incarnation(1), seq) for seq in (1, 2))
        assert table.start_suspect(first)
        assert not table.start_suspect(second)
        table.end_suspect(second)
        assert not table.start_suspect(second)
        table.end_suspect(first)
        assert table.start_suspect(second)


class TestMerge:
    """Guards against nodes that disagree on a fingerprint, or whose entries never expire."""

    def test_crashes_on_two_nodes_quarantine_in_any_order(self):
        one, two = _make_quarantine('a.1'), _make_quarantine('b.1')
        entries = one.crashed([FINGERPRINT], 0) + two.crashed([FINGERPRINT], 0)
        for order in itertools.permutations(entries + entries):
            reader = _make_quarantine('c.1')
            reader.merge(order, 1)
            assert reader.check(FINGERPRINT, 2) is QUARANTINED

    def test_entry_received_twice_does_not_quarantine(self):
        entries = _make_quarantine('b.1').crashed([FINGERPRINT], 0)
        table = _make_quarantine()
        table.merge(entries * 2, 1)
        assert table.check(FINGERPRINT, 2) is SUSPECT

    def test_exchange_of_entries_does_not_extend_a_quarantine(self):
        one, two = _make_quarantine('a.1'), _make_quarantine('b.1')
        one.crashed([FINGERPRINT], 0)
        one.crashed([FINGERPRINT], 0)
        for now in range(0, 1300, 10):
            two.merge(one.entries(now), now)
            one.merge(two.entries(now), now)
        assert one.check(FINGERPRINT, 1300) is CLEAR
        assert two.check(FINGERPRINT, 1300) is CLEAR

    def test_table_is_bounded(self):
        table = _make_quarantine()
        for seq in range(20):
            table.crashed([ids.Fingerprint(str(seq))], 0)
        assert len(table) == PERIODS.entries
        assert table.check(ids.Fingerprint('19'), 0) is SUSPECT

    def test_expire_removes_clear_entries(self):
        table = _make_quarantine()
        table.crashed([FINGERPRINT], 0)
        table.expire(100)
        assert not len(table)


class TestMostSuspect:
    """Guards against a cause of crashes that other nodes are not told of."""

    def test_quarantined_come_before_newer_suspects(self):
        table = quarantine.Quarantine('a.1')
        cause = ids.Fingerprint('cause')
        for _ in range(2):
            table.crashed([cause], 0)
        table.crashed([ids.Fingerprint(f'suspect {number}') for number in range(16)], 0)
        shared = [entry.fingerprint for entry in table.most_suspect(0, 3)]
        assert shared == ['suspect 14', 'suspect 15', cause]


class TestFinished:
    """Guards against quarantine of a frequent call that was running during two crashes."""

    def test_crash_is_not_attributed_to_a_call_that_finished(self):
        table = _make_quarantine()
        table.finished(FINGERPRINT, 0)
        entries = table.crashed([FINGERPRINT, OTHER_FINGERPRINT], 1)
        assert [entry.fingerprint for entry in entries] == [OTHER_FINGERPRINT]
        assert table.check(FINGERPRINT, 2) is CLEAR

    def test_suspect_that_finishes_becomes_and_remains_clear(self):
        table, peer = _make_quarantine(), _make_quarantine('b.1')
        entries = peer.crashed({FINGERPRINT}, 0)
        table.merge(entries, 1)
        assert table.check(FINGERPRINT, 2) is SUSPECT
        table.finished(FINGERPRINT, 3)
        assert table.check(FINGERPRINT, 4) is CLEAR
        assert not table.merge(peer.crashed({FINGERPRINT}, 5), 6)
        assert table.check(FINGERPRINT, 7) is CLEAR

    def test_call_that_never_finishes_is_still_quarantined(self):
        table = _make_quarantine()
        for crash in range(2):
            table.finished(OTHER_FINGERPRINT, crash * 10)
            table.crashed([FINGERPRINT, OTHER_FINGERPRINT], crash * 10 + 1)
        assert table.check(FINGERPRINT, 20) is QUARANTINED
        assert table.check(OTHER_FINGERPRINT, 20) is CLEAR
