"""Subcommand `bench`: demonstrations and measurements on real processes."""

from __future__ import annotations
