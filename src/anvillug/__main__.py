"""Entry point of the program."""

from __future__ import annotations

import sys

from anvillug.process import command_line


def main() -> None:
    """Run the program and exit with its exit code."""
    sys.exit(command_line.run(sys.argv[1:]))


if __name__ == '__main__':
    main()
