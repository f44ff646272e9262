"""Subcommands `mesh` and `story`."""

from __future__ import annotations

import importlib
import json

import pytest

from anvillug.platform import settings
from anvillug.process import command_line

_SETTINGS = {
    'Self': {
        'NodeName': 'sidecar-a-1',
        'Ip': '10.1.0.38',
        'Zone': 'a',
        'AppAddr': '10.1.0.38:8145',
        'Service': 'one',
    },
    'Network': {
        'Listen': {
            'Inbound': '10.1.0.38:8146',
            'Outbound': '10.1.0.38:8147',
            'ReadyAddr': '10.1.0.38:8141',
            'Control': '10.1.0.38:8144',
        },
        'InternalPorts': [7380, 7395],
    },
    'Platform': {'Platform': {'Address': '10.200.1.7:8142'}},
    'Terms': {'Bounds': {}},
}


class TestSettings:
    """Guards against errors in settings that are reported one at a time, or only at runtime."""

    def _check(self, tmp_path, text: str) -> int:
        path = tmp_path / 'local.json'
        path.write_text(text)
        return command_line.run(['mesh', '--check', str(path)])

    def test_valid(self, tmp_path):
        assert self._check(tmp_path, json.dumps(_SETTINGS)) == 0

    def test_all_findings_are_reported_with_their_place(self, tmp_path, capsys):
        broken = json.loads(json.dumps(_SETTINGS))
        broken['Self'].pop('Zone')
        broken['Network']['Listen']['Control'] = 'here'
        assert self._check(tmp_path, json.dumps(broken)) == 2
        output = capsys.readouterr().err
        assert 'Self.Zone: required key is missing' in output
        assert 'Network.Listen.Control' in output

    @pytest.mark.parametrize(('closed', 'revoke_ms'), [(True, 4000), (False, None)])
    def test_withdrawal_is_bounded_only_if_it_fails_closed(self, tmp_path, closed, revoke_ms):
        path = tmp_path / 'local.json'
        bounds = {'RevokeFailClosed': closed, 'RevokeMs': 4000}
        path.write_text(json.dumps({**_SETTINGS, 'Terms': {'Bounds': bounds}}))
        assert settings.load(path).bounds.revoke_ms == revoke_ms

    @pytest.mark.parametrize('text', ['', '{', '[]'])
    def test_malformed_file_is_an_error(self, tmp_path, text):
        assert self._check(tmp_path, text) == 2

    def test_missing_file_is_an_error(self, tmp_path):
        assert command_line.run(['mesh', '--check', str(tmp_path / 'none')]) == 2


class TestStory:
    """Guards against lines of a request that are left out, or not in order of time."""

    def test_lines_of_all_nodes_in_order_of_time(self, tmp_path, capsys):
        first = tmp_path / 'a.log'
        first.write_text('time_ms=3 event=call_over request=r1\ntime_ms=1 event=x request=r10\n')
        second = tmp_path / 'b.log'
        second.write_text('time_ms=2 event=run_over request=r1 outcome=shed\n')
        assert command_line.run(['story', 'r1', str(first), str(second)]) == 0
        assert capsys.readouterr().out.splitlines() == [
            'b.log: time_ms=2 event=run_over request=r1 outcome=shed',
            'a.log: time_ms=3 event=call_over request=r1',
        ]

    def test_exit_code_reports_an_unknown_request(self, tmp_path):
        log = tmp_path / 'a.log'
        log.write_text('time_ms=3 event=call_over request=r1\n')
        assert command_line.run(['story', 'r2', str(log)]) == 1


class TestPlatformPackage:
    """Guards against the adapter's folder hiding the standard library's module."""

    def test_standard_module_is_found(self):
        module = importlib.import_module('platform')
        assert module.python_implementation() == 'CPython'
