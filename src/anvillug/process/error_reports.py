"""Writes errors that Twisted catches to the event log."""

from __future__ import annotations

from typing import Any

from twisted import logger

from anvillug import event_log


def forward_twisted_errors() -> None:
    """Forward failures that Twisted logs to the event log."""
    logger.globalLogBeginner.beginLoggingTo(
        [_report],
        redirectStandardIO=False,
        discardBuffer=True,
    )


def _report(event: dict[str, Any]) -> None:
    failure = event.get('log_failure')
    if failure is not None:
        event_log.warn(
            'unhandled_error',
            error=failure.getErrorMessage(),
            trace=failure.getTraceback(),
        )
