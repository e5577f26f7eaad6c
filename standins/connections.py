"""Connections with fault injection: silent, frozen or slow."""

from collections.abc import Callable, Iterable
from typing import Any, cast

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from foxtailhatch.core.reactor_clock import ReactorClock
from standins.faults import Faults


class FaultyConnection(ProtocolWrapper):
    """Connection wrapper that applies the faults of its stand-in."""

    is_silent = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Forward received bytes, unless the connection is silent or frozen."""
        if not self._is_blocked():
            ProtocolWrapper.dataReceived(self, data)

    def write(self, data: bytes) -> None:  # noqa: WPS110
        """Send, drop or delay output according to the faults."""
        self._send(lambda: ProtocolWrapper.write(self, data))

    def writeSequence(self, data: Iterable[bytes]) -> None:  # noqa: N802, WPS110
        """Send, drop or delay output according to the faults."""
        self.write(b''.join(data))

    def loseConnection(self) -> None:  # noqa: N802
        """Close after delayed output, unless silent or frozen."""
        self._send(lambda: ProtocolWrapper.loseConnection(self))

    def abort(self) -> None:
        """Abort the connection without flushing its output."""
        transport: Any = self.transport
        transport.abortConnection()

    def _is_blocked(self) -> bool:
        """Return whether bytes are dropped in both directions."""
        return self.is_silent or self._faulty_factory().faults.freeze

    def _faulty_factory(self) -> 'FaultyFactory':
        """Return the factory, cast to its concrete type."""
        return cast('FaultyFactory', self.factory)

    def _send(self, send: Callable[[], None]) -> None:
        """Call ``send`` now, after the delay, or not at all."""
        if self._is_blocked():
            return
        delay_s = self._faulty_factory().faults.slow_s
        if delay_s:
            self._faulty_factory().clock.callLater(
                delay_s, self._send_delayed, send
            )
        else:
            send()

    def _send_delayed(self, send: Callable[[], None]) -> None:
        """Send delayed output, unless the connection was closed or silenced."""
        if not self._is_blocked() and not self.disconnecting:
            send()


class FaultyFactory(WrappingFactory[Any]):
    """Factory of the connections of one stand-in, which share its faults."""

    protocol: Any = FaultyConnection

    def __init__(
        self,
        wrapped: Any,
        faults: Faults,
        clock: ReactorClock,
    ) -> None:
        """Wrap an HTTP factory; all its connections share ``faults``."""
        WrappingFactory.__init__(self, wrapped)
        self.faults = faults
        self.clock = clock

    def silence(self) -> None:
        """Permanently silence all connections that are currently open."""
        for conn in self.protocols:
            conn.is_silent = True
