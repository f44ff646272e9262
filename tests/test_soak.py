"""The fault soak: its checks, and a short run on real processes."""

from __future__ import annotations

import subprocess
import sys

import pytest

from anvillug import clock
from anvillug.bench import soak_checks, soak_records


def _attempt(records, status, *, repeatable=False, body=b'', sent_at=10_000):
    attempt = soak_records.Attempt('a1', 0, repeatable, clock.Milliseconds(sent_at))
    attempt.status = status
    attempt.body = body
    attempt.sealed = status == 200
    attempt.ended_at = clock.Milliseconds(sent_at + 100)
    records.attempts.append(attempt)
    return attempt


def _run(records, node=1, began_at=10_050, left_at=None):
    records.arrived('a1', soak_records.Run(node, clock.Milliseconds(began_at)), left_at)


class TestChecks:
    """Guards against a soak that cannot fail."""

    @pytest.fixture
    def records(self):
        """Return records of nothing."""
        return soak_records.Records()

    def test_whole_answer_breaks_nothing(self, records):
        _attempt(records, 200, body=b'a1')
        _run(records)
        assert not soak_checks.broken(records)

    def test_foreign_answer(self, records):
        _attempt(records, 200, body=b'a2')
        assert soak_checks.broken(records) == ['MIXED a1']

    def test_success_without_seal(self, records):
        _attempt(records, 200, body=b'a1').sealed = False
        assert soak_checks.broken(records) == ['MIXED a1']

    def test_bytes_that_are_no_answer(self, records):
        _attempt(records, 0).garbled = True
        assert soak_checks.broken(records) == ['MIXED a1']

    @pytest.mark.parametrize(('echoed_id', 'broken'), [('a1', []), ('a2', ['MIXED a1'])])
    def test_failure_of_another_request(self, records, echoed_id, broken):
        _attempt(records, 502).echoed_id = echoed_id
        assert soak_checks.broken(records) == broken

    @pytest.mark.parametrize(('repeatable', 'broken'), [(False, ['TWICE a1']), (True, [])])
    def test_second_run(self, records, repeatable, broken):
        _attempt(records, 200, body=b'a1', repeatable=repeatable)
        _run(records)
        _run(records, node=2)
        assert soak_checks.broken(records) == broken

    @pytest.mark.parametrize(('status', 'broken'), [(503, ['REFUSED a1']), (502, [])])
    def test_refusal_of_a_request_that_ran(self, records, status, broken):
        _attempt(records, status)
        _run(records)
        assert soak_checks.broken(records) == broken

    @pytest.mark.parametrize(
        ('kind', 'broken'),
        [
            (soak_records.Disturbance.PLANNED, ['LOST a1']),
            (soak_records.Disturbance.UNPLANNED, []),
        ],
    )
    @pytest.mark.parametrize('node', [0, 1])
    def test_cut_request(self, records, kind, broken, node):
        _attempt(records, 0)
        _run(records)
        records.disturb(node, clock.Milliseconds(9000), kind)
        assert soak_checks.broken(records) == broken

    @pytest.mark.parametrize(('began_at', 'broken'), [(10_000, []), (12_400, ['DRAIN a1'])])
    def test_request_after_a_leave(self, records, began_at, broken):
        _run(records, began_at=began_at, left_at=clock.Milliseconds(10_000))
        assert soak_checks.broken(records) == broken

    @pytest.mark.parametrize(('link_at', 'broken'), [(9400, ['DRAIN a1']), (9401, [])])
    def test_request_that_a_link_held_up(self, records, link_at, broken):
        records.disturb(1, clock.Milliseconds(link_at), soak_records.Disturbance.LINK)
        _run(records, began_at=12_400, left_at=clock.Milliseconds(10_000))
        assert soak_checks.broken(records) == broken

    def test_kill_does_not_excuse_a_request_after_a_leave(self, records):
        records.disturb(1, clock.Milliseconds(11_000), soak_records.Disturbance.UNPLANNED)
        _run(records, began_at=12_400, left_at=clock.Milliseconds(10_000))
        assert soak_checks.broken(records) == ['DRAIN a1']

    def test_process_that_ends_by_itself(self, records):
        records.own_ends.append('host-1 ended by itself')
        assert soak_checks.broken(records) == ['FAULT host-1 ended by itself']


_SOAK = (sys.executable, '-m', 'anvillug', 'bench', 'soak')
_FIRST_SECOND = '--seed 2 --seconds 8 --nodes 4 --rate 0.15 --faults early'
_PORT_IN_USE = '--seed 2 --seconds 8 --nodes 4 --rate 0.15 --faults port'
_READER_GONE = '--seed 2 --seconds 14 --nodes 4 --rate 0.15 --faults reader-gone terminate'
_FEW_NODES = '--seed 1 --seconds 25 --nodes 6 --rate 0.3 --faults burst config pause'
# FAULT and LOST: a crowd that sends trailers without end took over 300 MB while others were served.
_ENDLESS_TRAILERS = '--seed 5312 --seconds 20 --nodes 4 --rate 0.15 --faults unruly config'
# FAULT: a node stood still for its grace time beside offers to switch and chunks of one byte.
_UNRULY = '--seed 5314 --seconds 30 --nodes 4 --rate 0.15 --faults unruly terminate config'
# FAULT and LOST: bodies in reference cycles took over 300 MB.
_LARGE_BODIES = '--seed 42 --seconds 50 --rate 0.25 --upload-bytes 4000000 --faults burst pause'


def _start(arguments, folder):
    return subprocess.Popen(
        (*_SOAK, *arguments.split(), '--logs', str(folder)),
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )


def _assert_held(soak):
    output, _ = soak.communicate(timeout=200)
    assert soak.returncode == 0, output


@pytest.fixture(scope='module')
def soaks(tmp_path_factory):
    """Yield four short soaks by their arguments, which run at once to save time."""
    processes = {
        arguments: _start(arguments, tmp_path_factory.mktemp('soak'))
        for arguments in (_FIRST_SECOND, _PORT_IN_USE, _READER_GONE, _FEW_NODES)
    }
    yield processes
    for soak in processes.values():
        soak.terminate()
        soak.wait()


class TestIncident:
    """Guards against processes that end by themselves and requests without an answer."""

    def test_signal_in_the_first_second_of_a_process(self, soaks):
        # FAULT: until a node had imported itself, signals had their default action.
        _assert_held(soaks[_FIRST_SECOND])

    def test_port_in_use_at_the_start(self, soaks):
        # FAULT: a listen address in use ended the node.
        _assert_held(soaks[_PORT_IN_USE])

    def test_requests_without_an_answer_when_the_log_has_no_reader(self, soaks):
        # LOST: a log line that could not be written raised an error into the path of requests.
        _assert_held(soaks[_READER_GONE])


class TestShortRun:
    """Guards against a broken promise under traffic and faults on real processes."""

    def test_promises_hold_on_few_nodes(self, soaks):
        _assert_held(soaks[_FEW_NODES])

    @pytest.mark.parametrize('options', [_UNRULY, _ENDLESS_TRAILERS])
    def test_promises_hold_beside_clients_that_do_not_behave(self, tmp_path, options):
        _assert_held(_start(options, tmp_path))

    def test_promises_hold_with_large_bodies(self, tmp_path):
        _assert_held(_start(_LARGE_BODIES, tmp_path))

    @pytest.mark.parametrize(
        ('arguments', 'message'),
        [
            ('--nodes 1', 'nodes must be 4 or more'),
            ('--nodes 241', '241 nodes exceed the 240 addresses'),
            ('--faults kill quake', 'unknown faults quake'),
        ],
    )
    def test_invalid_argument_is_an_error(self, arguments, message):
        command = (*_SOAK, *arguments.split())
        finished = subprocess.run(command, capture_output=True, text=True, timeout=30)
        assert finished.returncode == 2
        assert message in finished.stderr
