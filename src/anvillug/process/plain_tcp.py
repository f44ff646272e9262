"""Prevents the import of TLS libraries in a process that uses plain TCP only.

Twisted imports pyOpenSSL if it is installed. A node opens no TLS connections, and the import would
add 12 MB of resident memory.
"""

from __future__ import annotations

import sys

_TLS_MODULE = 'OpenSSL'


def disable_tls() -> None:
    """Make Twisted run without TLS; call this before Twisted is imported."""
    # An entry of None makes the import fail as if the module were not installed.
    sys.modules.setdefault(_TLS_MODULE, None)  # type: ignore[arg-type]
