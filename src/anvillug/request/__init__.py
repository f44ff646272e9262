"""Modules whose state lives for one request, and the decisions made for it."""
