"""Text to tokens and back."""

import codecs
from collections.abc import Iterable
from typing import Protocol

BYTE_TOKENS = 256


class TokenDecoder(Protocol):
    """Turns the tokens of one answer into text, piece by piece."""

    def decode(self, token: int) -> str:
        """Return the text that ``token`` completes; it may be empty."""

    def flush(self) -> str:
        """Return what stands for tokens that never became whole text."""


class Tokenizer(Protocol):
    """How text becomes a model's token ids and back."""

    def encode(self, text: str) -> tuple[int, ...]:
        """Return the token ids of ``text``."""

    def decoder(self) -> TokenDecoder:
        """Return a new decoder, for one answer."""


class ByteTokenizer:
    """One token for each byte of the text in UTF-8.

    >>> ByteTokenizer().encode('hé')
    (104, 195, 169)
    """

    def encode(self, text: str) -> tuple[int, ...]:
        """Return the bytes of ``text`` as numbers."""
        return tuple(text.encode())

    def decoder(self) -> TokenDecoder:
        """Return a decoder that holds back characters not yet whole."""
        return ByteDecoder()


class ByteDecoder:
    """Decode bytes, with U+FFFD for what is no text.

    >>> decoder = ByteDecoder()
    >>> [decoder.decode(token) for token in (104, 195, 169)]
    ['h', '', 'é']
    """

    def __init__(self) -> None:
        """Start with no byte held back."""
        self._utf8 = codecs.getincrementaldecoder('utf-8')('replace')

    def decode(self, token: int) -> str:
        """Return the characters that ``token`` completes."""
        if token < BYTE_TOKENS:
            return self._utf8.decode(bytes((token,)))
        return '\N{REPLACEMENT CHARACTER}'

    def flush(self) -> str:
        """Return U+FFFD if an unfinished character is held back."""
        return self._utf8.decode(b'', final=True)


def decode_all(decoder: TokenDecoder, tokens: Iterable[int]) -> str:
    r"""Return the text of a whole sequence of tokens.

    >>> decode_all(ByteDecoder(), (104, 105, 195))
    'hi\ufffd'
    """
    pieces = [decoder.decode(token) for token in tokens]
    pieces.append(decoder.flush())
    return ''.join(pieces)
