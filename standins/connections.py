"""Connections that can be made silent, frozen or slow while they are open."""

from collections.abc import Callable, Iterable
from typing import Any, cast

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from foxtailhatch.core.reactor_clock import ReactorClock
from standins.faults import Faults


class FaultyConnection(ProtocolWrapper):
    """One connection between the network and the HTTP server."""

    is_silent = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Pass on what came, unless the connection takes nothing in."""
        if not self._is_blocked():
            ProtocolWrapper.dataReceived(self, data)

    def write(self, data: bytes) -> None:  # noqa: WPS110
        """Send, drop or delay, as the faults say."""
        self._send(lambda: ProtocolWrapper.write(self, data))

    def writeSequence(self, data: Iterable[bytes]) -> None:  # noqa: N802, WPS110
        """Send, drop or delay, as the faults say."""
        self.write(b''.join(data))

    def loseConnection(self) -> None:  # noqa: N802
        """Close after what was delayed; a silent one stays open."""
        self._send(lambda: ProtocolWrapper.loseConnection(self))

    def abort(self) -> None:
        """Cut the connection."""
        transport: Any = self.transport
        transport.abortConnection()

    def _is_blocked(self) -> bool:
        """Tell whether no byte passes."""
        return self.is_silent or self._faulty_factory().faults.freeze

    def _faulty_factory(self) -> 'FaultyFactory':
        """Return the factory with its true type."""
        return cast('FaultyFactory', self.factory)

    def _send(self, send: Callable[[], None]) -> None:
        """Send now, later or never."""
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
        """Send what was delayed, if the connection is still open."""
        if not self._is_blocked() and not self.disconnecting:
            send()


class FaultyFactory(WrappingFactory[Any]):
    """Make the connections of one stand-in and know those that are open."""

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
        """Make every connection that is open now silent for good."""
        for conn in self.protocols:
            conn.is_silent = True
