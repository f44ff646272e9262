"""Subcommand `explain`: prints where a request would go now, and why, without sending it."""

from __future__ import annotations

import json as json_module
import pathlib
import sys
from collections.abc import Iterable
from typing import Any
from urllib import parse as url_parse

import treq
from twisted.internet import defer, error
from twisted.web import client as web_client

from anvillug.process.commands import _reactor, arguments

_TIMEOUT_S = 5
_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_EXIT_UNREACHABLE = 1
_EXIT_BAD_INPUT = 2
_CONNECTION_ERRORS = (
    error.ConnectError,
    error.TimeoutError,
    defer.CancelledError,
    web_client.ResponseFailed,
)


def explain(
    node: arguments.Address,
    /,
    *,
    host: str,
    path: str,
    method: str = 'GET',
    size: int = 0,
    key_file: str = '',
    json: bool = False,
) -> int:
    """Print where a request of a node's callers would go now, and why; nothing is sent.

    Args:
        node: Address of the node's metrics, IP:port.
        host: Value of the `Host` header.
        path: Path of the request.
        method: Method of the request.
        size: Size of its body in bytes.
        key_file: File with the caller's key, which is not printed; an argument could be seen by
            other users. Without it, no key is checked.
        json: Whether to print the answer as JSON.

    Returns:
        Exit code: 0, 1 if the node can't be reached, 2 if the question is malformed.
    """
    headers = {}
    if key_file:
        key = _read_key(key_file)
        if not key:
            return _EXIT_BAD_INPUT
        headers['Authorization'] = f'Bearer {key}'

    async def main(reactor: Any) -> int:
        query = url_parse.urlencode({'host': host, 'path': path, 'method': method, 'size': size})
        url = f'http://{node}/explain?{query}'
        try:
            response = await treq.get(url, headers=headers, reactor=reactor, timeout=_TIMEOUT_S)
            text = await response.text()
        except _CONNECTION_ERRORS as problem:
            sys.stderr.write(f'{node}: {problem or type(problem).__name__}\n')
            return _EXIT_UNREACHABLE
        if response.code == _STATUS_BAD_REQUEST:
            sys.stderr.write(text)
            return _EXIT_BAD_INPUT
        if response.code != _STATUS_OK:
            sys.stderr.write(f'{node}: answers no questions, status {response.code}\n')
            return _EXIT_UNREACHABLE
        answer = json_module.loads(text)
        sys.stdout.write(text if json else ''.join(f'{line}\n' for line in describe(answer)))
        return 0

    return _reactor.run(main)


def _read_key(path: str) -> str:
    """Return the key in a file; print what is wrong and return an empty one if it is unusable."""
    try:
        key = pathlib.Path(path).read_bytes().strip().decode('ascii')
    except OSError as problem:
        sys.stderr.write(f'{path}: {problem.strerror}\n')
        return ''
    except UnicodeDecodeError:
        key = ''
    if not key or not key.isprintable() or ' ' in key:
        sys.stderr.write(f'{path}: must contain one key of visible ASCII characters\n')
        return ''
    return key


def describe(answer: dict[str, Any]) -> Iterable[str]:
    """Yield the lines of an answer for people; see `explanation.Explanation.explain`."""
    yield _fields('node', answer['node'])
    if 'route' in answer:
        yield _fields('route', answer['route'])
    if 'tenant' in answer:
        yield _fields('tenant', answer['tenant'])
    if 'status' in answer:
        yield f'rejected status={answer["status"]} reason="{answer["reason"]}"'
        return
    for service in answer['services']:
        yield _fields('service', {key: service[key] for key in service if key != 'hosts'})
        for host in service['hosts']:
            excluded = host['excluded']
            fields = {key: host[key] for key in host if key != 'excluded'}
            line = _fields('  excluded' if excluded else '  host', fields)
            yield f'{line} reason="{excluded}"' if excluded else line


def _fields(name: str, content: dict[str, Any]) -> str:
    pairs = ' '.join(f'{key}={json_module.dumps(value)}' for key, value in content.items())
    return f'{name} {pairs}'
