"""Subcommand `patch`: submits a patch of the configuration document."""

from __future__ import annotations

import functools
import getpass
import pathlib
from typing import Any

from anvillug import findings, ids
from anvillug.connection import log_client
from anvillug.process import settings
from anvillug.process.commands import _reactor, arguments
from anvillug.version import publisher

_EXIT_REJECTED = 1
_EXIT_FINDINGS = 2
_EXIT_UNKNOWN = 3
_MS_PER_SECOND = 1000


def patch(
    file: pathlib.Path,
    *,
    base: int,
    log: arguments.Address,
    author: str = '',
    timeout_s: int = 30,
) -> int:
    """Submit a patch based on a configuration number and print the result.

    Args:
        file: JSON merge patch (RFC 7396) with comments.
        base: Configuration number that the patch is based on.
        log: Address of the platform log, as IP:port.
        author: Author of the patch; by default the user name.
        timeout_s: Seconds after which the result is reported as unknown.

    Returns:
        Exit code: 0 if accepted, 1 if rejected, 2 for an invalid file, 3 if the result is unknown.
    """
    loaded = settings.read_json(file)
    if loaded.is_error():
        print(findings.report(loaded.error))
        return _EXIT_FINDINGS
    new_patch = publisher.Patch(ids.ConfigNumber(base), loaded.ok, author or getpass.getuser())
    return _reactor.run(functools.partial(_publish, new_patch, log, timeout_s))


async def _publish(new_patch: publisher.Patch, log: str, timeout_s: int, reactor: Any) -> int:
    client = log_client.HttpLogClient(reactor, log)
    try:
        outcome = await publisher.Publisher(client, reactor, timeout_s * _MS_PER_SECOND).publish(
            new_patch,
        )
    finally:
        await client.close()
    return report(outcome, new_patch.patch_id)


def report(outcome: publisher.Publication, patch_id: str) -> int:
    """Print the result of a patch.

    Args:
        outcome: Result of the publication.
        patch_id: Id of the patch.

    Returns:
        Exit code of the command.
    """
    if isinstance(outcome, publisher.Accepted):
        print(f'accepted number={outcome.number}')
        return 0
    if isinstance(outcome, publisher.Refused):
        print(f'refused number={outcome.number} reason={outcome.reason}')
        return _EXIT_REJECTED
    appended = 'it may be in the log' if outcome.may_be_appended else 'it was not appended'
    print(f'unknown id={patch_id}: {outcome.reason}; {appended}')
    return _EXIT_UNKNOWN
