"""Tests of the judgement of new versions, with seeded simulations."""

from __future__ import annotations

import dataclasses
import pathlib
import random

import pytest

from anvillug import ids
from anvillug.version import document, evidence, evidence_pool, judge, share, verdict_set

SERVICE = ids.ServiceName('drawbook')
OLD, NEW = ids.VersionName('v1'), ids.VersionName('v2')
COMPARISON = evidence.Comparison(SERVICE, OLD, NEW, 3)
ROUTES = {'sheets': 8, 'revisions': 20, 'search': 40}  # median latency in ms
HOSTS = 10
CALLS_PER_SECOND = 10
SECONDS = 600
TARGETS_PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'operators' / 'targets.md'
CANARY_SHARES = {document.Safety.BALANCED: 0.05, document.Safety.FAST: 0.1}


@dataclasses.dataclass(frozen=True)
class Move:
    """A rollout of 10 minutes."""

    start_ms: float = 0
    deadline_ms: float = SECONDS * 1_000


@dataclasses.dataclass(frozen=True)
class Fault:
    """How the new version differs from the old one."""

    failure_rate: float = 0
    slowdown: float = 1
    after_seconds: float = 0
    route: str = ''
    load_level: int = 0

    def applies(self, second: float, route: str, level: int) -> bool:
        """Tell whether a call on the new version is affected."""
        is_on_route = self.route in {'', route}
        return second >= self.after_seconds and is_on_route and level >= self.load_level


@dataclasses.dataclass(frozen=True)
class Detection:
    """Calls that the fault could affect before its detection, time of the detection, and reason."""

    affected_calls: int
    second: float
    reason: str


class RolloutSimulation:
    """Simulates calls on both versions; the first hosts run the new version.

    About every 5 minutes, a noisy neighbour affects a host for 20 to 60 s: its latency is 3 times
    as high, and 1% of its calls fail.
    """

    def __init__(self, seed, fault):
        self._rng = random.Random(seed)
        self._fault = fault
        self._noisy_until = [0 for _ in range(HOSTS)]
        self.evidence = evidence.Evidence()
        self.evidence.start(COMPARISON, 0)
        self.affected_calls = 0

    def run(self, safety=document.Safety.BALANCED):
        """Run the rollout; return the detection of a bad version, or None."""
        for second in range(SECONDS):
            self._change_noise(second)
            canary = CANARY_SHARES[safety]
            planned = share.planned_share(Move(), canary, second * 1_000)
            for _ in range(CALLS_PER_SECOND):
                self._call(second, planned)
            if second % 5:
                continue
            summary = self.evidence.summary(SERVICE, second * 1_000)
            verdict = judge.judge(summary, Move(), judge.THRESHOLDS[safety], second * 1_000)
            if verdict.state is judge.VerdictState.BAD:
                return Detection(self.affected_calls, second, verdict.evidence)
        return None

    def _change_noise(self, second):
        for host in range(HOSTS):
            if self._noisy_until[host] <= second and self._rng.random() < 1 / 300:
                self._noisy_until[host] = second + self._rng.uniform(20, 60)

    def _call(self, second, planned):
        rng = self._rng
        is_new = rng.random() < planned
        new_hosts = max(1, int(planned * HOSTS))
        host = rng.randrange(new_hosts) if is_new else rng.randrange(min(new_hosts, 9), HOSTS)
        route = rng.choice(tuple(ROUTES))
        level = int(second / 60) % 3
        noisy = self._noisy_until[host] > second
        latency = ROUTES[route] * rng.lognormvariate(0, 0.5) * (1 + level / 2)
        latency *= 3 if noisy else 1
        failed = rng.random() < (0.01 if noisy else 0.002)
        if is_new and self._fault.applies(second, route, level):
            self.affected_calls += 1
            latency *= self._fault.slowdown
            failed = failed or rng.random() < self._fault.failure_rate
        version, host_id = (NEW if is_new else OLD), ids.HostId(f'host-{host}')
        wall = second * 1_000
        self.evidence.record(SERVICE, version, host_id, route, level, failed, latency, wall)


def run_simulations(count, fault):
    """Run simulations with seeds from 1 and return their detections."""
    return [RolloutSimulation(seed, fault).run() for seed in range(1, count + 1)]


def make_summary(calls, failures, host_count=1):
    """Return a summary of one call per second on each version; the first on the new one fail."""
    collected = evidence.Evidence()
    collected.start(COMPARISON, 0)
    for call in range(calls):
        for version in (OLD, NEW):
            host = ids.HostId(f'{version}-{call % host_count}')
            failed = version == NEW and call < failures
            collected.record(SERVICE, version, host, ids.RouteName('r'), 0, failed, 5, call * 1_000)
    return collected.summary(SERVICE, calls * 1_000)


def min_failures_for_bad(thresholds):
    """Return the smallest number of failures in 500 calls that is judged bad."""
    for failures in range(100):
        verdict = judge.judge(make_summary(500, failures), Move(), thresholds, 0)
        if verdict.state is judge.VerdictState.BAD:
            return failures
    raise AssertionError(f'100 failures in 500 calls are not bad for {thresholds}')


def judge_balanced(summary, wall=0):
    """Return the judgement with balanced thresholds."""
    return judge.judge(summary, Move(), judge.THRESHOLDS[document.Safety.BALANCED], wall)


class TestGoodVersions:
    """Guards against good versions that are rolled back because of noisy neighbours."""

    def test_at_most_one_of_hundred_is_judged_bad(self):
        # With the greater canary share of "fast", a single noisy host has more weight.
        fast = [
            RolloutSimulation(seed, Fault()).run(document.Safety.FAST) for seed in range(1001, 1061)
        ]
        detections = [
            result for result in fast + run_simulations(40, Fault()) if result is not None
        ]
        assert len(detections) <= 1


class TestBadVersions:
    """Guards against bad versions that reach more callers than the canary share."""

    @pytest.mark.parametrize(
        ('fault', 'calls', 'seconds'),
        [
            (Fault(failure_rate=1), 30, 60),
            (Fault(failure_rate=0.2), 150, 300),
            (Fault(failure_rate=0.3, after_seconds=400), 100, 450),
            (Fault(failure_rate=0.5, route='search'), 60, 200),
            (Fault(failure_rate=0.5, load_level=2), 60, 200),
            (Fault(slowdown=3), 600, 300),
            (Fault(slowdown=3, after_seconds=300), 2_000, 500),
            (Fault(slowdown=4, load_level=2), 600, 599),
        ],
    )
    def test_is_detected_within_the_limits(self, fault: Fault, calls: int, seconds: int):
        detections = run_simulations(5, fault)
        assert None not in detections
        assert max(result.affected_calls for result in detections) <= calls
        assert max(result.second for result in detections) <= seconds


class TestJudge:
    """Guards against verdicts on too little evidence, and missing verdicts at the deadline."""

    def test_one_crash_is_not_a_bad_version(self):
        collected = evidence.Evidence()
        collected.start(COMPARISON, 0)
        for call in range(200):
            for version in (OLD, NEW):
                host = ids.HostId(version)
                failed = version == NEW and call in range(100, 130)
                collected.record(SERVICE, version, host, ids.RouteName('r'), 0, failed, 5, 1_000)
        assert judge_balanced(collected.summary(SERVICE, 2_000)).state is judge.VerdictState.PENDING

    def test_version_is_judged_good_only_at_the_deadline(self):
        summary = make_summary(judge.MIN_CALLS, 0)
        assert judge_balanced(summary).state is judge.VerdictState.PENDING
        assert judge_balanced(summary, Move().deadline_ms).state is judge.VerdictState.GOOD

    @pytest.mark.parametrize(
        ('safety', 'decision'),
        [
            (document.Safety.STRICT, judge.Decision.ROLL_BACK),
            (document.Safety.BALANCED, judge.Decision.FINISH),
            (document.Safety.FAST, judge.Decision.FINISH),
        ],
    )
    def test_safety_decides_with_little_traffic(
        self, safety: document.Safety, decision: judge.Decision
    ):
        summary = make_summary(20, 0)
        decided, reason = judge.decide_at_deadline(summary, judge_balanced(summary), safety)
        assert decided is decision
        assert '20 of 300' in reason
        assert judge.decide_at_deadline(None, judge_balanced(summary), safety)[0] is decision

    @pytest.mark.parametrize('safety', document.Safety)
    def test_doubtful_version_is_rolled_back(self, safety: document.Safety):
        # Without the rule for doubtful versions, the rollout would be completed, because the
        # failures are not significant.
        failures = min_failures_for_bad(judge.THRESHOLDS[safety]) - 1
        summary = make_summary(500, failures)
        verdict = judge.judge(summary, Move(), judge.THRESHOLDS[safety], Move().deadline_ms)
        assert verdict.state is not judge.VerdictState.BAD
        decided, reason = judge.decide_at_deadline(summary, verdict, safety)
        assert decided is judge.Decision.ROLL_BACK
        assert f'{failures} failures in 500 calls' in reason

    def test_few_failures_do_not_prevent_completion(self):
        summary = make_summary(500, 1)
        decided, _ = judge.decide_at_deadline(
            summary, judge_balanced(summary), document.Safety.STRICT
        )
        assert decided is judge.Decision.FINISH

    def test_bad_version_is_rolled_back_with_any_safety(self):
        summary = make_summary(100, 50)
        verdict = judge_balanced(summary)
        assert verdict.state is judge.VerdictState.BAD
        assert '50 failures in 100 calls' in verdict.evidence
        decided, _ = judge.decide_at_deadline(summary, verdict, document.Safety.FAST)
        assert decided is judge.Decision.ROLL_BACK


class TestThresholds:
    """Guards against safety targets without effect, and an outdated table in the documentation."""

    def test_safer_target_needs_fewer_failures_for_a_verdict(self):
        fewest = [min_failures_for_bad(thresholds) for thresholds in judge.THRESHOLDS.values()]
        assert list(judge.THRESHOLDS) == list(document.Safety)
        assert fewest == sorted(set(fewest))

    def test_documented_thresholds_are_current(self):
        for safety, thresholds in judge.THRESHOLDS.items():
            cells = (safety.value, *dataclasses.astuple(thresholds))
            assert f'| {" | ".join(map(str, cells))} |\n' in TARGETS_PAGE.read_text()


class TestMerge:
    """Guards against evidence that is lost or counted twice between nodes."""

    def test_evidence_of_several_nodes_is_significant_together(self):
        one, other = make_summary(40, 10), make_summary(40, 10)
        assert judge_balanced(one).state is judge.VerdictState.PENDING
        one.add(evidence.parse(evidence.serialize(other)))
        assert one.new_calls() == 80
        one.add(make_summary(40, 10))
        assert judge_balanced(one).state is judge.VerdictState.BAD

    def test_serialized_summary_is_small_and_round_trips(self):
        summary = make_summary(400, 3)
        data = evidence.serialize(summary)
        assert evidence.serialize(evidence.parse(data)) == data
        assert len(data) < 600

    @pytest.mark.parametrize('data', [b'', b'[]', b'[1,2,3,4]', b'[["a","b","c",1],0,[[1]],[]]'])
    def test_malformed_data_is_rejected(self, data: bytes):
        with pytest.raises(ValueError, match='malformed'):
            evidence.parse(data)


class TestVerdictSet:
    """Guards against verdicts that are lost or differ between nodes."""

    def test_merge_does_not_depend_on_order(self):
        notices = [verdict_set.VerdictNotice(SERVICE, NEW, move, 'x') for move in range(1, 5)]
        first, second = verdict_set.VerdictSet(), verdict_set.VerdictSet()
        assert first.merge(notices) == notices
        second.merge(reversed(notices))
        assert not first.merge(notices)
        assert set(first.notices()) == set(second.notices())
        lookups = [(NEW, 3), (OLD, 3), (NEW, 9)]
        assert [first.is_bad(SERVICE, *key) for key in lookups] == [True, False, False]

    def test_newest_verdicts_are_retained(self):
        verdicts = verdict_set.VerdictSet()
        verdicts.merge(verdict_set.VerdictNotice(SERVICE, NEW, move, 'x') for move in range(50))
        assert sorted(notice.move for notice in verdicts.notices()) == [46, 47, 48, 49]


class TestEvidencePool:
    """Guards against evidence that is counted twice or exceeds the size of an exchange."""

    def test_newest_summary_of_each_node_counts_once(self):
        local, peer = (evidence_pool.EvidencePool(ids.HostId(name)) for name in ('a', 'b'))
        peer.put_local(make_summary(40, 1), 1)
        early = peer.summaries(8)
        peer.put_local(make_summary(60, 1), 2)
        local.put_local(make_summary(40, 1), 1)
        for packed in (
            peer.summaries(8),
            early,
            peer.summaries(8),
            local.summaries(8),
            [b'x', b'1\n'],
        ):
            local.merge(packed)
        assert local.combined(COMPARISON).new_calls() == 100
        assert not local.combined(COMPARISON._replace(move=4)).new_calls()
        local.drop(SERVICE)
        assert not local.summaries(8)

    def test_all_summaries_take_turns_within_the_bounds(self):
        pool = evidence_pool.EvidencePool(ids.HostId('own'))
        pool.put_local(make_summary(40, 1), 1)
        for index in range(300):
            peer = evidence_pool.EvidencePool(ids.HostId(f'host-{index}'))
            peer.put_local(make_summary(1, 0), 1)
            pool.merge(peer.summaries(8))
        sent = [pool.summaries(4) for _ in range(100)]
        assert max(sum(map(len, packed)) for packed in sent) <= evidence_pool.SEND_BYTES
        assert (
            len({summary for packed in sent for summary in packed})
            == 1 + evidence_pool.MAX_SUMMARIES
        )
