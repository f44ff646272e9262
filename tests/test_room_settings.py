"""Whether jobs wait at the node, as the settings of the deployment say."""

from __future__ import annotations

import json

import pytest

from anvillug.platform import settings

_ADDRESS = '127.0.0.1:80'


class TestRoomSettings:
    """Guards against a room at hosts of deployments that have not called for one."""

    @pytest.mark.parametrize(
        ('terms', 'has_room'),
        [
            ({}, False),
            ({'Contracts': ['base', 'retry']}, False),
            ({'Contracts': ['base', 'pressure']}, True),
            ({'Contracts': ['tenants', 'leader']}, True),
        ],
    )
    def test_where_callers_compete(self, tmp_path, terms, has_room):
        listen = dict.fromkeys(('Inbound', 'Outbound', 'ReadyAddr', 'Control'), _ADDRESS)
        path = tmp_path / 'settings.json'
        document = {
            'Self': {
                'NodeName': 'h',
                'Ip': '127.0.0.1',
                'Zone': 'z',
                'AppAddr': _ADDRESS,
                'Service': 's',
            },
            'Network': {'Listen': listen, 'InternalPorts': [1, 2]},
            'Platform': {'Platform': {'Address': _ADDRESS}},
            'Terms': {'Bounds': {}, **terms},
        }
        path.write_text(json.dumps(document))
        assert (settings.load(path).room is not None) is has_room
