"""Order of records, snapshots, outages and malformed records."""

from types import SimpleNamespace

from returns.result import Failure, Success

from foxtailhatch.core import LayerRange
from foxtailhatch.router.entry_table import Heartbeat
from foxtailhatch.router.keyed_log import KeyedRecord
from foxtailhatch.router.observations import EndpointObservation
from foxtailhatch.router.record_applier import RecordApplier
from foxtailhatch.router.store_outage import NEVER
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, board
from tests.router.test_entry_table import entry
from tests.routes.configurations import configuration


def decode_endpoint(name, raw):
    if raw == b'junk':
        return Failure('junk')
    incarnation, _, heartbeats = raw.partition(b'.')
    return Success(
        endpoint(
            name,
            incarnation=int(incarnation),
            heartbeats=int(heartbeats or 0),
        )
    )


def make_applier(blackboard, working=()):
    adapter = SimpleNamespace(
        configuration_key='config',
        decode_configuration=lambda raw: (
            Failure('junk')
            if raw == b'junk'
            else Success(configuration(version=int(raw)))
        ),
        decode_endpoint=decode_endpoint,
    )
    log = ListLog()
    applier = RecordApplier(
        blackboard,
        log,
        adapter,
        lambda name, now: name in working,
        SimpleNamespace(apply=lambda records, **kind: None),
    )
    return applier, log


def apply_endpoints(applier, *pairs, lapses_until=NEVER, **kind):
    records = [KeyedRecord(*pair) for pair in pairs]
    kind.setdefault('is_snapshot', False)
    applier.apply_endpoints(records, lapses_until, **kind)


def test_older_configuration_is_ignored():
    blackboard = board(has_configuration=False)
    applier, _ = make_applier(blackboard)
    applier.apply_configuration(
        [KeyedRecord('config', b'7'), KeyedRecord('config', b'5')],
        is_snapshot=False,
    )
    assert blackboard.table.version == 7


def test_malformed_configuration_keeps_the_one_in_force():
    blackboard = board(has_configuration=False)
    applier, log = make_applier(blackboard)
    applier.apply_configuration(
        [KeyedRecord('config', b'7')], is_snapshot=False
    )
    applier.apply_configuration(
        [KeyedRecord('config', b'junk')], is_snapshot=False
    )
    assert blackboard.table.version == 7
    assert log.of('configuration_unreadable')


def test_malformed_record_changes_no_endpoint_and_is_logged_once():
    blackboard = board()
    applier, log = make_applier(blackboard)
    apply_endpoints(applier, ('e1', b'1'), ('e2', b'1'))
    revision = blackboard.endpoints.revision
    apply_endpoints(applier, ('e1', b'junk'), ('e1', b'junk'), ('e3', b'junk'))
    apply_endpoints(applier, ('e1', b'junk'), ('e2', b'1'), is_snapshot=True)
    assert set(blackboard.endpoints.names()) == {'e1', 'e2'}
    assert blackboard.endpoints.revision == revision
    (line, _) = log.of('endpoint_unreadable')
    assert line['endpoint'] == 'e1'


def test_deleted_endpoint_is_removed():
    blackboard = board()
    applier, _ = make_applier(blackboard)
    apply_endpoints(applier, ('e1', b'1'))
    apply_endpoints(applier, ('e1', None))
    assert blackboard.endpoints.get('e1') is None


def test_endpoint_deleted_in_an_outage_stays_for_the_grace_period():
    clock = Clock()
    blackboard = board(clock)
    applier, _ = make_applier(blackboard)
    apply_endpoints(applier, ('e1', b'1'))
    apply_endpoints(applier, ('e1', None), lapses_until=clock.now + 2)
    assert blackboard.endpoints.get('e1') is not None
    assert blackboard.endpoints.remove_lapsed(clock.now + 1.9) == []
    assert blackboard.endpoints.remove_lapsed(clock.now + 2) == ['e1']


def test_endpoint_deleted_after_the_grace_period_is_removed_at_once():
    clock = Clock()
    blackboard = board(clock)
    applier, _ = make_applier(blackboard)
    apply_endpoints(applier, ('e1', b'1'))
    apply_endpoints(applier, ('e1', None), lapses_until=clock.now)
    assert blackboard.endpoints.get('e1') is None


def test_endpoint_missing_from_a_snapshot_is_removed():
    blackboard = board()
    applier, _ = make_applier(blackboard)
    apply_endpoints(applier, ('e1', b'1'), ('e2', b'1'))
    apply_endpoints(applier, ('e2', b'1'), is_snapshot=True)
    assert set(blackboard.endpoints.names()) == {'e2'}


# Guards against new work for an endpoint that has left, after the store returned
# from a copy which still lists it.
def test_removed_endpoint_is_not_taken_from_an_older_copy():
    blackboard = board()
    applier, log = make_applier(blackboard)
    apply_endpoints(applier, ('e1', b'1.7'), ('e2', b'1.7'))
    apply_endpoints(applier, ('e1', None))
    apply_endpoints(
        applier,
        ('e1', b'1.4'),
        ('e2', b'1.4'),
        is_snapshot=True,
        lapses_until=blackboard.clock() + 2,
    )
    assert set(blackboard.endpoints.names()) == {'e2'}
    assert log.of('endpoint_outdated') == [{'name': 'e1'}]


# Guards against an entry without endpoints, as an older copy lacks those that
# have come since.
def test_endpoints_missing_from_an_older_copy_stay_for_the_grace_period():
    clock = Clock()
    blackboard = board(clock)
    applier, _ = make_applier(blackboard)
    apply_endpoints(applier, ('e1', b'1.2'), ('e2', b'1.1'))
    apply_endpoints(
        applier,
        ('e1', b'1.1'),
        is_snapshot=True,
        lapses_until=clock.now + 2,
    )
    assert set(blackboard.endpoints.names()) == {'e1', 'e2'}
    apply_endpoints(applier, ('e1', b'1.3'))
    assert blackboard.endpoints.remove_lapsed(clock.now + 2) == ['e2']


# Guards against advice to use entries that have left, by an older copy.
def test_heartbeats_in_an_older_copy_are_ignored():
    blackboard = board()
    applier, _ = make_applier(blackboard)
    heartbeat = KeyedRecord('n1', Heartbeat([entry('n1')]).encode())
    restored = {'is_snapshot': True, 'is_restored': True}
    applier.apply_entries([heartbeat], **restored)
    assert blackboard.entries.ready(blackboard.clock()) == []
    applier.apply_entries([heartbeat], is_snapshot=True)
    assert len(blackboard.entries.ready(blackboard.clock())) == 1


def test_observations_in_a_snapshot_are_ignored():
    blackboard = board()
    applier, _ = make_applier(blackboard)
    apply_endpoints(applier, ('e1', b'1'))
    dead = KeyedRecord(
        'e1', EndpointObservation('e1', 1, is_dead=True).encode()
    )
    applier.apply_observations([dead], is_snapshot=True)
    assert not blackboard.endpoints.is_dead('e1')
    applier.apply_observations([dead], is_snapshot=False)
    assert blackboard.endpoints.is_dead('e1')


def test_observed_layers_update_the_table():
    blackboard = board()
    applier, _ = make_applier(blackboard)
    apply_endpoints(applier, ('e1', b'1'))
    observation = EndpointObservation(
        'e1', 1, is_dead=False, layers=LayerRange(3, 9)
    )
    applier.apply_observations(
        [KeyedRecord('e1', observation.encode())], is_snapshot=False
    )
    assert blackboard.endpoints.get('e1').layers == LayerRange(3, 9)


def test_malformed_observation_and_heartbeat_are_logged():
    blackboard = board()
    applier, log = make_applier(blackboard)
    applier.apply_observations([KeyedRecord('e1', b'{}')], is_snapshot=False)
    applier.apply_entries([KeyedRecord('n1', b'{}')], is_snapshot=False)
    assert log.of('observation_unreadable')
    assert log.of('heartbeat_unreadable')


def test_heartbeats_make_entries_ready():
    blackboard = board()
    applier, _ = make_applier(blackboard)
    listed_entries = [entry('n1'), entry('n2')]
    raw = Heartbeat(listed_entries).encode()
    applier.apply_entries([KeyedRecord('n1', raw)], is_snapshot=False)
    assert blackboard.entries.ready(100) == listed_entries
    applier.apply_entries([KeyedRecord('n1', None)], is_snapshot=False)
    assert blackboard.entries.ready(100) == []


def test_observed_death_is_rejected_while_streams_make_progress():
    """An entry with a fault of its own cannot reach any endpoint."""
    blackboard = board()
    applier, log = make_applier(blackboard, working=('e1',))
    blackboard.endpoints.put(endpoint('e1'), 0)
    dead = KeyedRecord(
        'e1', EndpointObservation('e1', 1, is_dead=True).encode()
    )
    applier.apply_observations([dead], is_snapshot=False)
    assert not blackboard.endpoints.is_dead('e1')
    assert log.of('observation_rejected')
