import pytest
from twisted.internet.task import Clock

from foxtailhatch.outside import StepStage
from standins.engine_batch import Batcher, ServiceTime


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def completed():
    return []


def _submit(batcher, stream, position=0, priority=0):
    batcher.submit(StepStage(stream, 1, position, (1, 2)), 'a', priority)


def _job_positions(completed):
    return [(job.frame.stream, job.frame.position) for job in completed]


def test_step_runs_immediately_without_service_time(clock, completed):
    _submit(Batcher(clock, ServiceTime(), completed.append), 's')
    assert len(completed) == 1


def test_batch_completes_after_its_service_time(clock, completed):
    batcher = Batcher(clock, ServiceTime(1, 0.25, 0.5), completed.append)
    for stream in ('s', 't'):
        _submit(batcher, stream)
    clock.advance(0)
    assert batcher.batch_size == 2
    clock.advance(2.25)
    assert not completed
    clock.advance(0.25)
    assert _job_positions(completed) == [('s', 0), ('t', 0)]


def test_jobs_run_by_priority_then_arrival(clock, completed):
    batcher = Batcher(clock, ServiceTime(1, max_batch=1), completed.append)
    for stream, priority in (('low', 0), ('high', 5), ('old', 5)):
        _submit(batcher, stream, priority=priority)
    clock.pump([0, 1, 1, 1])
    assert [name for name, _ in _job_positions(completed)] == [
        'high',
        'old',
        'low',
    ]


def test_steps_of_one_stream_run_in_separate_batches(clock, completed):
    batcher = Batcher(clock, ServiceTime(1), completed.append)
    for position in (0, 2):
        _submit(batcher, 's', position)
    clock.pump([0, 1])
    assert _job_positions(completed) == [('s', 0)]
    clock.advance(1)
    assert _job_positions(completed) == [('s', 0), ('s', 2)]
