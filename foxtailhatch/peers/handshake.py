"""Mutual proof of a shared key, and the seal on each frame after it.

The client sends a nonce, the server answers with its own nonce and a proof
over both, then the client proves itself over the whole exchange, and the
server says with a first sealed frame that it is ready.  A proof is an HMAC
with the shared key, so the key never travels, and as both nonces are fresh, a
recorded proof is of no use again.  Both sides derive one key for each
direction; every frame carries a tag over its number and content, so that
frames cannot be inserted, repeated or moved to another connection.
"""

import hmac
from dataclasses import dataclass
from typing import Annotated, NamedTuple, TypeVar

import cbor2
from pydantic import Field, TypeAdapter, ValidationError

from foxtailhatch.core import Address
from foxtailhatch.core.cbor import read_cbor
from foxtailhatch.peers import wire

HANDSHAKE_MAX_BYTES = 512
NONCE_BYTES = 32
PROOF_BYTES = 32
TAG_BYTES = 16
NUMBER_BYTES = 8
DIGEST = 'sha256'

_ArrayT = TypeVar('_ArrayT')

Nonce = Annotated[
    bytes,
    Field(strict=True, min_length=NONCE_BYTES, max_length=NONCE_BYTES),
]
Proof = Annotated[
    bytes,
    Field(strict=True, min_length=PROOF_BYTES, max_length=PROOF_BYTES),
]


class _HelloArray(NamedTuple):
    version: wire.Count
    name: wire.Name
    host: wire.Host
    port: wire.Port
    nonce: Nonce


class _ChallengeArray(NamedTuple):
    hello: bytes
    proof: Proof


_HELLO = TypeAdapter(_HelloArray)
_CHALLENGE = TypeAdapter(_ChallengeArray)


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """The name of an entry and the address it listens on for peers."""

    name: str
    address: Address


@dataclass(frozen=True, slots=True)
class FrameAuthenticators:
    """The seals of the two directions of a connection."""

    outgoing: 'FrameAuthenticator'
    incoming: 'FrameAuthenticator'


@dataclass(frozen=True, slots=True)
class AuthenticatedPeer:
    """A peer that proved that it holds the key."""

    peer: PeerIdentity
    authenticators: FrameAuthenticators


class FrameAuthenticator:
    """Tag the frames of one direction, or check their tags, in order.

    >>> sender, receiver = FrameAuthenticator(b'k'), FrameAuthenticator(b'k')
    >>> frame = sender.sign(b'hello')
    >>> receiver.verify(frame), receiver.verify(frame)
    (b'hello', None)
    """

    def __init__(self, key: bytes) -> None:
        """Start at frame 0 with this direction's key."""
        self._key = key
        self._number = 0

    def sign(self, content: bytes) -> bytes:
        """Return the next frame."""
        return self._next_tag(content) + content

    def verify(self, frame: bytes) -> bytes | None:
        """Return the next frame's content, ``None`` if its tag is wrong."""
        tag = frame[:TAG_BYTES]
        content = frame[TAG_BYTES:]
        return content if _equal(tag, self._next_tag(content)) else None

    def _next_tag(self, content: bytes) -> bytes:
        number = self._number.to_bytes(NUMBER_BYTES, 'big')
        self._number += 1
        return _mac(self._key, number, content)[:TAG_BYTES]


class ClientHandshake:
    """The side that opened the connection."""

    def __init__(self, key: bytes, own: PeerIdentity, nonce: bytes) -> None:
        """Prepare with a fresh random nonce."""
        self._key = key
        self.hello = _encode_hello(own, nonce)

    def answer(
        self, challenge: bytes
    ) -> tuple[bytes, AuthenticatedPeer] | None:
        """Return our proof, or ``None`` if the server did not prove itself."""
        array = _read(_CHALLENGE, challenge)
        server = None if array is None else _read_hello(array.hello)
        if array is None or server is None:
            return None
        expected = _mac(self._key, b'server', self.hello, array.hello)
        if not _equal(array.proof, expected):
            return None
        proof = _mac(self._key, b'client', self.hello, array.hello)
        outgoing, incoming = _derive_authenticators(
            self._key, self.hello, array.hello
        )
        return proof, AuthenticatedPeer(
            server, FrameAuthenticators(outgoing, incoming)
        )


class ServerHandshake:
    """The side that took the connection."""

    def __init__(self, key: bytes, own: PeerIdentity, nonce: bytes) -> None:
        """Prepare with a fresh random nonce."""
        self._key = key
        self._own_hello = _encode_hello(own, nonce)
        self._hello = b''

    def challenge(self, hello: bytes) -> bytes | None:
        """Return our nonce and proof, or ``None`` for a malformed hello."""
        if _read_hello(hello) is None:
            return None
        self._hello = hello
        proof = _mac(self._key, b'server', hello, self._own_hello)
        return cbor2.dumps([self._own_hello, proof])

    def finish(self, proof: bytes) -> AuthenticatedPeer | None:
        """Return the client, or ``None`` if it did not prove itself."""
        client = _read_hello(self._hello)
        expected = _mac(self._key, b'client', self._hello, self._own_hello)
        if client is None or not _equal(proof, expected):
            return None
        incoming, outgoing = _derive_authenticators(
            self._key, self._hello, self._own_hello
        )
        return AuthenticatedPeer(
            client, FrameAuthenticators(outgoing, incoming)
        )


def _encode_hello(own: PeerIdentity, nonce: bytes) -> bytes:
    address = own.address
    fields = [wire.PROTOCOL_VERSION, own.name, address.host, address.port]
    return cbor2.dumps([*fields, nonce])


def _read_hello(hello: bytes) -> PeerIdentity | None:
    array = _read(_HELLO, hello)
    if array is None or array.version != wire.PROTOCOL_VERSION:
        return None
    return PeerIdentity(array.name, Address(array.host, array.port))


def _read(schema: TypeAdapter[_ArrayT], frame: bytes) -> _ArrayT | None:
    if len(frame) > HANDSHAKE_MAX_BYTES:
        return None
    try:
        return schema.validate_python(read_cbor(frame))
    except ValidationError:
        return None


def _derive_authenticators(
    key: bytes,
    client_hello: bytes,
    server_hello: bytes,
) -> tuple[FrameAuthenticator, FrameAuthenticator]:
    client_key = _mac(key, b'upward', client_hello, server_hello)
    server_key = _mac(key, b'downward', client_hello, server_hello)
    return FrameAuthenticator(client_key), FrameAuthenticator(server_key)


def _mac(key: bytes, *parts: bytes) -> bytes:
    mac = hmac.new(key, digestmod=DIGEST)
    for part in parts:
        # The length keeps two lists of parts from reading as the same bytes.
        mac.update(len(part).to_bytes(NUMBER_BYTES, 'big'))
        mac.update(part)
    return mac.digest()


def _equal(left: bytes, right: bytes) -> bool:
    return hmac.compare_digest(left, right)
