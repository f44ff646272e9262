"""Location of the settings file; imports nothing that takes long."""

from __future__ import annotations

import os

SETTINGS_VARIABLE = 'ANVILLUG_NODE_FILE'
"""Environment variable with the path of the settings file."""


def settings_file() -> str:
    """Return the path of the settings file from the environment."""
    return os.environ.get(SETTINGS_VARIABLE, '')
