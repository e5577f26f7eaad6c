"""HTTP connections of which the pieces of the input are counted."""

from typing import Any

from twisted.web import http
from twisted.web.server import Site

from foxtailhatch.relay.request_intake import (
    FREE_PIECES,
    MAX_PAGE_BYTES,
    PIECES_PER_REQUEST,
    SMALL_PIECE_BYTES,
)

CHUNKED = b'Transfer-Encoding'


class CountedChannel(http.HTTPChannel):
    """A connection that counts lines and chunks of its input.

    ``effort`` grows with each piece and each request.  ``pieces`` and
    ``piece_bytes`` are those of the request that is being received, and
    ``chunk_bytes`` what its chunks bring without their framing.
    ``is_dropping`` is set when the input was refused.
    """

    transport: Any
    _transferDecoder: Any

    def __init__(self) -> None:
        """Start without input."""
        super().__init__()  # type: ignore[no-untyped-call]
        self.effort = 0
        self.pieces = 0
        self.piece_bytes = 0
        self.chunk_bytes = 0
        self.is_dropping = False

    @property
    def is_in_small_pieces(self) -> bool:
        """Return whether the request being received has many small pieces."""
        usual = FREE_PIECES + self.chunk_bytes / SMALL_PIECE_BYTES
        return self.is_dropping or self.pieces > usual

    @property
    def max_chunked_bytes(self) -> int:
        """Return the most bytes that a chunked request may have."""
        return MAX_PAGE_BYTES

    @property
    def is_too_long(self) -> bool:
        """Return whether a chunked request has more than these bytes."""
        is_chunked = self.length is None
        return is_chunked and self.piece_bytes > self.max_chunked_bytes

    def leave_unread(self) -> int:
        """Return how many of the last bytes received are left for later."""
        return 0

    def refuse_input(self) -> None:
        """Refuse the request that is being received, and end the connection."""
        self.is_dropping = True
        self._respondToBadRequestAndDisconnect()  # type: ignore[no-untyped-call]

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Count the bytes of a request."""
        self.piece_bytes += len(data)
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Count a line of a head."""
        self._count_pieces(1)
        super().lineReceived(line)  # type: ignore[no-untyped-call]

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Count the lines of trailers; chunks are counted as they are passed on."""
        decoder = self._transferDecoder
        super().rawDataReceived(data)
        if getattr(decoder, 'state', '') == 'TRAILER':
            self._count_pieces(data.count(b'\n'))

    def allContentReceived(self) -> None:  # noqa: N802
        """Count a request, and begin to count the pieces of the next one."""
        self.effort += PIECES_PER_REQUEST
        self.pieces = 0
        self.piece_bytes = 0
        self.chunk_bytes = 0
        super().allContentReceived()  # type: ignore[no-untyped-call]

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> bool:  # noqa: N802, WPS110
        has_chosen = super()._maybeChooseTransferDecoder(header, data)  # type: ignore[no-untyped-call]
        decoder = self._transferDecoder
        if header == CHUNKED and decoder is not None:
            pass_on = decoder.dataCallback

            def count_and_pass_on(chunk: bytes) -> None:  # noqa: WPS430
                self._count_pieces(1)
                self.chunk_bytes += len(chunk)
                pass_on(chunk)

            decoder.dataCallback = count_and_pass_on
        return bool(has_chosen)

    def _count_pieces(self, count: int) -> None:
        self.effort += count
        self.pieces += count


class CountedSite(Site):
    """A site whose connections count their input."""

    noisy = False
    protocol: Any = CountedChannel
