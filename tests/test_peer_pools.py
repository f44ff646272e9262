"""Tests of the connection pools of the entry side."""

from __future__ import annotations

import types

from twisted.internet import testing as twisted_testing

from anvillug import ids
from anvillug.process import peer_pools


class TestRemovedHosts:
    """Guards against pools of replaced hosts that accumulate over weeks."""

    def test_pool_of_a_removed_host_is_closed(self):
        members = {
            ids.HostId(name): types.SimpleNamespace(peer_address=f'127.0.0.1:{port}')
            for port, name in enumerate('abc', start=1)
        }
        pools = peer_pools.PeerPools(twisted_testing.MemoryReactorClock(), members, 1)
        pools.get(ids.HostId('a'))
        pools.get(ids.HostId('b'))
        members.pop('a')
        pools.get(ids.HostId('c'))
        assert set(pools.counts()) == {'b', 'c'}
