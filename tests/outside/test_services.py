import pytest

from foxtailhatch.core import Address, EndpointKind
from foxtailhatch.outside import LiveInstance, PlatformFault, ServiceCall
from foxtailhatch.outside.instances_http import HttpInstanceList
from foxtailhatch.outside.log_http import HttpLogService
from foxtailhatch.outside.service_http import HttpPlainService
from foxtailhatch.outside.weights_http import HttpWeightStore
from standins.instance_list import InstanceStandIn
from standins.log_service import LogStandIn
from standins.plain_service import PlainStandIn
from standins.weight_store import WeightStandIn
from tests.outside.loop import run
from tests.outside.raw import raw_server
from tests.outside.standin import client, endpoint, listening

BOOKING = ServiceCall('POST', '/bookings', b'{}', 'application/json', 'k1')
SHORT_TIMEOUT_S = 0.3


def _fault(outcome):
    return outcome.failure().fault


def test_appended_records_are_read_from_their_offset():
    async def scenario(ports):
        log = HttpLogService(client(), ports.address())
        offsets = [
            (await log.append('a/b', body)).unwrap()
            for body in (b'\x00one', b'two', b'three')
        ]
        return offsets, (await log.read('a/b', 1, 1)).unwrap()

    with listening(LogStandIn()) as ports:
        offsets, page = run(scenario(ports))
    assert offsets == [0, 1, 2]
    assert [record.body for record in page.records] == [b'two']
    assert (page.first, page.end) == (0, 3)


def test_a_read_before_the_oldest_retained_record_starts_there():
    async def scenario(ports):
        log = HttpLogService(client(), ports.address())
        for body in (b'one', b'two', b'three'):
            await log.append('c', body)
        return (await log.read('c', 0, 10)).unwrap()

    with listening(LogStandIn(kept_records=2)) as ports:
        page = run(scenario(ports))
    assert page.first == 1
    assert [record.offset for record in page.records] == [1, 2]


def test_a_restored_log_begins_a_new_epoch_behind_all_offsets():
    standin = LogStandIn()

    async def scenario(ports):
        log = HttpLogService(client(), ports.address())
        for body in (b'one', b'two', b'three'):
            last = (await log.append('c', body)).unwrap()
        standin.faults.restore = 2
        page = (await log.read('c', last + 1, 10)).unwrap()
        return last, page, (await log.read('c', page.first, 10)).unwrap()

    with listening(standin) as ports:
        last, page, restored = run(scenario(ports))
    assert page.records == ()
    assert page.first > last
    assert [record.body for record in restored.records] == [b'one']
    assert restored.records[0].offset == page.first


def test_a_log_that_goes_back_without_a_new_epoch_is_a_fault():
    standin = LogStandIn()

    async def scenario(ports):
        log = HttpLogService(client(), ports.address())
        await log.append('c', b'one')
        standin.streams.clear()
        return await log.read('c', 1, 10)

    with listening(standin) as ports:
        outcome = run(scenario(ports))
    assert _fault(outcome) is PlatformFault.INVALID_RESPONSE


@pytest.mark.parametrize(
    ('fault', 'appended'), [('lose_ack', 1), ('lose_append', 0)]
)
def test_an_append_without_a_response_may_have_been_carried_out(
    fault, appended
):
    standin = LogStandIn()
    setattr(standin.faults, fault, 1)
    with listening(standin) as ports:
        log = HttpLogService(
            client(), ports.address(), timeout_s=SHORT_TIMEOUT_S
        )
        outcome = run(log.append('c', b'one'))
    assert _fault(outcome) is PlatformFault.NO_RESPONSE
    assert standin.streams['c'].end == appended


def test_an_unavailable_log_has_not_appended():
    standin = LogStandIn()
    standin.faults.down = True
    with listening(standin) as ports:
        log = HttpLogService(client(), ports.address())
        outcome = run(log.append('c', b'one'))
    assert _fault(outcome) is PlatformFault.UNREACHABLE


def test_a_refused_connection_is_unreachable():
    with listening(LogStandIn()) as ports:
        address = ports.address()
    outcome = run(HttpLogService(client(), address).append('c', b''))
    assert _fault(outcome) is PlatformFault.UNREACHABLE


def test_a_call_with_a_lost_response_runs_once():
    standin = PlainStandIn()
    standin.faults.lose_ack = 1
    with listening(standin) as ports:
        desk = endpoint(ports, 'desk', EndpointKind.SERVICE)
        service = HttpPlainService(client())
        outcome = run(service.call(desk, BOOKING, SHORT_TIMEOUT_S))
    assert _fault(outcome) is PlatformFault.NO_RESPONSE
    assert standin.runs == {'k1': 1}


@pytest.mark.parametrize(('checks', 'status'), [(True, 409), (False, 200)])
def test_a_reused_key_is_refused_by_services_that_check_it(
    checks,
    status,
):
    async def scenario(ports):
        desk = endpoint(ports, 'desk', EndpointKind.SERVICE)
        service = HttpPlainService(client())
        await service.call(desk, BOOKING, 5)
        return await service.call(desk, BOOKING, 5)

    with listening(PlainStandIn(check_key=checks)) as ports:
        assert run(scenario(ports)).unwrap().status == status


def test_the_instance_list_shows_changes_after_its_lag():
    now = [100.0]
    instance = LiveInstance(
        'e', Address('127.0.0.1', 1), 'whk-a', 'entry', False
    )
    standin = InstanceStandIn(5, lambda: now[0])
    standin.put([instance])
    with listening(standin) as ports:
        instance_list = HttpInstanceList(client(), ports.address())
        assert not run(instance_list.instances()).unwrap()
        now[0] += 5
        assert run(instance_list.instances()).unwrap() == (instance,)


def test_the_weight_store_returns_the_size_of_a_layer():
    with listening(WeightStandIn(7)) as ports:
        store = HttpWeightStore(client(), ports.address())
        assert run(store.size_bytes('toy', '1')).unwrap() == 7


# Guards against a status that no response may have, passed on to a caller: the call
# may have run.
@pytest.mark.parametrize('status', ['000', '600', '999', '+200', '2x0'])
def test_a_call_with_another_status_has_no_valid_response(status):
    head = f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok'
    with raw_server({b'POST': head.encode()}) as server:
        service = HttpPlainService(client())
        outcome = run(service.call(endpoint(server), BOOKING, 5))
    assert _fault(outcome) is PlatformFault.INVALID_RESPONSE
