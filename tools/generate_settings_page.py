"""Generates the table in docs/settings.md from the settings model."""

from __future__ import annotations

import pathlib
import sys

from anvillug.process import settings

_PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'settings.md'
_TABLE_START = '| setting |'


def main() -> int:
    """Replace the table at the end of the page.

    Returns:
        Exit code 0.
    """
    introduction = _PAGE.read_text().partition(_TABLE_START)[0]
    _PAGE.write_text(f'{introduction}{settings.reference_table()}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
