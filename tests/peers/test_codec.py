from dataclasses import replace

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from foxtailhatch.core import Address, HybridTimestamp
from foxtailhatch.core.document_types import MAX_NAME_CHARS
from foxtailhatch.membership import (
    Digest,
    Entry,
    EntryState,
    LeaveNotice,
    RequestedReply,
    Suspicion,
)
from foxtailhatch.peers import (
    AccountUsage,
    ConfigurationPush,
    ConfigurationRequest,
    EndpointStreams,
    Envelope,
    FrameFault,
    StreamsReport,
    UsageReport,
    decode,
    encode,
)

STAMP = HybridTimestamp(1.5, 2, 'entry-1')
ENTRY = Entry(
    name='entry-1',
    caller_address=Address('10.0.0.1', 80),
    peer_address=Address('::1', 90),
    availability_zone='whk-a',
    region='whk',
    incarnation=3,
    heartbeat=4,
    state=EntryState.STOPPING,
    load=0.25,
    configuration_version=5,
    failed_requests=('f1', 'f2'),
)
DIGEST = Digest(
    sender=ENTRY,
    members=9,
    requested_reply=RequestedReply.ALL_ENTRIES,
    entries=(ENTRY,),
    suspicions=(Suspicion('entry-2', 1),),
    leaves=(LeaveNotice('gpu-1', 0.5),),
)
MESSAGES = [
    DIGEST,
    ConfigurationRequest(7),
    ConfigurationPush(8, -1, b'\x00body'),
    UsageReport('entry-1', (AccountUsage('ward', 3, 1.5),)),
    StreamsReport('entry-1', (EndpointStreams('gpu-1', 12),)),
]


# Guards against entries of an earlier version, which know no such field.
def test_entry_without_failed_requests_is_encoded_as_before():
    plain = replace(ENTRY, failed_requests=())
    digest = replace(DIGEST, sender=plain, entries=(plain,))
    envelope = cbor2.loads(encode(digest, STAMP))
    assert len(_entry_arrays(envelope)[0]) == 10


def _entry_arrays(item):
    """Return all arrays in a decoded frame that describe an entry."""
    if not isinstance(item, list):
        return []
    found = [item] if ENTRY.name in item and len(item) > 3 else []
    return found + [one for part in item for one in _entry_arrays(part)]


@pytest.mark.parametrize('message', MESSAGES)
def test_message_survives_a_round_trip(message):
    assert decode(encode(message, STAMP)) == Success(Envelope(STAMP, message))


@pytest.mark.parametrize(
    ('frame', 'fault'),
    [
        (b'\x81' * 60_000, FrameFault.NOT_CBOR),
        (cbor2.dumps([2, 2, [1.0, 0, 'a'], [7]]), FrameFault.OTHER_VERSION),
        (cbor2.dumps([1, 99, [1.0, 0, 'a'], [7]]), FrameFault.BAD_SHAPE),
        (cbor2.dumps([1, 2, [1.0, 0, 'a'], [-7]]), FrameFault.BAD_SHAPE),
        (cbor2.dumps([1, 2, [1.0, 0, 'a'], ['7']]), FrameFault.BAD_SHAPE),
        (cbor2.dumps([1, 2, [1e400, 0, 'a'], [7]]), FrameFault.BAD_SHAPE),
        (
            cbor2.dumps([1, 2, [1.0, 0, 'a' * (MAX_NAME_CHARS + 1)], [7]]),
            FrameFault.BAD_SHAPE,
        ),
        (cbor2.dumps([1, 2, [1.0, 0, 'a'], b'x' * 70_000]), 'too_large'),
        (b'x' * 5_000_000, FrameFault.TOO_LARGE),
        (b'\xc1\xfb\x7f\xf0' + b'\x00' * 6, FrameFault.NOT_CBOR),
    ],
)
def test_malformed_frame_gives_a_fault(frame, fault):
    assert decode(frame) == Failure(fault)


def test_host_name_instead_of_an_ip_address_is_rejected():
    frame = encode(DIGEST_WITH_HOST_NAME, STAMP)
    assert decode(frame) == Failure(FrameFault.BAD_SHAPE)


DIGEST_WITH_HOST_NAME = Digest(
    Entry('e', Address('evil.example', 80), Address('10.0.0.1', 1), 'z', 'r'),
)
ANY_CBOR_VALUE = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=300))
def test_decoder_handles_arbitrary_bytes(frame):
    assert isinstance(decode(frame), Failure | Success)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 6), ANY_CBOR_VALUE, ANY_CBOR_VALUE)
def test_decoder_handles_arbitrary_values(kind, stamp, payload):
    frame = cbor2.dumps([1, kind, stamp, payload])
    assert isinstance(decode(frame), Failure | Success)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from(MESSAGES),
    st.integers(0, 10_000),
    st.binary(min_size=1, max_size=4),
)
def test_decoder_handles_corrupted_frames(message, place, patch):
    frame = bytearray(encode(message, STAMP))
    start = place % len(frame)
    frame[start : start + len(patch)] = patch
    decoded = decode(bytes(frame))
    match decoded:
        case Success(envelope):
            again = encode(envelope.message, envelope.stamp)
            assert decode(again) == decoded
        case Failure(fault):
            assert isinstance(fault, FrameFault)


def test_longest_name_of_the_settings_fits_a_frame():
    """Guard against different name limits in settings and on the wire."""
    name = 'n' * MAX_NAME_CHARS
    report = UsageReport(name, (AccountUsage(name, 1, 0.5),))
    stamp = HybridTimestamp(1.0, 0, name)
    assert decode(encode(report, stamp)) == Success(Envelope(stamp, report))
