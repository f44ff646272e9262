"""Subcommand `mesh`: runs a node that is controlled by the users' platform."""

from __future__ import annotations

import pathlib

from anvillug.platform import program


def mesh(settings_file: pathlib.Path, /, *, check: bool = False) -> int:
    """Run a node on the users' platform until SIGTERM, which stops it gracefully.

    It waits until its settings are valid and its addresses free.

    Args:
        settings_file: Settings file in the platform's format.
        check: Only check the settings file.

    Returns:
        Exit code: 0 after a graceful stop or for valid settings, 2 for settings that are invalid
            when they are checked, or an address that can never be used.
    """
    return program.check(settings_file) if check else program.run(settings_file)
