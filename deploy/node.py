"""Starts a node on the platform from a checkout."""

from __future__ import annotations

import sys

# Without `os`, which takes a millisecond to import, and without `..`, since folders that are linked
# or mapped into place may not have the expected parent.
_ROOT = __file__.rpartition('/')[0].rpartition('/')[0]
sys.path.insert(0, f'{_ROOT}/src')

from anvillug import early_signals  # noqa: E402 - needs the path above

_EXIT_BAD_INPUT = 2


def _main() -> None:
    early_signals.keep()
    # Signals are kept from here on.
    import gc  # noqa: PLC0415

    # Imports create no garbage worth a search; `program.run` enables the collector after them.
    gc.disable()
    from anvillug.platform import location  # noqa: PLC0415
    from anvillug.process import lifetime  # noqa: PLC0415

    settings_file = location.settings_file()
    lifetime.PROCESS.begin(lifetime.STANDARD_OUTPUT, settings=settings_file)
    if not settings_file:
        lifetime.print_error(f'{location.SETTINGS_VARIABLE}: not set, must name the settings file')
        lifetime.PROCESS.end(_EXIT_BAD_INPUT)
    # Signals are handled from here on; the modules of the node take long to import.
    import pathlib  # noqa: PLC0415

    from anvillug.platform import program  # noqa: PLC0415

    lifetime.PROCESS.end(program.run(pathlib.Path(settings_file)))


if __name__ == '__main__':
    _main()
