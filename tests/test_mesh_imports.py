"""Modules that a mesh node loads at its start."""

from __future__ import annotations

import subprocess
import sys

_PROGRAM = """
import sys
from anvillug.platform import program
from anvillug.process import plain_tcp
plain_tcp.disable_tls()
import twisted.internet.reactor
from anvillug.platform import node_start, store
from anvillug.process import error_reports, mesh_node
print(*sys.modules)
"""
# Each takes 10 ms of processor time or more to import, alone or with others of this list.
_HEAVY = frozenset(
    (
        'absl',
        'cryptography',
        'expression',
        'grpc',
        'klein',
        'prometheus_client',
        'pydantic',
        'pydantic_core',
        'statistics',
        'treq',
        'twisted.cred',
        'twisted.internet.endpoints',
        'twisted.plugin',
        'twisted.web',
        'zipfile',
    )
)


class TestStart:
    """Guards against starts that import what no request of a mesh node needs."""

    def test_no_heavy_module_is_loaded(self):
        finished = subprocess.run(
            [sys.executable, '-c', _PROGRAM], capture_output=True, text=True, check=True, timeout=60
        )
        loaded = set(finished.stdout.split())
        assert 'anvillug.process.mesh_node' in loaded
        assert not loaded & _HEAVY
