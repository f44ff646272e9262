"""Keeps libraries for TLS out of a process that speaks plain TCP only.

Twisted imports pyOpenSSL where it is installed. A node opens no TLS
connection, and the import adds 12 MB of resident memory.
"""

from __future__ import annotations

import sys

_TLS_MODULE = 'OpenSSL'


def leave_out_tls() -> None:
    """Let Twisted find no TLS library; call before anything imports Twisted."""
    # None in `sys.modules` makes an import fail as if the module were not installed.
    sys.modules.setdefault(_TLS_MODULE, None)  # type: ignore[arg-type]
