"""Mutual authentication with a shared key, and authentication of frames.

The client sends a nonce; the server answers with its own nonce and a proof
over both; the client sends its proof over the whole exchange; the server
sends a first authenticated frame to signal that it is ready.  A proof is an
HMAC with the shared key, so the key is never transmitted, and because both
nonces are fresh, a recorded proof cannot be replayed.  Both sides derive one
key for each direction.  Every frame carries a tag over its sequence number
and content, so that frames cannot be inserted, replayed or moved to another
connection.
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
    """The frame authenticators of both directions of a connection."""

    outgoing: 'FrameAuthenticator'
    incoming: 'FrameAuthenticator'


@dataclass(frozen=True, slots=True)
class AuthenticatedPeer:
    """A peer that proved to hold the shared key."""

    peer: PeerIdentity
    authenticators: FrameAuthenticators


class FrameAuthenticator:
    """Add tags to the frames of one direction, or verify them, in order.

    >>> sender, receiver = FrameAuthenticator(b'k'), FrameAuthenticator(b'k')
    >>> frame = sender.sign(b'hello')
    >>> receiver.verify(frame), receiver.verify(frame)
    (b'hello', None)
    """

    def __init__(self, key: bytes) -> None:
        """Create with the key of one direction, at sequence number 0."""
        self._key = key
        self._number = 0

    def sign(self, content: bytes) -> bytes:
        """Return ``content`` as the next frame, with its tag in front."""
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
    """Handshake of the side that opened the connection."""

    def __init__(self, key: bytes, own: PeerIdentity, nonce: bytes) -> None:
        """Create with the shared key, and a nonce that is never reused."""
        self._key = key
        self.hello = _encode_hello(own, nonce)

    def answer(
        self, challenge: bytes
    ) -> tuple[bytes, AuthenticatedPeer] | None:
        """Return the client's proof, ``None`` if the server's is not valid."""
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
    """Handshake of the side that accepted the connection."""

    def __init__(self, key: bytes, own: PeerIdentity, nonce: bytes) -> None:
        """Create with the shared key, and a nonce that is never reused."""
        self._key = key
        self._own_hello = _encode_hello(own, nonce)
        self._hello = b''

    def challenge(self, hello: bytes) -> bytes | None:
        """Return the server's nonce and proof, ``None`` if ``hello`` is bad."""
        if _read_hello(hello) is None:
            return None
        self._hello = hello
        proof = _mac(self._key, b'server', hello, self._own_hello)
        return cbor2.dumps([self._own_hello, proof])

    def finish(self, proof: bytes) -> AuthenticatedPeer | None:
        """Return the client, ``None`` if its proof is not valid."""
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
        # The length prefix makes the encoding of the parts unambiguous.
        mac.update(len(part).to_bytes(NUMBER_BYTES, 'big'))
        mac.update(part)
    return mac.digest()


def _equal(left: bytes, right: bytes) -> bool:
    return hmac.compare_digest(left, right)
