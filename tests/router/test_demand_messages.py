"""Wire format of demand, and what is accepted of other entries."""

import cbor2
import pytest

from foxtailhatch.fleet import Work
from foxtailhatch.fleet.demand import RankDemand, ServiceDemand
from foxtailhatch.router.demand_messages import (
    FAULT_LOG_PERIOD_S,
    MAX_ACCOUNTS,
    MAX_RECEIVED_BYTES,
    MAX_SENT_BYTES,
    MAX_VALUE,
    DemandDecoder,
    DemandReceiver,
    encode_report,
    encode_response,
    encode_sums,
)
from foxtailhatch.router.entry_table import Heartbeat, decode_heartbeat
from foxtailhatch.router.feed import (
    FeedRequest,
    ResponderState,
    decode_feed_request,
    decode_feed_response,
    encode_feed_response,
)
from foxtailhatch.router.keyed_log import Topic
from foxtailhatch.router.mirror import Mirror
from tests.relay.fakes import ListLog
from tests.router.test_messages_of_later_builds import ENTRY

KNOWN = {'model', 'other'}
DEMAND = ServiceDemand(
    {0: RankDemand(3, 8, 4.5, 0.5, 3600), 2: RankDemand(running=1)},
    {'crew': 5000, 'guest': 12},
    1.5,
)
RANK = [0, 3, 8, 45, 5, 3600]
WORK = {'i-1': Work(2, 1, 900)}


def nested(depth):
    value = 1
    for _ in range(depth):
        value = [value]
    return value


def decode(fields):
    """Return the demand decoded from plain values, and the faults."""
    decoder = DemandDecoder(KNOWN)
    report = decode_report(decoder, {'model': fields})
    return report.get('model'), decoder.faults


def decode_report(decoder, services, number=7):
    report, decoded = decoder.report(cbor2.dumps([services, number]))
    assert decoded == number
    return report


def test_report_round_trip():
    decoder = DemandDecoder(KNOWN)
    report = {'model': DEMAND, 'other': ServiceDemand()}
    assert decoder.report(encode_report(report, 7)) == (report, 7)
    assert decoder.faults == []


def test_sums_round_trip():
    decoder = DemandDecoder(KNOWN)
    sums = {'z1': {'model': DEMAND}, 'z2': {'model': DEMAND, 'other': DEMAND}}
    assert decoder.sums(encode_sums(sums)) == sums
    assert decoder.sums(encode_sums({})) == {}
    for number in (0, 7, 2**32 - 1, None):
        raw = encode_response(encode_sums(sums), number)
        assert decoder.response(raw) == (sums, number)
    assert decoder.faults == []


@pytest.mark.parametrize('bad', [-1, 2**32, 1.5, True, 'x', [1], 10**3000])
def test_bad_number_of_a_report_is_dropped_alone(bad):
    decoder = DemandDecoder(KNOWN)
    raw = cbor2.dumps([{'model': [[RANK], 0, {}]}, bad])
    report, number = decoder.report(raw)
    assert (set(report), number) == ({'model'}, None)
    raw = cbor2.dumps([encode_sums({'z1': {'model': DEMAND}}), bad])
    assert decoder.response(raw) == ({'z1': {'model': DEMAND}}, None)
    assert len(decoder.faults) == 2


# Guards against a later build whose additions make its demand unreadable.
def test_further_fields_are_ignored():
    fields = [[[*RANK, 'later']], 15, {'crew': 7}, 'later']
    demand, faults = decode(fields)
    assert demand.ranks == {0: DEMAND.ranks[0]}
    assert (demand.accounts, demand.crossings_per_s) == ({'crew': 7}, 1.5)
    assert faults == []


BAD_NUMBERS = [
    -1,
    -0.5,
    MAX_VALUE * 1.01,
    10**3000,
    float('nan'),
    float('inf'),
    True,
    False,
    None,
    'much',
    [1],
    {'a': 1},
]


# Guards against sums that a faulty entry makes useless for all others.
@pytest.mark.parametrize('bad', BAD_NUMBERS, ids=lambda bad: repr(bad)[:9])
@pytest.mark.parametrize('place', range(5))
def test_rank_with_a_bad_number_is_dropped_alone(bad, place):
    numbers = [1, *RANK[1:]]
    numbers[1 + place] = bad
    demand, faults = decode([[RANK, numbers], 15, {'crew': 7}])
    assert demand.ranks == {0: DEMAND.ranks[0]}
    assert (demand.accounts, demand.crossings_per_s) == ({'crew': 7}, 1.5)
    assert len(faults) == 1


@pytest.mark.parametrize('bad', BAD_NUMBERS, ids=lambda bad: repr(bad)[:9])
def test_bad_crossings_and_accounts_are_dropped_alone(bad):
    demand, faults = decode([[RANK], bad, {'crew': 7, 'guest': bad}])
    assert demand.ranks == {0: DEMAND.ranks[0]}
    assert (demand.accounts, demand.crossings_per_s) == ({'crew': 7}, 0)
    assert len(faults) == 2


@pytest.mark.parametrize('bad', [-1, 0, 16, 1000, True, 'a', 1.5, None, [1]])
def test_bad_or_repeated_rank_is_dropped_alone(bad):
    demand, faults = decode([[RANK, [bad, *RANK[1:]]], 0, {}])
    assert demand.ranks == {0: DEMAND.ranks[0]}
    assert len(faults) == 1


@pytest.mark.parametrize('bad', [None, 7, {}, 'x', [7], [[]], [RANK] * 17])
def test_malformed_ranks_are_dropped_alone(bad):
    demand, faults = decode([bad, 15, {'crew': 7}])
    assert demand == ServiceDemand({}, {'crew': 7}, 1.5)
    assert len(faults) == 1


@pytest.mark.parametrize('bad', [None, 7, 'x', [], [[]], [[], 0], {}, [0] * 3])
def test_service_with_malformed_demand_is_dropped_alone(bad):
    decoder = DemandDecoder(KNOWN)
    services = {'other': bad, 'model': [[RANK], 0, {}]}
    report = decode_report(decoder, services)
    assert report['model'].ranks == {0: DEMAND.ranks[0]}
    assert report.get('other', ServiceDemand()) == ServiceDemand()
    assert decoder.faults


@pytest.mark.parametrize('bad', ['unheard', b'model', '', 'model ' * 99])
def test_unknown_service_is_dropped_alone(bad):
    decoder = DemandDecoder(KNOWN)
    fields = [[RANK], 0, {}]
    report = decode_report(decoder, {bad: fields, 'model': fields})
    assert set(report) == {'model'}
    zones = {bad: {'z1': fields}, 'model': {'z1': fields, b'z2': fields}}
    sums = decoder.sums(cbor2.dumps(zones))
    assert {zone: set(services) for zone, services in sums.items()} == {
        'z1': {'model'}
    }
    assert len(decoder.faults) == 3


# Guards against memory and time that a peer determines.
def test_a_thousand_accounts_too_many_are_dropped():
    many = {f'{number}': 1 for number in range(MAX_ACCOUNTS + 1)}
    demand, faults = decode([[RANK], 0, many])
    assert (demand.ranks, demand.accounts) == ({0: DEMAND.ranks[0]}, {})
    assert len(faults) == 1
    decoder = DemandDecoder(KNOWN)
    many = {f'account-{number}': 1 for number in range(1064)}
    raw = cbor2.dumps([{'model': [[RANK], 0, many]}, 7])
    assert len(raw) > MAX_RECEIVED_BYTES
    assert decoder.report(raw) is None
    assert decoder.faults == [f'{len(raw)} bytes']


def test_too_many_services_or_zones_are_dropped():
    decoder = DemandDecoder({str(number) for number in range(99)} | KNOWN)
    fields = [[], 0, {}]
    services = {str(number): fields for number in range(65)}
    assert decode_report(decoder, services) == {}
    zones = {str(number): fields for number in range(65)}
    raw = cbor2.dumps({'model': zones, 'other': {'z1': fields}})
    assert decoder.sums(raw) == {'z1': {'other': ServiceDemand()}}
    assert len(decoder.faults) == 2


UNREADABLE = {
    'empty': b'',
    'no CBOR': b'\xff\xff',
    'a list': cbor2.dumps([1]),
    'a number': cbor2.dumps(1),
    'a number for a service': cbor2.dumps([{7: [[], 0, {}]}, 7]),
    'nested': cbor2.dumps(nested(200)),
    'nested in a report': cbor2.dumps([{'model': [nested(200), 0, {}]}, 7]),
    'large': bytes(MAX_RECEIVED_BYTES + 1),
}


@pytest.mark.parametrize('raw', UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_demand_counts_as_missing(raw):
    decoder = DemandDecoder(KNOWN)
    assert decoder.report(raw) is None
    assert len(decoder.faults) == 1
    decoder.faults.clear()
    assert decoder.sums(raw) is None
    assert len(decoder.faults) == 1
    decoder.faults.clear()
    assert decoder.response(raw) is None
    assert decoder.response(cbor2.dumps([raw, 7])) is None
    assert decoder.faults


# Guards against a message that is lost as a whole for its last field.
@pytest.mark.parametrize(
    'field', [*UNREADABLE.values(), 7, 'x', True, [1], {'a': 1}]
)
def test_rest_of_a_message_with_bad_demand_is_kept(field):
    raw = cbor2.dumps([ENTRY.fields(), {'entries': [2, 7]}, {}, field])
    request = decode_feed_request(raw).unwrap()
    assert request.entry == ENTRY
    assert set(request.positions) == {Topic.ENTRIES}
    raw = cbor2.dumps([{'entries': [[], [2, 7], True, 0.5]}, {}, True, field])
    response = decode_feed_response(raw).unwrap()
    assert set(response.topics) == {Topic.ENTRIES}
    raw = cbor2.dumps([[ENTRY.fields()], {'i-1': [2, 1, 900]}, field])
    heartbeat = decode_heartbeat(raw).unwrap()
    assert (heartbeat.entries, heartbeat.work) == ([ENTRY], WORK)
    for received in (request, response, heartbeat):
        assert DemandDecoder(KNOWN).report(received.demand) is None


# Guards against earlier builds that can no longer read the messages.
def test_demand_is_a_further_field_after_those_of_earlier_builds():
    without = FeedRequest(ENTRY, {}, WORK).encode()
    with_demand = FeedRequest(ENTRY, {}, WORK, demand=b'x').encode()
    assert cbor2.loads(with_demand) == [*cbor2.loads(without), b'x']
    request = decode_feed_request(without).unwrap()
    assert request.demand is None
    assert decode_feed_request(with_demand).unwrap().demand == b'x'
    plain, with_sums = (
        encode_feed_response(
            Mirror(), request, ResponderState(WORK, True, demand), 0
        )
        for demand in (None, b'y')
    )
    assert cbor2.loads(with_sums) == [*cbor2.loads(plain), b'y']
    assert decode_feed_response(plain).unwrap().demand is None
    assert decode_feed_response(with_sums).unwrap().demand == b'y'
    plain = Heartbeat([ENTRY], WORK).encode()
    with_sums = Heartbeat([ENTRY], WORK, b'z').encode()
    assert cbor2.loads(with_sums) == [*cbor2.loads(plain), b'z']
    assert decode_heartbeat(plain).unwrap().demand is None
    assert decode_heartbeat(with_sums).unwrap().demand == b'z'


# Guards against a log that one faulty entry fills.
def test_faults_are_logged_once_a_minute_for_each_sender():
    log = ListLog()
    receiver = DemandReceiver(lambda: KNOWN, log)
    for tenth in range(300):
        receiver.report(b'?', 'a', tenth / 10)
        receiver.sums(b'?', 'b', tenth / 10)
    assert [line['peer'] for line in log.of('demand_dropped')] == ['a', 'b']
    receiver.report(b'?', 'a', FAULT_LOG_PERIOD_S)
    assert len(log.of('demand_dropped')) == 3
    assert receiver.report(None, 'c', 0) is None
    assert len(log.of('demand_dropped')) == 3


def test_few_faults_of_a_message_are_shown():
    log = ListLog()
    receiver = DemandReceiver(lambda: KNOWN, log)
    raw = cbor2.dumps([{f'x{number}': [] for number in range(50)}, 7])
    assert receiver.report(raw, 'a', 0) == ({}, 7)
    (line,) = log.of('demand_dropped')
    assert (line['count'], len(line['why'])) == (50, 4)


def demand_of(ranks, accounts, tokens=90000):
    rank = RankDemand(180, 900, 99.9, 99.9, tokens)
    return ServiceDemand(
        dict.fromkeys(range(ranks), rank),
        {f'account-{number:04}': 1e6 + number for number in range(accounts)},
        25,
    )


# Guards against messages beyond the bytes that an entry may send for control.
@pytest.mark.parametrize('zones', [1, 3, 8, 20])
@pytest.mark.parametrize('services', [1, 3, 37])
def test_large_demand_is_sent_in_less_detail(zones, services):
    names = [f'model-{number}' for number in range(services)]
    decoder = DemandDecoder(names)
    report = {
        name: demand_of(16, 16, tokens=1000 * (number + 1))
        for number, name in enumerate(names)
    }
    raw = encode_report(report)
    assert len(raw) <= MAX_SENT_BYTES
    assert f'model-{services - 1}' in decoder.report(raw)[0]
    sums = {f'zone-{number}': report for number in range(zones)}
    raw = encode_sums(sums)
    assert len(encode_response(raw, 2**32 - 1)) <= MAX_SENT_BYTES
    read = decoder.sums(raw)
    if len(read) == zones:
        assert f'model-{services - 1}' in read['zone-0']
    assert decoder.faults == []


# Guards against ranks that vanish from a sum that is sent in less detail.
def test_ranks_beyond_the_limit_are_added_to_the_last():
    report = {'model': ServiceDemand({0: RankDemand(1), 40: RankDemand(2)})}
    read, _ = DemandDecoder(KNOWN).report(encode_report(report))
    assert read['model'].ranks == {0: RankDemand(1), 15: RankDemand(2)}
