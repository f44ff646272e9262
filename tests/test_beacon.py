"""Wire form of beacons, and the table of other nodes that they fill."""

from __future__ import annotations

import dataclasses

import pytest
from twisted.internet import error as net_error
from twisted.internet import task

from anvillug import clock, ids
from anvillug.process import beacon, peer_table, upstream
from anvillug.request import dialect
from anvillug.version import directives

_LOCAL_HOST = ids.HostId('own')
_NO_ADDRESS = 'no-address'
_PEER_HOST = ids.HostId('peer')
_SERVICE = ids.ServiceName('one')


def announcement(**changes: object) -> peer_table.Announcement:
    """Return the announcement of a node whose backend server is serving."""
    fields = {
        'host_id': _PEER_HOST,
        'incarnation': ids.Incarnation(100),
        'sequence': 1,
        'peer_address': '10.0.0.2:80',
        'beacon_address': '10.0.0.2:70',
        'zone': ids.ZoneName('z'),
        'service': _SERVICE,
        'version': ids.VersionName('v1'),
        'instance': ids.InstanceId('i-1'),
        'state': upstream.UpstreamState.SERVING,
        'cold': False,
        'load': dialect.ReportedLoad(1, 0, 9, 100.0),
        'load_age_ms': 5.0,
        'position': directives.Position(1, 3),
    }
    return peer_table.Announcement(**{**fields, **changes})


class TestWireForm:
    """Guards against beacons that other nodes decode differently from what was sent."""

    @pytest.mark.parametrize('load', [None, dialect.ReportedLoad(1, 2, 9, 350.0)])
    def test_announcement(self, load):
        sent = announcement(load=load)
        assert beacon.decode(beacon.encode(sent, {'s': [1]})) == (sent, {'s': [1]})

    @pytest.mark.parametrize(
        'load',
        [None, dialect.ReportedLoad(1, 2, 9, 350.0), dialect.ReportedLoad(1, 2, 9, 1.0, 0.5)],
    )
    def test_load(self, load):
        sent = announcement(load=load, load_age_ms=7.0, sequence=70_000)
        received = beacon.decode(beacon.encode_load(sent))
        assert received == beacon.LoadBeacon(sent.incarnation, sent.sequence, load, 7)

    @pytest.mark.parametrize('datagram', [b'', b'\xc1', b'\x91\x90', b'\x01'])
    def test_malformed(self, datagram):
        with pytest.raises(beacon.MALFORMED_ERRORS):
            beacon.decode(datagram)


class TestOrder:
    """Guards against beacons that arrive late and restore a previous state of a node."""

    @pytest.fixture
    def time(self):
        return clock.ManualClock(1000)

    @pytest.fixture
    def table(self, time):
        return peer_table.PeerTable(_LOCAL_HOST, time)

    def _state(self, table):
        return table.by_host_id[_PEER_HOST].announcement.state

    def test_late_beacon_changes_nothing(self, table):
        table.receive_announcement(announcement(sequence=5, state=upstream.UpstreamState.LEAVING))
        table.receive_announcement(announcement(sequence=4))
        assert self._state(table) is upstream.UpstreamState.LEAVING

    def test_sequence_restarts_with_a_new_process(self, table):
        table.receive_announcement(announcement(sequence=5))
        table.receive_announcement(announcement(incarnation=ids.Incarnation(200), cold=True))
        assert table.by_host_id[_PEER_HOST].announcement.cold

    def test_lower_incarnation_is_accepted_after_a_pause(self, table, time):
        table.receive_announcement(announcement(sequence=5))
        earlier = announcement(incarnation=ids.Incarnation(50), cold=True)
        table.receive_announcement(earlier)
        assert not table.by_host_id[_PEER_HOST].announcement.cold
        time.advance(400)
        table.receive_announcement(earlier)
        assert table.by_host_id[_PEER_HOST].announcement.cold

    # Its calls would be given up as those of a process that has ended.
    def test_delayed_beacon_of_the_former_process_is_ignored(self, table, time):
        former = announcement(sequence=5)
        table.receive_announcement(former)
        table.receive_announcement(announcement(incarnation=ids.Incarnation(200)))
        time.advance(400)
        table.receive_announcement(dataclasses.replace(former, sequence=6))
        assert table.by_host_id[_PEER_HOST].announcement.incarnation == 200

    def test_older_load_does_not_replace_a_newer_one(self, table):
        table.receive_announcement(announcement())
        peer = table.by_host_id[_PEER_HOST]
        peer.record_load(dialect.ReportedLoad(0, 0, 9, 700.0), clock.Milliseconds(999))
        table.receive_load(
            peer_table.LoadNotice(
                _PEER_HOST, ids.Incarnation(100), 2, dialect.ReportedLoad(0, 0, 9, 100.0), 50.0
            ),
        )
        assert peer.load.slowness == 700

    def test_beacon_of_the_local_host_is_ignored(self, table):
        table.receive_announcement(announcement(host_id=_LOCAL_HOST))
        assert not table.by_host_id

    def test_only_serving_nodes_are_candidates(self, table):
        table.receive_announcement(announcement())
        absent = {'state': upstream.UpstreamState.ABSENT, 'host_id': ids.HostId('b')}
        table.receive_announcement(announcement(**absent))
        table.receive_announcement(
            announcement(service=ids.ServiceName('two'), host_id=ids.HostId('c'))
        )
        hosts = [peer.announcement.host_id for peer in table.of_service(_SERVICE)]
        assert hosts == [_PEER_HOST]

    @pytest.mark.parametrize(
        'change',
        [
            {'state': upstream.UpstreamState.LEAVING},
            {'service': ids.ServiceName('two')},
        ],
    )
    def test_node_that_leaves_or_changes_service_is_no_candidate(self, table, change):
        table.receive_announcement(announcement())
        assert table.of_service(_SERVICE)
        table.receive_announcement(announcement(sequence=2, **change))
        assert not table.of_service(_SERVICE)
        table.receive_announcement(announcement(sequence=3))
        assert table.of_service(_SERVICE)

    def test_expired_node_is_no_candidate(self, table, time):
        table.receive_announcement(announcement())
        assert table.of_service(_SERVICE)
        time.advance(70_000)
        table.expire_peers()
        assert not table.of_service(_SERVICE)

    def test_contact_address_is_used_until_the_first_beacon(self, table):
        table.add_contact(_PEER_HOST, '10.0.0.2:70')
        assert table.beacon_targets('z', _SERVICE).near == ['10.0.0.2:70']
        table.receive_announcement(
            dataclasses.replace(announcement(), beacon_address='10.0.0.2:71')
        )
        assert table.beacon_targets('z', _SERVICE).near == ['10.0.0.2:71']


class TestReceivers:
    """Guards against beacon traffic that grows with the square of the number of nodes.

    Far nodes get fewer beacons, and must not treat the sender as timed out because of that.
    """

    @pytest.fixture
    def table(self):
        return peer_table.PeerTable(_LOCAL_HOST, clock.ManualClock(1000))

    def _announce(self, table, zone: str, count: int):
        for number in range(count):
            name = ids.HostId(f'{zone}-{number}')
            table.receive_announcement(announcement(host_id=name, zone=zone, beacon_address=name))

    def test_zone_with_few_hosts_of_the_service_is_near(self, table):
        self._announce(table, 'y', 5)
        assert len(table.beacon_targets('z', _SERVICE).near) == 5

    def test_zone_with_many_hosts_of_the_service_is_far(self, table):
        self._announce(table, 'y', 6)
        self._announce(table, 'z', 6)
        targets = table.beacon_targets('z', _SERVICE)
        assert {name[0] for name in targets.far} == {'y'}
        assert {name[0] for name in targets.near} == {'z'}

    def test_node_is_overdue_before_it_is_unresponsive(self, table):
        table.receive_announcement(announcement())
        peer = table.by_host_id[_PEER_HOST]
        assert not peer.is_overdue(clock.Milliseconds(1000 + 200))
        assert peer.is_overdue(clock.Milliseconds(1000 + 300))
        assert not peer.is_unresponsive(clock.Milliseconds(1000 + 300))

    def test_timeout_of_a_node_follows_its_announced_pace(self, table):
        table.receive_announcement(announcement(pace_ms=2000.0))
        peer = table.by_host_id[_PEER_HOST]
        assert not peer.is_unresponsive(clock.Milliseconds(1000 + 4000))
        assert peer.is_unresponsive(clock.Milliseconds(1000 + 6000))


class _Sender:
    """Beacon task of the local node in zone z, whose datagrams are recorded."""

    def __init__(self) -> None:
        self.reactor = task.Clock()
        self.time = clock.ManualClock(1000)
        self.need = beacon.Need.NONE
        self.table = peer_table.PeerTable(_LOCAL_HOST, self.time)
        self.reply: beacon.ExtraState = {}
        self.extra_state: beacon.ExtraState = {}
        self.lasting_state: object = None
        self.sent: list[tuple[str, beacon.Message]] = []
        self.task = beacon.BeaconTask(
            self.reactor,
            self.time,
            lambda: announcement(host_id=_LOCAL_HOST, zone='z'),
            self.table,
            lambda: self.extra_state,
            lambda: self.lasting_state,
            lambda *_: None,
            lambda: self.need,
            lambda *_: self.reply,
        )
        self.task.transport = self
        self.task.start()

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        if address[0] == _NO_ADDRESS:
            raise net_error.InvalidAddressError(address[0], 'not an IP address')
        self.sent.append((address[0], beacon.decode(datagram)))

    def receive(self, name: str, zone: str, **changes: object) -> None:
        peer = announcement(
            host_id=ids.HostId(name), zone=zone, beacon_address=f'{name}:70', **changes
        )
        self.task.datagramReceived(beacon.encode(peer, {}), (name, 70))

    def receive_load(self, name: str, **changes: object) -> None:
        load = dialect.ReportedLoad(5, 0, 9, 300.0)
        sent = announcement(sequence=2, load=load, load_age_ms=0.0, **changes)
        self.task.datagramReceived(beacon.encode_load(sent), (name, 70))

    def advance(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 25):
            self.time.advance(25)
            self.reactor.advance(0.025)

    def counts(self, name: str) -> tuple[int, int]:
        """Return the numbers of full and load beacons to a node, and forget them."""
        messages = [message for receiver, message in self.sent if receiver == name]
        self.sent = [sent for sent in self.sent if sent[0] != name]
        loads = sum(isinstance(message, beacon.LoadBeacon) for message in messages)
        return len(messages) - loads, loads


class TestUnusableAddress:
    """Guards against an address of one node that keeps beacons from the others."""

    def test_other_nodes_get_their_beacons(self):
        sender = _Sender()
        for name in (_NO_ADDRESS, 'b'):
            sender.receive(name, 'z')
        sender.counts('b')
        sender.lasting_state = 1
        sender.advance(2000)
        full, _ = sender.counts('b')
        assert full >= 3


class TestLoadBeacons:
    """Guards against a load that is taken for that of another node or process."""

    @pytest.fixture
    def receiver(self):
        """Return a node that knows two others, whose processes started at the same time."""
        receiver = _Sender()
        for name in ('a', 'b'):
            receiver.receive(name, 'z')
        return receiver

    def _slowness(self, receiver) -> list[float]:
        return [receiver.table.by_host_id[name].load.slowness for name in 'ab']

    def test_sender_is_known_by_its_address(self, receiver):
        receiver.receive_load('b')
        assert self._slowness(receiver) == [100, 300]

    def test_load_of_another_process_is_ignored(self, receiver):
        receiver.receive_load('b', incarnation=ids.Incarnation(7))
        assert self._slowness(receiver) == [100, 100]

    def test_address_stays_with_the_host_that_took_it_over(self, receiver):
        receiver.time.advance(50_000)
        receiver.receive('b', 'z', sequence=2)
        receiver.task.datagramReceived(
            beacon.encode(announcement(host_id=ids.HostId('new'), beacon_address='a:70'), {}),
            ('a', 70),
        )
        receiver.time.advance(20_000)
        receiver.table.expire_peers()
        assert receiver.table.host_at('a:70') == 'new'

    def test_load_of_an_unknown_sender_is_ignored(self, receiver):
        receiver.receive_load('c')
        assert self._slowness(receiver) == [100, 100]


class TestIntervals:
    """Guards against state that is repeated across zones, and against nodes that seem silent."""

    @pytest.fixture
    def sender(self):
        """Return a sender that knows a node of its zone and one of another zone."""
        sender = _Sender()
        sender.receive('same', 'z')
        sender.receive('other', 'y')
        for name in ('same', 'other'):
            sender.counts(name)
        return sender

    @pytest.mark.parametrize(('name', 'count'), [('same', 24), ('other', 2)])
    def test_unchanged_state_is_repeated_rarely(self, sender, name, count):
        sender.advance(8000)
        sender.counts(name)
        sender.advance(48_000)
        full, loads = sender.counts(name)
        assert full == pytest.approx(count, abs=1)
        assert full + loads >= 48_000 / peer_table.NEAR_BEACON_INTERVAL_MS * 0.8

    @pytest.mark.parametrize(('name', 'count'), [('same', 4), ('other', 2)])
    def test_change_is_repeated_since_datagrams_may_be_lost(self, sender, name, count):
        sender.advance(8000)
        sender.counts(name)
        sender.lasting_state = 1
        sender.task.send_now()
        sender.advance(2400)
        assert sender.counts(name)[0] == count

    @pytest.mark.parametrize('need', [beacon.Need.SOON, beacon.Need.AT_ONCE])
    def test_counts_of_a_rollout_reach_other_zones_as_soon(self, sender, need):
        sender.need = need
        sender.advance(10_000)
        assert sender.counts('other')[0] == sender.counts('same')[0]

    def test_change_reaches_other_zones_at_once(self, sender):
        sender.task.send_now()
        assert sender.counts('other') == (1, 0)


class TestFarNodes:
    """Guards against state that is repeated to far nodes, and against changes that they miss."""

    @pytest.fixture
    def sender(self):
        """Return a sender that knows a zone of far nodes, and has told them its state."""
        sender = _Sender()
        for number in range(7):
            sender.receive(f'far{number}', 'y')
        sender.advance(10_000)
        sender.counts('far6')
        return sender

    def test_unchanged_state_is_repeated_rarely(self, sender):
        sender.extra_state = {'age': 1.5}
        sender.advance(2000)
        sender.counts('far6')
        sender.advance(6000)
        sender.counts('far6')
        for age in range(32):
            sender.extra_state = {'age': float(age)}
            sender.advance(1000)
        assert sender.counts('far6') == (1, 15)

    def test_change_is_repeated_since_datagrams_may_be_lost(self, sender):
        sender.lasting_state = 1
        sender.task.send_now()
        sender.advance(6000)
        assert sender.counts('far6') == (2, 2)

    def test_counts_of_a_rollout_are_always_sent(self, sender):
        sender.need = beacon.Need.SOON
        sender.advance(6000)
        assert sender.counts('far6') == (3, 0)

    def test_node_stays_live(self, sender):
        for _ in range(10):
            sender.advance(2000)
            assert sum(sender.counts('far6')) == 1


class TestFirstContact:
    """Guards against a node that learns of its peers only by their next repeated beacon."""

    @pytest.mark.parametrize('zone', ['y', 'z'])
    def test_new_process_is_sent_the_state_at_once(self, zone):
        sender = _Sender()
        sender.receive('new', zone)
        assert sender.counts('new') == (1, 0)
        sender.receive('new', zone, sequence=2)
        assert sender.counts('new') == (0, 0)
        sender.receive('new', zone, incarnation=ids.Incarnation(200))
        assert sender.counts('new') == (1, 0)

    # A host may take over the address of one that has gone, whose record names it still. The node
    # then sends a beacon to itself, and would answer it without end.
    def test_own_beacon_is_not_answered(self):
        sender = _Sender()
        sender.receive(_LOCAL_HOST, 'z')
        assert not sender.sent

    def test_process_that_is_not_accepted_is_not_answered(self):
        sender = _Sender()
        sender.receive('a', 'z')
        sender.receive('a', 'z', incarnation=ids.Incarnation(200))
        sender.counts('a')
        sender.receive('a', 'z', sequence=9)
        assert sender.counts('a') == (0, 0)

    # A process that starts while the log is away learns from its peers which instances have left.
    def test_state_that_another_node_lacks_is_sent_at_once(self):
        sender = _Sender()
        sender.receive('a', 'z')
        sender.receive('b', 'z')
        sender.sent.clear()
        sender.reply = {'x': 1}
        sender.receive('a', 'z', sequence=2)
        (receiver, (_, extra_state)) = sender.sent.pop()
        assert (receiver, extra_state, sender.sent) == ('a', {'x': 1}, [])

    def test_node_that_was_silent_is_asked_for_what_was_missed(self):
        sender = _Sender()
        sender.receive('a', 'z')
        sender.time.advance(3000)
        sender.sent.clear()
        sender.receive_load('a')
        sender.receive_load('a')
        assert [receiver for receiver, _ in sender.sent] == ['a']
        asking, extra_state = sender.sent[0][1]
        sender.receive_load('a', incarnation=ids.Incarnation(101))
        sender.receive_load('unknown')
        assert [receiver for receiver, _ in sender.sent] == ['a', 'a', 'unknown']
        asked = _Sender()
        asked.receive('a', 'z')
        asked.sent.clear()
        question = dataclasses.replace(asking, host_id=ids.HostId('a'), sequence=2)
        asked.task.datagramReceived(beacon.encode(question, extra_state), ('a', 70))
        assert [extra_state for _, (_, extra_state) in asked.sent] == [{}]

    def test_far_process_is_told_the_pace_of_far_beacons(self):
        sender = _Sender()
        for number in range(7):
            sender.receive(f'far{number}', 'y')
        paces = [message[0].pace_ms for name, message in sender.sent if name == 'far6']
        assert paces == [2000.0]
