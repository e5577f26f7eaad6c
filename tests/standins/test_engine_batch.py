import pytest
from twisted.internet.task import Clock

from foxtailhatch.outside import StepStage
from standins.engine_batch import Batcher, ServiceTime


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def ran():
    return []


def _submit(batcher, stream, position=0, priority=0):
    batcher.submit(StepStage(stream, 1, position, (1, 2)), 'a', priority)


def _names(ran):
    return [(job.frame.stream, job.frame.position) for job in ran]


def test_without_service_time_a_step_runs_at_once(clock, ran):
    _submit(Batcher(clock, ServiceTime(), ran.append), 's')
    assert len(ran) == 1


def test_a_batch_takes_its_time(clock, ran):
    batcher = Batcher(clock, ServiceTime(1, 0.25, 0.5), ran.append)
    for stream in ('s', 't'):
        _submit(batcher, stream)
    clock.advance(0)
    assert batcher.batch_size == 2
    clock.advance(2.25)
    assert not ran
    clock.advance(0.25)
    assert _names(ran) == [('s', 0), ('t', 0)]


def test_the_higher_priority_goes_first(clock, ran):
    batcher = Batcher(clock, ServiceTime(1, max_batch=1), ran.append)
    for stream, priority in (('low', 0), ('high', 5), ('old', 5)):
        _submit(batcher, stream, priority=priority)
    clock.pump([0, 1, 1, 1])
    assert [name for name, _ in _names(ran)] == ['high', 'old', 'low']


def test_steps_of_one_stream_never_share_a_batch(clock, ran):
    batcher = Batcher(clock, ServiceTime(1), ran.append)
    for position in (0, 2):
        _submit(batcher, 's', position)
    clock.pump([0, 1])
    assert _names(ran) == [('s', 0)]
    clock.advance(1)
    assert _names(ran) == [('s', 0), ('s', 2)]
