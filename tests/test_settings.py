"""Tests of the settings file, its reference table and the check command."""

from __future__ import annotations

import pathlib

import pytest

from anvillug import findings
from anvillug.process import settings
from anvillug.process.commands import check

_VALID = """{
  // comments are allowed
  host_id: 'kochi-1', region: 'south', zone: 'kochi-a',
  caller_address: '10.0.0.1:7001', peer_address: '10.0.0.1:7002',
  control_address: '10.0.0.1:7003', operator_address: '[::1]:7004',
  log_address: '10.0.0.9:8000', seeds: ['10.0.0.2:7003'],
}"""


def _load(tmp_path: pathlib.Path, text: str):
    path = tmp_path / 'node.json'
    path.write_text(text)
    return settings.load(path)


class TestLoad:
    """Guards against starting a node with invalid settings or wrong defaults."""

    def test_defaults(self, tmp_path: pathlib.Path):
        loaded = _load(tmp_path, _VALID).ok
        assert loaded.seeds == ('10.0.0.2:7003',)
        assert loaded.limits.max_header_bytes == 65536
        assert loaded.timeouts == settings.Timeouts(silence_ms=30000, connect_ms=1000)
        assert loaded.timeouts.sample_ms == 250

    def test_reports_all_findings_with_their_keys(self, tmp_path: pathlib.Path):
        text = _VALID.replace('10.0.0.9:8000', 'log.example:8000').replace(
            "zone: 'kochi-a'", 'zon: 1'
        )
        text = text.replace('seeds:', "timeouts: {silence_ms: '5'}, seeds:")
        text = text.replace('10.0.0.2:7003', '10.0.0.2:0')
        report = findings.report(_load(tmp_path, text).error)
        for part in (
            'node.json: zone: required key is missing',
            'node.json: zon: unknown key',
            'node.json: log_address: address must be <IP number>:<port>',
            'node.json: timeouts.silence_ms: Input should be a valid integer',
            'node.json: seeds.0: port must be a number',
        ):
            assert part in report

    def test_finding_of_a_syntax_error_has_its_line(self, tmp_path: pathlib.Path):
        finding = _load(tmp_path, '{\n  a: 1,\n  b: }\n}').error[0]
        assert finding.place.endswith('node.json:3')

    def test_rejects_listeners_with_the_same_address(self, tmp_path: pathlib.Path):
        text = _VALID.replace('10.0.0.1:7002', '10.0.0.1:7001')
        assert 'different addresses' in findings.report(_load(tmp_path, text).error)

    def test_missing_file_is_a_finding(self, tmp_path: pathlib.Path):
        assert settings.load(tmp_path / 'absent.json').is_error()


class TestReferenceTable:
    """Guards against settings that are missing from the settings page or have no description."""

    def test_settings_page_is_current(self):
        page = pathlib.Path(__file__).parents[1] / 'docs' / 'settings.md'
        assert page.read_text().endswith(settings.reference_table())

    def test_every_row_has_a_description(self):
        rows = settings.reference_table().splitlines()[2:]
        assert len(rows) == 24
        assert all(row.split('|')[3].strip() for row in rows)


class TestCheckCommand:
    """Guards against reporting a faulty file as valid."""

    @pytest.mark.parametrize(
        ('text', 'code', 'part'),
        [
            (_VALID, 0, 'no findings'),
            ('{services: {a: {version: "1"}}}', 0, 'no findings'),
            ('{services: {a: {}, B: {version: "1"}}}', 2, 'services.a.version: required'),
            ('{services: {a: {version: "1", targets: {latency_p99_ms: 3}}}}', 2, 'hedging'),
            ('{host_id: 5}', 2, 'host_id: Input should be a valid string'),
            ('{', 2, 'is not JSON'),
        ],
    )
    def test_exit_code_and_text(self, tmp_path, capsys, text: str, code: int, part: str):
        path = tmp_path / 'file.json'
        path.write_text(text)
        assert check.check(path) == code
        assert part in capsys.readouterr().out
