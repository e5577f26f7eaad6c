"""Errors that reach the reactor: one line each, and a stop for broken ones."""

from collections.abc import Callable, Mapping
from typing import Any

from twisted.logger import LogLevel, globalLogBeginner

from foxtailhatch.core import InvariantBroken
from foxtailhatch.relay.structured_log import StructuredLog

# What is kept of an error's text and of its trace.
WHAT_CHARS = 200
TRACE_CHARS = 2000
OnBroken = Callable[[InvariantBroken], None]


def log_twisted_errors(log: StructuredLog, on_broken: OnBroken) -> None:
    """Send all that Twisted logs as an error through ``log``."""

    def observe(event: Mapping[str, Any]) -> None:  # noqa: WPS430
        if event.get('log_level', LogLevel.info) < LogLevel.error:
            return
        failure = event.get('log_failure')
        if failure is not None and failure.check(InvariantBroken):
            on_broken(failure.value)
            return
        log.write(
            'error',
            what=str(event.get('log_format', ''))[:WHAT_CHARS],
            trace=None
            if failure is None
            else failure.getTraceback()[-TRACE_CHARS:],
        )

    globalLogBeginner.beginLoggingTo(
        [observe],  # type: ignore[list-item]
        discardBuffer=True,
        redirectStandardIO=False,
    )
