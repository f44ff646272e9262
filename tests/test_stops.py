"""Planned stops of a real node under callers of their own process."""

from __future__ import annotations

import subprocess
import sys

import pytest

_STOPS = (sys.executable, '-m', 'anvillug', 'bench', 'stops')


def _run(arguments):
    return subprocess.run(
        (*_STOPS, *arguments.split()), capture_output=True, text=True, timeout=100
    )


class TestStops:
    """Guards against requests that a planned stop leaves without an answer."""

    # LOST: callers that use their connection until the process is gone were cut up to 15 times.
    @pytest.mark.parametrize('pause_ms', [100, 600])
    def test_caller_that_goes_on_loses_at_most_one_request_by_a_stop(self, pause_ms):
        finished = _run(f'--stops 2 --connections 30 --pause-ms {pause_ms}')
        assert finished.returncode == 0, finished.stdout

    # LOST: connections were closed while their next request was on its way.
    @pytest.mark.parametrize('pause_ms', [100, 600])
    def test_caller_that_honours_the_close_loses_none(self, pause_ms):
        finished = _run(f'--habit honours-close --stops 2 --connections 30 --pause-ms {pause_ms}')
        assert finished.returncode == 0, finished.stdout

    # LOST: an end of the stream was taken for a caller that has left, in 1,819 of 1,834 requests.
    def test_caller_that_closes_its_end_loses_none(self):
        finished = _run('--habit half-closes --stops 1 --connections 20')
        assert finished.returncode == 0, finished.stdout

    # LOST: with a grace time of 10 s, requests sent 3 to 6.7 s after SIGTERM were cut.
    def test_caller_of_long_requests_loses_none(self):
        long = '--grace-s 10 --timeout-ms 6000 --work-ms 1500'
        finished = _run(f'--habit honours-close --stops 1 {long}')
        assert finished.returncode == 0, finished.stdout

    @pytest.mark.parametrize('arguments', ['--habit quiet', '--stops 0', '--pause-ms -1'])
    def test_invalid_argument_is_an_error(self, arguments):
        finished = _run(arguments)
        assert finished.returncode == 2
        assert 'habits are goes-on, half-closes, honours-close' in finished.stderr

    @pytest.mark.parametrize('arguments', ['--grace-s 0', '--timeout-ms 0'])
    def test_time_that_is_not_positive_is_an_error(self, arguments):
        finished = _run(arguments)
        assert finished.returncode == 2
        assert 'grace_s and timeout_ms must be above 0' in finished.stderr


class TestStarts:
    """Guards against a reproduction of failed starts that accepts whatever it is asked for."""

    @pytest.mark.parametrize('arguments', ['--trouble none', '--hold-s 0', '--repeats 0'])
    def test_invalid_argument_is_an_error(self, arguments):
        command = (sys.executable, '-m', 'anvillug', 'bench', 'starts', *arguments.split())
        finished = subprocess.run(command, capture_output=True, text=True, timeout=100)
        assert finished.returncode == 2
        assert 'troubles are port, settings, mask, early' in finished.stderr
