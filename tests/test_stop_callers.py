"""Tests of the judgement of requests that a stopping node has cut."""

from __future__ import annotations

import time

import pytest

from tests import stop_callers

_STOPPED_AT_S = 100.0
_SENDING_S = 0.001
_CUT = 'RemoteDisconnected'


def _requests(
    *times_s: float, cut_s: float | None = None, is_kept: bool = True
) -> list[stop_callers.Sent]:
    """Return answered requests at times after SIGTERM, and a last one that was cut."""
    requests = [_sent(each, is_kept=True, outcome='200') for each in times_s]
    if cut_s is not None:
        requests.append(_sent(cut_s, is_kept=is_kept, outcome=_CUT))
    return requests


def _sent(time_s: float, *, is_kept: bool, outcome: str) -> stop_callers.Sent:
    begun_at_s = _STOPPED_AT_S + time_s
    return stop_callers.Sent(begun_at_s, begun_at_s + _SENDING_S, is_kept, outcome)


def _has_fault(*callers: list[stop_callers.Sent], work_s: float = 0) -> bool:
    outcomes = stop_callers.outcomes(callers, _STOPPED_AT_S, work_s)
    return any(outcome.startswith(_CUT) for outcome in outcomes)


class TestOutcomes:
    """Guards against a cut that is put down to a stand-still of the callers without reason."""

    def test_cut_after_a_second_without_a_request_is_left_out(self):
        assert not _has_fault(_requests(2.0, 2.5, cut_s=3.6))

    def test_cut_within_a_second_is_a_fault(self):
        assert _has_fault(_requests(2.0, 2.5, cut_s=3.4))

    def test_cut_of_a_caller_while_others_send_is_a_fault(self):
        others = _requests(*(number / 10 for number in range(60)))
        assert _has_fault(others, _requests(2.5, cut_s=4.0))

    def test_stand_still_before_the_last_answer_excuses_nothing(self):
        assert _has_fault(_requests(2.3, 3.8, cut_s=4.0))

    # Callers are served for 2.3 s whether they send or not.
    def test_cut_before_callers_could_leave_is_a_fault(self):
        assert _has_fault(_requests(0.1, cut_s=2.2))

    def test_stand_still_before_sigterm_excuses_nothing(self):
        assert _has_fault(_requests(-3, cut_s=0.5))

    def test_time_in_which_a_request_is_worked_on_excuses_nothing(self):
        assert _has_fault(_requests(2.0, 2.5, cut_s=3.6), work_s=0.2)

    def test_cut_of_a_new_connection_is_a_fault(self):
        assert _has_fault(_requests(2.0, 2.5, cut_s=4.5, is_kept=False))

    def test_request_that_was_being_sent_counts_from_its_begin(self):
        slow = stop_callers.Sent(_STOPPED_AT_S + 2.5, _STOPPED_AT_S + 3.2, True, '200')
        assert not _has_fault([slow, *_requests(cut_s=3.6)])


def _lose(pace: stop_callers.Pace, pause_s: float) -> None:
    with pace.request():
        pace.sent()
    time.sleep(pause_s)
    with pace.request():
        pace.sent()
        raise ConnectionResetError


class TestPace:
    """Guards against a lost connection that is put down to the test, and an endless repetition."""

    def test_loss_after_a_short_pause_is_an_error(self):
        with pytest.raises(ConnectionResetError):
            stop_callers.judge(lambda: _lose(stop_callers.Pace(), 0))

    def test_loss_of_the_first_request_is_an_error(self):
        with pytest.raises(ConnectionResetError), stop_callers.Pace().request():
            raise ConnectionResetError

    def test_loss_after_a_second_is_not_judged(self):
        with pytest.raises(stop_callers.StoodStillError):
            _lose(stop_callers.Pace(), stop_callers.QUIET_S)

    def test_no_judgement_fails(self):
        attempts = []

        def stand_still() -> None:
            attempts.append(1)
            raise stop_callers.StoodStillError

        with pytest.raises(pytest.fail.Exception, match='no attempt can be judged'):
            stop_callers.judge(stand_still)
        assert len(attempts) == stop_callers.MAX_ATTEMPTS

    def test_attempt_without_stand_still_ends(self):
        attempts = []

        def stand_still_once() -> None:
            attempts.append(1)
            if len(attempts) == 1:
                raise stop_callers.StoodStillError

        stop_callers.judge(stand_still_once)
        assert len(attempts) == 2
