from foxtailhatch.core import Address
from foxtailhatch.peers import PeerIdentity
from foxtailhatch.peers.handshake import ClientHandshake, ServerHandshake

KEY = b'k' * 32
CLIENT = PeerIdentity('client', Address('10.0.0.1', 1))
SERVER = PeerIdentity('server', Address('10.0.0.2', 2))


def handshakes(client_key=KEY, server_key=KEY, server_nonce=b's' * 32):
    client = ClientHandshake(client_key, CLIENT, b'c' * 32)
    server = ServerHandshake(server_key, SERVER, server_nonce)
    return client, server


def exchange():
    client, server = handshakes()
    challenge = server.challenge(client.hello)
    proof, proven_server = client.answer(challenge)
    return proven_server, server.finish(proof), (challenge, proof)


def test_handshake_identifies_both_sides():
    server, client, _ = exchange()
    assert (server.peer, client.peer) == (SERVER, CLIENT)


def test_key_is_not_transmitted():
    _, _, frames = exchange()
    assert not any(KEY[:8] in frame for frame in frames)


def test_client_rejects_a_server_with_another_key():
    client, server = handshakes(server_key=b'other')
    assert client.answer(server.challenge(client.hello)) is None


def test_a_client_with_another_key_is_refused():
    client, server = handshakes()
    server.challenge(client.hello)
    assert server.finish(b'x' * 32) is None


def test_recorded_proof_fails_with_a_new_nonce():
    _, _, (_, proof) = exchange()
    client, server = handshakes(server_nonce=b'f' * 32)
    server.challenge(client.hello)
    assert server.finish(proof) is None


def test_reflected_server_proof_is_rejected():
    client, server = handshakes()
    challenge = server.challenge(client.hello)
    assert server.finish(challenge[-32:]) is None


def test_proof_without_a_hello_is_rejected():
    _, server = handshakes()
    assert server.finish(b'x' * 32) is None


def test_replayed_and_out_of_order_frames_are_rejected():
    server, client, _ = exchange()
    sender, receiver = (
        server.authenticators.outgoing,
        client.authenticators.incoming,
    )
    first, second = sender.sign(b'1'), sender.sign(b'2')
    assert receiver.verify(first) == b'1'
    assert receiver.verify(first) is None
    assert receiver.verify(second) is None


def test_frame_reflected_to_its_sender_is_rejected():
    server, _, _ = exchange()
    reflected = server.authenticators.outgoing.sign(b'1')
    assert server.authenticators.incoming.verify(reflected) is None


def test_modified_frame_is_rejected():
    server, client, _ = exchange()
    frame = bytearray(server.authenticators.outgoing.sign(b'hello'))
    frame[-1] ^= 1
    assert client.authenticators.incoming.verify(bytes(frame)) is None
