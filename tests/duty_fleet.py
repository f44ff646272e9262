"""Nodes that agree on the holder of a duty, with a log and a platform that fail on demand."""

from __future__ import annotations

import collections

from twisted.internet import defer, task

from anvillug import clock, ids
from anvillug.connection import keyed_log
from anvillug.process import duty_holder, duty_record, duty_settings, duty_state, true_time
from anvillug.version import directives

SETTINGS = duty_settings.DutySettings('10.0.0.1:80', 3000.0, 5000.0, 10_000.0)
START_MS = 1_000_000.0
TENANT = ids.TenantName('t')
_TICK_S = 0.05
_OUTCOME = duty_holder.ReportOutcome


class Log:
    """In-memory keyed log, in which an append may be delayed until after its response is lost."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.era = 0
        self.appends = 0
        self.reads = 0
        self.late_appends: list[tuple[bytes, int]] = []

    def store(self, value: bytes, expected_end: int) -> None:
        """Append a record."""
        if expected_end != len(self.records):
            raise keyed_log.ConditionFailedError
        self.records.append(value)

    def carry_out_late(self) -> None:
        """Carry out the appends that were delayed."""
        late = self.late_appends
        self.late_appends = []
        for value, expected_end in late:
            if expected_end == len(self.records):
                self.records.append(value)

    def restore(self, count: int) -> None:
        """Return to a copy that holds the first records only."""
        self.era += 1
        del self.records[count:]


class NodeLog:
    """The log as one node reaches it."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self.is_down = False
        self.loses_responses = False
        self.delays_appends = False

    async def newest(self, topic: str) -> keyed_log.Batch:
        self._check()
        self._log.reads += 1
        count = len(self._log.records)
        newest = directives.Position(self._log.era, count - 1)
        changes = [('usage', directives.Record(newest, value)) for value in self._log.records[-1:]]
        return keyed_log.Batch(tuple(changes), directives.Position(self._log.era, count))

    async def append(
        self, topic: str, key: str, value: bytes, expected_end: int
    ) -> directives.Position:
        self._check()
        self._log.appends += 1
        if self.delays_appends:
            self._log.late_appends.append((value, expected_end))
            raise keyed_log.LogUnavailableError('no response')
        self._log.store(value, expected_end)
        if self.loses_responses:
            raise keyed_log.LogUnavailableError('response lost')
        return directives.Position(self._log.era, expected_end)

    def _check(self) -> None:
        if self.is_down:
            raise keyed_log.LogUnavailableError('down')


class Platform:
    """Receives reports; checks the tokens when a report is carried out."""

    def __init__(self) -> None:
        self.calls: list[tuple[ids.HostId, int]] = []
        self.counts_by_window: dict[int, list[dict]] = collections.defaultdict(list)
        self.highest_token = -1
        self.is_down = False
        self.loses_responses = False
        self.late_reports: list[tuple] = []
        self.delays_reports = False
        self.response: defer.Deferred | None = None

    async def report(self, record, window, counts, timeout_ms):
        if self.response is not None:
            await self.response
        if self.is_down:
            return _OUTCOME.UNKNOWN
        if self.delays_reports:
            self.late_reports.append((record, window, dict(counts)))
            return _OUTCOME.UNKNOWN
        outcome = self.carry_out(record, window, counts)
        return _OUTCOME.UNKNOWN if self.loses_responses else outcome

    def respond(self) -> None:
        """Let the report that waits for its response go on, and later ones too."""
        response = self.response
        self.response = None
        response.callback(None)

    def carry_out(self, record, window, counts):
        """Check the token of a report and accept it."""
        self.calls.append((record.host_id, record.token))
        if record.token < self.highest_token:
            return _OUTCOME.FENCED
        self.highest_token = record.token
        if counts not in self.counts_by_window[window]:
            self.counts_by_window[window].append(dict(counts))
        return _OUTCOME.ACCEPTED

    def carry_out_late(self):
        """Carry out the reports that were delayed."""
        late = self.late_reports
        self.late_reports = []
        for report in late:
            self.carry_out(*report)

    @property
    def accepted(self) -> list[int]:
        """Windows of which a report was accepted."""
        return sorted(self.counts_by_window)

    def check(self) -> None:
        """Assert what the platform demands of holders."""
        assert all(len(contents) == 1 for contents in self.counts_by_window.values())
        hosts_by_token = collections.defaultdict(set)
        for host_id, token in self.calls:
            hosts_by_token[token].add(host_id)
        assert all(len(host_ids) == 1 for host_ids in hosts_by_token.values())


class Node:
    """One node; `is_paused` and `is_dead` hold its clock back."""

    def __init__(self, fleet: Fleet, name: str, number: int, incarnation: int = 1) -> None:
        self.host_id = ids.HostId(name)
        self.fleet = fleet
        self.number = number
        self.is_paused = False
        self.is_dead = False
        self.isolated = False
        self.reactor = task.Clock()
        now = fleet.time.now()
        self.time = clock.ManualClock(now + 17 * number, START_MS + now)
        self.log = NodeLog(fleet.log)
        self.state = duty_state.DutyState((self.host_id, ids.Incarnation(incarnation)), SETTINGS)
        self.holder = duty_holder.DutyHolder(
            self.reactor,
            self.time,
            true_time.TrueTime(self.time),
            self.log,
            't',
            self.state,
            SETTINGS,
            fleet.platform,
            self,
            self._total,
            self._changed,
            lambda _: None,
        )
        self.holder.start()

    def rank(self) -> int:
        """Return the number of live nodes before this one."""
        return sum(
            not other.is_paused and other.host_id < self.host_id for other in self.fleet.living
        )

    def is_isolated(self) -> bool:
        return self.isolated

    def is_silent(self, host_id: ids.HostId) -> bool:
        names = [node.host_id for node in self.fleet.living if not node.is_paused]
        return host_id not in names

    def advance(self, duration_s: float) -> None:
        """Let time pass on this node."""
        self.time.advance(duration_s * 1000)
        self.reactor.advance(duration_s)

    def _changed(self) -> None:
        # As its beacons do when a holder no longer announces the duty.
        if not self.state.is_holder:
            for other in self.fleet.living:
                if other is not self and self.fleet.beacons_arrive:
                    other.holder.look()

    def _total(self, window: int) -> dict:
        # Each node has received other counts, so that a second content of a report shows.
        return {TENANT: 1000 * (self.number + 1) + self.state.end.offset}


class Fleet:
    """Three nodes that share a log and a platform."""

    def __init__(self, count: int = 3) -> None:
        self.time = clock.ManualClock(0)
        self.log = Log()
        self.platform = Platform()
        self.beacons_arrive = True
        self.nodes = [Node(self, f'n{number}', number) for number in range(count)]

    @property
    def living(self) -> list[Node]:
        """Nodes whose processes run or are paused."""
        return [node for node in self.nodes if not node.is_dead]

    @property
    def holder(self) -> Node:
        """The only living node that holds the duty."""
        holders = [node for node in self.living if node.state.is_holder and not node.is_paused]
        assert len(holders) == 1
        return holders[0]

    def run(self, duration_s: float) -> None:
        """Let time pass; a paused node catches up when it goes on."""
        for _ in range(round(duration_s / _TICK_S)):
            self.time.advance(_TICK_S * 1000)
            for node in self.living:
                if not node.is_paused:
                    behind_ms = self.time.now() + 17 * node.number - node.time.now()
                    node.advance(behind_ms / 1000)

    def restart(self, node: Node) -> Node:
        """Kill the process of a node and start another one."""
        node.is_dead = True
        incarnation = node.state.process[1] + 1
        successor = Node(self, node.host_id, node.number, incarnation)
        self.nodes[self.nodes.index(node)] = successor
        return successor

    def windows(self, since_ms: float, until_ms: float) -> list[int]:
        """Return the windows whose reports were due between two times of this clock."""
        first = int((START_MS + since_ms) // SETTINGS.window_ms)
        last = int((START_MS + until_ms - SETTINGS.late_ms) // SETTINGS.window_ms)
        return list(range(first, last))


def record_of(process: tuple[ids.HostId, ids.Incarnation]) -> duty_record.DutyRecord:
    """Return the first record of a holder."""
    end = directives.Position(0, 0)
    return duty_record.take_over(None, end, process, START_MS, 5000, 10_000)
