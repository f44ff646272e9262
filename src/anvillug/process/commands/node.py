"""Subcommand `node`: runs the node beside a backend server."""

from __future__ import annotations

import pathlib

import expression

from anvillug import clock, event_log, findings
from anvillug.process import lifetime, plain_tcp, settings

_EXIT_BAD_INPUT = 2


def node(settings_file: pathlib.Path, /) -> int:
    """Run a node until SIGTERM, which stops it gracefully.

    Args:
        settings_file: Settings file, JSON with comments.

    Returns:
        Exit code: 0 after a graceful stop, 2 for invalid settings or an address in use.
    """
    loaded = settings.load(settings_file)
    if isinstance(loaded, expression.Result) and loaded.is_error():
        lifetime.print_error(findings.report(loaded.error))
        return _EXIT_BAD_INPUT
    time = clock.SystemClock()
    event_log.set_up_bounded(lifetime.STANDARD_ERROR, time)
    plain_tcp.disable_tls()
    from anvillug.process import event_loop  # noqa: PLC0415

    event_loop.install()
    # The node imports most of the program.
    from twisted.internet import reactor  # noqa: PLC0415

    from anvillug.process import error_reports, listeners  # noqa: PLC0415
    from anvillug.process import node as node_process  # noqa: PLC0415

    error_reports.forward_twisted_errors()

    process = node_process.Node(reactor, loaded.ok, time)
    try:
        process.start()
    except listeners.ListenError as problem:
        lifetime.print_error(f'{settings_file}: {problem}')
        return _EXIT_BAD_INPUT
    reactor.run(installSignalHandlers=False)
    return 0
