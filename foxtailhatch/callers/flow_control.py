"""Backpressure from the caller's connection to the answer."""

from collections.abc import Callable

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from foxtailhatch.callers.gateway import RunningAnswer
from foxtailhatch.core.reactor_clock import DelayedCall, ReactorClock


@implementer(IPushProducer)
class FlowController:
    """Pause, resume and cancel an answer as its connection requires.

    Tokens can arrive while the answer is being started, so the connection may
    pause or cancel it before its handle is known; ``start`` then applies this.
    """

    def __init__(
        self,
        clock: ReactorClock,
        slow_caller_s: float,
        on_slow_caller: Callable[[], None],
    ) -> None:
        """Call ``on_slow_caller`` once a pause lasts ``slow_caller_s``."""
        self._clock = clock
        self._slow_caller_s = slow_caller_s
        self._on_slow_caller = on_slow_caller
        self._running: RunningAnswer | None = None
        self._paused = False
        self._cancelled = False
        self._timeout: DelayedCall | None = None

    def start(self, running: RunningAnswer) -> None:
        """Set the answer, and apply an earlier pause or cancellation."""
        self._running = running
        if self._cancelled:
            running.cancel()
        elif self._paused:
            running.pause()

    def cancel(self) -> None:
        """Cancel the answer, whose caller is gone."""
        if self._cancelled:
            return
        self._cancelled = True
        self.cancel_timeout()
        if self._running is not None:
            self._running.cancel()

    def cancel_timeout(self) -> None:
        """Cancel the timeout of the current pause."""
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None

    def pauseProducing(self) -> None:
        """Pause the answer because the send buffer is full."""
        if self._paused:
            return
        self._paused = True
        self._timeout = self._clock.callLater(
            self._slow_caller_s, self._on_timeout
        )
        if self._running is not None:
            self._running.pause()

    def resumeProducing(self) -> None:
        """Resume the answer because the send buffer is empty."""
        if not self._paused:
            return
        self._paused = False
        self.cancel_timeout()
        if self._running is not None:
            self._running.resume()

    def stopProducing(self) -> None:
        """Cancel the answer because the connection is lost."""
        self.cancel()

    def _on_timeout(self) -> None:
        self._timeout = None
        self._on_slow_caller()
