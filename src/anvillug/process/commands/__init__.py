"""Subcommands of the program, one module each."""
