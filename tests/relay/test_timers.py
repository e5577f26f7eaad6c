from twisted.internet.task import Clock

from foxtailhatch.relay.timers import Timers


def test_call_comes_after_its_time():
    clock, done = Clock(), []
    Timers(clock).later('end', 2, done.append, 'end')
    clock.advance(1.9)
    assert done == []
    clock.advance(0.1)
    assert done == ['end']


def test_cancelled_calls_do_not_come():
    clock, done = Clock(), []
    timers = Timers(clock)
    timers.later('end', 2, done.append, 'end')
    timers.later('hold', 1, done.append, 'hold')
    timers.cancel_all()
    clock.advance(3)
    assert done == []


def test_call_may_wait_again_under_its_name():
    clock, done = Clock(), []
    timers = Timers(clock)

    def again():
        done.append('hold')
        timers.later('hold', 1, done.append, 'last')

    timers.later('hold', 1, again)
    clock.advance(1)
    clock.advance(1)
    assert done == ['hold', 'last']
