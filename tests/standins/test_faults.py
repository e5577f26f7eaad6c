import json
import subprocess
import sys

import pytest

from foxtailhatch.core import Address, LayerRange
from foxtailhatch.outside import OpenStage, StageFault, StepStage
from foxtailhatch.outside.engine_http import HttpEngine
from foxtailhatch.outside.http_client import HttpCall
from foxtailhatch.outside.log_http import HttpLogService
from standins.log_service import LogStandIn
from tests.outside.loop import SessionRecorder, run
from tests.outside.standin import client, endpoint, engine, listening

LAYERS = LayerRange(0, 2)
STREAMS = ('s', 't', 'u')


def _set(address, **faults):
    body = json.dumps(faults).encode()
    return client().send(address, HttpCall('POST', '/faults', body))


async def _outputs(ports, count, **faults):
    """Step three streams at once and return the order of the outputs."""
    await _set(ports.admin_address(), **faults)
    recorder = SessionRecorder()
    session = HttpEngine(client()).open_session(endpoint(ports), recorder)
    for stream in STREAMS:
        session.send(OpenStage(stream, 1, 'toy', '1', LAYERS))
        session.send(StepStage(stream, 1, 0, (1,)))
    frames = await recorder.wait_for_frames(count + len(STREAMS))
    session.close()
    return [frame.stream for frame in frames if hasattr(frame, 'position')]


@pytest.mark.parametrize(
    ('faults', 'order'),
    [
        ({}, 'stu'),
        ({'duplicate': 1}, 'sstu'),
        ({'reorder': 1}, 'tsu'),
        ({'late': 1, 'late_s': 0.01}, 'tus'),
    ],
)
def test_output_faults_duplicate_reorder_or_delay(faults, order):
    with listening(engine((0, 2))) as ports:
        outputs = run(_outputs(ports, len(order), **faults))
    assert ''.join(outputs) == order


@pytest.mark.parametrize('fault', [StageFault.FULL, StageFault.LEAVING])
def test_fault_makes_the_engine_refuse_new_streams(fault):
    async def scenario(ports):
        await _set(ports.address(), **{fault.value: True})
        recorder = SessionRecorder()
        session = HttpEngine(client()).open_session(endpoint(ports), recorder)
        session.send(OpenStage('s', 1, 'toy', '1', LAYERS))
        frames = await recorder.wait_for_frames(1)
        session.close()
        return frames[0].fault

    with listening(engine((0, 2))) as ports:
        assert run(scenario(ports)) is fault


def test_frozen_stand_in_accepts_faults_on_its_admin_port():
    async def scenario(ports):
        log = HttpLogService(client(), ports.address())
        short_timeout_log = HttpLogService(
            client(), ports.address(), timeout_s=0.1
        )
        await _set(ports.admin_address(), freeze=True)
        frozen = await short_timeout_log.append('c', b'')
        await _set(ports.admin_address(), freeze=False)
        return frozen, await log.append('c', b'')

    with listening(LogStandIn()) as ports:
        frozen, unfrozen = run(scenario(ports))
    assert frozen.failure()
    assert unfrozen.unwrap() == 0


def test_slow_stand_in_sends_a_complete_response():
    standin = LogStandIn()
    standin.faults.slow_s = 0.01
    with listening(standin) as ports:
        log = HttpLogService(client(), ports.address())
        assert run(log.append('c', b'')).unwrap() == 0


def test_dropped_records_advance_the_first_offset():
    async def scenario(ports):
        log = HttpLogService(client(), ports.address())
        for body in (b'one', b'two'):
            await log.append('c', body)
        await _set(ports.address(), drop_before={'c': 1})
        return (await log.read('c', 0, 9)).unwrap()

    with listening(LogStandIn()) as ports:
        page = run(scenario(ports))
    assert (page.first, page.end, len(page.records)) == (1, 2, 1)


def test_unknown_fault_is_rejected():
    with listening(LogStandIn()) as ports:
        answer = run(_set(ports.address(), nonsense=True)).unwrap()
    assert answer.status == 400


def test_process_prints_its_address_and_exits_on_the_die_fault():
    command = [sys.executable, '-m', 'standins.engine', '--name', 'ep-1']
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        line = json.loads(process.stdout.readline())
        host, port = line['address'].split(':')
        run(_set(Address(host, int(port)), die=True))
        assert process.wait(timeout=20) == 1
    assert line['name'] == 'ep-1'
