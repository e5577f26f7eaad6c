"""Records of other writers under the names of endpoints."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailhatch.fleet import EndpointState
from foxtailhatch.fleet.foreign_records import foreign_reason
from foxtailhatch.platform.endpoints import decode_endpoint
from foxtailhatch.router.keyed_log import KeyedRecord
from foxtailhatch.router.record_applier import RecordApplier
from foxtailhatch.router.store_outage import NEVER
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, board
from tests.routes.configurations import MODEL, PLAIN

NAMES = ('i-1', 'i-2')
BORN = 1_790_000_000_000
LISTED = (
    'service',
    'address',
    'zone',
    'version',
    'slots',
    'state',
    'cold_left_ms',
    'seq',
)
FOREIGN = {
    **{f'without {name}': {name: ...} for name in LISTED},
    'without born': {'born': ...},
    'number as text': {'seq': '9'},
    'state': {'state': 'dreaming'},
    'service': {'service': 'of nobody'},
    'service of another kind': {'service': MODEL.name},
    'address': {'address': 'somewhere'},
}


class Adapter:
    configuration_key = 'config'
    decode_endpoint = staticmethod(decode_endpoint)


class Prompts:
    def apply(self, records, **kind):
        """Ignore records about prompts."""


def record(**changes):
    fields = {
        'service': PLAIN.name,
        'address': '10.0.0.1:80',
        'zone': 'z1',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': 1,
        'born': BORN,
    } | changes
    kept = {name: field for name, field in fields.items() if field is not ...}
    return json.dumps(kept).encode()


def foreign(kind, born=0, number=1):
    """Return the record of another writer, by the time of its own start."""
    if kind == 'bytes':
        return b'\x00\xff'
    if kind == 'service of another kind':
        # Within the same incarnation; after a restart it may be one of that.
        return record(**FOREIGN[kind], seq=number)
    return record(**{'born': BORN + born, 'seq': number} | FOREIGN[kind])


def make_applier():
    blackboard = board(Clock())
    log = ListLog()
    applier = RecordApplier(
        blackboard, log, Adapter(), lambda name, now: False, Prompts()
    )
    return blackboard, applier, log


def apply(applier, *pairs):
    records = [KeyedRecord(*pair) for pair in pairs]
    applier.apply_endpoints(records, NEVER, is_snapshot=False)


def known(blackboard):
    table = blackboard.endpoints
    return {
        name: (
            one,
            one.heartbeats,
            table.is_available(one),
            table.is_backed_off(one, blackboard.clock()),
        )
        for name in table.names()
        if (one := table.get(name))
    }


foreign_records = st.builds(
    foreign,
    st.sampled_from([*FOREIGN, 'bytes']),
    st.integers(0, 10**9),
    st.integers(1, 10**9),
)
writes = st.lists(
    st.tuples(
        st.sampled_from(NAMES),
        st.one_of(
            st.sampled_from(['heartbeat', 'drain', 'restart', 'remove']),
            foreign_records,
        ),
    ),
    max_size=30,
)


class Own:
    """What an endpoint writes of itself."""

    def __init__(self):
        self.born, self.number, self.state = BORN, 1, 'ready'

    def write(self, step):
        if step == 'remove':
            return None
        self.number += 1
        if step == 'drain':
            self.state = 'draining'
        if step == 'restart':
            self.born, self.number, self.state = self.born + 1000, 1, 'ready'
        return record(born=self.born, seq=self.number, state=self.state)


# Guards against work for an endpoint that drains, and none for one that is ready, after
# another writer's record.
@given(writes)
def test_records_of_others_leave_the_table_as_the_own_ones_alone_do(steps):
    owners = {name: Own() for name in NAMES}
    both, alone = make_applier(), make_applier()
    beginning = [(name, record()) for name in NAMES]
    for _, applier, _ in (both, alone):
        apply(applier, *beginning)
    for name, step in steps:
        if isinstance(step, bytes):
            is_known = both[0].endpoints.get(name) is not None
            # Nothing can tell the first record under a name from an own one.
            if is_known:
                apply(both[1], (name, step))
            continue
        written = owners[name].write(step)
        for _, applier, _ in (both, alone):
            apply(applier, (name, written))
    assert known(both[0]) == known(alone[0])


@pytest.mark.parametrize('kind', [*FOREIGN, 'bytes'])
def test_record_of_another_writer_is_logged_and_ignored(kind):
    blackboard, applier, log = make_applier()
    apply(applier, ('i-1', record(seq=5)))
    before = known(blackboard)
    apply(applier, ('i-1', foreign(kind, born=5000, number=9)))
    assert known(blackboard) == before
    assert len(log.of('endpoint_unreadable')) == 1
    apply(applier, ('i-1', record(seq=6, state='draining')))
    assert blackboard.endpoints.get('i-1').state is EndpointState.DRAINING


# Guards against an endpoint that is out of use for good after a record that looks
# like its own.
@pytest.mark.parametrize('born', [-(10**6), 1, 10**6, 10**14])
@pytest.mark.parametrize('number', [1, 6, 10**9])
def test_endpoint_is_used_again_at_its_next_heartbeat(born, number):
    blackboard, applier, _ = make_applier()
    apply(applier, ('i-1', record(seq=5)))
    apply(applier, ('i-1', record(seq=number, born=BORN + born, slots=1)))
    apply(applier, ('i-1', record(seq=6)))
    assert blackboard.endpoints.get('i-1').slots == 6


def test_endpoint_of_a_service_that_may_still_come_is_known():
    blackboard, applier, _ = make_applier()
    apply(applier, ('i-1', record(service='next', born=BORN + 9)))
    assert blackboard.endpoints.get('i-1').service == 'next'
    apply(applier, ('i-1', record(seq=1)))
    apply(applier, ('i-1', record(seq=2)))
    assert blackboard.endpoints.get('i-1').service == PLAIN.name


def test_restart_may_bring_another_configured_service():
    before = endpoint(service=PLAIN.name, incarnation=1)
    after = endpoint(service=MODEL.name, incarnation=2)
    services = {PLAIN.name, MODEL.name}
    assert foreign_reason(after, before, services) is None
