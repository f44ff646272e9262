"""Subcommands `state` and `drain`: print the state of a node, or stop it gracefully."""

from __future__ import annotations

import sys
from typing import Any

import treq
from twisted.internet import defer, error
from twisted.web import client as web_client

from anvillug.process.commands import _reactor, arguments

_TIMEOUT_S = 5
_EXIT_UNREACHABLE = 1
_OK_STATUSES = frozenset((200, 202))
_CONNECTION_ERRORS = (
    error.ConnectError,
    error.TimeoutError,
    defer.CancelledError,
    web_client.ResponseFailed,
)


def state(node: arguments.Address, /) -> int:
    """Print the state dump of a node as JSON.

    Args:
        node: Operator address of the node, IP:port.

    Returns:
        Exit code: 0, or 1 if the node can't be reached.
    """
    return _send_request(node, 'GET', 'state')


def drain(node: arguments.Address, /) -> int:
    """Stop a node gracefully: it accepts no new work and completes running requests.

    Args:
        node: Operator address of the node, IP:port.

    Returns:
        Exit code: 0 if the node has started to drain, 1 if it can't be reached.
    """
    return _send_request(node, 'POST', 'drain')


def _send_request(node: str, method: str, path: str) -> int:
    async def main(reactor: Any) -> int:
        url = f'http://{node}/{path}'
        try:
            response = await treq.request(method, url, reactor=reactor, timeout=_TIMEOUT_S)
            text = await response.text()
        except _CONNECTION_ERRORS as problem:
            sys.stderr.write(f'{node}: {problem or type(problem).__name__}\n')
            return _EXIT_UNREACHABLE
        sys.stdout.write(text)
        return 0 if response.code in _OK_STATUSES else _EXIT_UNREACHABLE

    return _reactor.run(main)
