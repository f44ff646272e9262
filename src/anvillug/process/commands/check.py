"""Subcommand `check`: validates a settings file or a configuration document."""

from __future__ import annotations

import pathlib
from typing import Any

from anvillug import findings
from anvillug.process import settings
from anvillug.version import document, targets

_EXIT_FINDINGS = 2
_DOCUMENT_KEYS = frozenset(('services', 'zones'))


def check(file: pathlib.Path) -> int:
    """Check a settings file or a configuration document and print all findings.

    For a document, also explain targets that can't be met together.

    Args:
        file: JSON with comments; a document has the key services or zones.

    Returns:
        Exit code: 0 without findings, 2 with findings.
    """
    checked = settings.read_json(file).map(lambda data: _check(data, str(file)))
    all_findings = checked.default_with(lambda read_findings: read_findings)
    print(findings.report(all_findings) if all_findings else f'{file}: no findings')
    return _EXIT_FINDINGS if all_findings else 0


def _check(data: Any, place: str) -> findings.Findings:
    if isinstance(data, dict) and (not data or _DOCUMENT_KEYS & data.keys()):
        parsed = document.parse(data, place)
        return parsed.map(lambda config: targets.explain(config, place)).default_with(_identity)
    return settings.parse(data, place).map(lambda _: ()).default_with(_identity)


def _identity(all_findings: findings.Findings) -> findings.Findings:
    return all_findings
