"""Judges the new version of a rollout by the evidence collected during the canary analysis."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable

from anvillug.version import config_state, document, evidence, tally

MIN_CALLS = 300
"""Number of compared calls on the new version below which the safety target decides."""

MIN_FAILURE_MOMENTS = 4  # in one crash, many calls fail at once; that alone is not a bad version
MIN_RECENT_WINDOWS = 6  # a noisy neighbour slows one host for up to about a minute


class VerdictState(enum.Enum):
    """Result of the judgement of a new version."""

    PENDING = 'pending'
    GOOD = 'good'
    BAD = 'bad'


class Decision(enum.Enum):
    """Action at the deadline of a rollout."""

    FINISH = 'finish'
    ROLL_BACK = 'roll-back'


@dataclasses.dataclass(frozen=True, slots=True)
class Thresholds:
    """Thresholds above which a version is bad."""

    alpha: float
    """Probability of judging a good version bad by chance, over a whole rollout."""
    failure_excess: float
    """Additional failures per call below which a difference is ignored."""
    slow_excess: float
    """Additional slow calls per call below which a difference is ignored."""
    slow_portion: float
    """Portion of recent windows that must be slow, to exclude noisy neighbours."""


# With a slow portion of 0.75, good versions were judged bad under "fast" (4 of 150) and "strict"
# (2 of 200), but not under "balanced" (0 of 200). With 0.85, slowness is detected later.
THRESHOLDS = {
    document.Safety.STRICT: Thresholds(0.005, 0.005, 0.05, slow_portion=0.85),
    document.Safety.BALANCED: Thresholds(0.002, 0.01, 0.1, slow_portion=0.75),
    document.Safety.FAST: Thresholds(0.001, 0.02, 0.15, slow_portion=0.85),
}
"""Thresholds by safety target."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Judgement of a new version with its reason."""

    state: VerdictState
    """Result."""
    evidence: str
    """Description of the observations, for operators."""


def judge(
    summary: evidence.Summary, move: config_state.MoveStatus, thresholds: Thresholds, wall: float
) -> Verdict:
    """Judge the new version of a rollout.

    Args:
        summary: Evidence of this node, or the sum of several nodes.
        move: The rollout, for its deadline.
        thresholds: Thresholds of the safety target.
        wall: Milliseconds since the epoch.

    Returns:
        `BAD` as soon as a difference is significant; `GOOD` at the deadline with enough calls;
        otherwise `PENDING`.
    """
    reason = _find_significant(summary, thresholds)
    if reason is not None:
        return Verdict(VerdictState.BAD, reason)
    calls = round(summary.new_calls())
    if wall >= move.deadline_ms and calls >= MIN_CALLS:
        return Verdict(VerdictState.GOOD, f'no difference shown in {calls} calls')
    return Verdict(VerdictState.PENDING, f'{calls} calls compared')


def decide_at_deadline(
    summary: evidence.Summary | None, verdict: Verdict, safety: document.Safety
) -> tuple[Decision, str]:
    """Decide how a rollout ends.

    Args:
        summary: Evidence, if any.
        verdict: Judgement at the deadline.
        safety: Safety target of the service; decides if there is too little traffic.

    Returns:
        The decision and its reason.
    """
    if verdict.state is VerdictState.BAD:
        return Decision.ROLL_BACK, verdict.evidence
    doubt_reason = None if summary is None else _find_doubt(summary, THRESHOLDS[safety])
    if doubt_reason is not None:
        return Decision.ROLL_BACK, f'not shown to be as good; {doubt_reason}'
    calls = 0 if summary is None else round(summary.new_calls())
    if calls >= MIN_CALLS:
        return Decision.FINISH, verdict.evidence
    target = safety
    reason = f'only {calls} of {MIN_CALLS} calls compared; decided by safety {target.value}'
    if target is document.Safety.STRICT:
        return Decision.ROLL_BACK, reason
    return Decision.FINISH, reason


def _find_significant(summary: evidence.Summary, thresholds: Thresholds) -> str | None:
    cells = len(summary.total) + 1
    # Half of alpha for the whole rollout, half for all epochs together: 1/(n(n+1)) sums to 1.
    epoch = summary.epoch + 1
    alpha = thresholds.alpha / (4 * cells)
    reason = _find_significant_in(summary.total, thresholds, alpha)
    return reason or _find_significant_in(summary.recent, thresholds, alpha / (epoch * (epoch + 1)))


def _find_significant_in(
    cells: dict[evidence.CellKey, evidence.CellSummary], thresholds: Thresholds, alpha: float
) -> str | None:
    for place, cell in _named_cells(cells):
        has_lasting_failures = cell.failure_moments >= MIN_FAILURE_MOMENTS
        if has_lasting_failures and _is_significant(
            cell.failed, thresholds.failure_excess, alpha, cell.new_hosts
        ):
            return _describe('failures', cell.failed, place)
        has_lasting_slowness = (
            cell.recent_windows >= MIN_RECENT_WINDOWS
            and cell.slow_windows >= cell.recent_windows * thresholds.slow_portion
        )
        if has_lasting_slowness and _is_significant(
            cell.slow, thresholds.slow_excess, alpha, cell.new_hosts
        ):
            return _describe('slow calls', cell.slow, place)
    return None


def _find_doubt(summary: evidence.Summary, thresholds: Thresholds) -> str | None:
    """Describe failures that exceed random variation, even if they are not significant."""
    for place, cell in _named_cells(summary.total):
        is_relevant = cell.failed.excess_rate() >= thresholds.failure_excess
        is_lasting = cell.failure_moments >= MIN_FAILURE_MOMENTS
        is_random = cell.failed.deviation(cell.new_hosts) <= tally.DOUBTFUL_DEVIATION
        if is_relevant and is_lasting and not is_random:
            return _describe('failures', cell.failed, place)
    return None


def _is_significant(counts: tally.Tally, excess: float, alpha: float, new_hosts: int) -> bool:
    return counts.excess_rate() >= excess and counts.exceeds(alpha, new_hosts)


def _named_cells(
    cells: dict[evidence.CellKey, evidence.CellSummary],
) -> Iterable[tuple[str, evidence.CellSummary]]:
    sum_of_cells = evidence.CellSummary(tally.Tally(), tally.Tally(), 0)
    for key, cell in cells.items():
        if key != evidence.ALL_CALLS:
            sum_of_cells.add(cell)
            yield f'route {key[0]} at load level {key[1]}', cell
    all_calls = cells.get(evidence.ALL_CALLS)
    if all_calls is not None:
        # Tallies are summed over routes and levels; hosts and windows must be counted once.
        yield (
            'all routes',
            dataclasses.replace(all_calls, failed=sum_of_cells.failed, slow=sum_of_cells.slow),
        )


def _describe(name: str, counts: tally.Tally, place: str) -> str:
    return (
        f'{place}: {counts.observed:.0f} {name} in {counts.new_calls:.0f} calls,'
        f' {counts.expected:.1f} expected'
    )
