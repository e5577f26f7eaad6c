"""What the log says, in its order, with gaps and strange records."""

from types import SimpleNamespace

from returns.result import Failure, Success

from foxtailhatch.core import LayerRange
from foxtailhatch.router.entry_table import Heartbeat
from foxtailhatch.router.keyed_log import KeyedRecord
from foxtailhatch.router.observations import EndpointObservation
from foxtailhatch.router.record_applier import RecordApplier
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, board
from tests.router.test_entry_table import entry
from tests.routes.configurations import configuration


def decode_endpoint(name, raw):
    if raw == b'junk':
        return Failure('junk')
    return Success(endpoint(name, incarnation=int(raw)))


def knowledge(made, working=()):
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
    made_know = RecordApplier(
        made, log, adapter, lambda name, now: name in working
    )
    return made_know, log


def listed(applier, *pairs, failed_at=None, newest=False):
    records = [KeyedRecord(*pair) for pair in pairs]
    applier.endpoints(records, failed_at, newest=newest)


def test_older_configuration_never_comes_back():
    made = board(known=False)
    applier, _ = knowledge(made)
    applier.configuration(
        [KeyedRecord('config', b'7'), KeyedRecord('config', b'5')],
        newest=False,
    )
    assert made.table.version == 7


def test_unreadable_configuration_keeps_the_one_in_force():
    made = board(known=False)
    applier, log = knowledge(made)
    applier.configuration([KeyedRecord('config', b'7')], newest=False)
    applier.configuration([KeyedRecord('config', b'junk')], newest=False)
    assert made.table.version == 7
    assert log.of('configuration_unreadable')


def test_unreadable_endpoint_is_not_used_and_said_once():
    made = board()
    applier, log = knowledge(made)
    listed(applier, ('e1', b'1'), ('e2', b'1'))
    listed(applier, ('e1', b'junk'), ('e1', b'junk'))
    assert set(made.endpoints.names()) == {'e2'}
    assert len(log.of('endpoint_unreadable')) == 1


def test_dropped_endpoint_is_gone():
    made = board()
    applier, _ = knowledge(made)
    listed(applier, ('e1', b'1'))
    listed(applier, ('e1', None))
    assert made.endpoints.get('e1') is None


def test_endpoint_that_lapsed_in_an_outage_stays_for_the_grace():
    clock = Clock()
    made = board(clock)
    applier, _ = knowledge(made)
    listed(applier, ('e1', b'1'))
    listed(applier, ('e1', None), failed_at=clock.now - 1)
    assert made.endpoints.get('e1') is not None
    assert made.endpoints.remove_lapsed(clock.now + 2) == ['e1']


def test_endpoint_missing_from_all_newest_records_is_gone():
    made = board()
    applier, _ = knowledge(made)
    listed(applier, ('e1', b'1'), ('e2', b'1'))
    listed(applier, ('e2', b'1'), newest=True)
    assert set(made.endpoints.names()) == {'e2'}


def test_findings_of_the_past_do_not_count():
    made = board()
    applier, _ = knowledge(made)
    listed(applier, ('e1', b'1'))
    dead = KeyedRecord(
        'e1', EndpointObservation('e1', 1, is_dead=True).encode()
    )
    applier.findings([dead], newest=True)
    assert not made.endpoints.is_dead('e1')
    applier.findings([dead], newest=False)
    assert made.endpoints.is_dead('e1')


def test_finding_of_layers_reaches_the_table():
    made = board()
    applier, _ = knowledge(made)
    listed(applier, ('e1', b'1'))
    found = EndpointObservation('e1', 1, is_dead=False, layers=LayerRange(3, 9))
    applier.findings([KeyedRecord('e1', found.encode())], newest=False)
    assert made.endpoints.get('e1').layers == LayerRange(3, 9)


def test_unreadable_finding_and_entry_are_said():
    made = board()
    applier, log = knowledge(made)
    applier.findings([KeyedRecord('e1', b'{}')], newest=False)
    applier.entries([KeyedRecord('n1', b'{}')], newest=False)
    assert log.of('finding_unreadable')
    assert log.of('entries_unreadable')


def test_heartbeats_make_entries_ready():
    made = board()
    applier, _ = knowledge(made)
    listed_entries = [entry('n1'), entry('n2')]
    raw = Heartbeat(listed_entries).encode()
    applier.entries([KeyedRecord('n1', raw)], newest=False)
    assert made.entries.ready(100) == listed_entries
    applier.entries([KeyedRecord('n1', None)], newest=False)
    assert made.entries.ready(100) == []


def test_finding_against_what_streams_show_is_doubted():
    """An entry with a fault of its own reaches nobody."""
    made = board()
    applier, log = knowledge(made, working=('e1',))
    made.endpoints.put(endpoint('e1'), 0)
    dead = KeyedRecord(
        'e1', EndpointObservation('e1', 1, is_dead=True).encode()
    )
    applier.findings([dead], newest=False)
    assert not made.endpoints.is_dead('e1')
    assert log.of('finding_doubted')
