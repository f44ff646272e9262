"""Starts a node on the platform from a checkout."""

from __future__ import annotations

import os
import sys

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(_ROOT, 'src'))

from anvillug.platform import location  # noqa: E402 - needs the path above
from anvillug.process import lifetime  # noqa: E402


def _main() -> None:
    settings_file = location.settings_file()
    lifetime.PROCESS.begin(lifetime.STANDARD_OUTPUT, settings=settings_file)
    # Signals are handled from here on; the modules of the node take long to import.
    import pathlib  # noqa: PLC0415

    from anvillug.platform import program  # noqa: PLC0415

    lifetime.PROCESS.end(program.run(pathlib.Path(settings_file)))


if __name__ == '__main__':
    _main()
