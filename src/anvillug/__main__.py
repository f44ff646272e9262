"""Entry point of the program."""

from __future__ import annotations

import sys

from anvillug import early_signals

# Commands that run a server; the others keep the default action of signals.
_SERVERS = frozenset(('node', 'mesh', 'standin'))
_CHECK_OPTION = '--check'


def main() -> None:
    """Run the program and exit with its exit code."""
    arguments = sys.argv[1:]
    command = arguments[0] if arguments else ''
    is_server = command in _SERVERS and _CHECK_OPTION not in arguments
    if is_server:
        early_signals.keep()
        _begin(command, arguments[1:])
    else:
        # With their default action, so that the command can be ended.
        early_signals.unblock()
    # Signals are handled from here on; the modules of the commands take long to import.
    from anvillug.process import command_line  # noqa: PLC0415

    status = command_line.run(arguments)
    if is_server:
        from anvillug.process import lifetime  # noqa: PLC0415

        lifetime.PROCESS.end(status)
    sys.exit(status)


def _begin(command: str, arguments: list[str]) -> None:
    from anvillug.process import lifetime  # noqa: PLC0415

    is_mesh = command == 'mesh'
    descriptor = lifetime.STANDARD_OUTPUT if is_mesh else lifetime.STANDARD_ERROR
    field = 'kind' if command == 'standin' else 'settings'
    names = [argument for argument in arguments if not argument.startswith('-')]
    lifetime.PROCESS.begin(descriptor, **{field: names[0] if names else ''})


if __name__ == '__main__':
    main()
