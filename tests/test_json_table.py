"""Reading of JSON objects by hand."""

from __future__ import annotations

import json

import pytest

from anvillug import json_table

_INFINITE = float('inf')


class TestFindings:
    """Guards against findings that are lost, lack their place, or reject valid documents."""

    def test_all_are_found_with_their_place(self):
        table = json_table.decode(b'{"a": 1, "b": {"c": [{"d": "x"}, 5]}}', 'file')
        table.text('a')
        for entry in table.table('b').tables('c'):
            entry.number('d')
        table.table('e').integer('f')
        assert [(finding.place, finding.message) for finding in table.findings] == [
            ('file: a', 'must be a string, got 1'),
            ('file: b.c.1', 'must be an object, got 5'),
            ('file: b.c.0.d', "must be a number, got 'x'"),
            ('file: e', 'required key is missing'),
        ]

    @pytest.mark.parametrize('document', [b'{', b'\xff', b'[]', b'[' * 100_000, b'9' * 5000])
    def test_what_is_no_object_is_a_finding(self, document: bytes):
        table = json_table.decode(document, 'file')
        table.text('a')
        assert [finding.place for finding in table.findings] == ['file']

    @pytest.mark.parametrize(
        ('method', 'content'),
        [
            ('text', '\ud800'),
            ('integer', True),
            ('integer', 1.0),
            ('integer', 10**400),
            ('number', '1'),
            ('number', _INFINITE),
            ('number', 10**400),
            ('positive', 0),
            ('positive', None),
            ('address', 'host:80'),
            ('tables', {}),
        ],
    )
    def test_wrong_value(self, method: str, content: object):
        table = json_table.decode(json.dumps({'x': content}).encode(), 'file')
        getattr(table, method)('x')
        assert [finding.place for finding in table.findings] == ['file: x']

    def test_valid_values_and_defaults(self):
        table = json_table.decode(b'{"n": 2, "p": [1, 2], "z": null}', 'file')
        assert (table.integer('n'), table.number('n'), table.positive('n')) == (2, 2, 2)
        assert table.integers('p', 2) == [1, 2]
        assert (table.number('x', 6), 'z' in table, 'n' in table) == (6, False, True)
        assert not table.findings
