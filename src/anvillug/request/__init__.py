"""Handling of single calls: admission, host selection, retries and outcomes."""
