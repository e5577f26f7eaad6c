"""Tokenizers: conversion between text and token ids."""

import codecs
from collections.abc import Iterable
from typing import Protocol

BYTE_TOKENS = 256


class TokenDecoder(Protocol):
    """Incremental decoder of the tokens of one answer."""

    def decode(self, token: int) -> str:
        """Return the text that ``token`` completes, which may be empty."""

    def flush(self) -> str:
        """Return the replacement for tokens that end within a character."""


class Tokenizer(Protocol):
    """Converts text to the token ids of a model and back."""

    def encode(self, text: str) -> tuple[int, ...]:
        """Return the token ids of ``text``."""

    def decoder(self) -> TokenDecoder:
        """Return a new decoder for one answer."""


class ByteTokenizer:
    """Tokenizer with one token for each byte of the UTF-8 text.

    >>> ByteTokenizer().encode('hé')
    (104, 195, 169)
    """

    def encode(self, text: str) -> tuple[int, ...]:
        """Return the UTF-8 bytes of ``text`` as integers."""
        return tuple(text.encode())

    def decoder(self) -> TokenDecoder:
        """Return a decoder that buffers incomplete characters."""
        return ByteDecoder()


class ByteDecoder:
    """Decode UTF-8 bytes; invalid bytes and token ids become U+FFFD.

    >>> decoder = ByteDecoder()
    >>> [decoder.decode(token) for token in (104, 195, 169)]
    ['h', '', 'é']
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._utf8 = codecs.getincrementaldecoder('utf-8')('replace')

    def decode(self, token: int) -> str:
        """Return the characters that ``token`` completes."""
        if token < BYTE_TOKENS:
            return self._utf8.decode(bytes((token,)))
        return '\N{REPLACEMENT CHARACTER}'

    def flush(self) -> str:
        """Return U+FFFD if an incomplete character is buffered."""
        return self._utf8.decode(b'', final=True)


def decode_all(decoder: TokenDecoder, tokens: Iterable[int]) -> str:
    r"""Return the text of a complete sequence of tokens.

    >>> decode_all(ByteDecoder(), (104, 105, 195))
    'hi\ufffd'
    """
    parts = [decoder.decode(token) for token in tokens]
    parts.append(decoder.flush())
    return ''.join(parts)
