"""Tests of the directives in effect while the log returns to an older copy."""

from __future__ import annotations

import json

import pytest

from anvillug.platform import documents
from anvillug.request import job_wire
from anvillug.version import directives
from tests import test_platform_documents

_OUT_KEY = 'evacuate/z1'
_OTHER_KEY = 'evacuate/z2'


def _records(era: int, *keys: str) -> directives.Records:
    """Return one record for each key, at ascending offsets."""
    return {
        key: directives.Record(directives.Position(era, offset), b'{}')
        for offset, key in enumerate(keys)
    }


@pytest.fixture
def active_directives():
    """Return directives at offset 9 of the first era, with one zone out of service."""
    active_directives = directives.ActiveDirectives(documents.decode_directives)
    active_directives.advance(_records(1, _OUT_KEY), directives.Position(1, 9))
    return active_directives


class TestRestoredLog:
    """Guards against directives that are ignored or lost because the log was restored."""

    def test_lower_offset_of_a_new_era_is_newer(self, active_directives):
        assert active_directives.advance(
            _records(2, _OUT_KEY, _OTHER_KEY), directives.Position(2, 2)
        )
        assert active_directives.current.zones_out == {'z1', 'z2'}

    def test_older_era_is_not_newer(self, active_directives):
        active_directives.advance(_records(2), directives.Position(2, 2))
        assert not active_directives.advance(_records(1, _OTHER_KEY), directives.Position(1, 12))
        assert 'z2' not in active_directives.current.zones_out

    # Calls would be sent to a zone out of service until the operator has repeated its order.
    def test_lost_evacuation_is_kept_until_it_is_written_again(self, active_directives):
        active_directives.advance(_records(2), directives.Position(2, 2))
        assert active_directives.current.zones_out == {'z1'}
        active_directives.advance(_records(2, _OUT_KEY), directives.Position(2, 3))
        active_directives.drop_lost_records()
        assert active_directives.current.zones_out == {'z1'}

    def test_evacuation_that_is_not_written_again_ends(self, active_directives):
        active_directives.advance(_records(2, _OTHER_KEY), directives.Position(2, 2))
        active_directives.drop_lost_records()
        assert active_directives.current.zones_out == {'z2'}

    def test_dropped_record_does_not_return_from_another_node(self, active_directives):
        active_directives.advance(_records(2), directives.Position(2, 2))
        later_records = dict(active_directives.current.records)
        active_directives.drop_lost_records()
        active_directives.advance(later_records, directives.Position(2, 3))
        assert not active_directives.current.zones_out

    def test_listeners_receive_the_end_of_a_lost_evacuation(self, active_directives):
        zones_out = []
        active_directives.add_listener(lambda current: zones_out.append(set(current.zones_out)))
        active_directives.advance(_records(2), directives.Position(2, 2))
        active_directives.drop_lost_records()
        active_directives.drop_lost_records()
        assert zones_out == [{'z1'}, set()]

    # A node that has read only the copy would answer 404 for routes that were confirmed.
    def test_newest_config_reaches_a_node_that_read_the_copy(self, active_directives):
        started = directives.ActiveDirectives(documents.decode_directives)
        newest = {'config': directives.Record(directives.Position(1, 9), _config('0000000a'))}
        active_directives.advance(newest, directives.Position(1, 10))
        copy = {'config': directives.Record(directives.Position(2, 3), _config('00000008'))}
        for node in (active_directives, started):
            node.advance(copy, directives.Position(2, 4))
        started.advance(
            *job_wire.unpack_directives(job_wire.pack_directives(active_directives.current))
        )
        assert (active_directives.current.revision, started.current.revision) == (10, 10)

    # After the operator's repeated writes are due, records of earlier eras are dropped.
    def test_newest_config_reaches_a_node_that_has_stopped_waiting(self, active_directives):
        started = directives.ActiveDirectives(documents.decode_directives)
        newest = {'config': directives.Record(directives.Position(1, 9), _config('0000000a'))}
        active_directives.advance(newest, directives.Position(1, 10))
        copy = {'config': directives.Record(directives.Position(2, 3), _config('00000008'))}
        for node in (active_directives, started):
            node.advance(copy, directives.Position(2, 4))
            node.drop_lost_records()
        assert started.advance(
            *job_wire.unpack_directives(job_wire.pack_directives(active_directives.current))
        )
        assert started.current.position == active_directives.current.position
        assert started.current.revision == 10

    # Each beacon would cause a fetch, and each fetch beacons to all nodes.
    def test_undecodable_config_of_another_node_changes_nothing(self, active_directives):
        notified = []
        active_directives.add_listener(notified.append)
        broken = {'config': directives.Record(directives.Position(1, 8), b'{}')}
        position = active_directives.current.position._replace(revision=12)
        assert not active_directives.advance(broken, position)
        assert not notified


def _config(version: str) -> bytes:
    return json.dumps({**test_platform_documents.CONFIG, 'Version': version}).encode()
