"""Log the errors that reach the Twisted reactor.

A violated invariant is reported to a callback, which stops the process.
"""

from collections.abc import Callable, Mapping
from typing import Any

from twisted.logger import LogLevel, globalLogBeginner

from foxtailhatch.core import InvariantViolation
from foxtailhatch.relay.structured_log import StructuredLog

# Limits on the logged text of an error and on the end of its traceback.
MAX_TEXT_CHARS = 200
MAX_TRACE_CHARS = 2000
OnInvariantBroken = Callable[[InvariantViolation], None]


def log_twisted_errors(
    log: StructuredLog, on_invariant_broken: OnInvariantBroken
) -> None:
    """Write one line to ``log`` for each error that Twisted reports."""

    def observe(event: Mapping[str, Any]) -> None:  # noqa: WPS430
        if event.get('log_level', LogLevel.info) < LogLevel.error:
            return
        failure = event.get('log_failure')
        if failure is not None and failure.check(InvariantViolation):
            on_invariant_broken(failure.value)
            return
        log.write(
            'error',
            what=str(event.get('log_format', ''))[:MAX_TEXT_CHARS],
            trace=None
            if failure is None
            else failure.getTraceback()[-MAX_TRACE_CHARS:],
        )

    globalLogBeginner.beginLoggingTo(
        [observe],  # type: ignore[list-item]
        discardBuffer=True,
        redirectStandardIO=False,
    )
