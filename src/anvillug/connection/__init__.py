"""Modules whose state lives for one connection: HTTP, platform log, control."""
