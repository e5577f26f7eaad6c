"""Backpressure: an answer goes no faster than its caller reads."""

from collections.abc import Callable

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from foxtailhatch.callers.gateway import RunningAnswer
from foxtailhatch.core.reactor_clock import DelayedCall, ReactorClock


@implementer(IPushProducer)
class FlowController:
    """Pause, resume and cancel a running answer as its connection asks.

    The connection may ask before the answer is known, as tokens can arrive
    while it is being started; what was asked is then done at ``start``.
    """

    def __init__(
        self,
        clock: ReactorClock,
        slow_caller_s: float,
        on_slow_caller: Callable[[], None],
    ) -> None:
        """Call ``cut_off`` once a pause lasts ``slow_caller_s``."""
        self._clock = clock
        self._slow_caller_s = slow_caller_s
        self._on_slow_caller = on_slow_caller
        self._running: RunningAnswer | None = None
        self._paused = False
        self._cancelled = False
        self._limit: DelayedCall | None = None

    def start(self, running: RunningAnswer) -> None:
        """Learn which answer this is about."""
        self._running = running
        if self._cancelled:
            running.cancel()
        elif self._paused:
            running.pause()

    def cancel(self) -> None:
        """Stop the answer; no one waits for it."""
        if self._cancelled:
            return
        self._cancelled = True
        self.cancel_timeout()
        if self._running is not None:
            self._running.cancel()

    def cancel_timeout(self) -> None:
        """Forget the time limit of the present pause."""
        if self._limit is not None:
            self._limit.cancel()
            self._limit = None

    def pauseProducing(self) -> None:
        """Take from the connection that its buffer is full."""
        if self._paused:
            return
        self._paused = True
        self._limit = self._clock.callLater(self._slow_caller_s, self._expire)
        if self._running is not None:
            self._running.pause()

    def resumeProducing(self) -> None:
        """Take from the connection that its buffer is empty again."""
        if not self._paused:
            return
        self._paused = False
        self.cancel_timeout()
        if self._running is not None:
            self._running.resume()

    def stopProducing(self) -> None:
        """Take from the connection that it is gone."""
        self.cancel()

    def _expire(self) -> None:
        self._limit = None
        self._on_slow_caller()
